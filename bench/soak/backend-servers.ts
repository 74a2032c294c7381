/** HTTP servers on loopback that stand in for the backends of a run. */
import { createServer } from 'node:http';
import type { RequestListener, Server } from 'node:http';

/** Connections that may wait to be accepted; bursts of callers reach backends at once. */
const ACCEPT_BACKLOG = 1_000;

/** Starts and stops the servers of a run. */
export class BackendServers {
  private readonly servers: Server[] = [];

  /** Listens on an address; returns the server and its address, IP:PORT. */
  async start(
    host: string,
    port: number,
    handleRequest: RequestListener,
  ): Promise<{ readonly server: Server; readonly address: string }> {
    const server = createServer(handleRequest);
    await new Promise<void>((resolve) => server.listen(port, host, ACCEPT_BACKLOG, resolve));
    this.servers.push(server);
    return { server, address: `${host}:${port}` };
  }

  /** Closes all connections and stops listening. */
  stop(): void {
    this.servers.forEach((server) => {
      server.closeAllConnections();
      server.close();
    });
  }
}
