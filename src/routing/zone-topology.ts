/** Network topology: zones, their regions, and the distance between two zones. */

/** Distance between two zones, nearest first. */
export type Distance = 'same-zone' | 'same-region' | 'other-region';

/** The zones of a deployment and their regions. */
export class ZoneTopology {
  constructor(
    /** The region of each zone. */
    private readonly regionByZone: ReadonlyMap<string, string>,
  ) {}

  /** All zones that the settings define. */
  get zones(): string[] {
    return [...this.regionByZone.keys()];
  }

  /** Whether the settings define the zone. */
  isKnown(zone: string): boolean {
    return this.regionByZone.has(zone);
  }

  /** Returns the region of a zone; undefined for one that the settings do not define. */
  regionOf(zone: string): string | undefined {
    return this.regionByZone.get(zone);
  }

  /**
   * Returns the distance between two zones; an unknown zone is in another region than every other
   * zone.
   */
  distance(left: string, right: string): Distance {
    if (left === right) {
      return 'same-zone';
    }
    const region = this.regionOf(left);
    return region !== undefined && region === this.regionOf(right) ? 'same-region' : 'other-region';
  }
}
