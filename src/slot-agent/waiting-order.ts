/**
 * Query: the order in which waiting requests get slots; gateways and agents use the same.
 *
 * A lower tier goes first. Inside a tier a request that can no longer be answered in time falls behind
 * the next route in rank, since a late answer is worth less, and stays before the one after that; then
 * comes age.
 */

/**
 * Ranks by which a late request falls. The users' late answers keep a tenth to a half of their worth, and
 * answers of neighbouring ranks differ two to ten times in worth, so that it falls by about one rank: a
 * half more says that an answer in time of the next rank goes first.
 */
const LATE_RANKS = 1.5;

/** What the order looks at; times are on the clock of the process that compares. */
export interface WaitingPlace {
  /** Lower numbers go first. */
  readonly tier: number;
  /** Order inside a tier: lower numbers go first. */
  readonly rankInTier: number;
  /** When the request arrived, in milliseconds. */
  readonly arrivedAtMs: number;
  /** When it must be sent at the latest to be answered in time, in milliseconds. */
  readonly startByMs: number;
}

/** Negative when `left` goes first at `nowMs`. */
export function compareWaiting(left: WaitingPlace, right: WaitingPlace, nowMs: number): number {
  const leftRank = rankOf(left, isLate(left, nowMs));
  const rightRank = rankOf(right, isLate(right, nowMs));
  return left.tier - right.tier || leftRank - rightRank || left.arrivedAtMs - right.arrivedAtMs;
}

/** Rank inside a tier: lower numbers go first. */
export function rankOf({ rankInTier }: WaitingPlace, isPlaceLate: boolean): number {
  return isPlaceLate ? rankInTier + LATE_RANKS : rankInTier;
}

/** Whether it can no longer be answered in time. */
export function isLate(place: WaitingPlace, nowMs: number): boolean {
  return nowMs > place.startByMs;
}
