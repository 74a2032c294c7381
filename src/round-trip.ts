/** Estimates the time of a message there and back over one link, from times that also hold other waits. */
import type { Distance } from './routing/places.js';

/**
 * What is assumed of a link until something was measured on it, in milliseconds: halls of one campus are
 * some tenths apart, zones of a region about one each way, regions of one country up to ten.
 */
const ASSUMED_MS: Readonly<Record<Distance, number>> = {
  'same-zone': 0.5,
  'same-region': 2,
  'other-region': 16,
};

/** Weight of a sample below the estimate: waits only add to a sample, so the shorter one is nearer to the truth. */
const FASTER_SMOOTHING = 0.5;
/** Weight of a sample above it. */
const SLOWER_SMOOTHING = 0.05;
/** Most that one sample lifts the estimate, in milliseconds: a busy process may have held it for a long time. */
const MAX_RISE_MS = 0.5;

/** Time there and back over one link. */
export class RoundTrip {
  private estimateMs: number;
  private hasSample = false;

  constructor(distance: Distance) {
    this.estimateMs = ASSUMED_MS[distance];
  }

  /** The estimate, in milliseconds. */
  get ms(): number {
    return this.estimateMs;
  }

  /** Whether anything was measured. */
  get isMeasured(): boolean {
    return this.hasSample;
  }

  /** Something sent over the link was answered after `sampleMs`. */
  learn(sampleMs: number): void {
    if (!(sampleMs >= 0)) {
      return;
    }
    this.hasSample = true;
    const error = sampleMs - this.estimateMs;
    const change = error < 0 ? FASTER_SMOOTHING * error : SLOWER_SMOOTHING * error;
    this.estimateMs += Math.min(change, MAX_RISE_MS);
  }
}
