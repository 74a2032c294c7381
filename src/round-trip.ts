/** Round-trip time and cost of one link, estimated from samples that also include other delays. */
import type { Distance } from './routing/zone-topology.js';

/**
 * Round-trip time assumed for a link before the first sample, in milliseconds: halls of one campus
 * are some tenths of a millisecond apart, zones of a region about one each way, regions of one
 * country up to ten.
 */
const DEFAULT_ROUND_TRIP_MS: Readonly<Record<Distance, number>> = {
  'same-zone': 0.5,
  'same-region': 2,
  'other-region': 16,
};

/**
 * Weight of a sample below the estimate: delays only add to a sample, so a shorter one is more
 * accurate.
 */
const DECREASE_SMOOTHING = 0.5;
/** Weight of a sample above the estimate. */
const INCREASE_SMOOTHING = 0.05;
/**
 * Maximum increase of the estimate per sample, in milliseconds: a busy process may have delayed the
 * sample.
 */
const MAX_INCREASE_MS = 0.5;

/**
 * Cost of the bytes that one request sends to another region, expressed as latency in milliseconds.
 * Traffic between regions costs one to two percent of the value of the requests that cross,
 * and a late response loses most of its value: at latency targets of some hundred milliseconds, an
 * added latency of this much makes the same share of requests late.
 */
const OTHER_REGION_COST_MS = 10;

/** Estimate of the round-trip time of one link. */
export class RoundTripEstimate {
  private estimateMs: number;
  private hasSample = false;

  constructor(private readonly distance: Distance) {
    this.estimateMs = DEFAULT_ROUND_TRIP_MS[distance];
  }

  /** Estimated round-trip time, in milliseconds. */
  get ms(): number {
    return this.estimateMs;
  }

  /** Cost of the link for a request: round-trip time plus cost of bytes, in milliseconds. */
  get costMs(): number {
    return this.ms + (this.distance === 'other-region' ? OTHER_REGION_COST_MS : 0);
  }

  /** Whether there was any sample. */
  get isMeasured(): boolean {
    return this.hasSample;
  }

  /** Replaces the estimate by that of the other end, which has more samples. */
  replaceEstimate(measuredMs: number): void {
    if (measuredMs >= 0) {
      this.hasSample = true;
      this.estimateMs = measuredMs;
    }
  }

  /** Updates the estimate with the time between a message and its response. */
  addSample(sampleMs: number): void {
    if (!(sampleMs >= 0)) {
      return;
    }
    this.hasSample = true;
    const error = sampleMs - this.estimateMs;
    const change = error < 0 ? DECREASE_SMOOTHING * error : INCREASE_SMOOTHING * error;
    this.estimateMs += Math.min(change, MAX_INCREASE_MS);
  }
}
