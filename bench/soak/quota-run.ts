/**
 * Runs gateway processes on loopback under faults, while one tenant sends far more than its quota
 * and another less, and counts the requests that backends execute.
 */
import { request as httpRequest, Agent } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';
import type { RandomSource } from '../../src/random.js';
import { SeededRandom } from '../../src/random.js';
import { FakeStore } from '../../test/support/fake-platform.js';
import { BackendServers } from './backend-servers.js';
import { GatewayProcesses } from './gateway-processes.js';
import { runAndStop } from './run-and-stop.js';

/** The fault during the load. */
export type QuotaFault =
  | 'none'
  /** Half of the gateways are paused at a time, alternately. */
  | 'pauses'
  /** All gateways are killed at once, periodically. */
  | 'kill-all'
  /** The gateways are killed one after the other, in a round-robin order. */
  | 'kill-in-turn'
  /** Each gateway is killed once, one after the other. */
  | 'kill-each-once'
  /** Backends execute some requests and reset the connection instead of responding. */
  | 'lost-answers'
  /** Gateways have no connections to each other, only to the store. */
  | 'apart';

/** Options of a run. */
export interface QuotaRunOptions {
  readonly fault: QuotaFault;
  readonly gateways: number;
  readonly seed: number;
  /** Duration of the fault and of the load, in milliseconds. */
  readonly durationMs: number;
  /** First port; each host uses several. */
  readonly basePort: number;
}

/** Results of a run. */
export interface QuotaRunReport {
  /** Peak usage of the overloading tenant in a window, as a fraction of the allowed maximum. */
  readonly peakShare: number;
  /** Average usage of the overloading tenant, as a fraction of its rate. */
  readonly averageShare: number;
  /** Fraction of the moderate tenant's requests that were refused as over quota. */
  readonly moderateRefusedShare: number;
  /** Number of executions beyond the first of each request. */
  readonly repeatedExecutions: number;
  /** Folder that contains the processes' logs. */
  readonly folder: string;
}

const RATE_PER_S = 20_000;
const BURST = 20_000;
const OVER_FRACTION = 0.1;
const SLACK_TOKENS = 14_000;
const WINDOW_MS = 8_000;
/** Maximum tokens of one tenant that backends may execute in a window. */
const MAX_WINDOW_TOKENS =
  ((RATE_PER_S * WINDOW_MS) / 1_000 + BURST) * (1 + OVER_FRACTION) + SLACK_TOKENS;
/** Gateway settings for the tolerance of the quota. */
const LIMIT_SETTINGS = [
  '[limits]',
  `quotaOver = ${OVER_FRACTION}`,
  `quotaSlack = ${SLACK_TOKENS}`,
  `quotaWindowS = ${WINDOW_MS / 1_000}`,
];
const REQUEST_TOKENS = [500, 2_500];
const OVERLOADING_TENANT = { name: 'greedy', key: 'greedy-key', rateFactor: 5 };
const MODERATE_TENANT = { name: 'calm', key: 'calm-key', rateFactor: 0.6 };
const BACKEND_COUNT = 4;
const SERVICE_MS = 10;
const LOST_FRACTION = 0.35;
/** Time for ready gateways to connect to each other, in milliseconds. */
const SETTLE_MS = 5_000;
const KILL_INTERVAL_MS = 500;
const SINGLE_KILL_INTERVAL_MS = 700;
const KILL_ALL_INTERVAL_MS = 4_000;
const PAUSE_INTERVAL_MS = 1_100;
const SEND_INTERVAL_MS = 5;
const MS_PER_S = 1_000;

/** A request that a caller sent, and its status. */
interface SentRequest {
  readonly tenant: string;
  readonly tokens: number;
  readonly sentAtMs: number;
  status: number;
}

interface Execution {
  readonly id: string;
  readonly atMs: number;
}

/** Runs one scenario and returns its results. */
export function runQuotas(options: QuotaRunOptions): Promise<QuotaRunReport> {
  return runAndStop(new QuotaRun(options));
}

class QuotaRun {
  private readonly random: RandomSource;
  private readonly store = new FakeStore();
  private readonly processes: GatewayProcesses;
  private readonly servers = new BackendServers();
  private readonly requests = new Map<string, SentRequest>();
  private readonly executions: Execution[] = [];
  private readonly agent = new Agent({ keepAlive: true, maxSockets: 64 });
  private readonly timers = new Set<NodeJS.Timeout>();

  constructor(private readonly options: QuotaRunOptions) {
    this.random = new SeededRandom(options.seed);
    const { basePort } = options;
    this.processes = new GatewayProcesses({ network: '127.0.3', basePort, folderName: 'quota' });
  }

  async run(): Promise<QuotaRunReport> {
    const store = await this.store.start();
    this.configure();
    for (let index = 0; index < BACKEND_COUNT; index += 1) {
      await this.startBackend(index);
    }
    for (let index = 0; index < this.options.gateways; index += 1) {
      this.processes.startGateway(store, {
        isIsolated: this.options.fault === 'apart',
        settingsLines: LIMIT_SETTINGS,
      });
    }
    await this.processes.waitUntilReady();
    await delay(SETTLE_MS);
    const fromMs = performance.now();
    this.runEvery(SEND_INTERVAL_MS, () => this.sendDue(SEND_INTERVAL_MS));
    this.startFault();
    await delay(this.options.durationMs);
    const untilMs = performance.now();
    this.stopTimers();
    await delay(MS_PER_S);
    return this.report(fromMs, untilMs);
  }

  stop(): void {
    this.stopTimers();
    this.processes.stop();
    this.servers.stop();
    this.agent.destroy();
    this.store.stop();
  }

  private stopTimers(): void {
    this.timers.forEach((timer) => clearInterval(timer));
    this.timers.clear();
  }

  private runEvery(periodMs: number, action: () => void): void {
    this.timers.add(setInterval(action, periodMs));
  }

  private configure(): void {
    const quota = { ratePerS: RATE_PER_S, burst: BURST, unit: 'generate' };
    this.store.put('op/config', {
      version: 1,
      routes: [
        {
          name: 'read',
          host: 'quota.example',
          pathPrefix: '/read/',
          kind: 'safe',
          timeoutMs: 2_500,
          targetLatencyMs: 800,
          maxAttempts: 2,
          priority: 1,
          service: 'plain',
        },
      ],
      services: [{ name: 'plain', maxConnections: 400 }],
      tenants: [OVERLOADING_TENANT, MODERATE_TENANT].map(({ name, key }) => ({
        name,
        apiKeys: [key],
        ...quota,
      })),
    });
  }

  private async startBackend(index: number): Promise<void> {
    const id = `p-${index}`;
    const { address } = await this.servers.start(
      `127.0.4.${10 + index}`,
      this.options.basePort + 6,
      (request, response) => this.handleRequest(id, request, response),
    );
    this.store.announce(id, { address, service: 'plain', slots: 100 });
  }

  private handleRequest(id: string, request: IncomingMessage, response: ServerResponse): void {
    const requestId = String(request.headers['x-weirvale-attempt-id']);
    request.resume();
    if (request.headers['x-weirvale-expect-instance'] !== id) {
      response.writeHead(421);
      response.end();
      return;
    }
    this.executions.push({ id: requestId, atMs: performance.now() });
    if (this.options.fault === 'lost-answers' && this.random.next() < LOST_FRACTION) {
      request.socket.resetAndDestroy();
      return;
    }
    setTimeout(() => {
      response.setHeader('X-Weirvale-Attempt-Id', requestId);
      response.end('done');
    }, SERVICE_MS);
  }

  private sendDue(elapsedMs: number): void {
    const meanTokens = REQUEST_TOKENS.reduce((sum, size) => sum + size, 0) / REQUEST_TOKENS.length;
    for (const tenant of [OVERLOADING_TENANT, MODERATE_TENANT]) {
      const perMs = (RATE_PER_S * tenant.rateFactor) / MS_PER_S / meanTokens;
      for (let expectedCount = perMs * elapsedMs; expectedCount > 0; expectedCount -= 1) {
        if (this.random.next() < expectedCount) {
          this.sendRequest(tenant);
        }
      }
    }
  }

  private sendRequest({ name, key }: { readonly name: string; readonly key: string }): void {
    const id = `${name}-${this.requests.size}`;
    const tokens = REQUEST_TOKENS[Math.floor(this.random.next() * REQUEST_TOKENS.length)]!;
    const gatewayIndex = Math.floor(this.random.next() * this.options.gateways);
    const record: SentRequest = { tenant: name, tokens, sentAtMs: performance.now(), status: 0 };
    this.requests.set(id, record);
    const clientRequest = httpRequest(
      {
        host: this.processes.hostOf(gatewayIndex),
        port: this.options.basePort + 1,
        path: `/read/${id}`,
        agent: this.agent,
        headers: {
          Host: 'quota.example',
          Authorization: `Bearer ${key}`,
          'X-Weirvale-Attempt-Id': id,
          'X-Weirvale-Token-Counts': `${tokens - 100},100`,
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

  private startFault(): void {
    const { fault, gateways } = this.options;
    const kill = (index: number) => this.processes.gateways[index % gateways]!.signal('SIGKILL');
    let nextIndex = 0;
    if (fault === 'kill-in-turn') {
      this.runEvery(KILL_INTERVAL_MS, () => kill(nextIndex++));
    } else if (fault === 'kill-each-once') {
      this.runEvery(SINGLE_KILL_INTERVAL_MS, () => nextIndex < gateways && kill(nextIndex++));
    } else if (fault === 'kill-all') {
      this.runEvery(KILL_ALL_INTERVAL_MS, () =>
        this.processes.gateways.forEach((_gateway, index) => kill(index)),
      );
    } else if (fault === 'pauses') {
      this.runEvery(PAUSE_INTERVAL_MS, () => this.pauseHalf(nextIndex++));
    }
  }

  private pauseHalf(parity: number): void {
    this.processes.gateways.forEach((gateway, index) =>
      gateway.signal(index % 2 === parity % 2 ? 'SIGSTOP' : 'SIGCONT'),
    );
  }

  private report(fromMs: number, untilMs: number): QuotaRunReport {
    const executed = this.executions.flatMap(({ id, atMs }) => {
      const sentRequest = this.requests.get(id);
      return sentRequest?.tenant === OVERLOADING_TENANT.name && atMs <= untilMs
        ? [{ tokens: sentRequest.tokens, sentAtMs: sentRequest.sentAtMs, atMs }]
        : [];
    });
    const total = executed.reduce((sum, { tokens }) => sum + tokens, 0);
    const seconds = (untilMs - fromMs) / MS_PER_S;
    const moderate = [...this.requests.values()].filter(
      ({ tenant }) => tenant === MODERATE_TENANT.name,
    );
    return {
      peakShare: maxTokensInWindow(executed) / MAX_WINDOW_TOKENS,
      averageShare: total / seconds / RATE_PER_S,
      moderateRefusedShare:
        moderate.filter(({ status }) => status === 429).length / moderate.length,
      repeatedExecutions:
        this.executions.length - new Set(this.executions.map(({ id }) => id)).size,
      folder: this.processes.folder,
    };
  }
}

/** Returns the maximum tokens that were both sent and executed within one window. */
export function maxTokensInWindow(
  executed: ReadonlyArray<{
    readonly tokens: number;
    readonly sentAtMs: number;
    readonly atMs: number;
  }>,
): number {
  return executed.reduce((max, { sentAtMs: fromMs }) => {
    const sum = executed.reduce((tokens, execution) => {
      const isWithin = execution.sentAtMs >= fromMs && execution.atMs <= fromMs + WINDOW_MS;
      return tokens + (isWithin ? execution.tokens : 0);
    }, 0);
    return Math.max(max, sum);
  }, 0);
}
