/** A TCP proxy that can delay, reset or block traffic, for tests. */
import { connect, createServer } from 'node:net';
import type { Server, Socket } from 'node:net';

/** How a proxy treats traffic: forward it, delay it, reset connections, or drop one direction. */
export type ProxyBehavior =
  'passes' | 'delays' | 'resets' | 'cut-towards-target' | 'cut-from-target';

const DELAY_MS = 120;

/** A TCP proxy on loopback with injectable faults. */
export class LoopbackProxy {
  behavior: ProxyBehavior = 'passes';
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();
  private isClosed = false;

  constructor(
    private readonly targetHost: string,
    private readonly targetPort: number,
  ) {
    this.server = createServer((socket) => this.accept(socket));
  }

  /** Starts to listen; resolves once the port is bound. */
  async start(host: string, port: number): Promise<void> {
    await new Promise<void>((resolve) => this.server.listen(port, host, resolve));
  }

  /** Resets all connections and stops listening. */
  stop(): void {
    this.resetAll();
    this.server.close();
  }

  /** Resets all connections and closes the port for `downtimeMs`, as if the target had exited. */
  async closeFor(downtimeMs: number, host: string, port: number): Promise<void> {
    if (this.isClosed) {
      // An earlier call has closed the port and reopens it.
      return;
    }
    this.isClosed = true;
    const closed = new Promise((resolve) => this.server.close(resolve));
    this.resetAll();
    await closed;
    await new Promise((resolve) => setTimeout(resolve, downtimeMs));
    await this.start(host, port);
    this.isClosed = false;
  }

  /** Resets all connections. */
  resetAll(): void {
    for (const socket of this.sockets) {
      socket.resetAndDestroy();
    }
  }

  private accept(client: Socket): void {
    if (this.behavior === 'resets') {
      client.resetAndDestroy();
      return;
    }
    const target = connect(this.targetPort, this.targetHost);
    this.forward(client, target, 'cut-towards-target');
    this.forward(target, client, 'cut-from-target');
  }

  private forward(from: Socket, to: Socket, dropBehavior: ProxyBehavior): void {
    this.sockets.add(from);
    from.setNoDelay(true);
    let hasDropped = false;
    let delayedCount = 0;
    from.on('data', (bytes: Buffer) => {
      // A connection that has lost bytes delivers none of those after them.
      hasDropped ||= this.behavior === dropBehavior;
      if (hasDropped) {
        return;
      }
      if (this.behavior !== 'delays' && delayedCount === 0) {
        to.write(bytes);
        return;
      }
      delayedCount += 1;
      setTimeout(() => {
        delayedCount -= 1;
        to.write(bytes);
      }, DELAY_MS);
    });
    from.on('end', () => to.end());
    from.on('error', () => to.destroy());
    from.on('close', () => {
      this.sockets.delete(from);
      to.destroy();
    });
  }
}
