/** Estimates the share of a backend's recent requests that failed. */
import { DecayedSum } from '../decayed-sum.js';

/**
 * Time constant of the decay, in milliseconds: long enough to hold several outcomes of each engine,
 * short enough to follow the end of a fault.
 */
const DECAY_TIME_CONSTANT_MS = 3_000;
/**
 * Successes assumed in addition to the observed ones, so that a single failure changes the estimate
 * little.
 */
const PRIOR_SUCCESSES = 4;

/** Failure share of one backend; decays while it gets no requests. */
export class FailureEstimate {
  private readonly failed = new DecayedSum(DECAY_TIME_CONSTANT_MS);
  private readonly all = new DecayedSum(DECAY_TIME_CONSTANT_MS);

  /** Records the outcome of a request. */
  recordOutcome(hasFailed: boolean, nowMs: number): void {
    this.all.add(1, nowMs);
    if (hasFailed) {
      this.failed.add(1, nowMs);
    }
  }

  /** Estimated failure share, from 0 to 1. */
  share(nowMs: number): number {
    return this.failed.at(nowMs) / (this.all.at(nowMs) + PRIOR_SUCCESSES);
  }
}
