/** Sends requests to back ends over HTTP and keeps their connections. */
import { request as httpRequest } from 'node:http';
import type { ClientRequest, IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import type {
  AttemptFailure,
  AttemptHandle,
  AttemptHandlers,
  BackendSender,
  OutgoingAttempt,
} from './attempt.js';
import { splitAddress } from '../../address.js';
import type { HostAndPort } from '../../address.js';
import { SYSTEM_CLOCK } from '../../clock.js';
import type { ConnectionLoss, ConnectionReason } from './connection-causes.js';
import { withLength } from './body-length.js';
import { grantedRestMs } from './granted-rest.js';
import { GuardedAgent } from './guarded-agent.js';
import { StandstillWatch } from './standstill-watch.js';

/** Limits of the connections to back ends. */
export interface BackendSenderOptions {
  /** Longest time for a connection to come up beside the way there and back, in milliseconds. Default 200. */
  readonly connectTimeoutMs: number;
  /** Longest rest of a connection, in milliseconds, where the back end names none. Default 20,000. */
  readonly idleMs: number;
  /** Most resting connections to one back end. Default 32. */
  readonly maxIdlePerBackend: number;
}

/** Defaults of the connections to back ends. */
export const DEFAULT_BACKEND_SENDER_OPTIONS: BackendSenderOptions = {
  connectTimeoutMs: 200,
  idleMs: 20_000,
  maxIdlePerBackend: 32,
};

/** Longest time from a send to the reset by which a forgotten connection shows, beside the way, in milliseconds. */
const FORGOTTEN_RESET_MS = 25;

/**
 * Time without an answer from which on a connection that was used again may have fallen silent for good, in
 * milliseconds: longer than callers take that leave early, shorter than the patience of the others.
 */
const SILENT_MS = 500;

/** Errors by which the system says that nothing comes back on the way to the back end. */
const SILENCE_CODES: ReadonlySet<string> = new Set(['ETIMEDOUT', 'EHOSTUNREACH', 'ENETUNREACH']);

/** Sends requests to back ends over HTTP. */
export class HttpBackendSender implements BackendSender {
  private readonly agent: GuardedAgent;
  private readonly standstill = new StandstillWatch(SYSTEM_CLOCK);

  constructor(
    private readonly options = DEFAULT_BACKEND_SENDER_OPTIONS,
    /** A connection is opened. */
    onConnection: (reason: ConnectionReason) => void = () => undefined,
  ) {
    this.agent = new GuardedAgent(options, onConnection);
  }

  /** Closes resting connections. */
  close(): void {
    this.standstill.close();
    this.agent.destroy();
  }

  /** Ends the resting connections to a back end that is gone. */
  endResting(address: string): void {
    this.agent.endResting(splitAddress(address));
  }

  /** Connections that were opened, by reason. */
  get connectionsOpened(): ReadonlyMap<ConnectionReason, number> {
    return this.agent.causes.opened;
  }

  send(attempt: OutgoingAttempt, handlers: AttemptHandlers): AttemptHandle {
    const begun = new HttpAttempt(attempt, handlers, this.agent, this.options.connectTimeoutMs);
    this.standstill.whenCaughtUp(() => begun.begin());
    return begun;
  }
}

/** One request under way. */
class HttpAttempt implements AttemptHandle {
  /** Undefined until it is sent. */
  private request: ClientRequest | undefined;
  private response: IncomingMessage | undefined;
  private readonly startedAtMs = performance.now();
  private isConnected = false;
  private hasTimedOut = false;
  private isOver = false;
  private connectTimer: NodeJS.Timeout | undefined;
  private readonly address: HostAndPort;
  private readonly roundTripMs: number;

  constructor(
    private readonly attempt: OutgoingAttempt,
    private readonly handlers: AttemptHandlers,
    private readonly agent: GuardedAgent,
    private readonly connectTimeoutMs: number,
  ) {
    this.address = splitAddress(attempt.backend.address);
    this.roundTripMs = attempt.roundTripMs ?? 0;
  }

  /** Sends the request, unless it was cancelled before. */
  begin(): void {
    if (this.isOver) {
      return;
    }
    const { address, agent, connectTimeoutMs } = this;
    const { method, path, body } = this.attempt;
    const headers = withLength(this.attempt.headers, method, body);
    const request = httpRequest({ ...address, method, path, headers, agent, setHost: false });
    request.on('socket', (socket) => this.onSocket(socket, connectTimeoutMs));
    request.on('response', (response) => this.onResponse(response));
    request.on('error', (error) => this.fail(error.message, error));
    request.end(body.length > 0 ? body : undefined);
    this.request = request;
  }

  cancel(): void {
    this.isOver = true;
    clearTimeout(this.connectTimer);
    if (this.isUnanswered && performance.now() - this.startedAtMs > SILENT_MS) {
      this.agent.endResting(this.address);
    }
    this.noteEnding('broken-off');
    this.breakOff();
  }

  /**
   * What was sent and has not arrived yet must not arrive any more: the system would go on sending it after
   * an ordinary close, also once a path that was cut is back. An answer that has begun shows that all arrived.
   */
  private breakOff(): void {
    const socket = this.request?.socket;
    const isUnderWay =
      this.response === undefined && this.isConnected && socket?.destroyed === false;
    // A request of which this process itself still holds a part is not whole at the back end either way.
    if (isUnderWay && socket.writableLength === 0) {
      socket.on('error', () => undefined);
      socket.resetAndDestroy();
    } else {
      this.request?.destroy();
    }
  }

  withdraw(): boolean {
    if (this.isConnected || this.isOver) {
      return false;
    }
    this.cancel();
    return true;
  }

  pause(): void {
    this.response?.pause();
  }

  resume(): void {
    this.response?.resume();
  }

  private onSocket(socket: Socket, connectTimeoutMs: number): void {
    socket.setNoDelay(true);
    if (!socket.connecting) {
      this.isConnected = true;
      return;
    }
    const { host, port } = this.address;
    this.agent.causes.noteOpened(`${host}:${port}`, socket);
    this.connectTimer = setTimeout(
      () => this.endLateConnection(socket),
      connectTimeoutMs + this.roundTripMs,
    );
    socket.once('connect', () => {
      this.isConnected = true;
      clearTimeout(this.connectTimer);
      this.handlers.onConnected?.(performance.now() - this.startedAtMs);
    });
  }

  /**
   * After a busy turn of the loop timers run before connections that came up in
   * it are seen; those are given the rest of the turn.
   */
  private endLateConnection(socket: Socket): void {
    setImmediate(() => {
      if (socket.connecting) {
        this.hasTimedOut = true;
        this.request?.destroy();
      }
    });
  }

  private onResponse(response: IncomingMessage): void {
    this.response = response;
    const { socket, headers } = response;
    this.agent.noteGranted(socket, grantedRestMs(headers['keep-alive']?.toString()));
    if (headers.connection?.toLowerCase() === 'close') {
      this.agent.causes.noteEnding(socket, 'closed-by-back-end');
    }
    const isFramed = headers['content-length'] ?? headers['transfer-encoding'];
    if (isFramed === undefined) {
      socket.prependOnceListener('end', () => this.checkReset(socket));
    }
    response.on('data', (bytes: Buffer) => {
      if (!this.isOver) {
        this.handlers.onData(bytes);
      }
    });
    response.on('end', () => this.endAnswer(response));
    response.on('error', (error) => this.fail(error.message));
    response.on('close', () => this.fail('the connection closed inside the answer'));
    if (!this.isOver) {
      this.handlers.onHead({
        status: response.statusCode ?? 0,
        rawHeaders: response.rawHeaders,
        headers: response.headers,
      });
    }
  }

  /**
   * A reset that arrives together with the last bytes is reported as an
   * ordinary end of input (libuv reads no further once the poll says that the
   * peer hung up). The peer's name tells them apart: a reset connection has none.
   */
  private checkReset(socket: Socket): void {
    if (socket.remoteAddress === undefined) {
      this.fail('the connection was reset inside the answer');
    }
  }

  private endAnswer(response: IncomingMessage): void {
    if (this.isOver) {
      return;
    }
    if (!response.complete) {
      this.fail('the answer is not complete');
      return;
    }
    this.isOver = true;
    if (this.request?.writableFinished === false) {
      // The back end answered before it had read the whole body: its connection is of no more use.
      this.request.destroy();
    }
    this.handlers.onEnd();
  }

  private noteEnding(loss: ConnectionLoss): void {
    const socket = this.request?.socket;
    if (socket) {
      this.agent.causes.noteEnding(socket, loss);
    }
  }

  /** Whether nothing came back on a connection that was used again. */
  private get isUnanswered(): boolean {
    return this.request?.reusedSocket === true && this.response === undefined;
  }

  /**
   * A connection that was used again brought no answer. The back end may be gone: what is sent on another
   * resting connection could be lost too, and nobody could tell whether it ran, while a new connection is
   * refused before anything is sent. A failure right after the send shows that the connection was gone
   * before it; later ones show a failed run.
   */
  private noteUnanswered(): void {
    const { request, startedAtMs } = this;
    if (!this.isUnanswered) {
      return;
    }
    this.agent.endResting(this.address);
    const isAtOnce = performance.now() - startedAtMs <= FORGOTTEN_RESET_MS + this.roundTripMs;
    if (isAtOnce && request?.socket) {
      this.agent.noteForgotten(request.socket);
    }
  }

  private fail(detail: string, error?: NodeJS.ErrnoException): void {
    if (this.isOver) {
      return;
    }
    this.isOver = true;
    clearTimeout(this.connectTimer);
    this.noteUnanswered();
    this.request?.destroy();
    const failure: AttemptFailure = {
      mayHaveRun: this.isConnected,
      isPortClosed: error?.code === 'ECONNREFUSED',
      isSilent: this.hasTimedOut || SILENCE_CODES.has(error?.code ?? ''),
      detail: this.hasTimedOut ? 'no connection in time' : detail,
    };
    this.handlers.onFailure(failure);
  }
}
