/** Learned speed of one engine: how fast it reads prompts, and how far apart its events are. */
import type { LearnedSpeed, PrefillSpeed } from '../../slot-agent/slot-messages.js';
import { expectedFirstMs, PrefillEstimate } from './prefill-estimate.js';

/** Weight of a mean pause below what is known; other work at the engine only adds to pauses. */
const FASTER_SMOOTHING = 0.3;
/** Weight of a mean pause above what is known. */
const SLOWER_SMOOTHING = 0.05;
/** Tokens of a prompt that an engine reads between two steps of the others, at the most. */
const CHUNK_TOKENS = 1_024;

/** Learned speed of one engine. */
export class EngineSpeed {
  private readonly prefillEstimate = new PrefillEstimate();
  private eventMs: number | undefined;

  /** Learns from the time between a send and the first event. */
  learnFirst(promptTokens: number, firstMs: number): void {
    this.prefillEstimate.learn(promptTokens, firstMs);
  }

  /** Learns from the mean pause between the events of a stream. */
  learnPause(pauseMs: number): void {
    if (this.eventMs === undefined) {
      this.eventMs = pauseMs;
      return;
    }
    const smoothing = pauseMs < this.eventMs ? FASTER_SMOOTHING : SLOWER_SMOOTHING;
    this.eventMs += smoothing * (pauseMs - this.eventMs);
  }

  /** Learned time to the first event; undefined while nothing was learned. */
  get prefill(): PrefillSpeed | undefined {
    return this.prefillEstimate.learned;
  }

  /** What was learned so far. */
  get learned(): LearnedSpeed {
    return { prefill: this.prefill, eventMs: this.eventMs };
  }

  /** Takes over what others learned, where nothing was learned here. */
  adopt(learned: LearnedSpeed): void {
    this.prefillEstimate.adopt(learned.prefill);
    this.eventMs ??= learned.eventMs;
  }

  /** Whether anything was learned of how it reads prompts. */
  get isKnown(): boolean {
    return this.prefill !== undefined;
  }

  /**
   * Expected time to the first event behind `tokens` of prompts, in milliseconds;
   * `usual` stands for what is not known yet.
   */
  expectedFirstMs(tokens: number, usual?: PrefillSpeed): number {
    const line = this.prefill ?? usual;
    return line === undefined ? 0 : expectedFirstMs(line, tokens);
  }

  /** Longest pause that reading a prompt is expected to cause in the streams beside it, in milliseconds. */
  expectedPauseMs(promptTokens: number, tokensPerEvent: number): number {
    const tokensBetweenEvents = Math.min(promptTokens, CHUNK_TOKENS * tokensPerEvent);
    const msPerToken = this.prefill?.msPerToken ?? 0;
    return tokensBetweenEvents * msPerToken + (this.eventMs ?? 0);
  }
}
