/** Where a process stands, and how far the zones of others are from it. */
import type { Distance, Places } from './places.js';

/** Where a process stands. */
export interface Standpoint {
  readonly zone: string;
  /** The deployment's zones; missing where it names none. */
  readonly places?: Pick<Places, 'distance' | 'regionOf' | 'isKnown'> | undefined;
}

/** How far a zone is; zones whose regions the deployment does not name are taken to be of one region. */
export function distanceFrom({ zone, places }: Standpoint, other: string): Distance {
  if (zone === other) {
    return 'same-zone';
  }
  return places?.isKnown(zone) ? places.distance(zone, other) : 'same-region';
}

/** The region that a zone is counted in; a zone that is not known is one of its own. */
export function regionNameOf({ places }: Standpoint, zone: string): string {
  return places?.regionOf(zone) ?? zone;
}
