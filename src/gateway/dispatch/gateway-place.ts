/** Where a gateway stands, and how far back ends are from it. */
import type { Distance, Places } from '../../routing/places.js';

/** What is asked of the deployment's zones. */
export type PlaceNames = Pick<Places, 'distance' | 'regionOf' | 'isKnown'>;

/** Who chooses engines, and from where. */
export interface SubsetOwner {
  readonly name: string;
  readonly zone: string;
  /** The deployment's zones; missing where it names none. */
  readonly places?: PlaceNames | undefined;
}

/** How far a zone is; zones whose regions the deployment does not name are taken to be of one region. */
export function distanceFrom({ zone, places }: SubsetOwner, other: string): Distance {
  if (zone === other) {
    return 'same-zone';
  }
  return places?.isKnown(zone) ? places.distance(zone, other) : 'same-region';
}

/** The region that a zone's engines are counted in; a zone that is not known is one of its own. */
export function regionNameOf({ places }: SubsetOwner, zone: string): string {
  return places?.regionOf(zone) ?? zone;
}
