/** A backend of one software version that streams events which name the version. */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/** Number of events of a stream. */
export const STREAM_EVENTS = 14;
const EVENT_INTERVAL_MS = 60;

/** One life of a backend. It continues any stream from the event it is asked for, unchecked. */
export class StreamBackend {
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();
  private runningCount = 0;

  constructor(
    readonly id: string,
    readonly version: string,
    readonly bornAtMs: number,
    readonly host: string,
  ) {
    this.server = createServer((request, response) => this.handleRequest(request, response));
    this.server.keepAliveTimeout = 10_000;
    this.server.on('connection', (socket) => {
      this.sockets.add(socket);
      socket.on('close', () => this.sockets.delete(socket));
    });
  }

  /** Starts to listen; resolves once the port is bound. */
  async start(port: number): Promise<void> {
    await new Promise<void>((resolve) => this.server.listen(port, this.host, resolve));
  }

  /** Stops listening; streams under way go on. */
  stopListening(): void {
    this.server.close();
  }

  /** Stops listening and resets every connection. */
  crash(): void {
    this.server.close();
    this.sockets.forEach((socket) => socket.resetAndDestroy());
  }

  private handleRequest(request: IncomingMessage, response: ServerResponse): void {
    request.resume();
    if (request.url === '/-/report') {
      const report = { waiting: 0, running: this.runningCount, born: this.bornAtMs };
      response.end(JSON.stringify(report));
      return;
    }
    response.setHeader('X-Weirvale-Attempt-Id', String(request.headers['x-weirvale-attempt-id']));
    if (request.headers['x-weirvale-expect-instance'] !== this.id) {
      response.writeHead(421).end();
      return;
    }
    this.runningCount += 1;
    response.on('close', () => (this.runningCount -= 1));
    response.writeHead(200, { 'Content-Type': 'text/event-stream' });
    this.streamFrom(Number(request.headers['last-event-id'] ?? 0) + 1, response);
  }

  private streamFrom(number: number, response: ServerResponse): void {
    if (response.destroyed) {
      return;
    }
    if (number > STREAM_EVENTS) {
      response.end();
      return;
    }
    setTimeout(() => {
      if (!response.destroyed) {
        response.write(`id: ${number}\ndata: ${this.version}\n\n`);
        this.streamFrom(number + 1, response);
      }
    }, EVENT_INTERVAL_MS);
  }
}
