/**
 * Computes the expected utility for a caller of keeping its request queued for a slot.
 *
 * A response on time, measured from the caller's first attempt, has utility 1. A late one has less,
 * and time spent waiting in vain costs in proportion: a caller that is refused at once can go
 * elsewhere.
 */

/**
 * Utility of a late response relative to one on time. Users state between a tenth and a half; a
 * gateway cannot tell which applies, so it uses a value in between.
 */
const LATE_RESPONSE_UTILITY = 0.3;
/**
 * Share of a request's total time; waiting that long without being served costs as much
 * as a response is worth.
 */
const FULL_COST_SHARE = 0.75;

/**
 * Utility of waiting when no response is possible: the caller must be refused before it
 * disconnects.
 */
const NO_RESPONSE_UTILITY = -1;

/** Estimates for a queued request. All times are in milliseconds from now. */
export interface WaitEstimate {
  /** Time left until it must be sent for a response on time; negative if it is late. */
  readonly untilLateMs: number;
  /** Time left until its caller gives up or the response can no longer complete. */
  readonly untilUselessMs: number;
  /** Total time allowed by the caller. */
  readonly totalTimeMs: number;
  /** Expected wait while it is not late. */
  readonly expectedOnTimeWaitMs: number;
  /** Expected wait once it is late and queued behind those that are not. */
  readonly expectedWaitOnceLateMs: number;
}

/** Returns the utility of waiting, between -1 and 1; a request is refused below 0. */
export function waitUtility(estimate: WaitEstimate): number {
  const { untilLateMs, untilUselessMs, expectedOnTimeWaitMs } = estimate;
  if (untilLateMs <= 0) {
    return lateWaitUtility(estimate, untilUselessMs);
  }
  const onTimeProbability = probabilityWithin(
    Math.min(untilLateMs, untilUselessMs),
    expectedOnTimeWaitMs,
  );
  const costUntilLate = waitCost(estimate, untilLateMs);
  const utilityOnceLate = lateWaitUtility(estimate, untilUselessMs - untilLateMs);
  return onTimeProbability + (1 - onTimeProbability) * Math.max(-costUntilLate, utilityOnceLate);
}

function lateWaitUtility(estimate: WaitEstimate, leftMs: number): number {
  if (leftMs <= 0) {
    return NO_RESPONSE_UTILITY;
  }
  const servedProbability = probabilityWithin(leftMs, estimate.expectedWaitOnceLateMs);
  return (
    servedProbability * LATE_RESPONSE_UTILITY - (1 - servedProbability) * waitCost(estimate, leftMs)
  );
}

function waitCost({ totalTimeMs }: WaitEstimate, waitedMs: number): number {
  return Math.min(1, Math.max(0, waitedMs) / (totalTimeMs * FULL_COST_SHARE));
}

/**
 * Returns the probability that an exponentially distributed wait with the given mean ends within
 * `leftMs`.
 */
function probabilityWithin(leftMs: number, meanWaitMs: number): number {
  if (leftMs <= 0) {
    return 0;
  }
  return meanWaitMs === 0 ? 1 : 1 - Math.exp(-leftMs / meanWaitMs);
}
