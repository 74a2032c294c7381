/** Closes connections of callers that have been idle for too long. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Clock } from '../../clock.js';
import { DEFAULT_CALLER_LIMITS } from '../../routing/configuration.js';
import type { RawHeaders } from './caller-protocol.js';
import { leaveOpenAfter } from './connection-responses.js';
import type { UnusedConnectionCloser } from './unused-connection-closer.js';

/** Limits of connections, in milliseconds. */
export interface IdleConnectionTimeouts {
  /** Maximum idle time between two requests; 0 for no maximum. */
  readonly idleTimeoutMs: number;
  /** Maximum time to receive the head of a request. */
  readonly headerTimeoutMs: number;
}

/** Interval of the search for idle connections, in milliseconds. */
const SWEEP_INTERVAL_MS = 200;
/**
 * Time for which a connection is held beyond its timeout, in milliseconds: callers learn the timeout
 * in whole seconds and count it from when they received the response.
 */
const HOLD_MARGIN_MS = 1_000;
const MS_PER_S = 1_000;
/** Minimum timeout named to callers, some of which take 0 for no limit. */
const MIN_NAMED_TIMEOUT_S = 1;

/** A connection of a caller; times in milliseconds. */
interface Connection {
  readonly socket: Socket;
  /** Number of requests whose responses have not ended. */
  openRequests: number;
  /** Undefined before the first request and while requests are open. */
  idleSinceMs: number | undefined;
  /** Bytes that had been read when the connection became idle. */
  bytesReadBeforeIdle: number;
  /** Timeout that the last response named; 0 if it named none. */
  namedTimeoutMs: number;
  /** Whether a response has announced that the connection is closed. */
  isCloseAnnounced: boolean;
  /** Whether it is to be closed unless input has arrived. */
  isExpired: boolean;
}

/** Tracks the connections of a server and closes idle ones. */
export class IdleConnections {
  private readonly connections = new Map<Socket, Connection>();
  private timeouts: IdleConnectionTimeouts = DEFAULT_CALLER_LIMITS;
  private isSweepPending = false;
  private isClosing = false;

  /** Takes the place of the server's own idle timeout. */
  constructor(
    server: Server,
    private readonly clock: Clock,
    private readonly closer: UnusedConnectionCloser,
  ) {
    server.keepAliveTimeout = 0;
    server.on('connection', (socket: Socket) => this.add(socket));
    // Earlier than the listener that may respond at once.
    server.prependListener('request', (request: IncomingMessage, response: ServerResponse) =>
      this.beginRequest(request.socket, response),
    );
  }

  /** Applies timeouts; a connection is held for no less than its last response named. */
  applyTimeouts(timeouts: IdleConnectionTimeouts): void {
    this.timeouts = timeouts;
  }

  /** Closes each connection as soon as it is idle, unless input has arrived on it. */
  closeOnceIdle(): void {
    this.isClosing = true;
    this.sweep();
  }

  /**
   * Closes the connection after `response`, whose head announces it, unless input has arrived. The
   * server would close it without a poll.
   */
  closeAfter(response: ServerResponse): void {
    const connection = this.connections.get(response.req.socket);
    if (connection !== undefined) {
      connection.isCloseAnnounced = true;
      // Earlier than the listener of the server.
      response.prependOnceListener('finish', () => leaveOpenAfter(response));
    }
  }

  /** Returns the header that names the idle timeout; empty if the connection closes after the response. */
  keepAliveHeader({ req, shouldKeepAlive }: ServerResponse): RawHeaders {
    const { idleTimeoutMs } = this.timeouts;
    const connection = this.connections.get(req.socket);
    if (connection === undefined || !shouldKeepAlive || idleTimeoutMs === 0) {
      return [];
    }
    const timeoutS = Math.max(MIN_NAMED_TIMEOUT_S, Math.floor(idleTimeoutMs / MS_PER_S));
    connection.namedTimeoutMs = timeoutS * MS_PER_S;
    return ['Keep-Alive', `timeout=${timeoutS}`];
  }

  private add(socket: Socket): void {
    this.connections.set(socket, {
      socket,
      openRequests: 0,
      idleSinceMs: undefined,
      bytesReadBeforeIdle: 0,
      namedTimeoutMs: 0,
      isCloseAnnounced: false,
      isExpired: false,
    });
    socket.on('close', () => this.connections.delete(socket));
    this.scheduleSweep();
  }

  private beginRequest(socket: Socket, response: ServerResponse): void {
    const connection = this.connections.get(socket);
    if (connection === undefined) {
      return;
    }
    connection.openRequests += 1;
    connection.idleSinceMs = undefined;
    connection.namedTimeoutMs = 0;
    response.once('close', () => this.endRequest(connection));
  }

  private endRequest(connection: Connection): void {
    connection.openRequests -= 1;
    if (connection.openRequests === 0) {
      connection.idleSinceMs = this.clock.now();
      connection.bytesReadBeforeIdle = connection.socket.bytesRead;
      this.closeIfExpired(connection);
    }
  }

  private scheduleSweep(): void {
    if (this.isSweepPending || this.connections.size === 0) {
      return;
    }
    this.isSweepPending = true;
    this.clock.setTimeout(() => {
      this.isSweepPending = false;
      this.sweep();
      this.scheduleSweep();
    }, SWEEP_INTERVAL_MS);
  }

  private sweep(): void {
    [...this.connections.values()].forEach((connection) => this.closeIfExpired(connection));
  }

  private closeIfExpired(connection: Connection): void {
    if (!connection.isExpired && this.clock.now() >= this.expiryMs(connection)) {
      this.closeUnlessUsed(connection);
    }
  }

  /** Returns when the connection expires; Infinity while it is not idle. */
  private expiryMs(connection: Connection): number {
    const { idleSinceMs = Infinity, namedTimeoutMs, isCloseAnnounced } = connection;
    const { idleTimeoutMs } = this.timeouts;
    if (this.isClosing || isCloseAnnounced) {
      return idleSinceMs;
    }
    if (idleTimeoutMs === 0) {
      return Infinity;
    }
    return idleSinceMs + Math.max(idleTimeoutMs, namedTimeoutMs) + HOLD_MARGIN_MS;
  }

  private closeUnlessUsed(connection: Connection): void {
    connection.isExpired = true;
    this.closer.closeUnlessUsed({
      isUnused: () => {
        connection.isExpired = false;
        return this.isUnused(connection);
      },
      close: () => connection.socket.destroy(),
    });
  }

  private isUnused(connection: Connection): boolean {
    const { socket, idleSinceMs } = connection;
    if (idleSinceMs === undefined || socket.destroyed) {
      return false;
    }
    if (socket.bytesRead > connection.bytesReadBeforeIdle) {
      // A head has begun to arrive: the header timeout applies before the idle timeout.
      connection.bytesReadBeforeIdle = socket.bytesRead;
      connection.idleSinceMs = this.clock.now() + this.timeouts.headerTimeoutMs;
      return false;
    }
    return socket.writableLength === 0;
  }
}
