/** Learned speeds of engines, and which engine has which prompt prefix in its cache. */
import type { AnswerEndMessage } from '../protocol/messages.js';

/** What was learned of one engine. */
interface EngineSpeed {
  prefillTokensPerMs: number;
  decodeMsPerToken: number;
  samples: number;
}

/** The part of a request that its duration depends on. */
export interface RequestShape {
  readonly model: string;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  readonly prefixHash: string;
}

const PRIOR: EngineSpeed = { prefillTokensPerMs: 4, decodeMsPerToken: 10, samples: 0 };
const SMOOTHING = 0.2;
const PRIOR_OUTPUT_SHARE = 0.5;
const MAX_REMEMBERED_PREFIXES = 20_000;
const ENGINES_PER_PREFIX = 4;
const CACHED_PREFILL_SHARE = 0.3;
const MIN_DECODE_TOKENS = 4;
const MIN_PREFILL_TOKENS = 16;

/** Learned speeds of engines. */
export class EngineSpeeds {
  private readonly speeds = new Map<string, EngineSpeed>();
  private readonly outputShares = new Map<string, number>();
  private readonly enginesByPrefix = new Map<string, string[]>();

  /** Learns from a whole answer. */
  learn(engine: string, shape: RequestShape, end: AnswerEndMessage): void {
    const speed = this.speeds.get(engine) ?? { ...PRIOR };
    this.speeds.set(engine, speed);
    speed.samples += 1;
    const freshTokens = end.promptTokens - end.cachedPromptTokens;
    if (freshTokens >= MIN_PREFILL_TOKENS && end.prefillMs > 0) {
      speed.prefillTokensPerMs = smooth(speed.prefillTokensPerMs, freshTokens / end.prefillMs);
    }
    if (end.outputTokens >= MIN_DECODE_TOKENS && end.decodeMs > 0) {
      speed.decodeMsPerToken = smooth(speed.decodeMsPerToken, end.decodeMs / end.outputTokens);
    }
    if (shape.maxOutputTokens > 0) {
      const share = end.outputTokens / shape.maxOutputTokens;
      const known = this.outputShares.get(shape.model) ?? PRIOR_OUTPUT_SHARE;
      this.outputShares.set(shape.model, smooth(known, share));
    }
    this.rememberPrefix(engine, shape.prefixHash);
  }

  /** Expected time on the engine from start to the end of the answer, in milliseconds. */
  expectedServiceMs(engine: string, shape: RequestShape): number {
    const speed = this.speeds.get(engine) ?? PRIOR;
    const outputShare = this.outputShares.get(shape.model) ?? PRIOR_OUTPUT_SHARE;
    const freshTokens = this.isPrefixCached(engine, shape.prefixHash)
      ? shape.promptTokens * CACHED_PREFILL_SHARE
      : shape.promptTokens;
    const prefillMs = freshTokens / speed.prefillTokensPerMs;
    return prefillMs + shape.maxOutputTokens * outputShare * speed.decodeMsPerToken;
  }

  /** Answers that the engine's speed was learned from. */
  samplesOf(engine: string): number {
    return this.speeds.get(engine)?.samples ?? 0;
  }

  /** Whether the engine lately served a prompt with this prefix; a hint. */
  isPrefixCached(engine: string, prefixHash: string): boolean {
    return prefixHash !== '' && (this.enginesByPrefix.get(prefixHash)?.includes(engine) ?? false);
  }

  private rememberPrefix(engine: string, prefixHash: string): void {
    if (prefixHash === '') {
      return;
    }
    const engines = this.enginesByPrefix.get(prefixHash) ?? [];
    this.enginesByPrefix.delete(prefixHash);
    const others = engines.filter((name) => name !== engine);
    this.enginesByPrefix.set(prefixHash, [engine, ...others].slice(0, ENGINES_PER_PREFIX));
    if (this.enginesByPrefix.size > MAX_REMEMBERED_PREFIXES) {
      const oldest = this.enginesByPrefix.keys().next().value;
      this.enginesByPrefix.delete(oldest ?? '');
    }
  }
}

function smooth(known: number, sample: number): number {
  return known + SMOOTHING * (sample - known);
}
