/** A simulated backend for soak tests, with random faults, that records each execution. */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { randomInteger } from '../../src/random.js';
import type { RandomSource } from '../../src/random.js';
import { flipBits } from './soak-malformed.js';
import type { SoakStatement, StatementLog } from './soak-statements.js';

/** One execution of a request at a backend. */
export interface Execution {
  readonly requestId: string;
  readonly backendId: string;
  readonly path: string;
  readonly tenant: string | undefined;
  readonly atMs: number;
  /** Whether the backend is cold and its link forwards without delay. */
  readonly countsAsColdStart: boolean;
  /** Software version of the process that executes it. */
  readonly version: string;
  /** Time at which its response was completed or closed, in milliseconds; Infinity before. */
  closedAtMs: number;
  /** Time at which the backend lost, broke off or spoilt the response; Infinity if it did not. */
  brokenAtMs: number;
}

/** Probabilities, 0 to 1, of the faults of a backend. */
export interface BackendFaults {
  /** Refuses the request as not executed. */
  refuses: number;
  /** Executes the request and resets the connection before the response. */
  loses: number;
  /** Executes the request and resets the connection in the middle of the response. */
  breaks: number;
  /** Executes the request, responds with some bits flipped and closes the connection. */
  spoils: number;
  /** Sends a response that names no request some time after a whole response. */
  surplus: number;
}

/** Longest time between a response and the surplus bytes after it, in milliseconds. */
const MAX_SURPLUS_DELAY_MS = 60;
/** Time in which the gateway may read a spoilt response, in milliseconds. */
const SPOILT_CLOSE_MS = 20;
const SURPLUS_RESPONSES = [
  'HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n',
  'HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nforeign',
];

const SERVICE_MS = 20;
/** Number of events of a stream. */
export const STREAM_EVENTS = 8;
/** Time between two events, by the first part of the path, in milliseconds. */
const EVENT_INTERVALS_MS: Readonly<Record<string, number>> = { stream: 15, long: 120 };

/** Returns the complete response body of a request without events, the same at every backend. */
export function expectedResponse(requestId: string): string {
  return `answer to ${requestId}`;
}

/** One run of a stream at a backend. */
interface StreamRun {
  readonly stream: string;
  readonly execution: Execution;
  readonly eventIntervalMs: number;
  /** Whether the connection is reset in the middle of the response. */
  readonly isCut: boolean;
}

/** A simulated backend. */
export class SoakBackend {
  readonly faults: BackendFaults = { refuses: 0, loses: 0, breaks: 0, spoils: 0, surplus: 0 };
  /** Requests whose responses were spoilt; their bodies may differ. */
  readonly spoiltRequests = new Set<string>();
  /** Executions that are being answered, by connection. */
  private readonly activeExecutions = new Map<Socket, Execution>();
  private readonly server: Server;
  /** End of its cold period, by `performance.now()`, in milliseconds. */
  coldUntilMs = 0;
  /** Start time of its current incarnation, as announced, in Unix milliseconds. */
  bornAtMs = Date.now();
  /** Version of its software, which its events name. */
  version = 'v1';
  /** The statement that its responses carry, if any. */
  statement: SoakStatement | undefined;
  /** Statements and arrivals of each incarnation, by name and start time. */
  readonly statementLogs = new Map<string, StatementLog>();
  private runningCount = 0;
  private readonly sockets = new Set<Socket>();
  private silentUntilMs = 0;
  /** Times in which it was silent, by `performance.now()`, in milliseconds. */
  readonly silences: Array<{ readonly fromMs: number; readonly untilMs: number }> = [];

  constructor(
    public id: string,
    private readonly random: RandomSource,
    private readonly onExecution: (execution: Execution) => void,
    private readonly isLinkHealthy: () => boolean,
  ) {
    this.server = createServer((request, response) => this.receive(request, response));
    this.server.keepAliveTimeout = 10_000;
    this.server.on('connection', (socket) => {
      this.sockets.add(socket);
      socket.on('close', () => this.sockets.delete(socket));
      if (performance.now() < this.silentUntilMs) {
        this.holdOutput(socket, this.silentUntilMs - performance.now());
      }
    });
  }

  /** Starts to listen; resolves once the port is bound. */
  async start(host: string, port: number): Promise<void> {
    await new Promise<void>((resolve) => this.server.listen(port, host, resolve));
  }

  /** Sends nothing for `durationMs`, then all that it held back. */
  fallSilent(durationMs: number): void {
    const fromMs = performance.now();
    this.silences.push({ fromMs, untilMs: fromMs + durationMs });
    this.silentUntilMs = Math.max(this.silentUntilMs, fromMs + durationMs);
    this.sockets.forEach((socket) => this.holdOutput(socket, durationMs));
  }

  private holdOutput(socket: Socket, durationMs: number): void {
    socket.cork();
    setTimeout(() => socket.uncork(), durationMs).unref();
  }

  stop(): void {
    this.server.closeAllConnections();
    this.server.close();
  }

  private receive(request: IncomingMessage, response: ServerResponse): void {
    if (request.url === '/-/report') {
      response.end(JSON.stringify({ waiting: 0, running: this.runningCount, born: this.bornAtMs }));
      return;
    }
    request.resume();
    request.on('end', () => this.handleRequest(request, response));
  }

  private handleRequest(request: IncomingMessage, response: ServerResponse): void {
    const requestId = String(request.headers['x-weirvale-attempt-id']);
    response.setHeader('X-Weirvale-Attempt-Id', requestId);
    if (request.headers['x-weirvale-expect-instance'] !== this.id) {
      response.writeHead(421);
      response.end();
      return;
    }
    this.statementLog.arrivals.push({ requestId, atMs: performance.now() });
    if (this.sendStatement(response, requestId)) {
      return;
    }
    if (this.random.next() < this.faults.refuses) {
      response.writeHead(503, { 'X-Weirvale-Not-Executed': '1' });
      response.end();
      return;
    }
    this.execute(request, response, requestId);
  }

  private get statementLog(): StatementLog {
    const incarnation = `${this.id}@${this.bornAtMs}`;
    const log = this.statementLogs.get(incarnation) ?? { arrivals: [], statements: [] };
    this.statementLogs.set(incarnation, log);
    return log;
  }

  /** Adds its statement to the response; returns whether this completed the response. */
  private sendStatement(response: ServerResponse, requestId: string): boolean {
    const { statement, statementLog } = this;
    if (statement === undefined) {
      return false;
    }
    const record = () =>
      statementLog.statements.push({
        requestId,
        // A silent backend sends it later.
        atMs: Math.max(performance.now(), this.silentUntilMs),
        statement,
      });
    if (statement.kind === 'rest') {
      const leftMs = Math.max(1, statement.untilMs - performance.now());
      record();
      response.writeHead(503, {
        'X-Weirvale-Not-Executed': '1',
        'Retry-After': (leftMs / 1_000).toFixed(3),
      });
      response.end();
      return true;
    }
    if (statement.kind === 'limit') {
      response.setHeader('Server-Limit', `${statement.perS}`);
    } else {
      response.setHeader('Server-Leaving', '1');
    }
    response.on('finish', record);
    return false;
  }

  private execute(request: IncomingMessage, response: ServerResponse, requestId: string): void {
    const tenant = request.headers['x-weirvale-tenant'];
    const execution: Execution = {
      requestId,
      backendId: this.id,
      path: request.url ?? '',
      tenant: Array.isArray(tenant) ? tenant[0] : tenant,
      atMs: performance.now(),
      countsAsColdStart: performance.now() < this.coldUntilMs && this.isLinkHealthy(),
      version: this.version,
      closedAtMs: Infinity,
      brokenAtMs: Infinity,
    };
    this.onExecution(execution);
    this.runningCount += 1;
    this.activeExecutions.set(request.socket, execution);
    response.on('close', () => {
      this.runningCount -= 1;
      execution.closedAtMs = performance.now();
      if (this.activeExecutions.get(request.socket) === execution) {
        this.activeExecutions.delete(request.socket);
      }
    });
    if (this.random.next() < this.faults.loses) {
      markBroken(execution);
      request.socket.resetAndDestroy();
      return;
    }
    const [, routeName = '', stream = ''] = execution.path.split('/');
    const eventIntervalMs = EVENT_INTERVALS_MS[routeName];
    if (this.faults.spoils > 0 && this.random.next() < this.faults.spoils) {
      this.sendSpoilt(request.socket, execution, eventIntervalMs !== undefined);
      return;
    }
    if (this.faults.surplus > 0 && this.random.next() < this.faults.surplus) {
      response.on('finish', () => this.sendSurplus(request.socket));
    }
    const isCut = this.random.next() < this.faults.breaks;
    if (eventIntervalMs !== undefined) {
      const from = Number(request.headers['last-event-id'] ?? 0);
      response.writeHead(200, { 'Content-Type': 'text/event-stream' });
      // A process that replaces this one has no connections of it.
      this.stream(response, { stream, execution, eventIntervalMs, isCut }, from + 1);
      return;
    }
    setTimeout(() => {
      const body = expectedResponse(requestId);
      response.writeHead(200, { 'Content-Length': body.length });
      if (isCut) {
        markBroken(execution);
        response.write(body.slice(0, 5), () => request.socket.resetAndDestroy());
      } else {
        response.end(body);
      }
    }, SERVICE_MS);
  }

  /** Of a stream only the head is sent: spoilt events would reach the caller as they are. */
  private sendSpoilt(socket: Socket, execution: Execution, isStream: boolean): void {
    const { requestId } = execution;
    this.spoiltRequests.add(requestId);
    markBroken(execution);
    const body = expectedResponse(requestId);
    const framing = isStream
      ? 'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n'
      : `Content-Length: ${body.length}\r\n\r\n${body}`;
    const head = `HTTP/1.1 200 OK\r\nX-Weirvale-Attempt-Id: ${requestId}\r\n`;
    socket.write(flipBits(Buffer.from(head + framing), this.random));
    setTimeout(() => socket.destroy(), SPOILT_CLOSE_MS);
  }

  private sendSurplus(socket: Socket): void {
    const text = SURPLUS_RESPONSES[randomInteger(this.random, 0, SURPLUS_RESPONSES.length - 1)]!;
    const delayMs = randomInteger(this.random, 0, MAX_SURPLUS_DELAY_MS);
    const send = () => {
      const execution = this.activeExecutions.get(socket);
      if (execution !== undefined) {
        markBroken(execution);
      }
      socket.write(text);
    };
    setTimeout(() => socket.destroyed || send(), delayMs).unref();
  }

  private stream(response: ServerResponse, run: StreamRun, number: number): void {
    if (response.destroyed) {
      return;
    }
    if (number > STREAM_EVENTS) {
      response.end();
      return;
    }
    const event = `id: ${number}\ndata: ${run.stream} ${run.execution.version}\n\n`;
    if (run.isCut && number === STREAM_EVENTS / 2) {
      markBroken(run.execution);
      response.write(event.slice(0, 6), () => response.socket?.resetAndDestroy());
      return;
    }
    response.write(event);
    setTimeout(() => this.stream(response, run, number + 1), run.eventIntervalMs);
  }
}

function markBroken(execution: Execution): void {
  execution.brokenAtMs = Math.min(execution.brokenAtMs, performance.now());
}
