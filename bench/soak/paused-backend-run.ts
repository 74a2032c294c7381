/**
 * Runs gateway and slot agent processes on loopback with backends in processes of their own that are
 * paused, replaced and drained, and counts the requests that end without a complete response.
 */
import { setTimeout as delay } from 'node:timers/promises';
import { SeededRandom, randomInteger } from '../../src/random.js';
import type { RandomSource } from '../../src/random.js';
import { FakeStore } from '../../test/support/fake-platform.js';
import { GatewayProcesses } from './gateway-processes.js';
import type { PausedBackend } from './paused-backend.js';
import { PausedFleet, ZONES } from './paused-fleet.js';
import { PausedLoad } from './paused-load.js';
import { readEnds } from './request-log.js';
import type { LoggedEnd } from './request-log.js';
import { runAndStop } from './run-and-stop.js';
import type { ObservedEnding, RequestEnding } from './silence-caller.js';
import {
  CONFIGURATION_CHANGES,
  configurationWith,
  SHORTEST_TIMEOUT_MS,
} from './silence-configuration.js';
import type { ConfigurationChange } from './silence-configuration.js';

/** One kind of trouble, applied throughout a run. */
export type PauseTrouble =
  /** Backends stand still, one more every half second. */
  | 'one'
  /** Several backends stand still at once. */
  | 'several'
  /** All backends of one zone stand still at once. */
  | 'rack'
  /** Each backend that stood still does so again soon after it went on. */
  | 'again'
  /** Engines are replaced; the old one drains, stands still at once, and serves what it has. */
  | 'replaced'
  /** The same, and the new one takes over the id while the old one drains. */
  | 'same-id'
  /** The records of backends that stand still are withdrawn until they go on. */
  | 'lapsed'
  /** The configuration changes, one kind of change after another. */
  | 'changes'
  /** Each engine has a slot agent, which starts and ends with it. */
  | 'agents'
  /** Gateways get SIGHUP in turn. */
  | 'hangup'
  /** Gateways get SIGTERM in turn and start again. */
  | 'stop';

/** Options of a run. */
export interface PauseRunOptions {
  readonly trouble: ReadonlySet<PauseTrouble>;
  readonly gateways: number;
  readonly seed: number;
  /** Fraction of the engines' slots that the streams use, 0 to 1. */
  readonly load: number;
  /** Duration of the trouble, in milliseconds. */
  readonly lengthMs: number;
  /** First port; each host uses several. */
  readonly basePort: number;
}

/** A time in which a backend of a lost request stood still; in milliseconds since it was sent. */
export interface RelativePause {
  readonly backend: string;
  readonly fromMs: number;
  readonly untilMs: number;
}

/** A lost request with what explains its end. */
export interface LostRequest extends ObservedEnding {
  readonly logged: readonly LoggedEnd[];
  readonly pauses: readonly RelativePause[];
}

/** Results of a run. */
export interface PauseRunReport {
  readonly requests: number;
  /** Number of requests by how they ended. */
  readonly endings: Readonly<Partial<Record<RequestEnding, number>>>;
  /** Requests that ended without a complete response before `LOST_BEFORE_MS`. */
  readonly lost: readonly LostRequest[];
  /** Unsafe requests that ran more than once. */
  readonly repeatedUnsafe: number;
  readonly pauses: number;
  readonly replaced: number;
  readonly changes: number;
  readonly folder: string;
}

/** A request without an answer counts as lost if it has used less of its time, in milliseconds. */
const LOST_BEFORE_MS = 0.7 * SHORTEST_TIMEOUT_MS;
const LOST_ENDINGS = new Set<RequestEnding>(['unanswered', 'broken-off']);
const SETTLE_MS = 3_000;
const WARM_UP_MS = 4_000;
const PAUSE_MS = { min: 1_300, max: 1_500 };
const ONE_INTERVAL_MS = 500;
const SEVERAL_INTERVAL_MS = 2_400;
const SEVERAL = { min: 2, max: 4 };
/** Time from the end of a pause to the next one of the same backend, in milliseconds. */
const AGAIN_AFTER_MS = { min: 100, max: 350 };
const REPLACE_INTERVAL_MS = 1_200;
const TAKE_OVER_MS = { min: 100, max: 900 };
const LAPSE_AFTER_MS = 200;
const CHANGE_INTERVAL_MS = 2_200;
const HANGUP_INTERVAL_MS = 900;
const STOP_INTERVAL_MS = 5_000;

/** Runs one scenario and returns its results. */
export function runPauses(options: PauseRunOptions): Promise<PauseRunReport> {
  return runAndStop(new PauseRun(options));
}

class PauseRun {
  private readonly random: RandomSource;
  private readonly store = new FakeStore();
  private readonly processes: GatewayProcesses;
  private readonly fleet: PausedFleet;
  private readonly load: PausedLoad;
  private readonly changes = new Set<ConfigurationChange>();
  private readonly timers = new Set<NodeJS.Timeout>();
  private version = 1;

  constructor(private readonly options: PauseRunOptions) {
    const { basePort, load, seed, trouble } = options;
    // The load has a source of its own, so that it does not change the trouble of a seed.
    this.random = new SeededRandom(seed + 1);
    this.processes = new GatewayProcesses({ network: '127.0.9', basePort, folderName: 'pauses' });
    this.fleet = new PausedFleet(this.store, this.processes, {
      basePort,
      hasAgents: trouble.has('agents'),
    });
    this.load = new PausedLoad(this.processes, { load, seed });
  }

  async run(): Promise<PauseRunReport> {
    const store = await this.store.start();
    this.configure();
    await this.fleet.start();
    for (let index = 0; index < this.options.gateways; index += 1) {
      this.processes.startGateway(store, {
        settingsLines: ['[listen]', `slotAgentPort = ${this.options.basePort + 5}`],
      });
    }
    await this.processes.waitUntilReady();
    await delay(SETTLE_MS);
    this.load.start();
    await delay(WARM_UP_MS);
    this.startTrouble();
    await delay(this.options.lengthMs);
    this.stopTimers();
    const observed = await this.load.end();
    return this.report(observed);
  }

  stop(): void {
    this.stopTimers();
    this.load.stop();
    this.processes.stop();
    this.fleet.stop();
    this.store.stop();
  }

  private startTrouble(): void {
    const actions: Readonly<Record<PauseTrouble, () => void>> = {
      one: () => this.runEvery(ONE_INTERVAL_MS, () => this.pauseSome(1)),
      several: () => this.runEvery(SEVERAL_INTERVAL_MS, () => this.pauseSome(this.draw(SEVERAL))),
      rack: () => this.runEvery(SEVERAL_INTERVAL_MS, () => this.pauseZone()),
      again: () => undefined,
      replaced: () => this.replaceEngines(false),
      'same-id': () => this.replaceEngines(true),
      lapsed: () => undefined,
      changes: () => this.changeConfiguration(),
      agents: () => undefined,
      hangup: () => this.signalGateways('SIGHUP', HANGUP_INTERVAL_MS),
      stop: () => this.signalGateways('SIGTERM', STOP_INTERVAL_MS),
    };
    this.options.trouble.forEach((kind) => actions[kind]());
  }

  private pauseSome(count: number): void {
    for (let number = 0; number < count; number += 1) {
      const running = this.fleet.backends.filter(({ isPaused }) => !isPaused);
      if (running.length > 0) {
        this.pause(running[randomInteger(this.random, 0, running.length - 1)]!);
      }
    }
  }

  private pauseZone(): void {
    const zone = `z${randomInteger(this.random, 0, ZONES - 1)}`;
    this.fleet.backends
      .filter(({ options }) => options.zone === zone)
      .forEach((backend) => this.pause(backend));
  }

  private pause(backend: PausedBackend): void {
    const { trouble } = this.options;
    const pauseMs = this.draw(PAUSE_MS);
    const againAfterMs = pauseMs + this.draw(AGAIN_AFTER_MS);
    const againMs = this.draw(PAUSE_MS);
    backend.pause(pauseMs);
    if (trouble.has('lapsed')) {
      this.lapse(backend, pauseMs);
    }
    if (trouble.has('again')) {
      this.runOnce(againAfterMs, () => backend.pause(againMs));
    }
  }

  private lapse(backend: PausedBackend, pauseMs: number): void {
    this.runOnce(LAPSE_AFTER_MS, () => {
      const isServing = this.fleet.backends.includes(backend);
      if (isServing) {
        this.fleet.withdraw(backend);
        setTimeout(() => {
          if (this.fleet.backends.includes(backend)) {
            this.fleet.announce(backend, 'ready');
          }
        }, pauseMs - LAPSE_AFTER_MS);
      }
    });
  }

  private replaceEngines(keepsId: boolean): void {
    let number = 0;
    this.runEvery(REPLACE_INTERVAL_MS, () => {
      const { engines } = this.fleet;
      const old = engines[number % engines.length]!;
      number += 1;
      const pauseMs = this.draw(PAUSE_MS);
      const takeOverMs = this.draw(TAKE_OVER_MS);
      void (keepsId
        ? this.fleet.replaceUnderItsId(old, pauseMs, takeOverMs)
        : this.fleet.replace(old, pauseMs));
    });
  }

  private changeConfiguration(): void {
    let number = 0;
    this.runEvery(CHANGE_INTERVAL_MS, () => {
      const change = CONFIGURATION_CHANGES[number % CONFIGURATION_CHANGES.length]!;
      number += 1;
      if (!this.changes.delete(change)) {
        this.changes.add(change);
      }
      this.configure();
    });
  }

  private configure(): void {
    this.store.put('op/config', configurationWith(this.version, this.changes));
    this.version += 1;
  }

  private signalGateways(signal: 'SIGHUP' | 'SIGTERM', intervalMs: number): void {
    let next = 0;
    this.runEvery(intervalMs, () => {
      const gateway = this.processes.gateways[next % this.options.gateways]!;
      next += 1;
      if (signal === 'SIGHUP') {
        gateway.reload();
      } else {
        gateway.signal(signal);
      }
    });
  }

  private draw({ min, max }: { min: number; max: number }): number {
    return randomInteger(this.random, min, max);
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

  private report(observed: readonly ObservedEnding[]): PauseRunReport {
    const endings: Partial<Record<RequestEnding, number>> = {};
    for (const { ending } of observed) {
      endings[ending] = (endings[ending] ?? 0) + 1;
    }
    const runs = new Map<string, number>();
    for (const id of this.fleet.all.flatMap((backend) => backend.runs)) {
      runs.set(id, (runs.get(id) ?? 0) + 1);
    }
    const isLost = ({ ending, tookMs }: ObservedEnding) =>
      LOST_ENDINGS.has(ending) && tookMs < LOST_BEFORE_MS;
    return {
      requests: observed.length,
      endings,
      lost: this.explain(observed.filter(isLost)),
      repeatedUnsafe: observed.filter(
        ({ id, route }) => route === 'unsafe' && (runs.get(id) ?? 0) > 1,
      ).length,
      pauses: this.fleet.all.flatMap(({ pauses }) => pauses).length,
      replaced: this.fleet.replaced.length,
      changes: this.version - 2,
      folder: this.processes.folder,
    };
  }

  private explain(lost: readonly ObservedEnding[]): LostRequest[] {
    const ends = readEnds(this.processes.folder, new Set(lost.map(({ id }) => id)));
    return lost.map((ending) => {
      const logged = ends.get(ending.id) ?? [];
      const tries = logged.flatMap((end) => end.tries ?? []);
      const tried = new Set(tries.map(({ backend }) => idOf(backend)));
      return { ...ending, logged, pauses: this.pausesDuring(ending, tried) };
    });
  }

  private pausesDuring(
    { sentAtMs, tookMs }: ObservedEnding,
    backendIds: ReadonlySet<string>,
  ): RelativePause[] {
    return this.fleet.all
      .filter(({ id }) => backendIds.has(id))
      .flatMap(({ id, pauses }) =>
        pauses
          .filter(({ fromMs, untilMs }) => fromMs < sentAtMs + tookMs && untilMs > sentAtMs)
          .map(({ fromMs, untilMs }) => ({
            backend: id,
            fromMs: fromMs - sentAtMs,
            untilMs: untilMs - sentAtMs,
          })),
      );
  }
}

/** Returns the id of a backend that a gateway names by its id and its start time. */
function idOf(name: string): string {
  return name.split('@')[0]!;
}
