/** Sends requests at a fixed rate, whatever becomes of those before, over kept connections. */
import { SeededRandom, randomInteger } from '../../src/random.js';
import type { RandomSource } from '../../src/random.js';
import type { GatewayProcesses } from './gateway-processes.js';
import { ENGINES, ENGINE_SLOTS } from './paused-fleet.js';
import { SilenceCaller } from './silence-caller.js';
import type { ObservedEnding, SilenceRequest } from './silence-caller.js';
import { EVENT_INTERVAL_MS } from './silent-backend.js';

/** Settings of a load. */
export interface PausedLoadOptions {
  /** Fraction of the engines' slots that the streams use, 0 to 1. */
  readonly load: number;
  readonly seed: number;
}

const STREAM_EVENTS = { min: 5, max: 30 };
const PROMPT_TOKENS = { min: 100, max: 1_500 };
const PLAIN_PER_S = 8;
const MS_PER_S = 1_000;

/** The callers of a run. */
export class PausedLoad {
  private readonly random: RandomSource;
  private readonly idleCallers = new Map<number, SilenceCaller[]>();
  private readonly callers: SilenceCaller[] = [];
  private readonly results: Array<Promise<ObservedEnding>> = [];
  private readonly timers: NodeJS.Timeout[] = [];

  constructor(
    private readonly processes: GatewayProcesses,
    private readonly options: PausedLoadOptions,
  ) {
    this.random = new SeededRandom(options.seed);
  }

  start(): void {
    const meanStreamMs = ((STREAM_EVENTS.min + STREAM_EVENTS.max) / 2) * EVENT_INTERVAL_MS;
    const streamIntervalMs = meanStreamMs / (this.options.load * ENGINES * ENGINE_SLOTS);
    this.timers.push(setInterval(() => this.sendStream(), streamIntervalMs));
    this.timers.push(setInterval(() => this.sendPlain(), MS_PER_S / PLAIN_PER_S));
  }

  /** Sends nothing more; resolves with all results once the last request has ended. */
  end(): Promise<ObservedEnding[]> {
    this.timers.forEach((timer) => clearInterval(timer));
    return Promise.all(this.results);
  }

  stop(): void {
    this.timers.forEach((timer) => clearInterval(timer));
    this.callers.forEach((caller) => caller.stop());
  }

  private sendStream(): void {
    const events = this.draw(STREAM_EVENTS);
    this.results.push(
      this.send({ route: 'stream', promptTokens: this.draw(PROMPT_TOKENS), events }),
    );
  }

  private sendPlain(): void {
    const route = this.random.next() < 0.5 ? 'safe' : 'unsafe';
    this.results.push(this.send({ route, promptTokens: 0, events: 0 }));
  }

  private async send(request: Omit<SilenceRequest, 'id'>): Promise<ObservedEnding> {
    const gateway = randomInteger(this.random, 0, this.processes.gateways.length - 1);
    const idle = this.idleCallers.get(gateway) ?? [];
    this.idleCallers.set(gateway, idle);
    const caller = idle.pop() ?? this.createCaller(gateway);
    const id = `${request.route}-${this.results.length}`;
    const ending = await caller.send({ id, ...request });
    idle.push(caller);
    return ending;
  }

  private createCaller(gateway: number): SilenceCaller {
    const caller = new SilenceCaller(this.processes.hostOf(gateway), this.processes.callersPort());
    this.callers.push(caller);
    return caller;
  }

  private draw({ min, max }: { min: number; max: number }): number {
    return randomInteger(this.random, min, max);
  }
}
