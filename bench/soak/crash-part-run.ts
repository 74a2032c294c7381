/**
 * Runs gateway and slot agent processes on loopback while some prompts hold a part that ends every
 * engine that begins to answer it, and checks how many reach engines and whether sound requests are
 * served.
 */
import { setTimeout as delay } from 'node:timers/promises';
import { request } from 'undici';
import { SeededRandom, randomInteger } from '../../src/random.js';
import type { RandomSource } from '../../src/random.js';
import { FakeStore } from '../../test/support/fake-platform.js';
import { COMPLETE_RESPONSE_END, CrashPartEngine } from './crash-part-engine.js';
import { GatewayProcesses } from './gateway-processes.js';
import { runAndStop } from './run-and-stop.js';

/** One kind of trouble, applied throughout a run. */
export type CrashPartFault =
  /** The crashing part is the first of the prompt. */
  | 'first'
  /** Two parts crash engines. */
  | 'two'
  /** No part crashes engines. */
  | 'sound'
  /** Gateways are killed in turn. */
  | 'kill'
  /** All gateways are killed at once, twice. */
  | 'kill-all'
  /** Engines end by themselves. */
  | 'crash'
  /** The shared middle parts of sound prompts change each second. */
  | 'renew'
  /** The store does not respond for 8 s from the fifth crash on. */
  | 'outage'
  /** The store is restored halfway, from a backup without the crash record. */
  | 'copy';

/** Options of a run. */
export interface CrashPartRunOptions {
  readonly faults: ReadonlySet<CrashPartFault>;
  readonly gateways: number;
  /** Whether each engine has a slot agent. */
  readonly hasAgents: boolean;
  readonly seed: number;
  readonly lengthMs: number;
  /** First port; each host uses several. */
  readonly basePort: number;
}

/** Results of a run. */
export interface CrashPartRunReport {
  /** Engines that ended under each crashing part. */
  readonly ended: readonly number[];
  /** Requests with each part that reached an engine later than the contact time allows. */
  readonly late: readonly number[];
  /** Requests with each part that reached an engine after the store was restored. */
  readonly afterRestore: readonly number[];
  /** Share of sound requests served at the first attempt, before the outbreak. */
  readonly soundBefore: number;
  /** The same from the first crash to the fifth, or to the last if there are fewer. */
  readonly soundBetween: number;
  /** The same from twice the contact time after that crash on. */
  readonly soundAfter: number;
  readonly folder: string;
}

interface SoundResult {
  readonly sentAtMs: number;
  readonly isServed: boolean;
}

interface Culprit {
  readonly part: string;
  readonly endedAtMs: number[];
  readonly arrivedAtMs: number[];
}

const ENGINES = 12;
const SLOTS = 8;
const SOUND_PER_S = 70;
const CRASHING_PER_S = 5;
const CALM_MS = 3_000;
const SETTLE_MS = 2_000;
const CONTACT_MS = 3_000;
const TOLERATED_CRASHES = 5;
const MIN_DOWNTIME_MS = 1_500;
const MAX_DOWNTIME_MS = 3_500;
const KILL_INTERVAL_MS = 2_600;
const OWN_CRASH_INTERVAL_MS = 1_000;
const OUTAGE_MS = 8_000;
/** Time after which owners write their records to a restored store again. */
const REWRITE_MS = 300;
const DEADLINE_MS = 4_000;
const MS_PER_S = 1_000;
const PARTS_PER_POSITION = 4;
const AGENT_PORT = 5;
const ENGINE_PORT = 6;

/** Runs one scenario and returns its results. */
export function runCrashParts(options: CrashPartRunOptions): Promise<CrashPartRunReport> {
  return runAndStop(new CrashPartRun(options));
}

class CrashPartRun {
  private readonly random: RandomSource;
  private readonly store = new FakeStore();
  private readonly processes: GatewayProcesses;
  private readonly engines: CrashPartEngine[] = [];
  private readonly sound: Array<Promise<SoundResult>> = [];
  private readonly timers = new Set<NodeJS.Timeout>();
  private readonly culprits: readonly Culprit[];
  private outbreakAtMs = 0;
  private lives = 0;
  private lastId = 0;
  private hasOutageBegun = false;
  private restoredAtMs = Infinity;

  constructor(private readonly options: CrashPartRunOptions) {
    const { faults } = options;
    this.random = new SeededRandom(options.seed);
    const count = faults.has('sound') ? 0 : faults.has('two') ? 2 : 1;
    this.culprits = Array.from({ length: count }, (_unused, index) => ({
      part: `bad${index}`,
      endedAtMs: [],
      arrivedAtMs: [],
    }));
    this.processes = new GatewayProcesses({
      network: '127.0.7',
      basePort: options.basePort,
      folderName: 'crash-parts',
    });
  }

  async run(): Promise<CrashPartRunReport> {
    if (this.options.faults.has('copy')) {
      this.store.epoch = 1;
    }
    const store = await this.store.start();
    this.configure();
    for (let index = 0; index < ENGINES; index += 1) {
      await this.startEngine(index);
      if (this.options.hasAgents) {
        this.processes.startOtherProcess(`agent-${index}`, this.agentSettings(index));
      }
    }
    for (let index = 0; index < this.options.gateways; index += 1) {
      this.processes.startGateway(store, {
        settingsLines: ['[listen]', `slotAgentPort = ${this.options.basePort + AGENT_PORT}`],
      });
    }
    await this.processes.waitUntilReady();
    await delay(SETTLE_MS);
    this.runEvery(MS_PER_S / SOUND_PER_S, () => this.sendSound());
    await delay(CALM_MS);
    this.startOutbreak();
    await delay(this.options.lengthMs);
    this.stopTimers();
    return this.report(await Promise.all(this.sound));
  }

  stop(): void {
    this.stopTimers();
    this.processes.stop();
    this.engines.forEach((engine) => engine.end());
    this.store.stop();
  }

  private startOutbreak(): void {
    this.outbreakAtMs = performance.now();
    for (const { part } of this.culprits) {
      this.runEvery(MS_PER_S / CRASHING_PER_S, () => void this.send(this.crashingParts(part)));
    }
    const { faults, lengthMs } = this.options;
    const { gateways } = this.processes;
    if (faults.has('kill')) {
      let next = 0;
      this.runEvery(KILL_INTERVAL_MS, () => {
        gateways[next % gateways.length]!.signal('SIGKILL');
        next += 1;
      });
    }
    if (faults.has('kill-all')) {
      this.runEvery(lengthMs / 3, () => gateways.forEach((gateway) => gateway.signal('SIGKILL')));
    }
    if (faults.has('copy')) {
      this.timers.add(setTimeout(() => this.restoreStore(), lengthMs / 2));
    }
    if (faults.has('crash')) {
      this.runEvery(OWN_CRASH_INTERVAL_MS, () =>
        this.endEngine(randomInteger(this.random, 0, ENGINES - 1)),
      );
    }
  }

  private configure(): void {
    const common = {
      host: 'crash.example',
      timeoutMs: 5_000,
      targetLatencyMs: 500,
      gapAimMs: 250,
      priority: 1,
      service: 'writers',
    };
    const engine = this.options.hasAgents ? { engine: { stride: 3 } } : {};
    this.store.put('op/config', {
      version: 1,
      routes: [
        {
          ...common,
          name: 'stream',
          pathPrefix: '/stream/',
          kind: 'streaming',
          resumable: true,
          maxAttempts: 2,
        },
        { ...common, name: 'call', pathPrefix: '/call/', kind: 'unsafe', maxAttempts: 1 },
      ],
      services: [{ name: 'writers', maxConnections: 400, ...engine }],
      tenants: [{ name: 'shop', apiKeys: ['crash-key'] }],
    });
  }

  private agentSettings(index: number): string[] {
    return [
      '[process]',
      'role = slot-agent',
      `name = agent-${index}`,
      `zone = z${index % 3}`,
      `address = ${engineHost(index)}`,
      '[listen]',
      `slotAgentPort = ${this.options.basePort + AGENT_PORT}`,
      '[cluster]',
      `seeds = ${this.processes.seeds}`,
      '[engine]',
      `address = ${engineHost(index)}:${this.options.basePort + ENGINE_PORT}`,
    ];
  }

  private async startEngine(index: number): Promise<void> {
    this.lives += 1;
    const engine = new CrashPartEngine(`w-${index}-${this.lives}`, Date.now(), this.random, {
      onArrival: (promptParts) => this.recordArrival(promptParts),
      onEndedUnder: (part) => this.endUnder(index, part),
    });
    await engine.start(engineHost(index), this.options.basePort + ENGINE_PORT);
    this.engines[index] = engine;
    this.store.announce(engine.id, {
      address: `${engineHost(index)}:${this.options.basePort + ENGINE_PORT}`,
      service: 'writers',
      slots: SLOTS,
      zone: `z${index % 3}`,
      born: engine.bornAtMs,
    });
  }

  private recordArrival(promptParts: string): string | undefined {
    const culprit = this.culprits.find(({ part }) => promptParts.includes(`${part}:`));
    culprit?.arrivedAtMs.push(performance.now());
    return culprit?.part;
  }

  private endUnder(index: number, part: string): void {
    const culprit = this.culprits.find((each) => each.part === part)!;
    culprit.endedAtMs.push(performance.now());
    const isFifth = culprit.endedAtMs.length === TOLERATED_CRASHES;
    if (this.options.faults.has('outage') && isFifth && !this.hasOutageBegun) {
      this.hasOutageBegun = true;
      this.store.behavior = 'silent';
      this.timers.add(setTimeout(() => (this.store.behavior = 'answers'), OUTAGE_MS));
    }
    this.endEngine(index);
  }

  private restoreStore(): void {
    this.restoredAtMs = performance.now();
    const reverted = this.store.restore(performance.now() - this.outbreakAtMs);
    this.timers.add(setTimeout(() => this.store.rewriteReverted(reverted), REWRITE_MS));
  }

  private endEngine(index: number): void {
    const engine = this.engines[index]!;
    if (!engine.end()) {
      return;
    }
    const downtimeMs = randomInteger(this.random, MIN_DOWNTIME_MS, MAX_DOWNTIME_MS);
    const timer = setTimeout(() => {
      this.store.remove(`servers/${engine.id}`);
      void this.startEngine(index);
    }, downtimeMs);
    this.timers.add(timer);
  }

  private soundParts(): string[] {
    const second = Math.floor(performance.now() / MS_PER_S);
    const middle = this.options.faults.has('renew') ? `d${second.toString(16)}0` : 'b';
    return [
      `a${randomInteger(this.random, 0, PARTS_PER_POSITION - 1)}`,
      `${middle}${randomInteger(this.random, 0, PARTS_PER_POSITION - 1)}`,
    ];
  }

  private crashingParts(part: string): string[] {
    const [first, middle] = this.soundParts();
    return this.options.faults.has('first') ? [part, middle!] : [first!, middle!, part];
  }

  private sendSound(): void {
    const sentAtMs = performance.now();
    const sent = this.send(this.soundParts());
    this.sound.push(sent.then((isServed) => ({ sentAtMs, isServed })));
  }

  /** Sends a request with a last part of its own; returns whether it was served whole. */
  private async send(parts: readonly string[]): Promise<boolean> {
    this.lastId += 1;
    const own = `c${this.lastId.toString(16)}`;
    const gateway = this.processes.hostOf(randomInteger(this.random, 0, this.options.gateways - 1));
    const path = this.random.next() < 0.5 ? 'stream' : 'call';
    try {
      const response = await request(
        `http://${gateway}:${this.processes.callersPort()}/${path}/x`,
        {
          method: 'POST',
          body: own,
          headers: {
            host: 'crash.example',
            authorization: 'Bearer crash-key',
            'x-weirvale-attempt-id': own,
            'x-weirvale-deadline-ms': `${DEADLINE_MS}`,
            'x-weirvale-token-counts': '100,42',
            'x-weirvale-prompt-prefix': [...parts, own].map((part) => `${part}:60`).join(','),
          },
          headersTimeout: DEADLINE_MS,
          bodyTimeout: DEADLINE_MS,
        },
      );
      const text = await response.body.text();
      return response.statusCode === 200 && text.endsWith(COMPLETE_RESPONSE_END);
    } catch {
      return false;
    }
  }

  private report(sound: readonly SoundResult[]): CrashPartRunReport {
    const decidedAtMs = Math.max(this.outbreakAtMs, ...this.culprits.map(decisiveCrashAtMs));
    const firstCrashAtMs = Math.min(
      ...this.culprits.map(({ endedAtMs }) => endedAtMs[0] ?? Infinity),
    );
    const shareOf = (fromMs: number, toMs: number) =>
      servedShare(sound.filter(({ sentAtMs }) => sentAtMs >= fromMs && sentAtMs < toMs));
    return {
      ended: this.culprits.map(({ endedAtMs }) => endedAtMs.length),
      late: this.culprits.map(countLate),
      afterRestore: this.culprits.map(
        ({ arrivedAtMs }) => arrivedAtMs.filter((atMs) => atMs > this.restoredAtMs).length,
      ),
      soundBefore: shareOf(-Infinity, this.outbreakAtMs - MS_PER_S),
      soundBetween: shareOf(firstCrashAtMs, decidedAtMs),
      soundAfter: shareOf(decidedAtMs + 2 * CONTACT_MS, Infinity),
      folder: this.processes.folder,
    };
  }

  private runEvery(periodMs: number, action: () => void): void {
    this.timers.add(setInterval(action, periodMs));
  }

  private stopTimers(): void {
    this.timers.forEach((timer) => clearTimeout(timer));
    this.timers.clear();
  }
}

/** Time of the fifth crash under a part, or of the last if there were fewer. */
function decisiveCrashAtMs({ endedAtMs }: Culprit): number {
  return endedAtMs[TOLERATED_CRASHES - 1] ?? endedAtMs.at(-1) ?? -Infinity;
}

function countLate(culprit: Culprit): number {
  const { endedAtMs, arrivedAtMs } = culprit;
  if (endedAtMs.length < TOLERATED_CRASHES) {
    return 0;
  }
  const fromMs = decisiveCrashAtMs(culprit) + CONTACT_MS;
  return arrivedAtMs.filter((atMs) => atMs > fromMs).length;
}

function servedShare(results: readonly SoundResult[]): number {
  const served = results.filter(({ isServed }) => isServed).length;
  return Number((served / Math.max(1, results.length)).toFixed(3));
}

function engineHost(index: number): string {
  return `127.0.8.${10 + index}`;
}
