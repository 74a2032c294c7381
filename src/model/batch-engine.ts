/**
 * A model of an engine that batches continuously: each round makes one event of every stream that is
 * past its prompt, and reads prompts beside that, so that a long prompt holds the others up.
 */
import type { Clock, TimerHandle } from '../clock.js';
import type { RandomSource } from '../random.js';

/** Speed and size of an engine. */
export interface BatchEngineOptions {
  readonly slots: number;
  readonly stepMs: number;
  readonly firstMs: number;
  readonly prefillTokensPerMs: number;
  readonly tokensPerEvent: number;
  /** 1 is the usual speed; higher is faster. */
  readonly speed: number;
}

/** A request at an engine. */
export interface BatchJob {
  readonly promptTokens: number;
  readonly events: number;
  onEvent(number: number): void;
  onEnd(): void;
  onBroken(): void;
}

interface RunningJob {
  readonly job: BatchJob;
  unreadTokens: number;
  /** Time that is left until the first event may come, beside the reading, in milliseconds. */
  setupMs: number;
  made: number;
  /** The event in place of which it breaks off; Infinity for one that does not. */
  readonly breaksAt: number;
}

/** Tokens of a prompt that are read between two steps. */
const CHUNK_TOKENS = 1_024;
/** Requests that wait inside an engine beyond its slots before it refuses. */
const QUEUE_PER_SLOT = 6;

/** One engine. */
export class BatchEngine {
  /** Factor on every time; above 1 the engine is slow. */
  slowFactor = 1;
  /** Share of the requests that break off before their end. */
  failureShare = 0;
  private isDown = false;
  private running: RunningJob[] = [];
  private waiting: RunningJob[] = [];
  private round: TimerHandle | undefined;

  constructor(
    private readonly clock: Clock,
    private readonly options: BatchEngineOptions,
    private readonly random: RandomSource,
  ) {}

  /** Requests that run or wait here. */
  get load(): number {
    return this.running.length + this.waiting.length;
  }

  /** Requests that run here. */
  get atWork(): number {
    return this.running.length;
  }

  /** Whether it answers connections. */
  get isUp(): boolean {
    return !this.isDown;
  }

  /** Takes a request; false when it is full or down. */
  submit(job: BatchJob): boolean {
    const { slots, firstMs } = this.options;
    if (this.isDown || this.waiting.length >= slots * QUEUE_PER_SLOT) {
      return false;
    }
    const isFailing = this.random.next() < this.failureShare;
    const breaksAt = isFailing ? Math.ceil(this.random.next() * job.events) : Infinity;
    this.waiting.push({ job, unreadTokens: job.promptTokens, setupMs: firstMs, made: 0, breaksAt });
    this.fillSlots();
    return true;
  }

  /** The caller of a job left. */
  cancel(job: BatchJob): void {
    this.running = this.running.filter((one) => one.job !== job);
    this.waiting = this.waiting.filter((one) => one.job !== job);
    this.fillSlots();
  }

  /** The engine dies; what it works on is lost. */
  crash(): void {
    this.isDown = true;
    const lost = [...this.running, ...this.waiting];
    this.running = [];
    this.waiting = [];
    this.clock.clearTimeout(this.round);
    this.round = undefined;
    for (const { job } of lost) {
      job.onBroken();
    }
  }

  /** The engine is back, empty. */
  restart(): void {
    this.isDown = false;
  }

  private fillSlots(): void {
    while (this.running.length < this.options.slots && this.waiting.length > 0) {
      this.running.push(this.waiting.shift()!);
    }
    if (this.round === undefined && this.running.length > 0) {
      this.scheduleRound();
    }
  }

  private scheduleRound(): void {
    const { stepMs, tokensPerEvent, prefillTokensPerMs, speed } = this.options;
    const isDecoding = this.running.some((one) => one.unreadTokens <= 0 && one.setupMs <= 0);
    const readTokens = this.readPrompts(CHUNK_TOKENS * tokensPerEvent);
    const decodeMs = isDecoding || readTokens === 0 ? stepMs * tokensPerEvent : 0;
    const roundMs = ((decodeMs + readTokens / prefillTokensPerMs) / speed) * this.slowFactor;
    this.round = this.clock.setTimeout(() => this.endRound(roundMs), roundMs);
  }

  /** Reads up to `maxTokens` of the prompts, first come first served; returns how many were read. */
  private readPrompts(maxTokens: number): number {
    let left = maxTokens;
    for (const one of this.running) {
      const tokens = Math.min(left, one.unreadTokens);
      one.unreadTokens -= tokens;
      left -= tokens;
    }
    return maxTokens - left;
  }

  private endRound(roundMs: number): void {
    this.round = undefined;
    const ended: RunningJob[] = [];
    for (const one of [...this.running]) {
      if (one.unreadTokens > 0) {
        continue;
      }
      one.setupMs -= roundMs;
      if (one.setupMs <= 0) {
        one.made += 1;
        if (one.made < one.breaksAt) {
          one.job.onEvent(one.made);
        }
        if (one.made >= Math.min(one.job.events, one.breaksAt)) {
          ended.push(one);
        }
      }
    }
    this.running = this.running.filter((one) => !ended.includes(one));
    for (const { job, breaksAt } of ended) {
      if (breaksAt === Infinity) {
        job.onEnd();
      } else {
        job.onBroken();
      }
    }
    this.fillSlots();
  }
}
