/** A back end of the soak: answers by rule, notes each run, and fails now and then. */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { RandomSource } from '../../src/random.js';
import type { SoakStatement, StatementRecord } from './soak-statements.js';

/** One run of a request. */
export interface BackendRun {
  readonly requestId: string;
  readonly backendId: string;
  readonly path: string;
  readonly tenant: string | undefined;
  readonly atMs: number;
  /** Whether the back end is cold, and its link passes on what is sent without delay. */
  readonly countsAsColdStart: boolean;
}

/** Shares of requests that a back end treats badly. */
export interface BackendFaults {
  /** Refused as not executed. */
  refuses: number;
  /** Run, and the connection reset before the answer. */
  loses: number;
  /** Run, and the answer broken off. */
  breaks: number;
}

const WORK_MS = 20;
const EVENTS = 8;
const EVENT_MS = 15;

/** The whole answer to a request, wherever it runs. */
export function expectedAnswer(requestId: string, isStream: boolean): string {
  return isStream
    ? Array.from({ length: EVENTS }, (_none, index) => eventOf(requestId, index + 1)).join('')
    : `answer to ${requestId}`;
}

function eventOf(requestId: string, number: number): string {
  return `id: ${number}\ndata: ${requestId} ${number}\n\n`;
}

/** A back end of the soak. */
export class SoakBackend {
  readonly faults: BackendFaults = { refuses: 0, loses: 0, breaks: 0 };
  private readonly server: Server;
  /** Until when it is cold, in milliseconds. */
  coldUntilMs = 0;
  /** Start of its present life, as it announces it, in Unix milliseconds. */
  bornAtMs = Date.now();
  /** What its answers say of itself. */
  statement: SoakStatement | undefined;
  /** What each life said and received, by its name and start. */
  readonly statementRecords = new Map<string, StatementRecord>();
  private running = 0;

  constructor(
    public id: string,
    private readonly random: RandomSource,
    private readonly onRun: (run: BackendRun) => void,
    private readonly isLinkWell: () => boolean,
  ) {
    this.server = createServer((request, response) => this.receive(request, response));
    this.server.keepAliveTimeout = 10_000;
  }

  /** Listens; returns once it does. */
  async start(host: string, port: number): Promise<void> {
    await new Promise<void>((resolve) => this.server.listen(port, host, resolve));
  }

  stop(): void {
    this.server.closeAllConnections();
    this.server.close();
  }

  private receive(request: IncomingMessage, response: ServerResponse): void {
    if (request.url === '/-/report') {
      response.end(JSON.stringify({ waiting: 0, running: this.running, born: this.bornAtMs }));
      return;
    }
    request.resume();
    request.on('end', () => this.answer(request, response));
  }

  private answer(request: IncomingMessage, response: ServerResponse): void {
    const requestId = String(request.headers['x-weirvale-attempt-id']);
    response.setHeader('X-Weirvale-Attempt-Id', requestId);
    if (request.headers['x-weirvale-expect-instance'] !== this.id) {
      response.writeHead(421);
      response.end();
      return;
    }
    this.statementRecord.arrivals.push({ requestId, atMs: performance.now() });
    if (this.makeStatement(response, requestId)) {
      return;
    }
    if (this.random.next() < this.faults.refuses) {
      response.writeHead(503, { 'X-Weirvale-Not-Executed': '1' });
      response.end();
      return;
    }
    this.run(request, response, requestId);
  }

  private get statementRecord(): StatementRecord {
    const life = `${this.id}@${this.bornAtMs}`;
    const known = this.statementRecords.get(life) ?? { arrivals: [], told: [] };
    this.statementRecords.set(life, known);
    return known;
  }

  /** Makes its statement in the answer, and says whether that is the whole answer. */
  private makeStatement(response: ServerResponse, requestId: string): boolean {
    const { statement, statementRecord } = this;
    if (statement === undefined) {
      return false;
    }
    const note = () => statementRecord.told.push({ requestId, atMs: performance.now(), statement });
    if (statement.kind === 'rest') {
      const leftMs = Math.max(1, statement.untilMs - performance.now());
      note();
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
    response.on('finish', note);
    return false;
  }

  private run(request: IncomingMessage, response: ServerResponse, requestId: string): void {
    const tenant = request.headers['x-weirvale-tenant'];
    this.onRun({
      requestId,
      backendId: this.id,
      path: request.url ?? '',
      tenant: Array.isArray(tenant) ? tenant[0] : tenant,
      atMs: performance.now(),
      countsAsColdStart: performance.now() < this.coldUntilMs && this.isLinkWell(),
    });
    this.running += 1;
    response.on('close', () => (this.running -= 1));
    if (this.random.next() < this.faults.loses) {
      request.socket.resetAndDestroy();
      return;
    }
    const isStream = (request.url ?? '').startsWith('/stream/');
    const breaksOff = this.random.next() < this.faults.breaks;
    if (isStream) {
      const from = Number(request.headers['last-event-id'] ?? 0);
      response.writeHead(200, { 'Content-Type': 'text/event-stream' });
      this.stream(response, requestId, from + 1, breaksOff);
      return;
    }
    setTimeout(() => {
      const body = expectedAnswer(requestId, false);
      response.writeHead(200, { 'Content-Length': body.length });
      if (breaksOff) {
        response.write(body.slice(0, 5), () => request.socket.resetAndDestroy());
      } else {
        response.end(body);
      }
    }, WORK_MS);
  }

  private stream(
    response: ServerResponse,
    requestId: string,
    number: number,
    breaksOff: boolean,
  ): void {
    if (response.destroyed) {
      return;
    }
    if (number > EVENTS) {
      response.end();
      return;
    }
    const event = eventOf(requestId, number);
    if (breaksOff && number === EVENTS / 2) {
      response.write(event.slice(0, 6), () => response.socket?.resetAndDestroy());
      return;
    }
    response.write(event);
    setTimeout(() => this.stream(response, requestId, number + 1, breaksOff), EVENT_MS);
  }
}
