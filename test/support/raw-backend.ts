import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';

/** A request as a raw backend received it. */
export interface RawRequest {
  /** Value of the header by which responses name their request. */
  readonly id: string;
  readonly lastEventId: string | undefined;
  /** Number of requests that the connection had carried before. */
  readonly earlierOnConnection: number;
}

/** Writes the response to a request; may write any bytes. */
export type Respond = (request: RawRequest, socket: Socket) => void;

const HEAD_END = '\r\n\r\n';

/** Returns a whole response that names its request. */
export function wholeResponse(id: string, body: string, status = '200 OK'): string {
  return (
    `HTTP/1.1 ${status}\r\nX-Weirvale-Attempt-Id: ${id}\r\n` +
    `X-Weirvale-Server-Seal: seal\r\nContent-Length: ${body.length}\r\n\r\n${body}`
  );
}

/** Returns the head of a chunked event stream that names its request. */
export function streamHead(id: string): string {
  return (
    `HTTP/1.1 200 OK\r\nX-Weirvale-Attempt-Id: ${id}\r\nX-Weirvale-Server-Seal: seal\r\n` +
    'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n'
  );
}

/** Returns one chunk of a chunked response; the last one is empty. */
export function chunk(text: string): Buffer {
  const bytes = Buffer.from(text, 'latin1');
  return Buffer.concat([
    Buffer.from(`${bytes.length.toString(16)}\r\n`),
    bytes,
    Buffer.from('\r\n'),
  ]);
}

/** Backend over plain TCP, which can respond with bytes that are no HTTP response. */
export class RawBackend {
  /** The ids of the requests that it received. */
  readonly receivedIds: string[] = [];
  private readonly sockets = new Set<Socket>();
  private readonly server: Server;

  constructor(private readonly respond: Respond) {
    this.server = createServer((socket) => this.accept(socket));
  }

  /** Number of open connections. */
  get connections(): number {
    return this.sockets.size;
  }

  /** Listens on an ephemeral port; returns the address, IP:PORT. */
  async start(): Promise<string> {
    await new Promise<void>((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** Sends bytes on every open connection. */
  writeToAll(bytes: string): void {
    this.sockets.forEach((socket) => socket.write(bytes));
  }

  /** Closes every connection and stops listening. */
  stop(): void {
    this.server.close();
    this.sockets.forEach((socket) => socket.destroy());
  }

  private accept(socket: Socket): void {
    let pending = '';
    let requests = 0;
    this.sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => this.sockets.delete(socket));
    socket.on('data', (bytes: Buffer) => {
      pending += bytes.toString('latin1');
      const end = pending.indexOf(HEAD_END);
      if (end < 0) {
        return;
      }
      const head = pending.slice(0, end);
      const length = Number(headerIn(head, 'content-length') ?? 0);
      if (pending.length < end + HEAD_END.length + length) {
        return;
      }
      pending = pending.slice(end + HEAD_END.length + length);
      const id = headerIn(head, 'x-weirvale-attempt-id') ?? '';
      this.receivedIds.push(id);
      requests += 1;
      const lastEventId = headerIn(head, 'last-event-id');
      this.respond({ id, lastEventId, earlierOnConnection: requests - 1 }, socket);
    });
  }
}

function headerIn(head: string, name: string): string | undefined {
  return new RegExp(`^${name}: *(.*)$`, 'im').exec(head)?.[1]?.trim();
}
