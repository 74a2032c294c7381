/** Adds engines of the regions that a configuration names to those that a gateway works with. */
import { pairShare } from '../../pair-share.js';
import type { SubsetEngine } from './engine-subset.js';

/** Regions that a gateway needs engines of. */
export interface HomeRegions {
  /** Regions that some route or tenant names. */
  readonly named: ReadonlySet<string>;
  regionOf(zone: string): string | undefined;
}

/**
 * Engines of each named region that a gateway works with at least, if there are as many: with two of them
 * down two are left, and with each one more every agent gains a link to every gateway.
 */
const ENGINES_PER_HOME = 4;

/**
 * Adds to `chosen` what named regions lack, first in the rank that the gateway gives all engines.
 *
 * @param engines - ready engines of one service
 */
export function addHomeEngines(
  chosen: Set<string>,
  engines: readonly SubsetEngine[],
  gateway: string,
  { named, regionOf }: HomeRegions,
): void {
  for (const region of named) {
    const inRegion = engines.filter(({ zone }) => regionOf(zone) === region);
    const others = inRegion.filter(({ id }) => !chosen.has(id));
    const lacking = ENGINES_PER_HOME - (inRegion.length - others.length);
    if (lacking > 0) {
      others
        .sort((left, right) => pairShare(gateway, left.id) - pairShare(gateway, right.id))
        .slice(0, lacking)
        .forEach(({ id }) => chosen.add(id));
    }
  }
}
