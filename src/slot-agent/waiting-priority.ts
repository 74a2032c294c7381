/**
 * Order in which waiting requests get slots; gateways and agents both apply it.
 *
 * Requests are ordered by tier, lower first, then by rank, then by arrival. Within a tier, a
 * request that can no longer meet its deadline is ordered behind the next rank, since a late
 * response is worth less, but before the rank after that.
 */

/**
 * Ranks that are added to the rank of a late request. A late response keeps a tenth to a half of
 * its value, and the values of adjacent ranks differ by a factor of two to ten, so lateness costs
 * about one rank; the additional half puts requests of the next rank that are in time first.
 */
const LATE_RANK_PENALTY = 1.5;

/** Priority of a waiting request; times are on the clock of the process that compares. */
export interface WaitingPriority {
  /** Priority tier: lower numbers go first. */
  readonly tier: number;
  /** Priority within a tier: lower numbers go first. */
  readonly rankInTier: number;
  /** When the request arrived, in milliseconds. */
  readonly arrivedAtMs: number;
  /** Latest time to send the request so that it meets its deadline, in milliseconds. */
  readonly startByMs: number;
}

/** Comparator: negative if `left` goes first at `nowMs`. */
export function compareWaitingPriority(
  left: WaitingPriority,
  right: WaitingPriority,
  nowMs: number,
): number {
  const leftRank = effectiveRank(left, isLate(left, nowMs));
  const rightRank = effectiveRank(right, isLate(right, nowMs));
  return left.tier - right.tier || leftRank - rightRank || left.arrivedAtMs - right.arrivedAtMs;
}

/** Effective rank within a tier, with the penalty for a late request; lower numbers go first. */
export function effectiveRank({ rankInTier }: WaitingPriority, isRequestLate: boolean): number {
  return isRequestLate ? rankInTier + LATE_RANK_PENALTY : rankInTier;
}

/** Whether the request can no longer meet its deadline. */
export function isLate(request: WaitingPriority, nowMs: number): boolean {
  return nowMs > request.startByMs;
}
