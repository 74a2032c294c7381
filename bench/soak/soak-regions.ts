/**
 * Checks allowed regions in a soak test: one route with fixed regions and one whose regions change.
 */
import type { Execution } from './soak-backend.js';

/**
 * Route with the same regions in every configuration; an execution elsewhere is always a violation.
 */
export const FIXED_REGION_ROUTE = { name: 'home', regions: ['a'] } as const;
/** Route whose allowed regions change with the configuration. */
export const CHANGING_REGION_ROUTE = 'moved';
/** Zones of the fleet. */
export const SOAK_ZONES = ['a1', 'b1'] as const;
/** Regions by zone. */
export const SOAK_REGIONS: Readonly<Record<string, string>> = { a1: 'a', b1: 'b' };

/** Successive allowed regions: each region alone, then both. */
const REGION_LISTS = [['a'], ['b'], ['a', 'b']] as const;
/**
 * Time after a change in which requests may still follow the previous regions, in milliseconds; the
 * same bound as for draining backends.
 */
const REGION_CHANGE_BOUND_MS = 2_200;

/** Returns the zone of a process or backend by its index. */
export function zoneOf(index: number): string {
  return SOAK_ZONES[index % SOAK_ZONES.length]!;
}

/** Returns the allowed regions of `CHANGING_REGION_ROUTE` in a version of the configuration. */
export function allowedRegionsOfVersion(version: number): readonly string[] {
  return REGION_LISTS[version % REGION_LISTS.length]!;
}

/** A change of the allowed regions of `CHANGING_REGION_ROUTE`. */
export interface RegionChange {
  readonly atMs: number;
  readonly regions: readonly string[];
}

/**
 * Reports executions outside the allowed regions of the request.
 *
 * @param changes - of the route whose regions change, oldest first; a change applies only to
 *   gateways without a fault since then
 */
export function findOutsideRegions(
  executions: readonly Execution[],
  changes: readonly RegionChange[],
  regionOf: (backendId: string) => string,
  isUndisruptedSince: (requestId: string, sinceMs: number) => boolean,
): string[] {
  const isAllowed = ({ path, requestId, atMs, backendId }: Execution) => {
    const region = regionOf(backendId);
    if (path.startsWith(`/${FIXED_REGION_ROUTE.name}/`)) {
      return FIXED_REGION_ROUTE.regions.some((allowedRegion) => allowedRegion === region);
    }
    const activeChange = changes
      .filter((change) => change.atMs <= atMs - REGION_CHANGE_BOUND_MS)
      .at(-1);
    const isRestricted =
      path.startsWith(`/${CHANGING_REGION_ROUTE}/`) && activeChange !== undefined;
    if (!isRestricted || !isUndisruptedSince(requestId, activeChange.atMs)) {
      return true;
    }
    return changes
      .filter((change) => change.atMs >= activeChange.atMs && change.atMs <= atMs)
      .some(({ regions }) => regions.includes(region));
  };
  return executions
    .filter((execution) => !isAllowed(execution))
    .map(({ requestId, backendId, path }) => {
      const region = regionOf(backendId);
      return `${requestId} (${path}) ran at ${backendId} in region ${region}, which is not an allowed region`;
    });
}
