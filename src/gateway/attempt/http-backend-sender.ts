/** Sends requests to back ends over HTTP and keeps their connections. */
import { Agent, request as httpRequest } from 'node:http';
import type { ClientRequest, IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import type {
  AttemptFailure,
  AttemptHandle,
  AttemptHandlers,
  BackendSender,
  OutgoingAttempt,
} from './attempt.js';
import { DEFAULT_REST_LIMIT_OPTIONS, RestLimit } from './rest-limit.js';

/** Limits of the connections to back ends. */
export interface BackendSenderOptions {
  /** Longest time for a connection to come up, in milliseconds. Default 200. */
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

/** Share of the rest that a back end grants which is used, so that it does not close first. */
const IDLE_SHARE = 0.6;
/** Longest time from a send to the reset by which a forgotten connection shows, in milliseconds. */
const FORGOTTEN_RESET_MS = 25;
/** Shortest rest after which a reset says that connections are forgotten, in milliseconds. */
const MIN_FORGOTTEN_REST_MS = 150;

/**
 * Keeps resting connections, but none on which anything arrives while no
 * request is under way: such bytes belong to no request.
 */
class GuardedAgent extends Agent {
  private readonly restLimit: RestLimit;
  private readonly restingSinceMs = new WeakMap<Socket, number>();
  /** How long a connection that is in use again had rested. */
  private readonly lastRestMs = new WeakMap<Socket, number>();

  constructor(limits: BackendSenderOptions) {
    super({
      keepAlive: true,
      maxFreeSockets: limits.maxIdlePerBackend,
      timeout: limits.idleMs,
      scheduling: 'lifo',
    });
    this.restLimit = new RestLimit({ ...DEFAULT_REST_LIMIT_OPTIONS, maxMs: limits.idleMs });
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

  override keepSocketAlive(stream: Duplex): boolean {
    const socket = stream as Socket;
    // The typings leave out that the base class answers whether the socket may be kept.
    const isKept = (super.keepSocketAlive as (kept: Duplex) => unknown)(stream) !== false;
    if (!isKept || socket.readableLength > 0) {
      return false;
    }
    const grantedMs =
      socket.timeout === undefined || socket.timeout === 0 ? Infinity : socket.timeout;
    const nowMs = performance.now();
    socket.setTimeout(Math.min(grantedMs * IDLE_SHARE, this.restLimit.current(nowMs)));
    socket.on('data', destroySocket);
    this.restingSinceMs.set(socket, nowMs);
    return true;
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

/** Sends requests to back ends over HTTP. */
export class HttpBackendSender implements BackendSender {
  private readonly agent: GuardedAgent;

  constructor(private readonly options = DEFAULT_BACKEND_SENDER_OPTIONS) {
    this.agent = new GuardedAgent(options);
  }

  /** Closes resting connections. */
  close(): void {
    this.agent.destroy();
  }

  send(attempt: OutgoingAttempt, handlers: AttemptHandlers): AttemptHandle {
    return new HttpAttempt(attempt, handlers, this.agent, this.options.connectTimeoutMs);
  }
}

/** One request under way. */
class HttpAttempt implements AttemptHandle {
  private readonly request: ClientRequest;
  private response: IncomingMessage | undefined;
  private readonly startedAtMs = performance.now();
  private isConnected = false;
  private isOver = false;
  private connectTimer: NodeJS.Timeout | undefined;

  constructor(
    attempt: OutgoingAttempt,
    private readonly handlers: AttemptHandlers,
    private readonly agent: GuardedAgent,
    connectTimeoutMs: number,
  ) {
    const { host, port } = splitAddress(attempt.backend.address);
    const { method, path, body } = attempt;
    const headers = withLength(attempt.headers, method, body);
    this.request = httpRequest({ host, port, method, path, headers, agent, setHost: false });
    this.request.on('socket', (socket) => this.onSocket(socket, connectTimeoutMs));
    this.request.on('response', (response) => this.onResponse(response));
    this.request.on('error', (error) => this.fail(error.message));
    this.request.end(body.length > 0 ? body : undefined);
  }

  cancel(): void {
    this.isOver = true;
    clearTimeout(this.connectTimer);
    this.request.destroy();
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
    this.connectTimer = setTimeout(() => this.endLateConnection(socket), connectTimeoutMs);
    socket.once('connect', () => {
      this.isConnected = true;
      clearTimeout(this.connectTimer);
    });
  }

  /**
   * After a busy turn of the loop timers run before connections that came up in
   * it are seen; those are given the rest of the turn.
   */
  private endLateConnection(socket: Socket): void {
    setImmediate(() => {
      if (socket.connecting) {
        this.request.destroy();
      }
    });
  }

  private onResponse(response: IncomingMessage): void {
    this.response = response;
    const { socket, headers } = response;
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
    if (!this.request.writableFinished) {
      // The back end answered before it had read the whole body: its connection is of no more use.
      this.request.destroy();
    }
    this.handlers.onEnd();
  }

  /** A reset right after the send shows that the connection was gone before; later ones show a failed run. */
  private noteIfForgotten(): void {
    const { request, response, startedAtMs } = this;
    const isAtOnce = performance.now() - startedAtMs <= FORGOTTEN_RESET_MS;
    if (isAtOnce && request.reusedSocket && response === undefined && request.socket !== null) {
      this.agent.noteForgotten(request.socket);
    }
  }

  private fail(detail: string): void {
    if (this.isOver) {
      return;
    }
    this.isOver = true;
    clearTimeout(this.connectTimer);
    this.noteIfForgotten();
    this.request.destroy();
    const failure: AttemptFailure = { mayHaveRun: this.isConnected, detail };
    this.handlers.onFailure(failure);
  }
}

/** Splits `IP:PORT`. */
export function splitAddress(address: string): { host: string; port: number } {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}

/** The body is sent whole, so its length is known whatever the caller's framing was. */
function withLength(headers: readonly string[], method: string, body: Buffer): string[] {
  const kept: string[] = [];
  for (let index = 0; index + 1 < headers.length; index += 2) {
    if (headers[index]!.toLowerCase() !== 'content-length') {
      kept.push(headers[index]!, headers[index + 1]!);
    }
  }
  const isBodyless = body.length === 0 && (method === 'GET' || method === 'HEAD');
  return isBodyless ? kept : [...kept, 'Content-Length', `${body.length}`];
}
