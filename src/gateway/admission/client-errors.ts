/** Responds to connections whose input is no request, or whose request head is late. */
import { STATUS_CODES } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { UnusedConnectionCloser } from './unused-connection-closer.js';

/** Error code of a head that was not received within the header timeout. */
const LATE_HEAD_CODE = 'ERR_HTTP_REQUEST_TIMEOUT';
const BAD_REQUEST = 400;
const HEAD_TOO_LONG = 431;
/** Statuses of errors for which the general one is not precise enough. */
const STATUS_BY_ERROR_CODE: ReadonlyMap<string | undefined, number> = new Map([
  ['HPE_HEADER_OVERFLOW', HEAD_TOO_LONG],
  ['HPE_CHUNK_EXTENSIONS_OVERFLOW', 413],
  [LATE_HEAD_CODE, 408],
]);

/** Requests that were received on one connection. */
interface ConnectionRequests {
  count: number;
  /** Responses that have not ended. */
  readonly openResponses: Set<ServerResponse>;
}

/**
 * Ends connections on errors as the server does by default, with two differences: a request head
 * counts as late only if it has not arrived by a poll after the header timeout, and it does not end
 * the requests before it on its connection.
 */
export class ClientErrors {
  private readonly requests = new WeakMap<Socket, ConnectionRequests>();

  constructor(
    server: Server,
    private readonly closer: UnusedConnectionCloser,
  ) {
    server.on('connection', (socket: Socket) =>
      this.requests.set(socket, { count: 0, openResponses: new Set() }),
    );
    // Earlier than the listener that may respond at once.
    server.prependListener('request', ({ socket }: IncomingMessage, response: ServerResponse) =>
      this.addRequest(socket, response),
    );
    server.on('clientError', (error: NodeJS.ErrnoException, stream) =>
      this.handle(error, stream as Socket),
    );
  }

  private addRequest(socket: Socket, response: ServerResponse): void {
    const requests = this.requests.get(socket);
    if (requests !== undefined) {
      requests.count += 1;
      requests.openResponses.add(response);
      response.once('close', () => requests.openResponses.delete(response));
    }
  }

  private handle(error: NodeJS.ErrnoException, socket: Socket): void {
    if (error.code !== LATE_HEAD_CODE) {
      this.refuse(error, socket);
      return;
    }
    const requests = this.requests.get(socket);
    const countBefore = requests?.count;
    this.closer.closeUnlessUsed({
      isUnused: () =>
        !socket.destroyed && requests?.count === countBefore && !requests?.openResponses.size,
      close: () => this.refuse(error, socket),
    });
  }

  /** Responds to a head that is too long, unless an earlier request of the connection is open. */
  respondHeadTooLong(socket: Socket): void {
    if (socket.writable && !this.requests.get(socket)?.openResponses.size) {
      respond(socket, HEAD_TOO_LONG);
    }
  }

  private refuse(error: NodeJS.ErrnoException, socket: Socket): void {
    if (socket.writable && !this.isResponding(socket)) {
      respond(socket, STATUS_BY_ERROR_CODE.get(error.code) ?? BAD_REQUEST);
    }
    socket.destroy(error);
  }

  /** Whether a response has begun, so that no other may follow. */
  private isResponding(socket: Socket): boolean {
    const responses = [...(this.requests.get(socket)?.openResponses ?? [])];
    return responses.some(({ headersSent }) => headersSent);
  }
}

function respond(socket: Socket, status: number): void {
  socket.write(`HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\nConnection: close\r\n\r\n`);
}
