/**
 * Query: the order in which waiting requests get slots; gateways and agents use the same.
 *
 * A lower tier goes first. Inside a tier come those that can still be answered in
 * time, since late answers are worth little; then the more urgent route, then age.
 */

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
  return (
    left.tier - right.tier ||
    Number(isLate(left, nowMs)) - Number(isLate(right, nowMs)) ||
    left.rankInTier - right.rankInTier ||
    left.arrivedAtMs - right.arrivedAtMs
  );
}

/** Whether it can no longer be answered in time. */
export function isLate(place: WaitingPlace, nowMs: number): boolean {
  return nowMs > place.startByMs;
}
