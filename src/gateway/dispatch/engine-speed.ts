/** Learned speed of one engine: prompt processing, and the interval between events. */
import type { SpeedEstimates, PrefillSpeed } from '../../slot-agent/slot-messages.js';
import { predictFirstEventMs, PrefillEstimate } from './prefill-estimate.js';

/**
 * Smoothing weight of a sample below the estimate. Other load at the engine only lengthens pauses.
 */
const BELOW_SMOOTHING = 0.3;
/** Smoothing weight of a sample above the estimate. */
const ABOVE_SMOOTHING = 0.05;
/**
 * Maximum number of prompt tokens that an engine processes between two decode steps of other
 * requests.
 */
const PREFILL_CHUNK_TOKENS = 1_024;

/** Estimates the speed of one engine. */
export class EngineSpeed {
  private readonly prefillEstimate = new PrefillEstimate();
  private eventMs: number | undefined;

  /** Updates the estimate from the time between a send and the first event. */
  learnFirstEventTime(promptTokens: number, firstMs: number): void {
    this.prefillEstimate.learn(promptTokens, firstMs);
  }

  /** Updates the estimate from the mean interval between the events of a stream. */
  learnEventInterval(pauseMs: number): void {
    if (this.eventMs === undefined) {
      this.eventMs = pauseMs;
      return;
    }
    const smoothing = pauseMs < this.eventMs ? BELOW_SMOOTHING : ABOVE_SMOOTHING;
    this.eventMs += smoothing * (pauseMs - this.eventMs);
  }

  /** Returns the learned time to the first event; undefined before the first sample. */
  get prefill(): PrefillSpeed | undefined {
    return this.prefillEstimate.learned;
  }

  get learned(): SpeedEstimates {
    return { prefill: this.prefill, eventMs: this.eventMs };
  }

  /** Adopts the estimates of other gateways for values that have no estimate yet. */
  adoptLearned(learned: SpeedEstimates): void {
    this.prefillEstimate.adopt(learned.prefill);
    this.eventMs ??= learned.eventMs;
  }

  /** Whether the prompt speed is known. */
  get isKnown(): boolean {
    return this.prefill !== undefined;
  }

  /**
   * Returns the expected time to the first event for `tokens` of queued prompts, in milliseconds;
   * `fallback` is used while the engine's own speed is unknown.
   */
  expectedFirstEventMs(tokens: number, fallback?: PrefillSpeed): number {
    const fit = this.prefill ?? fallback;
    return fit === undefined ? 0 : predictFirstEventMs(fit, tokens);
  }

  /**
   * Returns the longest pause that processing a prompt is expected to cause in concurrent streams,
   * in milliseconds.
   */
  expectedPauseMs(promptTokens: number, tokensPerEvent: number): number {
    const tokensBetweenEvents = Math.min(promptTokens, PREFILL_CHUNK_TOKENS * tokensPerEvent);
    const msPerToken = this.prefill?.msPerToken ?? 0;
    return tokensBetweenEvents * msPerToken + (this.eventMs ?? 0);
  }
}
