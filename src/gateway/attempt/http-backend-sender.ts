/** Sends requests to backends over HTTP with pooled keep-alive connections. */
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
import { AfterPollQueue } from '../../after-poll-queue.js';
import type { HostAndPort } from '../../address.js';
import { sleep, SYSTEM_CLOCK } from '../../clock.js';
import type { TimerHandle } from '../../clock.js';
import { ResponsePieceLimiter } from '../../http/response-piece-limiter.js';
import type { TooManyPiecesError } from '../../http/response-piece-limiter.js';
import type { Backend } from '../../routing/backend.js';
import type { IdentifiedProcess } from '../processes/process-identifier.js';
import type { ConnectionCloseReason, ConnectionOpenReason } from './connection-reasons.js';
import { withContentLength } from './content-length.js';
import { keepAliveTimeoutMs } from './keep-alive-timeout.js';
import { KeepAliveAgent } from './keep-alive-agent.js';
import { parseResponseHead } from './parse-response-head.js';
import { SurplusSenders } from './surplus-senders.js';

/** Limits of the connections to backends. */
export interface BackendSenderOptions {
  /** Connect timeout in addition to the round-trip time, in milliseconds. Default 200. */
  readonly connectTimeoutMs: number;
  /**
   * Limit from which the maximum idle time of a connection is derived, in milliseconds; a shorter
   * timeout that its backend advertises is used instead. Default 20,000.
   */
  readonly idleMs: number;
  /** Maximum idle connections to one backend. Default 32. */
  readonly maxIdlePerBackend: number;
}

/** Default limits of the connections to backends. */
export const DEFAULT_BACKEND_SENDER_OPTIONS: BackendSenderOptions = {
  connectTimeoutMs: 200,
  idleMs: 20_000,
  maxIdlePerBackend: 32,
};

/**
 * Maximum time from a send to a reset that indicates a stale connection, beyond the round trip, in
 * milliseconds.
 */
const STALE_RESET_MS = 25;

/**
 * Time without a response after which a cancelled request on a reused connection indicates a dead
 * connection, in milliseconds. Callers that disconnect early wait for less, all others for longer.
 */
const SILENT_CONNECTION_MS = 500;

/**
 * Time for which a process that is not identified is asked again, and the pause before each query,
 * in milliseconds. A sound process may stand still for a second or so.
 */
const MAX_IDENTIFICATION_MS = 1_500;
const IDENTIFICATION_PAUSE_MS = 100;

/** System errors that report an unreachable backend. */
const UNREACHABLE_ERROR_CODES: ReadonlySet<string> = new Set([
  'ETIMEDOUT',
  'EHOSTUNREACH',
  'ENETUNREACH',
]);

/**
 * Finds out which process listens at a backend's address, by a query that begins after the call;
 * never rejects.
 */
export type IdentifyProcess = (backend: Backend) => Promise<IdentifiedProcess | undefined>;

/** Sends requests to backends over HTTP. */
export class HttpBackendSender implements BackendSender {
  private readonly agent: KeepAliveAgent;
  private readonly surplusSenders = new SurplusSenders(SYSTEM_CLOCK);
  /** The process at the other end of each connection for which it is known. */
  private readonly processes = new WeakMap<Socket, IdentifiedProcess>();

  constructor(
    private readonly options = DEFAULT_BACKEND_SENDER_OPTIONS,
    /** Called when a connection is opened. */
    onConnection: (reason: ConnectionOpenReason) => void = () => undefined,
    /** Called when a backend begins to send bytes that belong to no request. */
    private readonly onSurplus: (address: string) => void = () => undefined,
    /** Called for each connection whose process an attempt needs and that is not known yet. */
    private readonly identify: IdentifyProcess = () => Promise.resolve(undefined),
    /** Requests are sent after a poll, which may show that their callers have left. */
    private readonly afterPolls = new AfterPollQueue(SYSTEM_CLOCK),
  ) {
    this.agent = new KeepAliveAgent(options, onConnection, (address) => this.noteSurplus(address));
  }

  /** Closes idle connections. */
  close(): void {
    this.agent.destroy();
  }

  /** Closes the idle connections to a backend that has ended. */
  endResting(address: string): void {
    this.agent.closeIdleConnections(splitAddress(address));
  }

  private noteSurplus(address: string): void {
    if (this.surplusSenders.note(address)) {
      this.onSurplus(address);
    }
    this.endResting(address);
  }

  /** Number of connections opened, by reason. */
  get connectionsOpened(): ReadonlyMap<ConnectionOpenReason, number> {
    return this.agent.connectionReasons.opened;
  }

  send(attempt: OutgoingAttempt, handlers: AttemptHandlers): AttemptHandle {
    const { address } = attempt.backend;
    const httpAttempt = new HttpAttempt(attempt, handlers, this.agent, {
      connectTimeoutMs: this.options.connectTimeoutMs,
      usesNewConnection: !attempt.isRepeatable && this.surplusSenders.has(address),
      onForeignResponse: () => this.noteSurplus(address),
      identifyProcess: (socket) => this.identifyProcess(attempt.backend, socket),
    });
    this.afterPolls.afterPoll(() => httpAttempt.begin());
    return httpAttempt;
  }

  /**
   * Returns the process at the other end of an established connection. A connection ends with its
   * process, so the result holds for as long as the connection is open; it is undefined if the
   * connection closes first.
   */
  private async identifyProcess(
    backend: Backend,
    socket: Socket,
  ): Promise<IdentifiedProcess | undefined> {
    const known = this.processes.get(socket);
    if (known !== undefined) {
      return known;
    }
    const process = await this.identify(backend);
    if (process === undefined || socket.destroyed) {
      return undefined;
    }
    this.processes.set(socket, process);
    return process;
  }
}

/** How an attempt uses connections. */
interface ConnectionUse {
  /** Connect timeout in addition to the round-trip time, in milliseconds. */
  readonly connectTimeoutMs: number;
  /** Whether the request is sent on a connection of its own. */
  readonly usesNewConnection: boolean;
  /** Called if the response does not belong to the request. */
  onForeignResponse(): void;
  /** Returns the process at the other end of an established connection, if it can be found out. */
  identifyProcess(socket: Socket): Promise<IdentifiedProcess | undefined>;
}

/** One HTTP request in progress. */
class HttpAttempt implements AttemptHandle {
  /** Undefined until the request is sent. */
  private request: ClientRequest | undefined;
  private response: IncomingMessage | undefined;
  /** When the request was sent or its connection began to be set up, in milliseconds. */
  private startedAtMs = performance.now();
  private isConnected = false;
  private hasTimedOut = false;
  private isOver = false;
  /** Whether the response is complete and the attempt was not cancelled since. */
  private isComplete = false;
  private connectTimer: TimerHandle | undefined;
  private readonly pieces = new ResponsePieceLimiter(() => performance.now());
  private readonly address: HostAndPort;
  private readonly roundTripMs: number;

  constructor(
    private readonly attempt: OutgoingAttempt,
    private readonly handlers: AttemptHandlers,
    private readonly agent: KeepAliveAgent,
    private readonly use: ConnectionUse,
  ) {
    this.address = splitAddress(attempt.backend.address);
    this.roundTripMs = attempt.roundTripMs ?? 0;
  }

  /** Sends the request unless it was cancelled. */
  begin(): void {
    if (this.isOver) {
      return;
    }
    this.startedAtMs = performance.now();
    const { address } = this;
    const { connectTimeoutMs, usesNewConnection } = this.use;
    const { method, path, body } = this.attempt;
    const agent = usesNewConnection ? false : this.agent;
    const headers = withContentLength(this.attempt.headers, method, body);
    const request = httpRequest({ ...address, method, path, headers, agent, setHost: false });
    request.on('socket', (socket) => this.onSocket(socket, connectTimeoutMs));
    request.on('response', (response) => this.onResponse(response));
    request.on('information', () => this.failIf(this.pieces.countInterim()));
    request.on('error', (error) => this.fail(error.message, error));
    request.on('upgrade', (_response, socket) => {
      socket.destroy();
      this.fail('the backend switched protocols');
    });
    request.on('close', () => this.fail('connection closed without a response'));
    request.end(body.length > 0 ? body : undefined);
    this.request = request;
  }

  discardForeignResponse(): void {
    this.cancel();
    this.use.onForeignResponse();
  }

  cancel(): void {
    this.isOver = true;
    this.isComplete = false;
    SYSTEM_CLOCK.clearTimeout(this.connectTimer);
    if (
      this.isReusedWithoutResponse &&
      performance.now() - this.startedAtMs > SILENT_CONNECTION_MS
    ) {
      this.agent.closeIdleConnections(this.address);
    }
    this.setCloseReason('broken-off');
    this.abortRequest();
  }

  /**
   * Resets the connection, so that sent data that has not arrived yet is discarded: after an
   * ordinary close the system would keep retransmitting it, even once a partitioned path recovers.
   * A response that has started shows that the whole request arrived, so no reset is needed.
   */
  private abortRequest(): void {
    const socket = this.request?.socket;
    const isAwaitingResponse =
      this.response === undefined && this.isConnected && socket?.destroyed === false;
    // With unsent data in this process the request is incomplete at the backend in any case.
    if (isAwaitingResponse && socket.writableLength === 0) {
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
      this.reportProcess(socket);
      return;
    }
    const { host, port } = this.address;
    this.agent.connectionReasons.recordOpened(`${host}:${port}`, socket);
    this.connectTimer = SYSTEM_CLOCK.setTimeout(
      () => this.abortLateConnection(socket),
      connectTimeoutMs + this.roundTripMs,
    );
    socket.once('connect', () => {
      this.isConnected = true;
      SYSTEM_CLOCK.clearTimeout(this.connectTimer);
      this.handlers.onConnected?.(performance.now() - this.startedAtMs);
      this.reportProcess(socket);
    });
  }

  private reportProcess(socket: Socket): void {
    if (this.attempt.needsProcess !== true) {
      return;
    }
    void this.identifyProcess(socket).then((process) => {
      if (this.needsProcess) {
        this.handlers.onProcess?.(process);
      }
    });
  }

  /** Whether the process at the other end of the connection still matters. */
  private get needsProcess(): boolean {
    return !this.isOver || this.isComplete;
  }

  /** A process that stands still does not answer, so it is asked again for a while. */
  private async identifyProcess(socket: Socket): Promise<IdentifiedProcess | undefined> {
    const askUntilMs = performance.now() + MAX_IDENTIFICATION_MS;
    const mayAskAgain = () =>
      this.needsProcess && !socket.destroyed && performance.now() < askUntilMs;
    let process = await this.use.identifyProcess(socket);
    while (process === undefined && mayAskAgain()) {
      await sleep(SYSTEM_CLOCK, IDENTIFICATION_PAUSE_MS);
      process = await this.use.identifyProcess(socket);
    }
    return process;
  }

  private abortLateConnection(socket: Socket): void {
    if (socket.connecting) {
      this.hasTimedOut = true;
      this.request?.destroy();
    }
  }

  private onResponse(response: IncomingMessage): void {
    this.response = response;
    const head = parseResponseHead(response);
    if (!head.ok) {
      this.fail(head.val.message);
      return;
    }
    const { socket, headers } = response;
    this.agent.setAdvertisedTimeout(socket, keepAliveTimeoutMs(headers['keep-alive']?.toString()));
    if (headers.connection?.toLowerCase() === 'close') {
      this.agent.connectionReasons.setCloseReason(socket, 'closed-by-back-end');
    }
    const isFramed = headers['content-length'] ?? headers['transfer-encoding'];
    if (isFramed === undefined) {
      socket.prependOnceListener('end', () => this.detectReset(socket));
    }
    response.on('data', (bytes: Buffer) => {
      if (!this.isOver) {
        this.failIf(this.pieces.countPiece(bytes.length));
      }
      if (!this.isOver) {
        this.handlers.onData(bytes);
      }
    });
    response.on('end', () => this.completeResponse(response));
    response.on('error', (error) => this.fail(error.message));
    response.on('close', () => this.fail('connection closed before the response was complete'));
    if (!this.isOver) {
      this.handlers.onHead(head.val);
    }
  }

  /**
   * Fails the attempt if the end of input is a reset. A reset that arrives together with the last
   * bytes is reported as an ordinary end of input, since libuv stops reading once poll reports a
   * hang-up. A reset connection has no remote address any more.
   */
  private detectReset(socket: Socket): void {
    if (socket.remoteAddress === undefined) {
      this.fail('connection reset before the response was complete');
    }
  }

  private completeResponse(response: IncomingMessage): void {
    if (this.isOver) {
      return;
    }
    if (!response.complete) {
      this.fail('incomplete response');
      return;
    }
    this.isOver = true;
    this.isComplete = true;
    if (this.request?.writableFinished === false) {
      // The backend responded before it had read the whole body: the connection cannot be reused.
      this.request.destroy();
    }
    this.handlers.onEnd();
  }

  private setCloseReason(reason: ConnectionCloseReason): void {
    const socket = this.request?.socket;
    if (socket) {
      this.agent.connectionReasons.setCloseReason(socket, reason);
    }
  }

  /** Whether the connection was reused and returned no response. */
  private get isReusedWithoutResponse(): boolean {
    return this.request?.reusedSocket === true && this.response === undefined;
  }

  /**
   * Closes the idle connections to the address if a reused connection returned no response. The
   * backend may have ended: a request sent on another idle connection could be lost too, with no
   * way to tell whether it was executed, while a new connection is refused before anything is sent.
   * A failure right after the send indicates a connection that was already stale; a later one
   * indicates a failed execution.
   */
  private closeIdleAfterNoResponse(): void {
    const { request, startedAtMs } = this;
    if (!this.isReusedWithoutResponse) {
      return;
    }
    this.agent.closeIdleConnections(this.address);
    const isStaleReset = performance.now() - startedAtMs <= STALE_RESET_MS + this.roundTripMs;
    if (isStaleReset && request?.socket) {
      this.agent.recordStaleReset(request.socket);
    }
  }

  private failIf(error: TooManyPiecesError | undefined): void {
    if (error !== undefined) {
      this.fail(error.message);
    }
  }

  private fail(detail: string, error?: NodeJS.ErrnoException): void {
    if (this.isOver) {
      return;
    }
    this.isOver = true;
    SYSTEM_CLOCK.clearTimeout(this.connectTimer);
    this.closeIdleAfterNoResponse();
    this.request?.destroy();
    const failure: AttemptFailure = {
      mayHaveRun: this.isConnected,
      isPortClosed: error?.code === 'ECONNREFUSED',
      isSilent: this.hasTimedOut || UNREACHABLE_ERROR_CODES.has(error?.code ?? ''),
      detail: this.hasTimedOut ? 'no connection in time' : detail,
    };
    this.handlers.onFailure(failure);
  }
}
