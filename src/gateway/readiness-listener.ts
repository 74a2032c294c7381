/** Readiness endpoint for the platform's load balancer. */
import { createServer } from 'node:http';
import { splitAddress } from '../address.js';

const READINESS_IDLE_MS = 30_000;
const HTTP_OK = 200;
const HTTP_UNAVAILABLE = 503;

/** Answers every request with 200 while the gateway is ready, else with 503. */
export class ReadinessListener {
  private readonly server = createServer((_request, response) => {
    response.writeHead(this.isReady() ? HTTP_OK : HTTP_UNAVAILABLE, { 'Content-Length': '0' });
    response.end();
  });

  constructor(private readonly isReady: () => boolean) {}

  /** Listens at `address`, IP:PORT. */
  listen(address: string): void {
    const { host, port } = splitAddress(address);
    this.server.keepAliveTimeout = READINESS_IDLE_MS;
    this.server.on('error', () => undefined);
    this.server.listen(port, host);
  }

  /** Stops accepting connections. */
  close(): void {
    this.server.close();
  }
}
