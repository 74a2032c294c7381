/**
 * Extends a gateway's engine subset with engines of the home regions: the allowed regions of routes
 * and tenants in the configuration.
 */
import { pairHash } from '../../pair-hash.js';
import type { SubsetEngine } from './engine-subset.js';

/** Home regions in which a gateway needs engines. */
export interface NamedRegions {
  /** Allowed regions of all routes and tenants. */
  readonly named: ReadonlySet<string>;
  regionOf(zone: string): string | undefined;
}

/**
 * Minimum number of engines per home region in the subset, if there are as many: with two of them
 * down, two are left. Each further one would add a connection from every gateway to every agent.
 */
const MIN_ENGINES_PER_HOME = 4;

/**
 * Adds the missing engines of each home region to `chosen`, in rendezvous hash order of the
 * gateway.
 *
 * @param engines - ready engines of one service
 */
export function addEnginesOfNamedRegions(
  chosen: Set<string>,
  engines: readonly SubsetEngine[],
  gateway: string,
  { named, regionOf }: NamedRegions,
): void {
  for (const region of named) {
    const inRegion = engines.filter(({ zone }) => regionOf(zone) === region);
    const others = inRegion.filter(({ id }) => !chosen.has(id));
    const missingCount = MIN_ENGINES_PER_HOME - (inRegion.length - others.length);
    if (missingCount > 0) {
      others
        .sort((left, right) => pairHash(gateway, left.id) - pairHash(gateway, right.id))
        .slice(0, missingCount)
        .forEach(({ id }) => chosen.add(id));
    }
  }
}
