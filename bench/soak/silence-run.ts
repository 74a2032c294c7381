/**
 * Runs gateway and slot agent processes on loopback with sound backends that fall silent, while the
 * configuration changes, and counts the requests that end without a complete response.
 */
import { setTimeout as delay } from 'node:timers/promises';
import { SeededRandom, randomInteger } from '../../src/random.js';
import type { RandomSource } from '../../src/random.js';
import { FakeStore } from '../../test/support/fake-platform.js';
import { GatewayProcesses } from './gateway-processes.js';
import { runAndStop } from './run-and-stop.js';
import { SilenceCaller } from './silence-caller.js';
import type { ObservedEnding, RequestEnding, SilenceRequest } from './silence-caller.js';
import {
  CONFIGURATION_CHANGES,
  configurationWith,
  ENGINE_SERVICE,
  PLAIN_SERVICES,
} from './silence-configuration.js';
import type { ConfigurationChange } from './silence-configuration.js';
import { SilentBackend } from './silent-backend.js';

/** One kind of trouble, applied throughout a run. */
export type SilenceTrouble =
  /** Backends fall silent one at a time. */
  | 'one'
  /** Several backends, or all, fall silent at once. */
  | 'several'
  /** The configuration changes, one kind of change after another. */
  | 'changes'
  /** Each engine has a slot agent. */
  | 'agents';

/** Options of a run. */
export interface SilenceRunOptions {
  readonly trouble: ReadonlySet<SilenceTrouble>;
  readonly gateways: number;
  readonly seed: number;
  /** Duration of the trouble, in milliseconds. */
  readonly lengthMs: number;
  /** First port; each host uses several. */
  readonly basePort: number;
}

/** Results of a run. */
export interface SilenceRunReport {
  readonly requests: number;
  /** Number of requests by how they ended. */
  readonly endings: Readonly<Partial<Record<RequestEnding, number>>>;
  /** Requests that ended without a complete response before their time was over. */
  readonly lost: readonly ObservedEnding[];
  /** Unsafe requests that ran more than once. */
  readonly repeatedUnsafe: number;
  readonly silences: number;
  readonly changes: number;
  readonly folder: string;
}

const ENGINES = 4;
const ENGINE_SLOTS = 8;
const PLAIN_BACKENDS = 4;
const PLAIN_SLOTS = 20;
const SETTLE_MS = 3_000;
const CHANGE_INTERVAL_MS = 700;
const SILENCE_MS = { min: 800, max: 1_900 };
const SILENCE_PAUSE_MS = { min: 200, max: 1_200 };
/**
 * Long prompts are sent at the start of each period, when engines are idle, and short ones in a
 * part of it, in milliseconds: so a long prompt runs beside short ones, and no idle engine is left.
 */
const PERIOD_MS = 6_000;
const SHORT_PROMPTS_FROM_MS = 1_100;
const SHORT_PROMPTS_UNTIL_MS = 4_000;
const LONG_PROMPT_TOKENS = 8_000;
const SHORT_PROMPT_TOKENS = 100;
const EVENTS = 30;
const LONG_PROMPT_CALLERS = 2;
const SHORT_PROMPT_CALLERS = 8;
const PLAIN_CALLERS = 4;
const CALLER_PAUSE_MS = { min: 20, max: 300 };
const LOST_ENDINGS = new Set<RequestEnding>(['unanswered', 'broken-off']);

/** Runs one scenario and returns its results. */
export function runSilences(options: SilenceRunOptions): Promise<SilenceRunReport> {
  return runAndStop(new SilenceRun(options));
}

class SilenceRun {
  private readonly random: RandomSource;
  /** A source of its own, so that the load does not change the trouble of a seed. */
  private readonly troubleRandom: RandomSource;
  private readonly store = new FakeStore();
  private readonly processes: GatewayProcesses;
  private readonly backends: SilentBackend[] = [];
  private readonly callers: SilenceCaller[] = [];
  private readonly observed: ObservedEnding[] = [];
  private readonly changes = new Set<ConfigurationChange>();
  private version = 1;
  private silences = 0;
  private nextId = 0;
  private beganAtMs = 0;
  private endsAtMs = Infinity;

  constructor(private readonly options: SilenceRunOptions) {
    this.random = new SeededRandom(options.seed);
    this.troubleRandom = new SeededRandom(options.seed + 1);
    const { basePort } = options;
    this.processes = new GatewayProcesses({
      network: '127.0.9',
      basePort,
      folderName: 'silences',
    });
  }

  async run(): Promise<SilenceRunReport> {
    const store = await this.store.start();
    this.configure();
    await this.startBackends();
    for (let index = 0; index < this.options.gateways; index += 1) {
      this.processes.startGateway(store, {
        settingsLines: ['[listen]', `slotAgentPort = ${this.options.basePort + 5}`],
      });
    }
    await this.processes.waitUntilReady();
    await delay(SETTLE_MS);
    this.beganAtMs = performance.now();
    // The first period has no trouble: gateways learn the speeds of the engines.
    this.endsAtMs = this.beganAtMs + PERIOD_MS + this.options.lengthMs;
    const callers = this.startCallers();
    await delay(PERIOD_MS);
    const trouble = this.startTrouble();
    await Promise.all([...callers, ...trouble]);
    return this.report();
  }

  stop(): void {
    this.endsAtMs = 0;
    this.callers.forEach((caller) => caller.stop());
    this.processes.stop();
    this.backends.forEach((backend) => backend.stop());
    this.store.stop();
  }

  private async startBackends(): Promise<void> {
    for (let index = 0; index < ENGINES; index += 1) {
      await this.startBackend(new SilentBackend(`e-${index}`, 'engine'), ENGINE_SERVICE);
      if (this.options.trouble.has('agents')) {
        this.processes.startOtherProcess(`agent-${index}`, this.agentSettings(index));
      }
    }
    for (let index = 0; index < PLAIN_BACKENDS; index += 1) {
      const service = PLAIN_SERVICES[index % PLAIN_SERVICES.length]!;
      await this.startBackend(new SilentBackend(`p-${index}`, 'plain'), service);
    }
  }

  private async startBackend(backend: SilentBackend, service: string): Promise<void> {
    const index = this.backends.length;
    const port = this.options.basePort + 6;
    await backend.start(backendHost(index), port);
    this.backends.push(backend);
    this.store.announce(backend.id, {
      address: `${backendHost(index)}:${port}`,
      service,
      slots: backend.kind === 'engine' ? ENGINE_SLOTS : PLAIN_SLOTS,
      zone: `z${index % 3}`,
    });
  }

  private agentSettings(index: number): string[] {
    return [
      '[process]',
      'role = slot-agent',
      `name = agent-${index}`,
      `zone = z${index % 3}`,
      `address = ${backendHost(index)}`,
      '[listen]',
      `slotAgentPort = ${this.options.basePort + 5}`,
      '[cluster]',
      `seeds = ${this.processes.seeds}`,
      '[engine]',
      `address = ${backendHost(index)}:${this.options.basePort + 6}`,
    ];
  }

  private configure(): void {
    this.store.put('op/config', configurationWith(this.version, this.changes));
    this.version += 1;
  }

  private startCallers(): Array<Promise<void>> {
    return this.processes.gateways.flatMap((_gateway, index) => [
      ...times(LONG_PROMPT_CALLERS, () => this.sendLongPrompts(this.newCaller(index))),
      ...times(SHORT_PROMPT_CALLERS, () => this.sendShortPrompts(this.newCaller(index))),
      ...times(PLAIN_CALLERS, () => this.sendPlain(this.newCaller(index))),
    ]);
  }

  private newCaller(gateway: number): SilenceCaller {
    const caller = new SilenceCaller(this.processes.hostOf(gateway), this.processes.callersPort());
    this.callers.push(caller);
    return caller;
  }

  private async sendLongPrompts(caller: SilenceCaller): Promise<void> {
    while (performance.now() < this.endsAtMs) {
      await this.send(caller, 'stream', LONG_PROMPT_TOKENS);
      await delay(PERIOD_MS - this.timeInPeriodMs + this.draw(CALLER_PAUSE_MS));
    }
  }

  private async sendShortPrompts(caller: SilenceCaller): Promise<void> {
    while (performance.now() < this.endsAtMs) {
      const { timeInPeriodMs } = this;
      if (timeInPeriodMs < SHORT_PROMPTS_FROM_MS) {
        await delay(SHORT_PROMPTS_FROM_MS - timeInPeriodMs);
      } else if (timeInPeriodMs > SHORT_PROMPTS_UNTIL_MS) {
        await delay(PERIOD_MS - timeInPeriodMs);
      } else {
        await delay(this.draw(CALLER_PAUSE_MS));
        await this.send(caller, 'stream', SHORT_PROMPT_TOKENS);
      }
    }
  }

  private async sendPlain(caller: SilenceCaller): Promise<void> {
    while (performance.now() < this.endsAtMs) {
      await this.send(caller, this.random.next() < 0.5 ? 'safe' : 'unsafe', 0);
      await delay(this.draw(CALLER_PAUSE_MS));
    }
  }

  private async send(
    caller: SilenceCaller,
    route: SilenceRequest['route'],
    promptTokens: number,
  ): Promise<void> {
    const id = `${route}-${this.nextId++}`;
    this.observed.push(await caller.send({ id, route, promptTokens, events: EVENTS }));
  }

  private get timeInPeriodMs(): number {
    return (performance.now() - this.beganAtMs) % PERIOD_MS;
  }

  private startTrouble(): Array<Promise<void>> {
    const { trouble } = this.options;
    const isSilent = trouble.has('one') || trouble.has('several');
    const engines = this.backends.filter(({ kind }) => kind === 'engine');
    const plain = this.backends.filter(({ kind }) => kind === 'plain');
    return [
      ...(isSilent ? [engines, plain].map((group) => this.silence(group)) : []),
      ...(trouble.has('changes') ? [this.changeConfiguration()] : []),
    ];
  }

  /** Lets backends of the group fall silent again and again. */
  private async silence(group: readonly SilentBackend[]): Promise<void> {
    while (performance.now() < this.endsAtMs) {
      const minimum = this.options.trouble.has('several') ? 2 : 1;
      const maximum = this.options.trouble.has('several') ? group.length : 1;
      const count = randomInteger(this.troubleRandom, minimum, maximum);
      const first = randomInteger(this.troubleRandom, 0, group.length - 1);
      const durationMs = this.drawTrouble(SILENCE_MS);
      for (let offset = 0; offset < count; offset += 1) {
        group[(first + offset) % group.length]!.fallSilent(durationMs);
        this.silences += 1;
      }
      await delay(durationMs + this.drawTrouble(SILENCE_PAUSE_MS));
    }
  }

  private async changeConfiguration(): Promise<void> {
    for (let number = 0; performance.now() < this.endsAtMs; number += 1) {
      const change = CONFIGURATION_CHANGES[number % CONFIGURATION_CHANGES.length]!;
      if (!this.changes.delete(change)) {
        this.changes.add(change);
      }
      this.configure();
      await delay(CHANGE_INTERVAL_MS);
    }
  }

  private draw({ min, max }: { min: number; max: number }): number {
    return randomInteger(this.random, min, max);
  }

  private drawTrouble({ min, max }: { min: number; max: number }): number {
    return randomInteger(this.troubleRandom, min, max);
  }

  private report(): SilenceRunReport {
    const endings: Partial<Record<RequestEnding, number>> = {};
    for (const { ending } of this.observed) {
      endings[ending] = (endings[ending] ?? 0) + 1;
    }
    const runs = new Map<string, number>();
    for (const [id, count] of this.backends.flatMap((backend) => [...backend.runs])) {
      runs.set(id, (runs.get(id) ?? 0) + count);
    }
    const isRepeated = ({ id, route }: SilenceRequest) =>
      route === 'unsafe' && (runs.get(id) ?? 0) > 1;
    return {
      requests: this.observed.length,
      endings,
      lost: this.observed.filter(({ ending }) => LOST_ENDINGS.has(ending)),
      repeatedUnsafe: this.observed.filter(isRepeated).length,
      silences: this.silences,
      changes: this.version - 2,
      folder: this.processes.folder,
    };
  }
}

function times<Item>(count: number, create: () => Item): Item[] {
  return Array.from({ length: count }, create);
}

function backendHost(index: number): string {
  return `127.0.10.${10 + index}`;
}
