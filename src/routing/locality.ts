/** The zone of a process, and its distance to other zones. */
import type { Distance, ZoneTopology } from './zone-topology.js';

/** The location of a process. */
export interface Locality {
  readonly zone: string;
  /** The deployment's zones; missing where it defines none. */
  readonly places?: Pick<ZoneTopology, 'distance' | 'regionOf' | 'isKnown'> | undefined;
}

/**
 * Returns the distance to another zone; if the own zone is not in `places`, every other zone counts
 * as same-region.
 */
export function distanceFrom({ zone, places }: Locality, other: string): Distance {
  if (zone === other) {
    return 'same-zone';
  }
  return places?.isKnown(zone) ? places.distance(zone, other) : 'same-region';
}

/** Returns the region of a zone; an unknown zone counts as a region of its own. */
export function regionNameOf({ places }: Locality, zone: string): string {
  return places?.regionOf(zone) ?? zone;
}
