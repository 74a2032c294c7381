/**
 * Query: what it is worth to a caller that its request goes on waiting for a slot.
 *
 * An answer in time counts as 1, measured from the caller's first try. A late one is worth less, and
 * time spent waiting for nothing costs in proportion: a caller that is told at once can go elsewhere.
 */

/**
 * Worth of a late answer as a share of one in time. Users name a tenth to a half; nothing tells a
 * gateway which, so it takes what lies between.
 */
const LATE_WORTH = 0.3;
/** Share of the time that a request has; to wait for so long and not be served costs as much as an answer is worth. */
const WHOLE_COST_SHARE = 0.75;

/** Worth of waiting on when no answer can come of it: the caller is to be told before it leaves. */
const WORTH_OF_NO_ANSWER = -1;

/** A request that waits, and what is expected of its wait. All times are in milliseconds from now. */
export interface WaitOutlook {
  /** Time left until it must be sent to be answered in time; negative when it is late. */
  readonly inTimeLeftMs: number;
  /** Time left until its caller gives it up, or no answer could be whole. */
  readonly usefulLeftMs: number;
  /** Time that the caller gave it in all. */
  readonly wholeTimeMs: number;
  /** Expected wait as long as it is not late. */
  readonly waitMs: number;
  /** Expected wait once it is late, behind those that are not. */
  readonly lateWaitMs: number;
}

/** Worth of waiting on, between -1 and 1; a request is refused when it is below 0. */
export function worthOfWaiting(outlook: WaitOutlook): number {
  const { inTimeLeftMs, usefulLeftMs, waitMs } = outlook;
  if (inTimeLeftMs <= 0) {
    return worthOfWaitingLate(outlook, usefulLeftMs);
  }
  const servedInTime = chanceWithin(Math.min(inTimeLeftMs, usefulLeftMs), waitMs);
  const costUntilLate = costOfWaiting(outlook, inTimeLeftMs);
  const worthOnceLate = worthOfWaitingLate(outlook, usefulLeftMs - inTimeLeftMs);
  return servedInTime + (1 - servedInTime) * Math.max(-costUntilLate, worthOnceLate);
}

function worthOfWaitingLate(outlook: WaitOutlook, leftMs: number): number {
  if (leftMs <= 0) {
    return WORTH_OF_NO_ANSWER;
  }
  const served = chanceWithin(leftMs, outlook.lateWaitMs);
  return served * LATE_WORTH - (1 - served) * costOfWaiting(outlook, leftMs);
}

function costOfWaiting({ wholeTimeMs }: WaitOutlook, waitedMs: number): number {
  return Math.min(1, Math.max(0, waitedMs) / (wholeTimeMs * WHOLE_COST_SHARE));
}

/** Chance that a wait of unknown length with the given mean ends within `leftMs`. */
function chanceWithin(leftMs: number, meanWaitMs: number): number {
  if (leftMs <= 0) {
    return 0;
  }
  return meanWaitMs === 0 ? 1 : 1 - Math.exp(-leftMs / meanWaitMs);
}
