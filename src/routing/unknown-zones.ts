/** Zones that back ends name and the settings do not; each is news once. */
import type { Places } from './places.js';

/** Zones that turned out to be unknown. */
export class UnknownZones {
  private readonly seen = new Set<string>();

  constructor(private readonly places: Pick<Places, 'zones' | 'isKnown'>) {}

  /** Whether a zone is unknown and was not asked for before; none is where the settings name no zones. */
  isNews(zone: string): boolean {
    const isUnknown = this.places.zones.length > 0 && !this.places.isKnown(zone);
    if (!isUnknown || this.seen.has(zone)) {
      return false;
    }
    this.seen.add(zone);
    return true;
  }
}
