/** Detects zones that backends announce and the settings do not define; each is reported once. */
import type { ZoneTopology } from './zone-topology.js';

/** The unknown zones reported so far. */
export class UnknownZones {
  private readonly seen = new Set<string>();

  constructor(private readonly topology: Pick<ZoneTopology, 'zones' | 'isKnown'>) {}

  /**
   * Records the zone; returns true the first time for an unknown one, never if the settings define
   * no zones.
   */
  recordIfUnknown(zone: string): boolean {
    const isUnknown = this.topology.zones.length > 0 && !this.topology.isKnown(zone);
    if (!isUnknown || this.seen.has(zone)) {
      return false;
    }
    this.seen.add(zone);
    return true;
  }
}
