/** Learns what share of the requests that a back end was given lately failed there. */
import { DecayedSum } from '../decayed-sum.js';

/** Memory of outcomes, in milliseconds: long enough for some of each engine, short enough to see a fault end. */
const MEMORY_MS = 3_000;
/** Answered requests that are assumed beside those that were seen, so that one failure says little. */
const ASSUMED_ANSWERED = 4;

/** Share of failures of one back end; it fades when nothing is given to it. */
export class FailureEstimate {
  private readonly failed = new DecayedSum(MEMORY_MS);
  private readonly all = new DecayedSum(MEMORY_MS);

  /** A request ended there. */
  note(hasFailed: boolean, nowMs: number): void {
    this.all.add(1, nowMs);
    if (hasFailed) {
      this.failed.add(1, nowMs);
    }
  }

  /** Share of failures, from 0 to 1. */
  share(nowMs: number): number {
    return this.failed.at(nowMs) / (this.all.at(nowMs) + ASSUMED_ANSWERED);
  }
}
