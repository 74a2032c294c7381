/**
 * Standing orders of the operators to send nothing to the back ends of a zone.
 *
 * An order lasts until its record is removed. Its position in the store decides which news is the newest, so
 * that news may come in any order and more than once.
 */
import { isLater } from '../cluster/store-position.js';
import type { StorePosition } from '../cluster/store-position.js';

/** What a record of the store says of one zone; the position is that of the order or of its removal. */
export interface EvacuationChange extends StorePosition {
  readonly zone: string;
  /** Whether the zone is to get nothing; false once the order was removed. */
  readonly isOrdered: boolean;
}

/** The newest change of a zone, and when this process learned of it. */
export interface KnownEvacuation extends EvacuationChange {
  readonly learnedAtMs: number;
}

/** The evacuated zones as this process knows them. */
export class ZoneEvacuations {
  private readonly byZone = new Map<string, KnownEvacuation>();

  /** Takes in a change; says whether it is news. */
  take(change: EvacuationChange, nowMs: number): boolean {
    const known = this.byZone.get(change.zone);
    if (known !== undefined && !isLater(change, known)) {
      return false;
    }
    this.byZone.set(change.zone, { ...change, learnedAtMs: nowMs });
    return true;
  }

  /** Whether nothing may be sent to the zone's back ends. */
  isEvacuated(zone: string): boolean {
    return this.byZone.get(zone)?.isOrdered ?? false;
  }

  /** The newest change of a zone that is known. */
  find(zone: string): KnownEvacuation | undefined {
    return this.byZone.get(zone);
  }

  /** How many zones are evacuated. */
  get count(): number {
    return this.list().filter(({ isOrdered }) => isOrdered).length;
  }

  /** When this process learned that the zone was taken back into use; undefined if it was not. */
  returnedAtMs(zone: string): number | undefined {
    const known = this.byZone.get(zone);
    return known === undefined || known.isOrdered ? undefined : known.learnedAtMs;
  }

  /** Every zone of which an order is or was known. */
  list(): KnownEvacuation[] {
    return [...this.byZone.values()];
  }
}
