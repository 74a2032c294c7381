/** An engine whose events name its software version, and which can end and start again. */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/** Number of events of a stream. */
export const ENGINE_EVENTS = 12;
const EVENT_INTERVAL_MS = 40;

/** An engine at one address. It continues any stream after the event that is named, unchecked. */
export class StreamingEngine {
  /** Version of the software that the next start runs. */
  version: string;
  /** Start time of the current process, in Unix milliseconds. */
  bornAtMs = 0;
  /** Number of requests for its report. */
  reports = 0;
  private server: Server | undefined;
  private readonly sockets = new Set<Socket>();

  constructor(
    readonly id: string,
    readonly host: string,
    readonly port: number,
    version: string,
  ) {
    this.version = version;
  }

  /** IP:PORT. */
  get address(): string {
    return `${this.host}:${this.port}`;
  }

  /** Starts a process at the same address; resolves once it listens. */
  async start(): Promise<void> {
    const { version } = this;
    this.bornAtMs = Date.now();
    const server = createServer((request, response) => this.serve(request, response, version));
    server.keepAliveTimeout = 10_000;
    server.on('connection', (socket) => {
      this.sockets.add(socket);
      socket.on('close', () => this.sockets.delete(socket));
    });
    this.server = server;
    await new Promise<void>((resolve) => server.listen(this.port, this.host, resolve));
  }

  /** Ends the process: its port is closed, and its connections end. */
  async end(): Promise<void> {
    const closed = new Promise((resolve) => this.server?.close(resolve));
    this.sockets.forEach((socket) => socket.destroy());
    await closed;
  }

  private serve(request: IncomingMessage, response: ServerResponse, version: string): void {
    request.resume();
    if (request.url === '/-/report') {
      this.reports += 1;
      response.end(JSON.stringify({ waiting: 0, running: 0, born: this.bornAtMs }));
      return;
    }
    response.setHeader('X-Weirvale-Attempt-Id', String(request.headers['x-weirvale-attempt-id']));
    if (request.headers['x-weirvale-expect-instance'] !== this.id) {
      response.writeHead(421).end();
      return;
    }
    response.writeHead(200, { 'Content-Type': 'text/event-stream' });
    let number = Number(request.headers['last-event-id'] ?? 0);
    const timer = setInterval(() => {
      number += 1;
      response.write(`id: ${number}\ndata: ${version}\n\n`);
      if (number >= ENGINE_EVENTS) {
        clearInterval(timer);
        response.end();
      }
    }, EVENT_INTERVAL_MS);
    response.on('close', () => clearInterval(timer));
  }
}
