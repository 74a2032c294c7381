/**
 * Estimates an engine's time from a send to the first event: a constant part and a time per prompt
 * token.
 *
 * Both parts are fitted by normalized least mean squares. Other load at the engine only lengthens
 * samples, so samples below the estimate move it further than those above.
 */
import type { PrefillSpeed } from '../../slot-agent/slot-messages.js';

/** Step size for a sample below the estimate. */
const BELOW_STEP = 0.3;
/** Step size for a sample above the estimate. */
const ABOVE_STEP = 0.05;
/** Scale of prompt lengths, so that both parts converge at a similar rate. */
const PROMPT_SCALE_TOKENS = 1_000;
/** Fraction of the first sample that is attributed to the constant part. */
const INITIAL_BASE_FRACTION = 0.5;

/** Estimates the time to the first event of one engine. */
export class PrefillEstimate {
  private fit: PrefillSpeed | undefined;

  /** Returns the current estimate; undefined before the first sample. */
  get learned(): PrefillSpeed | undefined {
    return this.fit;
  }

  /** Updates the estimate from the time between a send and the first event. */
  learn(promptTokens: number, firstMs: number): void {
    if (promptTokens <= 0) {
      return;
    }
    if (this.fit === undefined) {
      const baseMs = firstMs * INITIAL_BASE_FRACTION;
      this.fit = { baseMs, msPerToken: (firstMs - baseMs) / promptTokens };
      return;
    }
    const scaled = promptTokens / PROMPT_SCALE_TOKENS;
    const error = firstMs - predictFirstEventMs(this.fit, promptTokens);
    const step = (error < 0 ? BELOW_STEP : ABOVE_STEP) / (1 + scaled * scaled);
    this.fit = {
      baseMs: Math.max(0, this.fit.baseMs + step * error),
      msPerToken: Math.max(0, this.fit.msPerToken + (step * error * scaled) / PROMPT_SCALE_TOKENS),
    };
  }

  /** Adopts the estimate of other gateways if there is no estimate yet. */
  adopt(learned: PrefillSpeed | undefined): void {
    this.fit ??= learned;
  }
}

/** Returns the expected time to the first event for `tokens` of queued prompts, in milliseconds. */
export function predictFirstEventMs(fit: PrefillSpeed, tokens: number): number {
  return tokens === 0 ? 0 : fit.baseMs + fit.msPerToken * tokens;
}
