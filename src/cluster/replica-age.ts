/**
 * Age of a replica: how long ago it was last confirmed up to date, by the store or by the heartbeat
 * of a peer.
 */

/** Tracks the time as of which a replica holds all records of the store. */
export class ReplicaAge {
  private confirmedAtMs = -Infinity;

  /** Confirms that the replica holds all records as the store had them at `atMs`. */
  confirm(atMs: number): void {
    this.confirmedAtMs = Math.max(this.confirmedAtMs, atMs);
  }

  /**
   * Time since the state that was last confirmed, in milliseconds; undefined before the first
   * confirmation.
   */
  ageMs(nowMs: number): number | undefined {
    return this.confirmedAtMs === -Infinity ? undefined : nowMs - this.confirmedAtMs;
  }
}
