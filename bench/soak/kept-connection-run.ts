/**
 * Runs gateway processes on loopback whose callers send the next request on a kept connection as its
 * idle timeout ends, and counts the whole requests that get no response.
 */
import type { RequestListener } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';
import { SeededRandom } from '../../src/random.js';
import type { RandomSource } from '../../src/random.js';
import { FakeStore } from '../../test/support/fake-platform.js';
import { BackendServers } from './backend-servers.js';
import { GatewayProcesses } from './gateway-processes.js';
import { KeptConnectionCaller } from './kept-connection-caller.js';
import type { CallerExchange } from './kept-connection-caller.js';
import { runAndStop } from './run-and-stop.js';

/** Options of a run; times in milliseconds. */
export interface KeptConnectionRunOptions {
  readonly gateways: number;
  /** Callers of each gateway, with one connection each. */
  readonly callersPerGateway: number;
  readonly durationMs: number;
  /** Idle timeouts that the configuration names in turn. */
  readonly idleTimeoutsMs: readonly number[];
  /** Interval between changes of the idle timeout. */
  readonly changeIntervalMs: number;
  /** Time for which gateways stand still in each period; 0 never pauses. */
  readonly pauseMs: number;
  readonly pausePeriodMs: number;
  readonly seed: number;
  /** First port; each host uses several. */
  readonly basePort: number;
}

/** Results of a run. */
export interface KeptConnectionRunReport {
  /** Requests that were sent whole. */
  readonly requests: number;
  /** Those of them that were sent on connections that had been idle. */
  readonly onKeptConnections: number;
  /** Requests whose connections closed, later than a crossing, without a response. */
  readonly unanswered: number;
  /** Median and maximum time from the last byte of each of them to the close, in milliseconds. */
  readonly unansweredAfterMs: { readonly median: number; readonly max: number } | undefined;
  /** Requests without a response that were sent just before the close, or after it. */
  readonly crossings: number;
  /** Those of them that were sent after the close, before their callers noticed it. */
  readonly sentAfterClose: number;
  /** Requests without a response that may have crossed the close: this process was late then. */
  readonly undecided: number;
  /** Responses by status. */
  readonly statuses: Readonly<Record<string, number>>;
  /** Connections that closed before their next request was sent. */
  readonly closedIdle: number;
  /** 95th percentile of the time from a request to its response, in milliseconds. */
  readonly answeredWithinMs: number;
  /** Gateways that ended by themselves. */
  readonly ownEnds: readonly string[];
  readonly folder: string;
}

const BACKEND_COUNT = 2;
const BACKEND_SLOTS = 200;
const WORK_MS = 5;
const ROUTE_TIMEOUT_MS = 5_000;
const SETTLE_MS = 2_000;
/** Time after the run in which the last requests are answered. */
const LAST_RESPONSES_MS = 3_000;
/** Time that gateways hold a connection beyond its idle timeout. */
const HOLD_MARGIN_MS = 1_000;
/** When the next request is sent, relative to the end of the idle timeout. */
const NEXT_REQUEST_MS = { min: -150, max: 350 };
/** Time before a close in which a request may cross it on the wire. */
const CROSSING_MS = 5;
/** Interval of the ticks that show when this process was late. */
const TICK_MS = 1;
const PERCENTILE = 0.95;

/** Runs one scenario and returns its results. */
export function runKeptConnections(
  options: KeptConnectionRunOptions,
): Promise<KeptConnectionRunReport> {
  return runAndStop(new KeptConnectionRun(options));
}

class KeptConnectionRun {
  private readonly random: RandomSource;
  private readonly store = new FakeStore();
  private readonly processes: GatewayProcesses;
  private readonly servers = new BackendServers();
  private readonly callers: KeptConnectionCaller[] = [];
  private readonly timers = new Set<NodeJS.Timeout>();
  private version = 0;
  /** Times of the last two ticks; a poll followed each. */
  private ticksMs: readonly [previous: number, last: number] = [0, 0];

  constructor(private readonly options: KeptConnectionRunOptions) {
    this.random = new SeededRandom(options.seed);
    this.processes = new GatewayProcesses({
      network: '127.0.9',
      basePort: options.basePort,
      folderName: 'kept',
    });
  }

  async run(): Promise<KeptConnectionRunReport> {
    const store = await this.store.start();
    this.configure();
    for (let index = 0; index < BACKEND_COUNT; index += 1) {
      await this.startBackend(index);
    }
    for (let index = 0; index < this.options.gateways; index += 1) {
      this.processes.startGateway(store);
    }
    await this.processes.waitUntilReady();
    await delay(SETTLE_MS);
    this.timers.add(setInterval(() => this.tick(), TICK_MS));
    this.startCallers();
    this.startChanges();
    this.startPauses();
    await delay(this.options.durationMs);
    this.callers.forEach((caller) => caller.sendNoMore());
    this.endTrouble();
    await delay(LAST_RESPONSES_MS);
    return this.report();
  }

  stop(): void {
    this.endTrouble();
    this.callers.forEach((caller) => caller.stop());
    this.processes.stop();
    this.servers.stop();
    this.store.stop();
  }

  private get idleTimeoutMs(): number {
    const { idleTimeoutsMs } = this.options;
    return idleTimeoutsMs[(this.version - 1) % idleTimeoutsMs.length]!;
  }

  private configure(): void {
    this.version += 1;
    this.store.put('op/config', {
      version: this.version,
      routes: [
        {
          name: 'work',
          host: 'kept.example',
          pathPrefix: '/task/',
          kind: 'unsafe',
          timeoutMs: ROUTE_TIMEOUT_MS,
          targetLatencyMs: 500,
          maxAttempts: 2,
          priority: 1,
          service: 'plain',
        },
      ],
      services: [{ name: 'plain', maxConnections: 1_000 }],
      limits: { idleTimeoutMs: this.idleTimeoutMs },
    });
  }

  private async startBackend(index: number): Promise<void> {
    const handleRequest: RequestListener = (request, response) => {
      const id = String(request.headers['x-weirvale-attempt-id']);
      request.resume();
      setTimeout(() => {
        response.writeHead(200, { 'X-Weirvale-Attempt-Id': id, 'Content-Length': 4 });
        response.end('done');
      }, WORK_MS);
    };
    const host = `127.0.10.${10 + index}`;
    const port = this.options.basePort + 6;
    const { address } = await this.servers.start(host, port, handleRequest);
    this.store.announce(`b-${index}`, { address, service: 'plain', slots: BACKEND_SLOTS });
  }

  private startCallers(): void {
    const { gateways, callersPerGateway } = this.options;
    const port = this.processes.callersPort();
    for (let index = 0; index < gateways * callersPerGateway; index += 1) {
      const address = { host: this.processes.hostOf(index % gateways), port };
      const caller = new KeptConnectionCaller(`c-${index}`, address, {
        nextIdleMs: () => this.nextIdleMs(),
        beforeLastPollMs: () => this.ticksMs[0],
      });
      this.callers.push(caller);
      this.startTimer(() => caller.start(), this.random.next() * HOLD_MARGIN_MS);
    }
  }

  /** Returns how long a connection rests before its next request. */
  private nextIdleMs(): number {
    const { min, max } = NEXT_REQUEST_MS;
    return this.idleTimeoutMs + HOLD_MARGIN_MS + min + this.random.next() * (max - min);
  }

  private tick(): void {
    this.ticksMs = [this.ticksMs[1], performance.now()];
  }

  private startChanges(): void {
    if (this.options.idleTimeoutsMs.length > 1) {
      this.timers.add(setInterval(() => this.configure(), this.options.changeIntervalMs));
    }
  }

  private startPauses(): void {
    const { pauseMs, pausePeriodMs } = this.options;
    if (pauseMs === 0) {
      return;
    }
    for (const gateway of this.processes.gateways) {
      const pause = () => {
        gateway.signal('SIGSTOP');
        this.startTimer(() => gateway.signal('SIGCONT'), pauseMs);
      };
      this.timers.add(setInterval(pause, pausePeriodMs));
    }
  }

  private startTimer(callback: () => void, delayMs: number): void {
    const timer = setTimeout(() => {
      this.timers.delete(timer);
      callback();
    }, delayMs);
    this.timers.add(timer);
  }

  private endTrouble(): void {
    this.timers.forEach((timer) => clearTimeout(timer));
    this.timers.clear();
    this.processes.gateways.forEach((gateway) => gateway.signal('SIGCONT'));
  }

  private report(): KeptConnectionRunReport {
    const exchanges = this.callers.flatMap(({ exchanges: own }) => own);
    const answered = exchanges.filter(({ status }) => status !== undefined);
    const isCrossing = (exchange: CallerExchange) =>
      exchange.isSentAfterClose || tookMs(exchange) <= CROSSING_MS;
    const lost = exchanges.filter(({ status }) => status === undefined);
    const isUndecided = ({ sentAtMs, openUntilMs }: CallerExchange) =>
      openUntilMs !== undefined && openUntilMs - sentAtMs <= CROSSING_MS;
    const beforeClose = lost.filter((exchange) => !isCrossing(exchange));
    const unanswered = beforeClose.filter((exchange) => !isUndecided(exchange));
    const statuses: Record<string, number> = {};
    answered.forEach(({ status }) => (statuses[`${status}`] = (statuses[`${status}`] ?? 0) + 1));
    const answerTimesMs = answered.map(tookMs).sort((one, other) => one - other);
    const closeTimesMs = unanswered.map(tookMs).sort((one, other) => one - other);
    return {
      requests: exchanges.length,
      onKeptConnections: exchanges.filter(({ wasKept }) => wasKept).length,
      unanswered: unanswered.length,
      unansweredAfterMs:
        closeTimesMs.length === 0
          ? undefined
          : {
              median: Math.round(closeTimesMs[Math.floor(closeTimesMs.length / 2)]!),
              max: Math.round(closeTimesMs.at(-1)!),
            },
      crossings: lost.filter(isCrossing).length,
      sentAfterClose: lost.filter(({ isSentAfterClose }) => isSentAfterClose).length,
      undecided: beforeClose.filter(isUndecided).length,
      statuses,
      closedIdle: this.callers.reduce((sum, { closedIdle }) => sum + closedIdle, 0),
      answeredWithinMs: Math.round(answerTimesMs[Math.floor(answered.length * PERCENTILE)] ?? 0),
      ownEnds: this.processes.gateways.flatMap(({ ownEnds }) => ownEnds),
      folder: this.processes.folder,
    };
  }
}

/** Time from a request to its response or the close; a request still open has taken forever. */
function tookMs({ sentAtMs, endedAtMs }: CallerExchange): number {
  return (endedAtMs ?? Infinity) - sentAtMs;
}
