/**
 * Operator orders to send nothing to the backends of a zone.
 *
 * An order is in force until its record is removed. The store position decides which update is the
 * newest, so updates may arrive in any order and more than once.
 */
import { isLater } from '../cluster/store-position.js';
import type { StorePosition } from '../cluster/store-position.js';

/** A change to the evacuation of one zone; the position is that of the order or of its removal. */
export interface EvacuationChange extends StorePosition {
  readonly zone: string;
  /** Whether the zone is evacuated; false once the order was removed. */
  readonly isOrdered: boolean;
}

/** The newest change of a zone, and when this process received it. */
export interface KnownEvacuation extends EvacuationChange {
  readonly learnedAtMs: number;
}

/** Zone evacuations as known to this process. */
export class ZoneEvacuations {
  private readonly byZone = new Map<string, KnownEvacuation>();

  /**
   * Applies a change; returns false where a change at the same or a later position is already
   * known.
   */
  apply(change: EvacuationChange, nowMs: number): boolean {
    const known = this.byZone.get(change.zone);
    if (known !== undefined && !isLater(change, known)) {
      return false;
    }
    this.byZone.set(change.zone, { ...change, learnedAtMs: nowMs });
    return true;
  }

  /** Whether an evacuation order for the zone is in force. */
  isEvacuated(zone: string): boolean {
    return this.byZone.get(zone)?.isOrdered ?? false;
  }

  /** Returns the newest known change of a zone. */
  find(zone: string): KnownEvacuation | undefined {
    return this.byZone.get(zone);
  }

  /** Number of evacuated zones. */
  get count(): number {
    return this.list().filter(({ isOrdered }) => isOrdered).length;
  }

  /**
   * Returns when this process learned that the evacuation of a zone ended; undefined while it is in
   * force, or if there was none.
   */
  returnedAtMs(zone: string): number | undefined {
    const known = this.byZone.get(zone);
    return known === undefined || known.isOrdered ? undefined : known.learnedAtMs;
  }

  /** Returns the newest change of every zone that has or had an order. */
  list(): KnownEvacuation[] {
    return [...this.byZone.values()];
  }
}
