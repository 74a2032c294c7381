/** Connections to back ends between two requests. */
import { Agent } from 'node:http';
import type { ClientRequest } from 'node:http';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import type { HostAndPort } from '../../address.js';
import { ConnectionCauses } from './connection-causes.js';
import type { ConnectionReason } from './connection-causes.js';
import { DEFAULT_REST_LIMIT_OPTIONS, RestLimit } from './rest-limit.js';

/** Limits of resting connections. */
export interface RestingConnectionLimits {
  /** Longest rest of a connection, in milliseconds, where the back end names none. */
  readonly idleMs: number;
  /** Most resting connections to one back end. */
  readonly maxIdlePerBackend: number;
}

/** Share of the longest rest that is used, so that a back end that names none does not close first. */
const IDLE_SHARE = 0.6;
/** Shortest rest after which a reset says that connections are forgotten, in milliseconds. */
const MIN_FORGOTTEN_REST_MS = 150;

/**
 * Keeps resting connections, but none on which anything arrives while no
 * request is under way: such bytes belong to no request.
 */
export class GuardedAgent extends Agent {
  readonly causes: ConnectionCauses;
  private readonly longestRestMs: number;
  private readonly restLimit: RestLimit;
  private readonly restingSinceMs = new WeakMap<Socket, number>();
  private readonly watched = new WeakSet<Socket>();
  /** How long each connection may rest, as its back end granted last. */
  private readonly grantedMs = new WeakMap<Socket, number>();
  /** How long a connection that is in use again had rested. */
  private readonly lastRestMs = new WeakMap<Socket, number>();

  constructor(limits: RestingConnectionLimits, onOpened: (reason: ConnectionReason) => void) {
    super({
      keepAlive: true,
      maxFreeSockets: limits.maxIdlePerBackend,
      timeout: limits.idleMs,
      scheduling: 'lifo',
    });
    this.longestRestMs = limits.idleMs * IDLE_SHARE;
    this.causes = new ConnectionCauses(onOpened);
    this.restLimit = new RestLimit({ ...DEFAULT_REST_LIMIT_OPTIONS, maxMs: limits.idleMs });
  }

  /** The back end said how long the connection may rest after the answer that begins. */
  noteGranted(socket: Socket, restMs: number): void {
    this.grantedMs.set(socket, restMs);
  }

  /** A request on a connection that was used again got no answer but a reset. */
  noteForgotten(socket: Socket): void {
    const restedMs = this.lastRestMs.get(socket);
    if (restedMs === undefined || restedMs < MIN_FORGOTTEN_REST_MS) {
      return;
    }
    const nowMs = performance.now();
    this.restLimit.noteForgotten(restedMs, nowMs);
    const limitMs = this.restLimit.current(nowMs);
    for (const resting of Object.values(this.freeSockets).flat()) {
      const sinceMs = resting === undefined ? undefined : this.restingSinceMs.get(resting);
      if (sinceMs !== undefined && nowMs - sinceMs > limitMs) {
        resting!.destroy();
      }
    }
  }

  /** Ends the resting connections to one address. */
  endResting({ host, port }: HostAndPort): void {
    for (const resting of this.freeSockets[this.getName({ host, port })] ?? []) {
      resting.destroy();
    }
  }

  override keepSocketAlive(stream: Duplex): boolean {
    const socket = stream as Socket;
    const restMs = this.grantedMs.get(socket) ?? Infinity;
    if (restMs <= 0 || socket.readableLength > 0) {
      return false;
    }
    // The base class keeps no connection for which a whole second is granted; its answer is left aside.
    super.keepSocketAlive(stream);
    const nowMs = performance.now();
    socket.setTimeout(Math.min(restMs, this.longestRestMs, this.restLimit.current(nowMs)));
    socket.on('data', destroySocket);
    this.watchResting(socket);
    this.restingSinceMs.set(socket, nowMs);
    return true;
  }

  /** Learns why the connection ends, if it does while it rests. */
  private watchResting(socket: Socket): void {
    if (this.watched.has(socket)) {
      return;
    }
    this.watched.add(socket);
    socket.on('timeout', () => this.causes.noteEnding(socket, 'rest-over'));
    socket.on('end', () => this.causes.noteEnding(socket, 'closed-by-back-end'));
  }

  override reuseSocket(stream: Duplex, request: ClientRequest): void {
    stream.removeListener('data', destroySocket);
    const sinceMs = this.restingSinceMs.get(stream as Socket);
    if (sinceMs !== undefined) {
      this.lastRestMs.set(stream as Socket, performance.now() - sinceMs);
    }
    super.reuseSocket(stream, request);
  }
}

function destroySocket(this: Socket): void {
  this.destroy();
}
