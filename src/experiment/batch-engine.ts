/**
 * Simulates an engine with continuous batching: each iteration emits one event of every stream
 * whose prefill is complete and also prefills prompts, so a long prompt delays the other streams.
 */
import type { Clock, TimerHandle } from '../clock.js';
import type { RandomSource } from '../random.js';

/** Speed and capacity of a simulated engine. */
export interface BatchEngineOptions {
  readonly slots: number;
  readonly stepMs: number;
  readonly firstMs: number;
  readonly prefillTokensPerMs: number;
  readonly tokensPerEvent: number;
  /** Speed factor; 1 is the reference speed, higher is faster. */
  readonly speed: number;
}

/** A request submitted to an engine, with its callbacks. */
export interface BatchJob {
  readonly promptTokens: number;
  readonly events: number;
  onEvent(number: number): void;
  /** Called after the last event. */
  onEnd(): void;
  /** Called when the engine crashes or aborts the request; no other callback follows. */
  onAborted(): void;
}

interface JobState {
  readonly job: BatchJob;
  pendingPromptTokens: number;
  /** Remaining delay of the first event, in addition to the prefill, in milliseconds. */
  firstEventDelayMs: number;
  emittedEvents: number;
  /** Number of the event in whose place the request is aborted; Infinity if it completes. */
  readonly abortsAtEvent: number;
}

/** Prompt tokens that are prefilled between two decoding steps. */
const PREFILL_CHUNK_TOKENS = 1_024;
/** Maximum length of an engine's own queue, per slot; further requests are refused. */
const MAX_QUEUED_PER_SLOT = 6;

/** A simulated engine with continuous batching. */
export class BatchEngine {
  /** Multiplies the duration of every iteration; above 1 the engine is slow. */
  slowFactor = 1;
  /** Share of the requests that are aborted before they complete. */
  failureShare = 0;
  private isDown = false;
  private running: JobState[] = [];
  private waiting: JobState[] = [];
  private iterationTimer: TimerHandle | undefined;

  constructor(
    private readonly clock: Clock,
    private readonly options: BatchEngineOptions,
    private readonly random: RandomSource,
  ) {}

  /** Number of running and queued requests. */
  get requestCount(): number {
    return this.running.length + this.waiting.length;
  }

  get runningCount(): number {
    return this.running.length;
  }

  /** Whether it accepts connections. */
  get isUp(): boolean {
    return !this.isDown;
  }

  /** Enqueues a request; returns false if the queue is full or the engine is down. */
  submit(job: BatchJob): boolean {
    const { slots, firstMs } = this.options;
    if (this.isDown || this.waiting.length >= slots * MAX_QUEUED_PER_SLOT) {
      return false;
    }
    const isFailing = this.random.next() < this.failureShare;
    const abortsAtEvent = isFailing ? Math.ceil(this.random.next() * job.events) : Infinity;
    this.waiting.push({
      job,
      pendingPromptTokens: job.promptTokens,
      firstEventDelayMs: firstMs,
      emittedEvents: 0,
      abortsAtEvent,
    });
    this.fillSlots();
    return true;
  }

  /** Removes a request whose caller disconnected. */
  cancel(job: BatchJob): void {
    this.running = this.running.filter((state) => state.job !== job);
    this.waiting = this.waiting.filter((state) => state.job !== job);
    this.fillSlots();
  }

  /** Stops the engine and aborts its running and queued requests. */
  crash(): void {
    this.isDown = true;
    const aborted = [...this.running, ...this.waiting];
    this.running = [];
    this.waiting = [];
    this.clock.clearTimeout(this.iterationTimer);
    this.iterationTimer = undefined;
    for (const { job } of aborted) {
      job.onAborted();
    }
  }

  /** Brings a crashed engine up again, without requests. */
  restart(): void {
    this.isDown = false;
  }

  private fillSlots(): void {
    while (this.running.length < this.options.slots && this.waiting.length > 0) {
      this.running.push(this.waiting.shift()!);
    }
    if (this.iterationTimer === undefined && this.running.length > 0) {
      this.scheduleIteration();
    }
  }

  private scheduleIteration(): void {
    const { stepMs, tokensPerEvent, prefillTokensPerMs, speed } = this.options;
    const isDecoding = this.running.some(
      (state) => state.pendingPromptTokens <= 0 && state.firstEventDelayMs <= 0,
    );
    const prefilled = this.prefill(PREFILL_CHUNK_TOKENS * tokensPerEvent);
    const decodeMs = isDecoding || prefilled === 0 ? stepMs * tokensPerEvent : 0;
    const iterationMs = ((decodeMs + prefilled / prefillTokensPerMs) / speed) * this.slowFactor;
    this.iterationTimer = this.clock.setTimeout(() => this.endIteration(iterationMs), iterationMs);
  }

  /** Prefills up to `maxTokens` prompt tokens in order of arrival; returns the number prefilled. */
  private prefill(maxTokens: number): number {
    let remaining = maxTokens;
    for (const state of this.running) {
      const tokens = Math.min(remaining, state.pendingPromptTokens);
      state.pendingPromptTokens -= tokens;
      remaining -= tokens;
    }
    return maxTokens - remaining;
  }

  private endIteration(iterationMs: number): void {
    this.iterationTimer = undefined;
    const ended: JobState[] = [];
    for (const state of [...this.running]) {
      if (state.pendingPromptTokens > 0) {
        continue;
      }
      state.firstEventDelayMs -= iterationMs;
      if (state.firstEventDelayMs <= 0) {
        state.emittedEvents += 1;
        if (state.emittedEvents < state.abortsAtEvent) {
          state.job.onEvent(state.emittedEvents);
        }
        if (state.emittedEvents >= Math.min(state.job.events, state.abortsAtEvent)) {
          ended.push(state);
        }
      }
    }
    this.running = this.running.filter((state) => !ended.includes(state));
    for (const { job, abortsAtEvent } of ended) {
      if (abortsAtEvent === Infinity) {
        job.onEnd();
      } else {
        job.onAborted();
      }
    }
    this.fillSlots();
  }
}
