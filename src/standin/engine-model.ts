/**
 * Simulated model engine: continuous batching, decode step time, a prefix cache of limited size,
 * pause, resume and cancel of jobs, and a delayed load report.
 */
import type { Clock, TimerHandle } from '../clock.js';
import { responseTokenCount, responseTokens } from './response-text.js';

/** Speed and capacity of a simulated engine. */
export interface EngineModelOptions {
  /** Prefill throughput of one request, in prompt tokens per millisecond. */
  readonly prefillTokensPerMs: number;
  /** Duration of a decode step with one running request, in milliseconds. */
  readonly stepMs: number;
  /** Maximum batch size; further requests wait in the engine's queue. */
  readonly capacity: number;
  /** Capacity of the prefix cache in prompt tokens. */
  readonly prefixCacheTokens: number;
  /** Maximum age of the load report, in milliseconds. */
  readonly loadLagMs: number;
  /** Tokens per event of the response stream. */
  readonly tokensPerChunk: number;
}

/** A request submitted to the engine. */
export interface EngineJob {
  readonly id: string;
  readonly prompt: string;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  readonly prefixHash: string;
  /** Queued jobs with a lower number start first. */
  readonly priority: number;
}

/** Token counts of a completed job. */
export interface EngineJobUsage {
  readonly promptTokens: number;
  readonly cachedPromptTokens: number;
  readonly outputTokens: number;
}

/** Receives the output of a job and its completion or failure. */
export interface EngineJobListener {
  onTokens(text: string): void;
  onEnd(usage: EngineJobUsage): void;
  onFailed(detail: string): void;
}

interface JobState {
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

/** Fractional increase of the step time per additional running request. */
const SLOWDOWN_PER_REQUEST = 0.03;
/** Prefill cost of a cached prompt token, relative to an uncached one. */
const CACHED_PREFILL_SHARE = 0.1;
/** Share of the prompt tokens that are cached if the prefix is cached. */
const CACHED_PREFIX_SHARE = 0.8;

/** Simulated engine without a transport. */
export class EngineModel {
  /** Multiplier of all durations; above 1 simulates a slow engine. */
  slowFactor = 1;
  /** Prefilled prompt tokens of jobs that were cancelled before completion. */
  wastedPrefillTokens = 0;
  /** Total prefilled prompt tokens, without tokens from the prefix cache. */
  prefilledTokens = 0;

  private readonly jobs = new Map<string, JobState>();
  private readonly cachedPrefixes = new Map<string, number>();
  private cachedPrefixTokens = 0;
  private reportedLoad = 0;
  private reportedAtMs = 0;

  constructor(
    private readonly clock: Clock,
    readonly options: EngineModelOptions,
  ) {}

  /** Submits a job; fails the job if one with the same id is still present. */
  submit(job: EngineJob, listener: EngineJobListener): void {
    if (this.jobs.has(job.id)) {
      listener.onFailed('a job with this id already exists');
      return;
    }
    const jobState: JobState = {
      job,
      hasStarted: false,
      listener,
      outputTokens: responseTokenCount(job.prompt, job.maxOutputTokens),
      cachedPromptTokens: 0,
      producedTokens: 0,
      isPrefilled: false,
      isPaused: false,
      timer: undefined,
    };
    this.jobs.set(job.id, jobState);
    this.startQueuedJobs();
  }

  /** Pauses a job; its KV cache is retained. */
  pause(id: string): void {
    const jobState = this.jobs.get(id);
    if (jobState !== undefined && !jobState.isPaused) {
      jobState.isPaused = true;
      this.clock.clearTimeout(jobState.timer);
      this.startQueuedJobs();
    }
  }

  /** Resumes a paused job. */
  resume(id: string): void {
    const jobState = this.jobs.get(id);
    if (jobState?.isPaused) {
      jobState.isPaused = false;
      if (!jobState.hasStarted) {
        this.startQueuedJobs();
        return;
      }
      this.schedule(
        jobState,
        jobState.isPrefilled ? this.chunkDurationMs() : this.prefillDurationMs(jobState),
      );
    }
  }

  /** Cancels a job; if it has started, its prefill counts as wasted. */
  cancel(id: string): void {
    const jobState = this.jobs.get(id);
    if (jobState !== undefined) {
      this.clock.clearTimeout(jobState.timer);
      this.jobs.delete(id);
      if (jobState.hasStarted) {
        this.wastedPrefillTokens += jobState.job.promptTokens - jobState.cachedPromptTokens;
      }
      this.startQueuedJobs();
    }
  }

  /** Simulates a crash: drops all jobs without notifying their listeners, and the prefix cache. */
  crash(): void {
    for (const id of [...this.jobs.keys()]) {
      this.cancel(id);
    }
    this.cachedPrefixes.clear();
    this.cachedPrefixTokens = 0;
  }

  /** Number of running jobs; paused and queued jobs are not counted. */
  get runningCount(): number {
    return this.runningJobs().length;
  }

  /** Returns the ids of the running jobs. */
  runningIds(): string[] {
    return this.runningJobs().map((jobState) => jobState.job.id);
  }

  /** Returns the number of running jobs, up to `loadLagMs` out of date. */
  reportLoad(): number {
    if (this.clock.now() - this.reportedAtMs >= this.options.loadLagMs) {
      this.reportedAtMs = this.clock.now();
      this.reportedLoad = this.runningCount;
    }
    return this.reportedLoad;
  }

  private runningJobs(): JobState[] {
    return [...this.jobs.values()].filter((job) => job.hasStarted && !job.isPaused);
  }

  /** Starts queued jobs by priority while the batch has free capacity. */
  private startQueuedJobs(): void {
    while (this.runningCount < this.options.capacity) {
      const next = [...this.jobs.values()]
        .filter((waiting) => !waiting.hasStarted && !waiting.isPaused)
        .sort((left, right) => left.job.priority - right.job.priority)[0];
      if (next === undefined) {
        return;
      }
      next.hasStarted = true;
      next.cachedPromptTokens = this.lookUpPrefix(next.job);
      this.prefilledTokens += next.job.promptTokens - next.cachedPromptTokens;
      this.schedule(next, this.prefillDurationMs(next));
    }
  }

  private schedule(jobState: JobState, delayMs: number): void {
    jobState.timer = this.clock.setTimeout(() => this.advance(jobState), delayMs);
  }

  private advance(jobState: JobState): void {
    jobState.isPrefilled = true;
    const { job, listener, outputTokens } = jobState;
    const end = Math.min(outputTokens, jobState.producedTokens + this.options.tokensPerChunk);
    const text = responseTokens(job.prompt, jobState.producedTokens, end);
    jobState.producedTokens = end;
    const isDone = end === outputTokens;
    if (isDone) {
      this.jobs.delete(job.id);
      this.startQueuedJobs();
    } else {
      this.schedule(jobState, this.chunkDurationMs());
    }
    listener.onTokens(text);
    if (isDone) {
      const { promptTokens } = job;
      const { cachedPromptTokens } = jobState;
      listener.onEnd({ promptTokens, cachedPromptTokens, outputTokens });
    }
  }

  private prefillDurationMs(jobState: JobState): number {
    const cachedCost = jobState.cachedPromptTokens * CACHED_PREFILL_SHARE;
    const uncached = jobState.job.promptTokens - jobState.cachedPromptTokens;
    const prefillMs = (uncached + cachedCost) / this.options.prefillTokensPerMs;
    return (prefillMs + this.options.stepMs) * this.batchSlowdownFactor() * this.slowFactor;
  }

  private chunkDurationMs(): number {
    return (
      this.options.tokensPerChunk *
      this.options.stepMs *
      this.batchSlowdownFactor() *
      this.slowFactor
    );
  }

  /** Slowdown of all jobs by the batch size, which resumed jobs can raise above the capacity. */
  private batchSlowdownFactor(): number {
    const runningCount = this.runningCount;
    const overload = Math.max(1, runningCount / this.options.capacity);
    return (1 + SLOWDOWN_PER_REQUEST * Math.max(0, runningCount - 1)) * overload;
  }

  private lookUpPrefix(job: EngineJob): number {
    if (job.prefixHash === '' || job.promptTokens > this.options.prefixCacheTokens) {
      return 0;
    }
    const isCached = this.cachedPrefixes.has(job.prefixHash);
    this.cachedPrefixTokens += isCached ? 0 : job.promptTokens;
    const tokens = this.cachedPrefixes.get(job.prefixHash) ?? job.promptTokens;
    this.cachedPrefixes.delete(job.prefixHash);
    this.cachedPrefixes.set(job.prefixHash, tokens);
    this.evictPrefixes();
    return isCached ? Math.floor(job.promptTokens * CACHED_PREFIX_SHARE) : 0;
  }

  private evictPrefixes(): void {
    for (const [hash, tokens] of this.cachedPrefixes) {
      if (this.cachedPrefixTokens <= this.options.prefixCacheTokens) {
        return;
      }
      this.cachedPrefixes.delete(hash);
      this.cachedPrefixTokens -= tokens;
    }
  }
}
