/** Where machines stand: zones, the regions that they belong to, and how far two of them are apart. */

/** How far two zones are apart, nearest first. */
export type Distance = 'same-zone' | 'same-region' | 'other-region';

/** The zones of a deployment. */
export class Places {
  constructor(
    /** The region of each zone. */
    private readonly regionByZone: ReadonlyMap<string, string>,
  ) {}

  /** Every zone that is known. */
  get zones(): string[] {
    return [...this.regionByZone.keys()];
  }

  /** Whether the settings name the zone. */
  isKnown(zone: string): boolean {
    return this.regionByZone.has(zone);
  }

  /** The region of a zone; undefined for one that the settings do not name. */
  regionOf(zone: string): string | undefined {
    return this.regionByZone.get(zone);
  }

  /** How far two zones are apart; a zone that is not known is far from every other. */
  distance(left: string, right: string): Distance {
    if (left === right) {
      return 'same-zone';
    }
    const region = this.regionOf(left);
    return region !== undefined && region === this.regionOf(right) ? 'same-region' : 'other-region';
  }
}
