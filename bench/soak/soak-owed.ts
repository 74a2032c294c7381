/** Which requests of a soak could be served at all, given the homes and the evacuations that stood. */
import type { SoakEvacuation } from './soak-fleet.js';
import { FIXED_HOME, MOVED_HOME, SOAK_REGIONS, SOAK_ZONES, zoneOf } from './soak-homes.js';
import type { HomeChange } from './soak-homes.js';

/** Time for which an order or its end may still be followed here and there, in milliseconds. */
const FOLLOWED_WITHIN_MS = 2_200;

/** What is looked at of a request. */
export interface TimedRequest {
  readonly kind: string;
  readonly sentAtMs: number;
  readonly endedAtMs: number;
}

/**
 * Whether operators left the request a zone to be served in, from a while before it was sent to its end.
 *
 * @param changes - homes of the route whose home moves, oldest first
 */
export function isOwed(
  request: TimedRequest,
  changes: readonly HomeChange[],
  evacuations: readonly SoakEvacuation[],
): boolean {
  const closed = evacuations
    .filter(({ fromMs, untilMs }) => {
      const hasBegun = fromMs <= request.endedAtMs;
      return hasBegun && untilMs + FOLLOWED_WITHIN_MS >= request.sentAtMs;
    })
    .map(({ index }) => zoneOf(index));
  return homesDuring(request, changes).every((regions) =>
    SOAK_ZONES.some((zone) => regions.includes(SOAK_REGIONS[zone]!) && !closed.includes(zone)),
  );
}

/** Every list of regions that may have bound the request. */
function homesDuring(
  { kind, sentAtMs, endedAtMs }: TimedRequest,
  changes: readonly HomeChange[],
): Array<readonly string[]> {
  if (kind === FIXED_HOME.name) {
    return [FIXED_HOME.regions];
  }
  if (kind !== MOVED_HOME) {
    return [Object.values(SOAK_REGIONS)];
  }
  const followedSinceMs = sentAtMs - FOLLOWED_WITHIN_MS;
  const before = changes.filter(({ atMs }) => atMs <= followedSinceMs).at(-1);
  const later = changes.filter(({ atMs }) => atMs > followedSinceMs && atMs <= endedAtMs);
  return [...(before === undefined ? [] : [before]), ...later].map(({ regions }) => regions);
}
