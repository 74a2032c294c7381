/**
 * Learns how long an engine takes from a send to the first event: a part that does not depend on
 * the prompt, and a time for each of its tokens.
 *
 * Both parts are fitted to the samples by normalized least mean squares. Other work at the engine
 * only adds to a sample, so samples below the line move it further than those above.
 */
import type { PrefillSpeed } from '../../slot-agent/slot-messages.js';

/** Step of the fit for a sample below the line. */
const FASTER_STEP = 0.3;
/** Step of the fit for a sample above the line. */
const SLOWER_STEP = 0.05;
/** Tokens by which prompts are scaled, so that both parts are fitted at a like pace. */
const SCALE_TOKENS = 1_000;
/** Share of the first sample that is taken to be independent of the prompt. */
const FIRST_BASE_SHARE = 0.5;

/** Time to the first event of one engine. */
export class PrefillEstimate {
  private line: PrefillSpeed | undefined;

  /** What was learned so far. */
  get learned(): PrefillSpeed | undefined {
    return this.line;
  }

  /** Learns from the time between a send and the first event. */
  learn(promptTokens: number, firstMs: number): void {
    if (promptTokens <= 0) {
      return;
    }
    if (this.line === undefined) {
      const baseMs = firstMs * FIRST_BASE_SHARE;
      this.line = { baseMs, msPerToken: (firstMs - baseMs) / promptTokens };
      return;
    }
    const scaled = promptTokens / SCALE_TOKENS;
    const error = firstMs - expectedFirstMs(this.line, promptTokens);
    const step = (error < 0 ? FASTER_STEP : SLOWER_STEP) / (1 + scaled * scaled);
    this.line = {
      baseMs: Math.max(0, this.line.baseMs + step * error),
      msPerToken: Math.max(0, this.line.msPerToken + (step * error * scaled) / SCALE_TOKENS),
    };
  }

  /** Takes over what others learned, where nothing was learned here. */
  adopt(learned: PrefillSpeed | undefined): void {
    this.line ??= learned;
  }
}

/** Expected time to the first event behind `tokens` of prompts, in milliseconds. */
export function expectedFirstMs(line: PrefillSpeed, tokens: number): number {
  return tokens === 0 ? 0 : line.baseMs + line.msPerToken * tokens;
}
