/**
 * Stand-in for a model engine: continuous batching, step time, a prefix cache of
 * limited size, pause, resume, cancel, and a load report that lags.
 */
import type { Clock, TimerHandle } from '../clock.js';
import { answerLength, answerTokens } from './answer-text.js';

/** Speed and size of a stand-in engine. */
export interface EngineModelOptions {
  /** Prompt tokens that one request's prefill takes in a millisecond. */
  readonly prefillTokensPerMs: number;
  /** Time of one decode step with one running request, in milliseconds. */
  readonly stepMs: number;
  /** Requests that run at once; more wait inside the engine. */
  readonly capacity: number;
  /** Prompt tokens that the prefix cache holds. */
  readonly prefixCacheTokens: number;
  /** Lag of the load report, in milliseconds. */
  readonly loadLagMs: number;
  /** Tokens that one event of the stream carries. */
  readonly tokensPerChunk: number;
}

/** A request as the engine gets it. */
export interface EngineJob {
  readonly id: string;
  readonly prompt: string;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  readonly prefixHash: string;
  /** Jobs with a lower number start first when the engine is full. */
  readonly priority: number;
}

/** Token counts at the end of a job. */
export interface EngineJobUsage {
  readonly promptTokens: number;
  readonly cachedPromptTokens: number;
  readonly outputTokens: number;
}

/** Who hears of a job. */
export interface EngineJobListener {
  onTokens(text: string): void;
  onEnd(usage: EngineJobUsage): void;
  onFailed(detail: string): void;
}

interface RunningJob {
  readonly job: EngineJob;
  hasStarted: boolean;
  readonly listener: EngineJobListener;
  readonly outputTokens: number;
  cachedPromptTokens: number;
  producedTokens: number;
  isPrefilled: boolean;
  isPaused: boolean;
  timer: TimerHandle | undefined;
}

/** How much each further running request slows a step. */
const BATCH_SLOWDOWN = 0.03;
const CACHED_PREFILL_SHARE = 0.1;
const CACHED_PREFIX_SHARE = 0.8;

/** A stand-in engine without any transport. */
export class EngineModel {
  /** Factor on every duration; above 1 the engine is slow. */
  slowFactor = 1;
  /** Prompt tokens whose prefill ended in no delivered answer. */
  wastedPrefillTokens = 0;
  /** Prompt tokens that were prefilled. */
  prefilledTokens = 0;

  private readonly jobs = new Map<string, RunningJob>();
  private readonly prefixes = new Map<string, number>();
  private prefixTokens = 0;
  private reportedLoad = 0;
  private reportedAtMs = 0;

  constructor(
    private readonly clock: Clock,
    readonly options: EngineModelOptions,
  ) {}

  /** Starts a job; a job with the same id as one that runs is an error. */
  submit(job: EngineJob, listener: EngineJobListener): void {
    if (this.jobs.has(job.id)) {
      listener.onFailed('a job with this id runs already');
      return;
    }
    const running: RunningJob = {
      job,
      hasStarted: false,
      listener,
      outputTokens: answerLength(job.prompt, job.maxOutputTokens),
      cachedPromptTokens: 0,
      producedTokens: 0,
      isPrefilled: false,
      isPaused: false,
      timer: undefined,
    };
    this.jobs.set(job.id, running);
    this.startWaiting();
  }

  /** Stops a job for a while; its KV stays. */
  pause(id: string): void {
    const running = this.jobs.get(id);
    if (running !== undefined && !running.isPaused) {
      running.isPaused = true;
      this.clock.clearTimeout(running.timer);
      this.startWaiting();
    }
  }

  /** Goes on with a paused job. */
  resume(id: string): void {
    const running = this.jobs.get(id);
    if (running?.isPaused) {
      running.isPaused = false;
      if (!running.hasStarted) {
        this.startWaiting();
        return;
      }
      this.schedule(running, running.isPrefilled ? this.chunkMs() : this.prefillMs(running));
    }
  }

  /** Ends a job for good; its prefill is wasted. */
  cancel(id: string): void {
    const running = this.jobs.get(id);
    if (running !== undefined) {
      this.clock.clearTimeout(running.timer);
      this.jobs.delete(id);
      if (running.hasStarted) {
        this.wastedPrefillTokens += running.job.promptTokens - running.cachedPromptTokens;
      }
      this.startWaiting();
    }
  }

  /** Ends every job as a crash does: nobody hears of it. */
  crash(): void {
    for (const id of [...this.jobs.keys()]) {
      this.cancel(id);
    }
    this.prefixes.clear();
    this.prefixTokens = 0;
  }

  /** Jobs that run now; paused ones and those that wait inside the engine are not counted. */
  get runningCount(): number {
    return this.running().length;
  }

  /** Identifiers of the jobs that run now. */
  runningIds(): string[] {
    return this.running().map((running) => running.job.id);
  }

  /** The load as the engine reports it: up to `loadLagMs` old. */
  reportLoad(): number {
    if (this.clock.now() - this.reportedAtMs >= this.options.loadLagMs) {
      this.reportedAtMs = this.clock.now();
      this.reportedLoad = this.runningCount;
    }
    return this.reportedLoad;
  }

  private running(): RunningJob[] {
    return [...this.jobs.values()].filter((job) => job.hasStarted && !job.isPaused);
  }

  /** Starts jobs that wait inside the engine, by priority, while there is room in the batch. */
  private startWaiting(): void {
    while (this.runningCount < this.options.capacity) {
      const next = [...this.jobs.values()]
        .filter((waiting) => !waiting.hasStarted && !waiting.isPaused)
        .sort((left, right) => left.job.priority - right.job.priority)[0];
      if (next === undefined) {
        return;
      }
      next.hasStarted = true;
      next.cachedPromptTokens = this.useCachedPrefix(next.job);
      this.prefilledTokens += next.job.promptTokens - next.cachedPromptTokens;
      this.schedule(next, this.prefillMs(next));
    }
  }

  private schedule(running: RunningJob, delayMs: number): void {
    running.timer = this.clock.setTimeout(() => this.advance(running), delayMs);
  }

  private advance(running: RunningJob): void {
    running.isPrefilled = true;
    const { job, listener, outputTokens } = running;
    const end = Math.min(outputTokens, running.producedTokens + this.options.tokensPerChunk);
    const text = answerTokens(job.prompt, running.producedTokens, end);
    running.producedTokens = end;
    const isDone = end === outputTokens;
    if (isDone) {
      this.jobs.delete(job.id);
      this.startWaiting();
    } else {
      this.schedule(running, this.chunkMs());
    }
    listener.onTokens(text);
    if (isDone) {
      const { promptTokens } = job;
      const { cachedPromptTokens } = running;
      listener.onEnd({ promptTokens, cachedPromptTokens, outputTokens });
    }
  }

  private prefillMs(running: RunningJob): number {
    const cached = running.cachedPromptTokens * CACHED_PREFILL_SHARE;
    const fresh = running.job.promptTokens - running.cachedPromptTokens;
    const prefill = (fresh + cached) / this.options.prefillTokensPerMs;
    return (prefill + this.options.stepMs) * this.crowdFactor() * this.slowFactor;
  }

  private chunkMs(): number {
    return this.options.tokensPerChunk * this.options.stepMs * this.crowdFactor() * this.slowFactor;
  }

  /** A full batch serves everybody more slowly, also while a resumed job passes the capacity. */
  private crowdFactor(): number {
    const running = this.runningCount;
    const overload = Math.max(1, running / this.options.capacity);
    return (1 + BATCH_SLOWDOWN * Math.max(0, running - 1)) * overload;
  }

  private useCachedPrefix(job: EngineJob): number {
    if (job.prefixHash === '' || job.promptTokens > this.options.prefixCacheTokens) {
      return 0;
    }
    const isCached = this.prefixes.has(job.prefixHash);
    this.prefixTokens += isCached ? 0 : job.promptTokens;
    const tokens = this.prefixes.get(job.prefixHash) ?? job.promptTokens;
    this.prefixes.delete(job.prefixHash);
    this.prefixes.set(job.prefixHash, tokens);
    this.evictPrefixes();
    return isCached ? Math.floor(job.promptTokens * CACHED_PREFIX_SHARE) : 0;
  }

  private evictPrefixes(): void {
    for (const [hash, tokens] of this.prefixes) {
      if (this.prefixTokens <= this.options.prefixCacheTokens) {
        return;
      }
      this.prefixes.delete(hash);
      this.prefixTokens -= tokens;
    }
  }
}
