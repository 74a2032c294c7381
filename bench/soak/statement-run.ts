/**
 * Runs gateway processes on loopback while some backends send statements in their responses (a
 * limit, draining, a backoff) or fail every request, and counts what those backends
 * receive.
 */
import { request as httpRequest, Agent } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';
import { SeededRandom } from '../../src/random.js';
import type { RandomSource } from '../../src/random.js';
import { FakeStore } from '../../test/support/fake-platform.js';
import { BackendServers } from './backend-servers.js';
import { GatewayProcesses } from './gateway-processes.js';
import { runAndStop } from './run-and-stop.js';

/** How faulty backends respond to requests. */
export type BackendFault =
  /** Serves requests and states a limit. */
  | 'limit'
  /** Serves requests and states that it is draining, which its announcement does not show. */
  | 'leaving'
  /** Refuses all requests at once with Retry-After. */
  | 'rest'
  /** Refuses all requests at once. */
  | 'shed'
  /** Responds to all requests at once with status 500. */
  | 'error'
  /** Resets the connection of every request at once. */
  | 'reset';

/** Options of a run. */
export interface StatementRunOptions {
  readonly fault: BackendFault;
  readonly gateways: number;
  /** Whether each backend is an engine with a slot agent. */
  readonly hasAgents: boolean;
  /** Number of faulty backends, out of `BACKEND_COUNT`. */
  readonly faultyCount: number;
  readonly limitPerS?: number;
  /** Requests per second from all callers. Default 100. */
  readonly requestsPerS?: number;
  /** Whether gateways are killed in turn, one every half second. */
  readonly killsGateways?: boolean;
  /** Time after which the backends recover, in milliseconds; undefined if they do not. */
  readonly recoverAfterMs?: number;
  readonly seed: number;
  /** Duration of the fault, in milliseconds. */
  readonly lengthMs: number;
  /** First port; each host uses several. */
  readonly basePort: number;
}

/** Results of a run. */
export interface StatementRunReport {
  /**
   * Peak requests in a window at a backend with a limit, from gateways that had received the
   * limit.
   */
  readonly limitWorst: number;
  readonly limitAllowed: number;
  /** Request rate at a backend once its limit is effective, as a fraction of the limit. */
  readonly limitUsed: number;
  /**
   * Requests that reached a draining backend and that callers sent too long after its statement had
   * reached their gateway.
   */
  readonly lateToLeaving: number;
  /** Peak requests from one gateway during a backoff that it had received. */
  readonly restWorst: number;
  /** Fraction of requests that were served during the fault. */
  readonly served: number;
  /** Requests per second at the faulty backends after their recovery. */
  readonly wellPerS: number;
  readonly folder: string;
}

/** Number of backends of a fleet. */
export const BACKEND_COUNT = 6;
const SLOTS = 8;
const SERVICE_MS = 90;
const BACKOFF_S = 3;
/** Time from the first response with a limit until the limit is effective, in milliseconds. */
const LIMIT_EFFECTIVE_MS = 3_000;
const LIMIT_WINDOW_MS = 4_000;
const LIMIT_OVER_FACTOR = 1.5;
const LIMIT_SLACK = 5;
/** Time until a gateway stops sending to a draining backend, in milliseconds. */
const DRAIN_EFFECTIVE_MS = 2_000;
/** Time until a gateway follows a limit or a backoff, in milliseconds. */
const STATEMENT_EFFECTIVE_MS = 500;
const SETTLE_MS = 4_000;
const KILL_INTERVAL_MS = 500;
const SEND_INTERVAL_MS = 5;
const MS_PER_S = 1_000;
const UNSAFE_FRACTION = 1 / 3;

interface SentRequest {
  readonly gateway: number;
  readonly sentAtMs: number;
  status: number;
}

interface Arrival {
  readonly gateway: number;
  readonly sentAtMs: number;
  readonly atMs: number;
}

/** Runs one scenario and returns its results. */
export function runStatements(options: StatementRunOptions): Promise<StatementRunReport> {
  return runAndStop(new StatementRun(options));
}

class FaultyBackend {
  readonly arrivals: Arrival[] = [];
  firstStatementAtMs = Infinity;
  /** Time of the first statement to each gateway. */
  readonly statementAtMsByGateway = new Map<number, number>();
  readonly backoffStatements: Array<{ readonly gateway: number; readonly atMs: number }> = [];

  recordStatement(gateway: number, nowMs: number): void {
    this.firstStatementAtMs = Math.min(this.firstStatementAtMs, nowMs);
    if (!this.statementAtMsByGateway.has(gateway)) {
      this.statementAtMsByGateway.set(gateway, nowMs);
    }
  }

  /** Whether a request arrived at least `ms` after the first statement to its gateway. */
  isAfterStatement({ gateway, atMs }: Arrival, ms: number): boolean {
    return (this.statementAtMsByGateway.get(gateway) ?? Infinity) + ms <= atMs;
  }
}

class StatementRun {
  private readonly random: RandomSource;
  private readonly store = new FakeStore();
  private readonly processes: GatewayProcesses;
  private readonly servers = new BackendServers();
  private readonly requests = new Map<string, SentRequest>();
  private readonly faultyBackends = new Map<number, FaultyBackend>();
  private readonly runningCounts = new Map<number, number>();
  private readonly agent = new Agent({ keepAlive: true, maxSockets: 64 });
  private readonly timers = new Set<NodeJS.Timeout>();
  private faultFromMs = Infinity;

  constructor(private readonly options: StatementRunOptions) {
    this.random = new SeededRandom(options.seed);
    const { basePort } = options;
    this.processes = new GatewayProcesses({
      network: '127.0.5',
      basePort,
      folderName: 'statements',
    });
    for (let index = 0; index < options.faultyCount; index += 1) {
      this.faultyBackends.set(index, new FaultyBackend());
    }
  }

  async run(): Promise<StatementRunReport> {
    const store = await this.store.start();
    this.configure();
    for (let index = 0; index < BACKEND_COUNT; index += 1) {
      await this.startBackend(index);
    }
    for (let index = 0; index < this.options.gateways; index += 1) {
      this.processes.startGateway(store, { settingsLines: this.agentPortSettings });
    }
    await this.processes.waitUntilReady();
    await delay(SETTLE_MS);
    this.runEvery(SEND_INTERVAL_MS, () => this.sendDue());
    await delay(MS_PER_S);
    this.faultFromMs = performance.now();
    this.startKills();
    await delay(this.options.lengthMs);
    const untilMs = performance.now();
    this.stopTimers();
    await delay(MS_PER_S);
    return this.report(untilMs);
  }

  stop(): void {
    this.stopTimers();
    this.processes.stop();
    this.servers.stop();
    this.agent.destroy();
    this.store.stop();
  }

  private startKills(): void {
    let nextIndex = 0;
    if (this.options.killsGateways === true) {
      const { gateways } = this.processes;
      this.runEvery(KILL_INTERVAL_MS, () =>
        gateways[nextIndex++ % gateways.length]!.signal('SIGKILL'),
      );
    }
  }

  private stopTimers(): void {
    this.timers.forEach((timer) => clearInterval(timer));
    this.timers.clear();
  }

  private runEvery(periodMs: number, action: () => void): void {
    this.timers.add(setInterval(action, periodMs));
  }

  private configure(): void {
    const route = (name: string, kind: string, maxAttempts: number) => ({
      name,
      host: 'statements.example',
      pathPrefix: `/${name}/`,
      kind,
      timeoutMs: 2_500,
      targetLatencyMs: 800,
      maxAttempts,
      priority: 1,
      service: 'workers',
    });
    this.store.put('op/config', {
      version: 1,
      routes: [route('safe', 'safe', 2), route('unsafe', 'unsafe', 2)],
      services: [
        {
          name: 'workers',
          maxConnections: 400,
          ...(this.options.hasAgents ? { engine: { stride: 3 } } : {}),
        },
      ],
    });
  }

  private get isFaultActive(): boolean {
    const sinceMs = performance.now() - this.faultFromMs;
    return sinceMs >= 0 && sinceMs < (this.options.recoverAfterMs ?? Infinity);
  }

  private async startBackend(index: number): Promise<void> {
    const { server, address } = await this.servers.start(
      backendHost(index),
      this.options.basePort + 6,
      (request, response) => this.handleRequest(index, request, response),
    );
    server.keepAliveTimeout = 10_000;
    this.store.announce(`w-${index}`, { address, service: 'workers', slots: SLOTS, zone: 'z0' });
    if (this.options.hasAgents) {
      this.processes.startOtherProcess(`agent-${index}`, this.agentSettings(index, address));
    }
  }

  private handleRequest(index: number, request: IncomingMessage, response: ServerResponse): void {
    request.resume();
    if (request.url === '/-/report') {
      response.end(JSON.stringify({ waiting: 0, running: this.runningCounts.get(index) ?? 0 }));
      return;
    }
    const requestId = String(request.headers['x-weirvale-attempt-id']);
    response.setHeader('X-Weirvale-Attempt-Id', requestId);
    if (request.headers['x-weirvale-expect-instance'] !== `w-${index}`) {
      response.writeHead(421);
      response.end();
      return;
    }
    const faulty = this.faultyBackends.get(index);
    if (faulty === undefined || this.faultFromMs > performance.now()) {
      this.serve(index, response);
      return;
    }
    const { gateway, sentAtMs } = this.requests.get(requestId)!;
    faulty.arrivals.push({ gateway, sentAtMs, atMs: performance.now() });
    if (this.isFaultActive) {
      this.handleDuringFault(index, faulty, gateway, request, response);
    } else {
      this.serve(index, response);
    }
  }

  private handleDuringFault(
    index: number,
    faulty: FaultyBackend,
    gateway: number,
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    const nowMs = performance.now();
    const { fault, limitPerS = 2.4 } = this.options;
    if (fault === 'limit') {
      response.setHeader('Server-Limit', `${limitPerS}`);
      this.serve(index, response, () => faulty.recordStatement(gateway, performance.now()));
    } else if (fault === 'leaving') {
      response.setHeader('Server-Leaving', '1');
      this.serve(index, response, () => faulty.recordStatement(gateway, performance.now()));
    } else if (fault === 'error') {
      response.writeHead(500);
      response.end();
    } else if (fault === 'reset') {
      request.socket.resetAndDestroy();
    } else {
      if (fault === 'rest') {
        faulty.backoffStatements.push({ gateway, atMs: nowMs });
        response.setHeader('Retry-After', `${BACKOFF_S}`);
      }
      response.writeHead(503, { 'X-Weirvale-Not-Executed': '1' });
      response.end();
    }
  }

  private serve(index: number, response: ServerResponse, onServed = () => undefined as void): void {
    this.runningCounts.set(index, (this.runningCounts.get(index) ?? 0) + 1);
    setTimeout(() => {
      this.runningCounts.set(index, this.runningCounts.get(index)! - 1);
      onServed();
      response.end('done');
    }, SERVICE_MS);
  }

  /** Gateway settings for the port of the slot agents. */
  private get agentPortSettings(): readonly string[] {
    return ['[listen]', `slotAgentPort = ${this.options.basePort + 5}`];
  }

  private agentSettings(index: number, engine: string): string[] {
    return [
      '[process]',
      'role = slot-agent',
      `name = agent-${index}`,
      'zone = z0',
      `address = ${backendHost(index)}`,
      '[listen]',
      `slotAgentPort = ${this.options.basePort + 5}`,
      '[cluster]',
      `seeds = ${this.processes.seeds}`,
      '[engine]',
      `address = ${engine}`,
    ];
  }

  private sendDue(): void {
    const { requestsPerS = 100 } = this.options;
    for (
      let expectedCount = (requestsPerS * SEND_INTERVAL_MS) / MS_PER_S;
      expectedCount > 0;
      expectedCount -= 1
    ) {
      if (this.random.next() < expectedCount) {
        this.sendRequest();
      }
    }
  }

  private sendRequest(): void {
    const id = `c-${this.requests.size}`;
    const gateway = Math.floor(this.random.next() * this.options.gateways);
    const route = this.random.next() < UNSAFE_FRACTION ? 'unsafe' : 'safe';
    const record: SentRequest = { gateway, sentAtMs: performance.now(), status: 0 };
    this.requests.set(id, record);
    const clientRequest = httpRequest(
      {
        host: this.processes.hostOf(gateway),
        port: this.options.basePort + 1,
        path: `/${route}/${id}`,
        agent: this.agent,
        headers: {
          Host: 'statements.example',
          'X-Weirvale-Attempt-Id': id,
          'X-Weirvale-Deadline-Ms': '2000',
        },
      },
      (response) => {
        record.status = response.statusCode ?? 0;
        response.resume();
        response.on('error', () => undefined);
      },
    );
    clientRequest.on('error', () => undefined);
    clientRequest.end();
  }

  private report(untilMs: number): StatementRunReport {
    const { limitPerS = 2.4, recoverAfterMs } = this.options;
    const faulty = [...this.faultyBackends.values()];
    const duringFault = [...this.requests.values()].filter(
      ({ sentAtMs }) => sentAtMs >= this.faultFromMs && sentAtMs <= untilMs,
    );
    const recoveredFromMs = this.faultFromMs + (recoverAfterMs ?? Infinity);
    const afterRecovery = faulty.flatMap(({ arrivals }) =>
      arrivals.filter(({ atMs }) => atMs >= recoveredFromMs && atMs <= untilMs),
    );
    return {
      limitWorst: Math.max(
        0,
        ...faulty.map((backend) => maxInLimitWindow(backend, recoveredFromMs)),
      ),
      limitAllowed: (LIMIT_WINDOW_MS / MS_PER_S) * limitPerS * LIMIT_OVER_FACTOR + LIMIT_SLACK,
      limitUsed:
        Math.min(
          ...faulty.map((backend) => rateUnderLimit(backend, Math.min(untilMs, recoveredFromMs))),
        ) / limitPerS,
      lateToLeaving: faulty.reduce((sum, backend) => sum + countLateToDraining(backend), 0),
      restWorst: Math.max(0, ...faulty.map(maxDuringBackoff)),
      served: duringFault.filter(({ status }) => status === 200).length / duringFault.length,
      wellPerS: (afterRecovery.length / (untilMs - recoveredFromMs)) * MS_PER_S,
      folder: this.processes.folder,
    };
  }
}

/**
 * Returns the peak arrivals in a window at a backend, from gateways that had received its limit.
 */
function maxInLimitWindow(faulty: FaultyBackend, untilMs: number): number {
  const effectiveFromMs = faulty.firstStatementAtMs + LIMIT_EFFECTIVE_MS;
  const counted = faulty.arrivals
    .filter((arrival) => arrival.atMs >= effectiveFromMs && arrival.atMs < untilMs)
    .filter((arrival) => faulty.isAfterStatement(arrival, STATEMENT_EFFECTIVE_MS))
    .map(({ atMs }) => atMs);
  return counted.reduce((max, fromMs) => {
    const within = counted.filter((atMs) => atMs >= fromMs && atMs <= fromMs + LIMIT_WINDOW_MS);
    return Math.max(max, within.length);
  }, 0);
}

/** Returns the arrivals per second once the limit is effective. */
function rateUnderLimit({ arrivals, firstStatementAtMs }: FaultyBackend, untilMs: number): number {
  const fromMs = firstStatementAtMs + LIMIT_EFFECTIVE_MS;
  const counted = arrivals.filter(({ atMs }) => atMs >= fromMs && atMs <= untilMs);
  return (counted.length / (untilMs - fromMs)) * MS_PER_S;
}

function countLateToDraining(faulty: FaultyBackend): number {
  return faulty.arrivals.filter(
    ({ gateway, sentAtMs }) =>
      sentAtMs > (faulty.statementAtMsByGateway.get(gateway) ?? Infinity) + DRAIN_EFFECTIVE_MS,
  ).length;
}

function maxDuringBackoff({ backoffStatements, arrivals }: FaultyBackend): number {
  return backoffStatements.reduce((max, backoff) => {
    const within = arrivals.filter(
      ({ gateway, atMs }) =>
        gateway === backoff.gateway &&
        atMs > backoff.atMs + STATEMENT_EFFECTIVE_MS &&
        atMs < backoff.atMs + BACKOFF_S * MS_PER_S,
    );
    return Math.max(max, within.length);
  }, 0);
}

function backendHost(index: number): string {
  return `127.0.6.${10 + index}`;
}
