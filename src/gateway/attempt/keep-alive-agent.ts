/** HTTP agent that manages idle keep-alive connections to backends. */
import type { ClientRequest } from 'node:http';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import type { HostAndPort } from '../../address.js';
import { SurplusGuardAgent } from '../../http/surplus-guard-agent.js';
import { ConnectionReasonTracker } from './connection-reasons.js';
import type { ConnectionOpenReason } from './connection-reasons.js';
import {
  DEFAULT_ADAPTIVE_IDLE_TIMEOUT_OPTIONS,
  AdaptiveIdleTimeout,
} from './adaptive-idle-timeout.js';

/** Limits of idle connections. */
export interface IdleConnectionLimits {
  /**
   * Limit from which the maximum idle time of a connection is derived, in milliseconds; a shorter
   * timeout that its backend advertises is used instead.
   */
  readonly idleMs: number;
  /** Maximum idle connections to one backend. */
  readonly maxIdlePerBackend: number;
}

/**
 * Share of `idleMs` that is used as the maximum idle time, so that a backend that advertises no
 * timeout does not close first.
 */
const IDLE_TIMEOUT_SHARE = 0.6;
/** Minimum idle time after which a reset counts as a sign of stale connections, in milliseconds. */
const MIN_STALE_IDLE_MS = 150;

/** Reuses idle connections for as long as their backends keep them open. */
export class KeepAliveAgent extends SurplusGuardAgent {
  readonly connectionReasons: ConnectionReasonTracker;
  private readonly maxIdleMs: number;
  private readonly adaptiveTimeout: AdaptiveIdleTimeout;
  private readonly idleSinceMs = new WeakMap<Socket, number>();
  private readonly observedSockets = new WeakSet<Socket>();
  /** Idle timeout of each connection, as last advertised by its backend. */
  private readonly advertisedTimeoutMs = new WeakMap<Socket, number>();
  /** How long each reused connection had been idle. */
  private readonly lastIdleMs = new WeakMap<Socket, number>();

  constructor(
    limits: IdleConnectionLimits,
    onOpened: (reason: ConnectionOpenReason) => void,
    /** Called with the address of a backend that sent data on an idle connection. */
    private readonly onSurplusFrom: (address: string) => void = () => undefined,
  ) {
    super({
      keepAlive: true,
      maxFreeSockets: limits.maxIdlePerBackend,
      timeout: limits.idleMs,
      scheduling: 'lifo',
    });
    this.maxIdleMs = limits.idleMs * IDLE_TIMEOUT_SHARE;
    this.connectionReasons = new ConnectionReasonTracker(onOpened);
    this.adaptiveTimeout = new AdaptiveIdleTimeout({
      ...DEFAULT_ADAPTIVE_IDLE_TIMEOUT_OPTIONS,
      maxMs: limits.idleMs,
    });
  }

  /** Sets the idle timeout that the backend advertised in the head of the current response. */
  setAdvertisedTimeout(socket: Socket, timeoutMs: number): void {
    this.advertisedTimeoutMs.set(socket, timeoutMs);
  }

  /**
   * Handles the reset of a reused connection before any response: lowers the idle timeout and
   * closes the connections that have been idle for longer.
   */
  recordStaleReset(socket: Socket): void {
    const idleMs = this.lastIdleMs.get(socket);
    if (idleMs === undefined || idleMs < MIN_STALE_IDLE_MS) {
      return;
    }
    const nowMs = performance.now();
    this.adaptiveTimeout.recordStaleReset(idleMs, nowMs);
    const limitMs = this.adaptiveTimeout.current(nowMs);
    for (const idleSocket of Object.values(this.freeSockets).flat()) {
      const idleSinceMs = idleSocket === undefined ? undefined : this.idleSinceMs.get(idleSocket);
      if (idleSinceMs !== undefined && nowMs - idleSinceMs > limitMs) {
        idleSocket!.destroy();
      }
    }
  }

  /** Closes the idle connections to one address. */
  closeIdleConnections({ host, port }: HostAndPort): void {
    for (const idleSocket of this.freeSockets[this.getName({ host, port })] ?? []) {
      idleSocket.destroy();
    }
  }

  override keepSocketAlive(stream: Duplex): boolean {
    const socket = stream as Socket;
    const timeoutMs = this.advertisedTimeoutMs.get(socket) ?? Infinity;
    if (timeoutMs <= 0) {
      return false;
    }
    const hasSurplus = socket.readableLength > 0;
    // Otherwise the result is ignored: Node rejects connections with an advertised timeout of one
    // second.
    super.keepSocketAlive(stream);
    if (hasSurplus) {
      return false;
    }
    const nowMs = performance.now();
    socket.setTimeout(Math.min(timeoutMs, this.maxIdleMs, this.adaptiveTimeout.current(nowMs)));
    this.observeIdleClose(socket);
    this.idleSinceMs.set(socket, nowMs);
    return true;
  }

  /** Records the reason if the connection closes while idle. */
  private observeIdleClose(socket: Socket): void {
    if (this.observedSockets.has(socket)) {
      return;
    }
    this.observedSockets.add(socket);
    socket.on('timeout', () => this.connectionReasons.setCloseReason(socket, 'rest-over'));
    socket.on('end', () => this.connectionReasons.setCloseReason(socket, 'closed-by-back-end'));
  }

  override reuseSocket(stream: Duplex, request: ClientRequest): void {
    const idleSinceMs = this.idleSinceMs.get(stream as Socket);
    if (idleSinceMs !== undefined) {
      this.lastIdleMs.set(stream as Socket, performance.now() - idleSinceMs);
    }
    super.reuseSocket(stream, request);
  }

  protected override onSurplus({ remoteAddress, remotePort }: Socket): void {
    this.onSurplusFrom(`${remoteAddress}:${remotePort}`);
  }
}
