/**
 * Runs gateway and slot agent processes on loopback with backends of two software versions, while
 * callers resume streams that break off, and checks what each caller holds.
 */
import { setTimeout as delay } from 'node:timers/promises';
import { SeededRandom, randomInteger } from '../../src/random.js';
import type { RandomSource } from '../../src/random.js';
import { FakeStore } from '../../test/support/fake-platform.js';
import { GatewayProcesses } from './gateway-processes.js';
import { runAndStop } from './run-and-stop.js';
import type { SoakProcess } from './soak-fleet.js';
import { StreamBackend } from './stream-backend.js';
import { StreamCaller } from './stream-caller.js';
import type { StreamAttempt, StreamResult } from './stream-caller.js';
import { ServingVersions, StreamRollout } from './stream-rollout.js';

/** One kind of fault, applied throughout a run. */
export type StreamFault =
  /** Backends crash in turn and restart under a new id at their version. */
  | 'crash'
  /**
   * Backends end in turn and restart under their ids with the other version; the new process is
   * announced later, once the store responds.
   */
  | 'restart'
  /** All backends of the older version drain and end soon after, streams under way. */
  | 'leave'
  /**
   * All backends are replaced by those of a newer version, twice; with `kill-all` the gateways are
   * killed around the end of the last old one.
   */
  | 'replace'
  /** Callers cut a third of their connections. */
  | 'cut'
  /** Gateways are killed in turn. */
  | 'kill'
  /** All gateways are killed at once. */
  | 'kill-all'
  /** Gateways are stopped in turn and finish their requests. */
  | 'stop'
  /** Gateways are paused in turn. */
  | 'pause'
  /** All slot agents are paused for most of the run. */
  | 'pause-agents'
  /** The store does not respond for most of the run. */
  | 'outage';

/** Slot agents of a run. */
export type AgentMode =
  | 'none'
  /** They stay when the backend beside them is replaced. */
  | 'stay'
  /** Each starts and ends with the backend beside it, on a machine of its own. */
  | 'move';

/** Options of a run. */
export interface StreamRunOptions {
  readonly faults: ReadonlySet<StreamFault>;
  readonly gateways: number;
  /** Slot agents beside the backends, which are engines then. */
  readonly agents: AgentMode;
  /** Whether the backends are engines; with slot agents they always are. */
  readonly hasEngines: boolean;
  readonly seed: number;
  readonly lengthMs: number;
  /** First port; each host uses several. */
  readonly basePort: number;
  /** Time from the end of the last replaced backend to the kill of all gateways, in milliseconds. */
  readonly killLagMs: number;
  /** Time for which a replaced backend drains before it ends, in milliseconds. */
  readonly replacedDrainMs: number;
  /** Whether a backend that replaces another one has its id. */
  readonly keepsIds: boolean;
  /** Whether callers name the stream that they resume. */
  readonly namesStreams: boolean;
  /** Timeout of the route, in milliseconds. */
  readonly routeTimeoutMs: number;
}

/** Results of a run. */
export interface StreamRunReport {
  readonly streams: number;
  /** Share of new streams that began. */
  readonly begun: number;
  /** Requests that resume a stream and got a response, and how many continued it. */
  readonly resumed: number;
  readonly continued: number;
  /** Resumptions that gateways refused as not executed. */
  readonly refused: number;
  /** Callers that hold events of two versions, and of those within one response. */
  readonly mixed: number;
  readonly mixedInResponse: number;
  /** Callers with a missing or repeated event. */
  readonly gaps: number;
  /**
   * Streams that were resumed while two backends of their version or more served, and those of them
   * that went on.
   */
  readonly servable: number;
  readonly servableContinued: number;
  /** Share of the streams requested within some seconds after a kill of all gateways that began. */
  readonly begunAfterKill: number | undefined;
  readonly folder: string;
}

const VERSIONS = ['v1', 'v1.2'] as const;
const BACKENDS_PER_VERSION = 4;
const SLOTS = 10;
const STREAMS_PER_S = 45;
const KILL_INTERVAL_MS = 2_600;
const CRASH_INTERVAL_MS = 900;
const CRASH_DOWNTIME_MS = 600;
const RESTART_INTERVAL_MS = 500;
const RESTART_DOWNTIME_MS = 250;
const ANNOUNCE_DELAY_MS = 1_000;
const PAUSE_MS = 1_500;
const LEAVE_AFTER_MS = 2_000;
const DRAIN_MS = 600;
const OUTAGE_MS = 9_000;
const SETTLE_MS = 3_000;
const DRAIN_CALLERS_MS = 5_500;
const MS_PER_S = 1_000;
const CUT_SHARE = 1 / 3;
const MAX_CUT_EVENTS = 10;
const FIRST_ROLLOUT_MS = 500;
const ROLLOUTS = 2;
const MIN_DOWNTIME_MS = 100;
const MAX_DOWNTIME_MS = 1_500;
const AFTER_KILL_MS = 4_000;
const MAX_ATTEMPTS_AFTER_KILL = 12;
const MIN_SERVING = 2;

/** Runs one scenario and returns its results. */
export function runStreams(options: StreamRunOptions): Promise<StreamRunReport> {
  return runAndStop(new StreamRun(options));
}

class StreamRun {
  private readonly random: RandomSource;
  private readonly store = new FakeStore();
  private readonly processes: GatewayProcesses;
  private readonly backends: StreamBackend[] = [];
  /** Indexes of backends that are down. */
  private readonly ended = new Set<number>();
  private readonly agents = new Map<string, SoakProcess>();
  private readonly serving = new ServingVersions();
  private readonly killedAtMs: number[] = [];
  private readonly results: Array<Promise<StreamResult>> = [];
  private readonly timers = new Set<NodeJS.Timeout>();
  private lives = 0;
  private agentStarts = 0;

  constructor(private readonly options: StreamRunOptions) {
    this.random = new SeededRandom(options.seed);
    this.processes = new GatewayProcesses({
      network: '127.0.7',
      basePort: options.basePort,
      folderName: 'streams',
    });
  }

  async run(): Promise<StreamRunReport> {
    const store = await this.store.start();
    this.configure();
    for (let index = 0; index < VERSIONS.length * BACKENDS_PER_VERSION; index += 1) {
      await this.startBackend(index);
      this.startAgent(this.backends[index]!.host);
    }
    for (let index = 0; index < this.options.gateways; index += 1) {
      this.processes.startGateway(store, {
        settingsLines: ['[listen]', `slotAgentPort = ${this.options.basePort + 5}`],
      });
    }
    await this.processes.waitUntilReady();
    await delay(SETTLE_MS);
    this.runEvery(MS_PER_S / STREAMS_PER_S, () => this.startCaller());
    await delay(MS_PER_S);
    this.startFaults();
    await delay(this.options.lengthMs);
    this.stopTimers();
    await delay(DRAIN_CALLERS_MS);
    return this.report(await Promise.all(this.results));
  }

  stop(): void {
    this.stopTimers();
    this.processes.stop();
    this.backends.forEach((backend) => backend.crash());
    this.store.stop();
  }

  private startFaults(): void {
    const { gateways } = this.processes;
    const actions: Readonly<Record<StreamFault, () => void>> = {
      crash: () => this.runEvery(CRASH_INTERVAL_MS, () => void this.crashOne()),
      restart: () => this.runEvery(RESTART_INTERVAL_MS, () => void this.restartOne()),
      leave: () => this.runOnce(LEAVE_AFTER_MS, () => this.endOldVersion()),
      cut: () => undefined,
      kill: () => this.inTurn(KILL_INTERVAL_MS, (index) => gateways[index]!.signal('SIGKILL')),
      'kill-all': () => {
        if (!this.options.faults.has('replace')) {
          this.runEvery(this.options.lengthMs / 3, () =>
            gateways.forEach((gateway) => gateway.signal('SIGKILL')),
          );
        }
      },
      replace: () => this.scheduleRollouts(),
      stop: () => this.inTurn(KILL_INTERVAL_MS, (index) => gateways[index]!.signal('SIGTERM')),
      pause: () =>
        this.inTurn(KILL_INTERVAL_MS, (index) => {
          gateways[index]!.signal('SIGSTOP');
          setTimeout(() => gateways[index]!.signal('SIGCONT'), PAUSE_MS);
        }),
      'pause-agents': () => {
        this.agents.forEach((agent) => agent.signal('SIGSTOP'));
        this.runOnce(OUTAGE_MS, () => this.agents.forEach((agent) => agent.signal('SIGCONT')));
      },
      outage: () => {
        this.store.behavior = 'silent';
        this.runOnce(OUTAGE_MS, () => (this.store.behavior = 'answers'));
      },
    };
    this.options.faults.forEach((fault) => actions[fault]());
  }

  private inTurn(intervalMs: number, action: (index: number) => void): void {
    let next = 0;
    this.runEvery(intervalMs, () => {
      action(next % this.options.gateways);
      next += 1;
    });
  }

  private async crashOne(): Promise<void> {
    const index = randomInteger(this.random, 0, this.backends.length - 1);
    const crashed = this.backends[index]!;
    crashed.crash();
    await delay(CRASH_DOWNTIME_MS);
    this.store.remove(`servers/${crashed.id}`);
    await this.startBackend(index);
  }

  private async restartOne(): Promise<void> {
    const index = randomInteger(this.random, 0, this.backends.length - 1);
    if (this.ended.has(index)) {
      return;
    }
    this.ended.add(index);
    const { id, version } = this.backends[index]!;
    this.backends[index]!.crash();
    await delay(RESTART_DOWNTIME_MS);
    const nextVersion = VERSIONS.find((other) => other !== version)!;
    const restarted = new StreamBackend(id, nextVersion, Date.now(), backendHost(index));
    await restarted.start(this.options.basePort + 6);
    this.backends[index] = restarted;
    this.ended.delete(index);
    this.announceOnceReachable(restarted);
  }

  private announceOnceReachable(backend: StreamBackend): void {
    this.runOnce(ANNOUNCE_DELAY_MS, () => {
      if (!this.backends.includes(backend)) {
        return;
      }
      if (this.store.behavior === 'answers') {
        this.announce(backend, 'ready');
      } else {
        this.announceOnceReachable(backend);
      }
    });
  }

  private endOldVersion(): void {
    const old = this.backends.filter(({ version }) => version === VERSIONS[0]);
    old.forEach((backend) => this.announce(backend, 'draining'));
    this.runOnce(DRAIN_MS, () => {
      for (const backend of old) {
        backend.crash();
        this.store.remove(`servers/${backend.id}`);
      }
    });
  }

  private async startBackend(index: number): Promise<void> {
    this.lives += 1;
    const isReplaced = this.options.faults.has('replace');
    const version = VERSIONS[isReplaced ? 0 : Math.floor(index / BACKENDS_PER_VERSION)]!;
    const host = backendHost(index);
    const backend = new StreamBackend(`w-${index}-${this.lives}`, version, Date.now(), host);
    await backend.start(this.options.basePort + 6);
    this.backends[index] = backend;
    this.announce(backend, 'ready');
  }

  private startAgent(host: string): void {
    if (this.options.agents === 'none') {
      return;
    }
    const name = `agent-${host.split('.').at(-1)}-${this.agentStarts}`;
    this.agentStarts += 1;
    this.agents.set(host, this.processes.startOtherProcess(name, this.agentSettings(name, host)));
  }

  private scheduleRollouts(): void {
    const rollout = new StreamRollout({
      backends: this.backends,
      keepsIds: this.options.keepsIds,
      hostFor: (index, generation) => this.hostInGeneration(index, generation),
      port: this.options.basePort + 6,
      drainMs: this.options.replacedDrainMs,
      announce: (backend, state) => this.announce(backend, state),
      onStarted: ({ host }) => {
        if (this.options.agents === 'move') {
          this.startAgent(host);
        }
      },
      onEnded: (backend) => this.removeReplaced(backend),
      schedule: (delayMs, action) => this.runOnce(delayMs, action),
    });
    for (let generation = 1; generation <= ROLLOUTS; generation += 1) {
      const startMs = FIRST_ROLLOUT_MS + ((generation - 1) * this.options.lengthMs) / ROLLOUTS;
      this.runOnce(startMs, () => rollout.start(generation));
      if (this.options.faults.has('kill-all')) {
        const killAtMs = startMs + rollout.durationMs + this.options.killLagMs;
        this.runOnce(killAtMs, () => this.killAllGateways());
      }
    }
  }

  /** Agents that stay serve the backend that takes over the address of the former one. */
  private hostInGeneration(index: number, generation: number): string {
    const isInPlace = this.options.agents === 'stay';
    const count = VERSIONS.length * BACKENDS_PER_VERSION;
    return backendHost(index + (isInPlace ? 0 : (generation % 2) * count));
  }

  private removeReplaced(backend: StreamBackend): void {
    if (!this.options.keepsIds) {
      this.store.remove(`servers/${backend.id}`);
    }
    if (this.options.agents === 'move') {
      this.agents.get(backend.host)?.stop();
      this.agents.delete(backend.host);
    }
  }

  private killAllGateways(): void {
    this.killedAtMs.push(performance.now());
    for (const gateway of this.processes.gateways) {
      gateway.restartDelayMs = randomInteger(this.random, MIN_DOWNTIME_MS, MAX_DOWNTIME_MS);
      gateway.signal('SIGKILL');
    }
  }

  private announce(backend: StreamBackend, state: string): void {
    const index = Number(backend.id.split('-')[1]);
    const { id, version, bornAtMs, host } = backend;
    this.serving.update(backend, state);
    this.store.announce(id, {
      address: `${host}:${this.options.basePort + 6}`,
      service: 'writers',
      slots: SLOTS,
      zone: `z${index % 3}`,
      version,
      state,
      born: bornAtMs,
    });
  }

  private configure(): void {
    this.store.put('op/config', {
      version: 1,
      routes: [
        {
          name: 'stream',
          host: 'streams.example',
          pathPrefix: '/stream/',
          kind: 'streaming',
          resumable: true,
          timeoutMs: this.options.routeTimeoutMs,
          targetLatencyMs: 500,
          gapAimMs: 250,
          maxAttempts: 2,
          priority: 1,
          service: 'writers',
        },
      ],
      services: [
        {
          name: 'writers',
          maxConnections: 400,
          ...(this.options.hasEngines ? { engine: { stride: 3 } } : {}),
        },
      ],
      tenants: [{ name: 'shop', apiKeys: ['stream-key'] }],
    });
  }

  private agentSettings(name: string, host: string): string[] {
    const index = this.backends.find((backend) => backend.host === host)!.id.split('-')[1];
    return [
      '[process]',
      'role = slot-agent',
      `name = ${name}`,
      `zone = z${Number(index) % 3}`,
      `address = ${host}`,
      '[listen]',
      `slotAgentPort = ${this.options.basePort + 5}`,
      '[cluster]',
      `seeds = ${this.processes.seeds}`,
      '[engine]',
      `address = ${host}:${this.options.basePort + 6}`,
    ];
  }

  private startCaller(): void {
    const isCut = this.options.faults.has('cut') && this.random.next() < CUT_SHARE;
    let gateway = randomInteger(this.random, 0, this.options.gateways - 1);
    const caller = new StreamCaller({
      id: `c${this.results.length}`,
      path: `/stream/c${this.results.length}`,
      headers: {
        Host: 'streams.example',
        Authorization: 'Bearer stream-key',
        'X-Weirvale-Token-Counts': '100,42',
      },
      nextGateway: () => {
        gateway = (gateway + 1) % this.options.gateways;
        const host = this.processes.hostOf(gateway);
        return { index: gateway, host, port: this.processes.callersPort() };
      },
      cutAfterEvents: isCut ? randomInteger(this.random, 1, MAX_CUT_EVENTS) : undefined,
      namesStream: this.options.namesStreams,
      ...(this.options.faults.has('replace') ? { maxAttempts: MAX_ATTEMPTS_AFTER_KILL } : {}),
    });
    this.results.push(caller.run());
  }

  private report(results: readonly StreamResult[]): StreamRunReport {
    const attempts = results.flatMap((result) => result.attempts);
    const resumptions = attempts.filter(({ isResumption, status }) => isResumption && status > 0);
    const mixed = results.filter(({ versions }) => versions.size > 1);
    const begun = results.filter(({ versions }) => versions.size > 0).length;
    const servable = results.filter((result) => this.isServable(result));
    return {
      streams: results.length,
      begun: begun / results.length,
      resumed: resumptions.length,
      continued: resumptions.filter(isContinuation).length,
      refused: resumptions.filter(({ isRefused }) => isRefused).length,
      mixed: mixed.length,
      mixedInResponse: mixed.filter(({ isMixedInResponse }) => isMixedInResponse).length,
      gaps: results.filter(({ hasGap }) => hasGap).length,
      servable: servable.length,
      servableContinued: servable.filter(({ attempts: own }) => own.some(isContinuation)).length,
      begunAfterKill: this.shareBegunAfterKill(results),
      folder: this.processes.folder,
    };
  }

  private isServable({ attempts, versions }: StreamResult): boolean {
    const [version] = versions;
    const resumptions = attempts.filter(({ isResumption, status }) => isResumption && status > 0);
    return (
      resumptions.length > 0 &&
      resumptions.every(
        ({ startedAtMs, endedAtMs }) =>
          this.serving.count(version!, startedAtMs) >= MIN_SERVING &&
          this.serving.count(version!, endedAtMs) >= MIN_SERVING,
      )
    );
  }

  private shareBegunAfterKill(results: readonly StreamResult[]): number | undefined {
    const requested = results.filter(({ attempts }) => {
      const startedAtMs = attempts[0]?.startedAtMs ?? 0;
      return this.killedAtMs.some(
        (atMs) => startedAtMs >= atMs && startedAtMs <= atMs + AFTER_KILL_MS,
      );
    });
    const begun = requested.filter(({ versions }) => versions.size > 0);
    return requested.length === 0 ? undefined : begun.length / requested.length;
  }

  private runEvery(periodMs: number, action: () => void): void {
    this.timers.add(setInterval(action, periodMs));
  }

  private runOnce(delayMs: number, action: () => void): void {
    this.timers.add(setTimeout(action, delayMs));
  }

  private stopTimers(): void {
    this.timers.forEach((timer) => clearTimeout(timer));
    this.timers.clear();
  }
}

function isContinuation({ isResumption, status, events, isComplete }: StreamAttempt): boolean {
  return isResumption && status > 0 && (events > 0 || isComplete);
}

function backendHost(index: number): string {
  return `127.0.8.${10 + index}`;
}
