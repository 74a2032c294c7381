/** The way there and back over one link: how long it takes, from times that also hold other waits, and what it costs. */
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

/**
 * What the bytes of one request to another region are worth in time, in milliseconds. Bytes between regions
 * take one to two in a hundred of what the requests that cross are worth, and an answer that is late loses
 * most of its worth: that many requests are late by as much at targets of some hundred milliseconds.
 */
const OTHER_REGION_BYTES_MS = 10;

/** Time there and back over one link. */
export class RoundTrip {
  private estimateMs: number;
  private hasSample = false;

  constructor(private readonly distance: Distance) {
    this.estimateMs = ASSUMED_MS[distance];
  }

  /** The estimate, in milliseconds. */
  get ms(): number {
    return this.estimateMs;
  }

  /** What the way costs a request, bytes included, in milliseconds. */
  get costMs(): number {
    return this.ms + (this.distance === 'other-region' ? OTHER_REGION_BYTES_MS : 0);
  }

  /** Whether anything was measured. */
  get isMeasured(): boolean {
    return this.hasSample;
  }

  /** Takes over what the other end measured, which has seen more. */
  adopt(measuredMs: number): void {
    if (measuredMs >= 0) {
      this.hasSample = true;
      this.estimateMs = measuredMs;
    }
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
