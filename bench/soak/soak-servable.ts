/** Determines which requests of a soak test had a zone to be served in. */
import type { SoakEvacuation } from './soak-fleet.js';
import {
  FIXED_REGION_ROUTE,
  CHANGING_REGION_ROUTE,
  SOAK_REGIONS,
  SOAK_ZONES,
  zoneOf,
} from './soak-regions.js';
import type { RegionChange } from './soak-regions.js';

/** Time in which gateways may still follow the state before a change, in milliseconds. */
const PROPAGATION_BOUND_MS = 2_200;

/** The route and the times of a request. */
export interface TimedRequest {
  readonly kind: string;
  readonly sentAtMs: number;
  readonly endedAtMs: number;
}

/**
 * Whether allowed regions and evacuations left the request a zone, from `PROPAGATION_BOUND_MS`
 * before it was sent until its end.
 *
 * @param changes - of the route whose allowed regions change, oldest first
 */
export function isServable(
  request: TimedRequest,
  changes: readonly RegionChange[],
  evacuations: readonly SoakEvacuation[],
): boolean {
  const evacuatedZones = evacuations
    .filter(({ fromMs, untilMs }) => {
      const hasStarted = fromMs <= request.endedAtMs;
      return hasStarted && untilMs + PROPAGATION_BOUND_MS >= request.sentAtMs;
    })
    .map(({ index }) => zoneOf(index));
  return regionListsDuring(request, changes).every((regions) =>
    SOAK_ZONES.some(
      (zone) => regions.includes(SOAK_REGIONS[zone]!) && !evacuatedZones.includes(zone),
    ),
  );
}

/** Returns every region list that may have applied to the request. */
function regionListsDuring(
  { kind, sentAtMs, endedAtMs }: TimedRequest,
  changes: readonly RegionChange[],
): Array<readonly string[]> {
  if (kind === FIXED_REGION_ROUTE.name) {
    return [FIXED_REGION_ROUTE.regions];
  }
  if (kind !== CHANGING_REGION_ROUTE) {
    return [Object.values(SOAK_REGIONS)];
  }
  const effectiveSinceMs = sentAtMs - PROPAGATION_BOUND_MS;
  const previous = changes.filter(({ atMs }) => atMs <= effectiveSinceMs).at(-1);
  const later = changes.filter(({ atMs }) => atMs > effectiveSinceMs && atMs <= endedAtMs);
  return [...(previous === undefined ? [] : [previous]), ...later].map(({ regions }) => regions);
}
