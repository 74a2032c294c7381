/** The listener for callers: reads requests whole and hands them over. */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { CallerLimits } from '../../routing/configuration.js';
import type { CallerReply } from '../attempt/attempt.js';
import { CallerDeparture } from './caller-departure.js';
import type { RawHeaders } from './caller-protocol.js';

/** A request whose head was read. */
export interface ReceivedHead {
  readonly method: string;
  readonly path: string;
  readonly host: string;
  readonly rawHeaders: RawHeaders;
  readonly headers: IncomingMessage['headers'];
}

/** A request that waits for its body. */
export interface PendingBody {
  /** The body is whole. */
  onBody(body: Buffer): void;
  /** The body is longer than allowed. */
  onTooLong(): void;
  /** The caller closed its connection, before or after the body was whole. */
  onCallerLeft(): void;
}

/** Takes requests. */
export type RequestTaker = (head: ReceivedHead, reply: CallerReply) => PendingBody;

/** Above this the listener's own parser refuses; the configured limit lies below. */
const PARSER_HEADER_BYTES = 128 * 1024;
const CONNECTION_CHECK_MS = 500;
const MAX_UNREAD_ANSWER_BYTES = 4 * 1024 * 1024;

/** The listener for callers. */
export class CallerListener {
  readonly server: Server;
  private readonly sockets = new Map<Socket, CallerDeparture>();
  private isClosing = false;

  constructor(
    private readonly take: RequestTaker,
    private readonly maxBodyBytes: () => number,
  ) {
    this.server = createServer(
      {
        maxHeaderSize: PARSER_HEADER_BYTES,
        connectionsCheckingInterval: CONNECTION_CHECK_MS,
        noDelay: true,
      },
      (request, response) => this.receive(request, response),
    );
    this.server.requestTimeout = 0;
    this.server.on('connection', (socket: Socket) => {
      this.sockets.set(socket, new CallerDeparture(socket));
      socket.on('close', () => this.sockets.delete(socket));
    });
  }

  /** Puts the configured limits in force for what arrives from now on. */
  applyLimits(limits: CallerLimits): void {
    this.server.headersTimeout = limits.headerTimeoutMs;
    this.server.keepAliveTimeout = limits.idleTimeoutMs;
  }

  /** Open connections. */
  get connections(): number {
    return this.sockets.size;
  }

  /** From now on every answer asks the caller to use another connection. */
  announceClose(): void {
    this.isClosing = true;
  }

  /** Takes no new connections and closes those that rest. */
  stopListening(): void {
    this.server.close();
    this.server.closeIdleConnections();
  }

  private receive(request: IncomingMessage, response: ServerResponse): void {
    const reply = new HttpReply(request, response, () => this.isClosing);
    const head: ReceivedHead = {
      method: request.method ?? 'GET',
      path: request.url ?? '/',
      host: request.headers.host ?? '',
      rawHeaders: request.rawHeaders,
      headers: request.headers,
    };
    const pending = this.take(head, reply);
    let hasLeft = false;
    const leave = () => {
      hasLeft = true;
      if (!response.writableFinished) {
        pending.onCallerLeft();
      }
      if (!response.writableEnded) {
        response.destroy();
      }
    };
    const stopWatching = this.sockets.get(request.socket)?.onLeave(leave);
    response.on('finish', () => stopWatching?.());
    response.on('close', () => {
      stopWatching?.();
      leave();
    });
    this.readBody(request, {
      onTooLong: () => pending.onTooLong(),
      onBody: (body) => {
        if (!hasLeft) {
          pending.onBody(body);
        }
      },
    });
  }

  private readBody(
    request: IncomingMessage,
    pending: Pick<PendingBody, 'onBody' | 'onTooLong'>,
  ): void {
    const chunks: Buffer[] = [];
    let length = 0;
    let isTooLong = false;
    request.on('data', (bytes: Buffer) => {
      length += bytes.length;
      if (isTooLong) {
        return;
      }
      if (length > this.maxBodyBytes()) {
        isTooLong = true;
        chunks.length = 0;
        pending.onTooLong();
        return;
      }
      chunks.push(bytes);
    });
    request.on('end', () => {
      if (!isTooLong) {
        pending.onBody(chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks));
      }
    });
    request.on('error', () => undefined);
  }
}

/** The answer to one request of a caller. */
class HttpReply implements CallerReply {
  constructor(
    private readonly request: IncomingMessage,
    private readonly response: ServerResponse,
    private readonly isClosing: () => boolean,
  ) {}

  start(status: number, headers: RawHeaders): void {
    if (this.response.headersSent || this.response.destroyed) {
      return;
    }
    const isBodyUnread = !this.request.complete;
    const closing = this.isClosing() || isBodyUnread ? ['Connection', 'close'] : [];
    this.response.writeHead(status, [...headers, ...closing]);
  }

  write(bytes: Buffer): boolean {
    if (this.response.destroyed) {
      return true;
    }
    const isFlowing = this.response.write(bytes);
    if (this.response.writableLength > MAX_UNREAD_ANSWER_BYTES) {
      this.abort();
    }
    return isFlowing;
  }

  end(bytes?: Buffer): void {
    if (!this.response.destroyed) {
      this.response.end(bytes);
    }
  }

  abort(): void {
    this.response.destroy();
  }

  onceDrained(callback: () => void): void {
    this.response.once('drain', callback);
  }
}
