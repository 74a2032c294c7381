/** Homes in a soak: a route whose home stays, one whose home follows the configuration, and where both ran. */
import type { BackendRun } from './soak-backend.js';

/** Route whose home is the same in every configuration: no fault excuses a run elsewhere. */
export const FIXED_HOME = { name: 'home', regions: ['a'] } as const;
/** Route whose home changes with each configuration. */
export const MOVED_HOME = 'moved';
/** Zones of the fleet. */
export const SOAK_ZONES = ['a1', 'b1'] as const;
/** Regions by zone. */
export const SOAK_REGIONS: Readonly<Record<string, string>> = { a1: 'a', b1: 'b' };

/** Homes that follow each other: each region by itself, and both. */
const HOMES = [['a'], ['b'], ['a', 'b']] as const;
/** Time after a change in which requests may still follow the one before, in milliseconds; as for leaving back ends. */
const HOME_BOUND_MS = 2_200;

/** The zone of a process or back end by its index. */
export function zoneOf(index: number): string {
  return SOAK_ZONES[index % SOAK_ZONES.length]!;
}

/** The home that moves, in one version of the configuration. */
export function homesOfVersion(version: number): readonly string[] {
  return HOMES[version % HOMES.length]!;
}

/** A configuration came into force. */
export interface HomeChange {
  readonly atMs: number;
  readonly regions: readonly string[];
}

/**
 * Requests that ran outside their homes.
 *
 * @param changes - of the home that moves, oldest first; only gateways that no fault touched since one are
 *   held to it
 */
export function findOutsideHome(
  runs: readonly BackendRun[],
  changes: readonly HomeChange[],
  regionOf: (backendId: string) => string,
  isCalmSince: (requestId: string, sinceMs: number) => boolean,
): string[] {
  const mayRun = ({ path, requestId, atMs, backendId }: BackendRun) => {
    const region = regionOf(backendId);
    if (path.startsWith(`/${FIXED_HOME.name}/`)) {
      return FIXED_HOME.regions.some((home) => home === region);
    }
    const binding = changes.filter((change) => change.atMs <= atMs - HOME_BOUND_MS).at(-1);
    const isBound = path.startsWith(`/${MOVED_HOME}/`) && binding !== undefined;
    if (!isBound || !isCalmSince(requestId, binding.atMs)) {
      return true;
    }
    return changes
      .filter((change) => change.atMs >= binding.atMs && change.atMs <= atMs)
      .some(({ regions }) => regions.includes(region));
  };
  return runs
    .filter((run) => !mayRun(run))
    .map(({ requestId, backendId, path }) => {
      const region = regionOf(backendId);
      return `${requestId} (${path}) ran at ${backendId} in region ${region}, which is no home of it`;
    });
}
