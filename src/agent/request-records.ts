/**
 * Records of past requests, from which an agent determines whether it ever started a given request.
 */
import { entryIncarnationOf } from '../request/request-id.js';
import type { RequestId } from '../request/request-id.js';

/** Status of a request that is no longer stored. */
export type PastRequestStatus =
  /** The request was refused and will never be started. */
  | 'refused'
  /** The request was never received. */
  | 'never-received'
  /** The record that would show it may have been dropped: the request may have run. */
  | 'unknown';

const MAX_ENTRY_INCARNATIONS = 4_096;

/** Holds the refused requests, and per entry the highest sequence number of a dropped record. */
export class RequestRecords {
  private readonly refusedAtMs = new Map<RequestId, number>();
  /** Highest dropped sequence number by entry incarnation. */
  private readonly highestDroppedSequence = new Map<string, number>();
  private hasEvictedIncarnations = false;

  /** Records that `id` must never be started. */
  recordRefusal(id: RequestId, nowMs: number): void {
    this.refusedAtMs.set(id, nowMs);
  }

  /** Whether `id` has been refused. */
  isRefused(id: RequestId): boolean {
    return this.refusedAtMs.has(id);
  }

  /** Marks the record of `id` as dropped: it and all earlier requests of its entry may have run. */
  markDropped(id: RequestId): void {
    const entry = entryIncarnationOf(id);
    const highest = this.highestDroppedSequence.get(entry) ?? 0;
    this.highestDroppedSequence.delete(entry);
    this.highestDroppedSequence.set(entry, Math.max(highest, sequenceOf(id)));
    if (this.highestDroppedSequence.size > MAX_ENTRY_INCARNATIONS) {
      const oldest = this.highestDroppedSequence.keys().next().value;
      this.highestDroppedSequence.delete(oldest ?? '');
      this.hasEvictedIncarnations = true;
    }
  }

  /** Returns the status of a request that is no longer stored. */
  statusOf(id: RequestId): PastRequestStatus {
    if (this.refusedAtMs.has(id)) {
      return 'refused';
    }
    const dropped = this.highestDroppedSequence.get(entryIncarnationOf(id));
    if (dropped === undefined) {
      return this.hasEvictedIncarnations ? 'unknown' : 'never-received';
    }
    return sequenceOf(id) > dropped ? 'never-received' : 'unknown';
  }

  /** Drops refusals that were recorded before `beforeMs`. */
  expireRefusals(beforeMs: number): void {
    for (const [id, atMs] of this.refusedAtMs) {
      if (atMs >= beforeMs) {
        return;
      }
      this.refusedAtMs.delete(id);
      this.markDropped(id);
    }
  }
}

function sequenceOf(id: RequestId): number {
  return Number(id.slice(id.lastIndexOf(':') + 1));
}
