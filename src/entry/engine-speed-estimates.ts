/**
 * Estimates engine speeds from completed responses, and tracks which engines have a prompt prefix
 * cached.
 */
import type { AnswerEndMessage } from '../protocol/messages.js';

/** Moving averages of one engine's speeds. */
interface SpeedEstimate {
  prefillTokensPerMs: number;
  decodeMsPerToken: number;
  samples: number;
}

/** The fields of a request that determine its expected duration. */
export interface RequestCost {
  readonly model: string;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  readonly prefixHash: string;
}

const DEFAULT_SPEED: SpeedEstimate = { prefillTokensPerMs: 4, decodeMsPerToken: 10, samples: 0 };
const SMOOTHING_FACTOR = 0.2;
/** Assumed share of the maximum output tokens that a response uses, before the first sample. */
const DEFAULT_OUTPUT_SHARE = 0.5;
const MAX_TRACKED_PREFIXES = 20_000;
const ENGINES_PER_PREFIX = 4;
/** Assumed share of the prompt that is still prefilled if its prefix is cached. */
const CACHED_PREFILL_SHARE = 0.3;
/** Fewer output tokens than this give no sample of the decode speed. */
const MIN_DECODE_TOKENS = 4;
/** Fewer uncached prompt tokens than this give no sample of the prefill speed. */
const MIN_PREFILL_TOKENS = 16;

/** Estimates service times per engine with exponential moving averages. */
export class EngineSpeedEstimates {
  private readonly speeds = new Map<string, SpeedEstimate>();
  private readonly outputShares = new Map<string, number>();
  private readonly enginesByPrefix = new Map<string, string[]>();

  /** Updates the estimates from a complete response. */
  addSample(engine: string, request: RequestCost, end: AnswerEndMessage): void {
    const speed = this.speeds.get(engine) ?? { ...DEFAULT_SPEED };
    this.speeds.set(engine, speed);
    speed.samples += 1;
    const uncachedTokens = end.promptTokens - end.cachedPromptTokens;
    if (uncachedTokens >= MIN_PREFILL_TOKENS && end.prefillMs > 0) {
      speed.prefillTokensPerMs = movingAverage(
        speed.prefillTokensPerMs,
        uncachedTokens / end.prefillMs,
      );
    }
    if (end.outputTokens >= MIN_DECODE_TOKENS && end.decodeMs > 0) {
      speed.decodeMsPerToken = movingAverage(
        speed.decodeMsPerToken,
        end.decodeMs / end.outputTokens,
      );
    }
    if (request.maxOutputTokens > 0) {
      const share = end.outputTokens / request.maxOutputTokens;
      const previous = this.outputShares.get(request.model) ?? DEFAULT_OUTPUT_SHARE;
      this.outputShares.set(request.model, movingAverage(previous, share));
    }
    this.recordPrefix(engine, request.prefixHash);
  }

  /**
   * Returns the expected time from the start on the engine to the end of the response, in
   * milliseconds.
   */
  expectedServiceMs(engine: string, request: RequestCost): number {
    const speed = this.speeds.get(engine) ?? DEFAULT_SPEED;
    const outputShare = this.outputShares.get(request.model) ?? DEFAULT_OUTPUT_SHARE;
    const uncachedTokens = this.isPrefixCached(engine, request.prefixHash)
      ? request.promptTokens * CACHED_PREFILL_SHARE
      : request.promptTokens;
    const prefillMs = uncachedTokens / speed.prefillTokensPerMs;
    return prefillMs + request.maxOutputTokens * outputShare * speed.decodeMsPerToken;
  }

  /** Returns the number of responses that the engine's estimate is based on. */
  sampleCount(engine: string): number {
    return this.speeds.get(engine)?.samples ?? 0;
  }

  /**
   * Whether the engine recently served a prompt with this prefix; a hint, since its cache may have
   * evicted it.
   */
  isPrefixCached(engine: string, prefixHash: string): boolean {
    return prefixHash !== '' && (this.enginesByPrefix.get(prefixHash)?.includes(engine) ?? false);
  }

  private recordPrefix(engine: string, prefixHash: string): void {
    if (prefixHash === '') {
      return;
    }
    const engines = this.enginesByPrefix.get(prefixHash) ?? [];
    this.enginesByPrefix.delete(prefixHash);
    const others = engines.filter((name) => name !== engine);
    this.enginesByPrefix.set(prefixHash, [engine, ...others].slice(0, ENGINES_PER_PREFIX));
    if (this.enginesByPrefix.size > MAX_TRACKED_PREFIXES) {
      const oldest = this.enginesByPrefix.keys().next().value;
      this.enginesByPrefix.delete(oldest ?? '');
    }
  }
}

function movingAverage(previous: number, sample: number): number {
  return previous + SMOOTHING_FACTOR * (sample - previous);
}
