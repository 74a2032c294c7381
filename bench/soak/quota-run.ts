/**
 * Real gateways on loopback while one tenant asks for far more than its quota, another for less, and faults strike
 * the gateways or the back ends; what back ends ran is counted.
 */
import { createServer, request as httpRequest, Agent } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { RandomSource } from '../../src/random.js';
import { SeededRandom } from '../../src/random.js';
import { FakeStore } from '../../test/support/platform-standin.js';
import { GatewayProcesses } from './gateway-processes.js';

/** What happens while the tenants ask. */
export type QuotaFault =
  | 'none'
  /** Half of the gateways stand still for a while, by turns. */
  | 'pauses'
  /** All gateways are killed at once, again and again. */
  | 'kill-all'
  /** The gateways are killed one after the other, round and round. */
  | 'kill-in-turn'
  /** Each gateway is killed once, one after the other. */
  | 'kill-each-once'
  /** Back ends run a part of the requests and reset the connection. */
  | 'lost-answers'
  /** No gateway ever hears another; the store is reached. */
  | 'apart';

/** One run of a fleet. */
export interface QuotaRunOptions {
  readonly fault: QuotaFault;
  readonly gateways: number;
  readonly seed: number;
  /** Time under the fault, in milliseconds. */
  readonly lengthMs: number;
  /** First of the ports; each host uses a few. */
  readonly basePort: number;
}

/** What was seen. */
export interface QuotaRunReport {
  /** Worst window of the greedy tenant, as a share of what it may have at most. */
  readonly worstShare: number;
  /** What the greedy tenant got, as a share of its rate. */
  readonly rateShare: number;
  /** Share of the calm tenant's requests that were refused as over its quota. */
  readonly calmRefused: number;
  /** Requests that back ends ran more than once. */
  readonly furtherTries: number;
  /** Folder with the processes' logs. */
  readonly folder: string;
}

const RATE_PER_S = 20_000;
const BURST = 20_000;
const OVER = 0.1;
const SLACK = 14_000;
const WINDOW_MS = 8_000;
/** Most of one tenant that may be run in a window. */
const BOUND = ((RATE_PER_S * WINDOW_MS) / 1_000 + BURST) * (1 + OVER) + SLACK;
/** The tolerance of the bound, as gateways' settings name it. */
const LIMITS = [
  '[limits]',
  `quotaOver = ${OVER}`,
  `quotaSlack = ${SLACK}`,
  `quotaWindowS = ${WINDOW_MS / 1_000}`,
];
const SIZES = [500, 2_500];
const GREEDY = { name: 'greedy', key: 'greedy-key', timesRate: 5 };
const CALM = { name: 'calm', key: 'calm-key', timesRate: 0.6 };
const BACKENDS = 4;
const WORK_MS = 10;
const LOST_SHARE = 0.35;
/** Time for the gateways to become ready and to know each other, in milliseconds. */
const SETTLE_MS = 5_000;
const TURN_MS = 500;
const ONCE_TURN_MS = 700;
const KILL_ALL_MS = 4_000;
const PAUSE_MS = 1_100;
const ASK_STEP_MS = 5;
const MS_PER_S = 1_000;

/** A request as its caller saw it. */
interface Asked {
  readonly tenant: string;
  readonly tokens: number;
  readonly sentAtMs: number;
  status: number;
}

interface Run {
  readonly id: string;
  readonly atMs: number;
}

/** Plays one run and reports. */
export async function runQuotas(options: QuotaRunOptions): Promise<QuotaRunReport> {
  const run = new QuotaRun(options);
  try {
    return await run.play();
  } finally {
    run.stop();
  }
}

class QuotaRun {
  private readonly random: RandomSource;
  private readonly store = new FakeStore();
  private readonly processes: GatewayProcesses;
  private readonly servers: Server[] = [];
  private readonly asked = new Map<string, Asked>();
  private readonly runs: Run[] = [];
  private readonly agent = new Agent({ keepAlive: true, maxSockets: 64 });
  private readonly timers = new Set<NodeJS.Timeout>();

  constructor(private readonly options: QuotaRunOptions) {
    this.random = new SeededRandom(options.seed);
    const { basePort } = options;
    this.processes = new GatewayProcesses({ network: '127.0.3', basePort, folderName: 'quota' });
  }

  async play(): Promise<QuotaRunReport> {
    process.once('exit', () => this.stop());
    const store = await this.store.start();
    this.configure();
    for (let index = 0; index < BACKENDS; index += 1) {
      await this.startBackend(index);
    }
    for (let index = 0; index < this.options.gateways; index += 1) {
      this.processes.startGateway(store, {
        isApart: this.options.fault === 'apart',
        lines: LIMITS,
      });
    }
    await this.processes.untilReady();
    await delay(SETTLE_MS);
    const fromMs = performance.now();
    this.every(ASK_STEP_MS, () => this.askDue(ASK_STEP_MS));
    this.beginFault();
    await delay(this.options.lengthMs);
    const untilMs = performance.now();
    this.stopTimers();
    await delay(MS_PER_S);
    return this.report(fromMs, untilMs);
  }

  stop(): void {
    this.stopTimers();
    this.processes.stop();
    this.servers.forEach((server) => {
      server.closeAllConnections();
      server.close();
    });
    this.agent.destroy();
    this.store.stop();
  }

  private stopTimers(): void {
    this.timers.forEach((timer) => clearInterval(timer));
    this.timers.clear();
  }

  private every(periodMs: number, act: () => void): void {
    this.timers.add(setInterval(act, periodMs));
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
      tenants: [GREEDY, CALM].map(({ name, key }) => ({ name, apiKeys: [key], ...quota })),
    });
  }

  private async startBackend(index: number): Promise<void> {
    const id = `p-${index}`;
    const server = createServer((request, response) => this.answer(id, request, response));
    const host = `127.0.4.${10 + index}`;
    const port = this.options.basePort + 6;
    await new Promise<void>((resolve) => server.listen(port, host, resolve));
    this.servers.push(server);
    this.store.announce(id, { address: `${host}:${port}`, service: 'plain', slots: 100 });
  }

  private answer(id: string, request: IncomingMessage, response: ServerResponse): void {
    const requestId = String(request.headers['x-weirvale-attempt-id']);
    request.resume();
    if (request.headers['x-weirvale-expect-instance'] !== id) {
      response.writeHead(421);
      response.end();
      return;
    }
    this.runs.push({ id: requestId, atMs: performance.now() });
    if (this.options.fault === 'lost-answers' && this.random.next() < LOST_SHARE) {
      request.socket.resetAndDestroy();
      return;
    }
    setTimeout(() => {
      response.setHeader('X-Weirvale-Attempt-Id', requestId);
      response.end('done');
    }, WORK_MS);
  }

  private askDue(elapsedMs: number): void {
    const meanTokens = SIZES.reduce((sum, size) => sum + size, 0) / SIZES.length;
    for (const tenant of [GREEDY, CALM]) {
      const perMs = (RATE_PER_S * tenant.timesRate) / MS_PER_S / meanTokens;
      for (let due = perMs * elapsedMs; due > 0; due -= 1) {
        if (this.random.next() < due) {
          this.ask(tenant);
        }
      }
    }
  }

  private ask({ name, key }: { readonly name: string; readonly key: string }): void {
    const id = `${name}-${this.asked.size}`;
    const tokens = SIZES[Math.floor(this.random.next() * SIZES.length)]!;
    const index = Math.floor(this.random.next() * this.options.gateways);
    const asked: Asked = { tenant: name, tokens, sentAtMs: performance.now(), status: 0 };
    this.asked.set(id, asked);
    const sent = httpRequest(
      {
        host: this.processes.hostOf(index),
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
        asked.status = response.statusCode ?? 0;
        response.resume();
        response.on('error', () => undefined);
      },
    );
    sent.on('error', () => undefined);
    sent.end();
  }

  private beginFault(): void {
    const { fault, gateways } = this.options;
    const kill = (index: number) => this.processes.gateways[index % gateways]!.signal('SIGKILL');
    let turn = 0;
    if (fault === 'kill-in-turn') {
      this.every(TURN_MS, () => kill(turn++));
    } else if (fault === 'kill-each-once') {
      this.every(ONCE_TURN_MS, () => turn < gateways && kill(turn++));
    } else if (fault === 'kill-all') {
      this.every(KILL_ALL_MS, () =>
        this.processes.gateways.forEach((_gateway, index) => kill(index)),
      );
    } else if (fault === 'pauses') {
      this.every(PAUSE_MS, () => this.pauseHalf(turn++));
    }
  }

  private pauseHalf(turn: number): void {
    this.processes.gateways.forEach((gateway, index) =>
      gateway.signal(index % 2 === turn % 2 ? 'SIGSTOP' : 'SIGCONT'),
    );
  }

  private report(fromMs: number, untilMs: number): QuotaRunReport {
    const ran = this.runs.flatMap(({ id, atMs }) => {
      const asked = this.asked.get(id);
      return asked?.tenant === GREEDY.name && atMs <= untilMs
        ? [{ tokens: asked.tokens, sentAtMs: asked.sentAtMs, atMs }]
        : [];
    });
    const total = ran.reduce((sum, { tokens }) => sum + tokens, 0);
    const seconds = (untilMs - fromMs) / MS_PER_S;
    const calm = [...this.asked.values()].filter(({ tenant }) => tenant === CALM.name);
    return {
      worstShare: worstWindow(ran) / BOUND,
      rateShare: total / seconds / RATE_PER_S,
      calmRefused: calm.filter(({ status }) => status === 429).length / calm.length,
      furtherTries: this.runs.length - new Set(this.runs.map(({ id }) => id)).size,
      folder: this.processes.folder,
    };
  }
}

/** Most tokens that were both sent by callers and run by back ends within one window. */
export function worstWindow(
  ran: ReadonlyArray<{ readonly tokens: number; readonly sentAtMs: number; readonly atMs: number }>,
): number {
  return ran.reduce((worst, { sentAtMs: fromMs }) => {
    const sum = ran.reduce((tokens, each) => {
      const isWithin = each.sentAtMs >= fromMs && each.atMs <= fromMs + WINDOW_MS;
      return tokens + (isWithin ? each.tokens : 0);
    }, 0);
    return Math.max(worst, sum);
  }, 0);
}

function delay(timeMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, timeMs));
}
