/** Learned speed of one engine: how fast it reads prompts, and how far apart its events are. */
import type { LearnedSpeed } from '../slot-agent/slot-messages.js';

const FASTER_SMOOTHING = 0.3;
const SLOWER_SMOOTHING = 0.05;
/** Shorter prompts say little of an engine's speed. */
const MIN_PROMPT_TOKENS = 300;
/** Time to the first event that does not depend on the prompt, in milliseconds. */
const FIXED_FIRST_MS = 6;
/** Tokens of a prompt that an engine reads between two steps of the others, at the most. */
const CHUNK_TOKENS = 1_024;

/** Learned speed of one engine; samples below what is known weigh more, since others' work only adds. */
export class EngineSpeed {
  private prefillMsPerToken: number | undefined;
  private eventMs: number | undefined;

  /** Learns from the time between a send and the first event. */
  learnFirst(promptTokens: number, firstMs: number): void {
    if (promptTokens >= MIN_PROMPT_TOKENS) {
      const sample = Math.max(0, firstMs - FIXED_FIRST_MS) / promptTokens;
      this.prefillMsPerToken = smoothDown(this.prefillMsPerToken, sample);
    }
  }

  /** Learns from the mean pause between the events of a stream. */
  learnPause(pauseMs: number): void {
    this.eventMs = smoothDown(this.eventMs, pauseMs);
  }

  /** What was learned so far. */
  get learned(): LearnedSpeed {
    const { prefillMsPerToken, eventMs } = this;
    return { prefillMsPerToken, eventMs };
  }

  /** Takes over what others learned, where nothing was learned here. */
  adopt(learned: LearnedSpeed): void {
    this.prefillMsPerToken ??= learned.prefillMsPerToken;
    this.eventMs ??= learned.eventMs;
  }

  /** Whether anything was learned of how it reads prompts. */
  get isKnown(): boolean {
    return this.prefillMsPerToken !== undefined;
  }

  /**
   * Expected time to the first event behind `tokens` of prompts, in milliseconds;
   * `usualMsPerToken` stands for what is not known yet.
   */
  expectedFirstMs(tokens: number, usualMsPerToken = 0): number {
    const msPerToken = this.prefillMsPerToken ?? usualMsPerToken;
    return tokens === 0 ? 0 : FIXED_FIRST_MS + tokens * msPerToken;
  }

  /** Longest pause that reading a prompt is expected to cause in the streams beside it, in milliseconds. */
  expectedPauseMs(promptTokens: number, tokensPerEvent: number): number {
    const tokensBetweenEvents = Math.min(promptTokens, CHUNK_TOKENS * tokensPerEvent);
    return tokensBetweenEvents * (this.prefillMsPerToken ?? 0) + (this.eventMs ?? 0);
  }
}

function smoothDown(known: number | undefined, sample: number): number {
  if (known === undefined) {
    return sample;
  }
  const smoothing = sample < known ? FASTER_SMOOTHING : SLOWER_SMOOTHING;
  return known + smoothing * (sample - known);
}
