/**
 * What an agent remembers of requests it need not run any more, so that it can
 * say with certainty whether it ever started one.
 */
import { entryIncarnationOf } from '../request/request-id.js';
import type { RequestId } from '../request/request-id.js';

/** What is certain about a request that is not held any more. */
export type PastKnowledge =
  /** It was refused and is never started. */
  | 'refused'
  /** It was never received. */
  | 'never-received'
  /** Records of that age were dropped: it may have run. */
  | 'unknown';

const MAX_ENTRIES = 4_096;

/** Records of refused and forgotten requests. */
export class RequestRecords {
  private readonly refusedAtMs = new Map<RequestId, number>();
  /** Highest dropped sequence number by entry incarnation. */
  private readonly droppedSequence = new Map<string, number>();
  private hasDroppedEntries = false;

  /** Records that `id` is never to be started. */
  refuse(id: RequestId, nowMs: number): void {
    this.refusedAtMs.set(id, nowMs);
  }

  /** Whether `id` was refused before. */
  isRefused(id: RequestId): boolean {
    return this.refusedAtMs.has(id);
  }

  /** Notes that nothing is remembered of `id` any more, though it may have run. */
  drop(id: RequestId): void {
    const entry = entryIncarnationOf(id);
    const highest = this.droppedSequence.get(entry) ?? 0;
    this.droppedSequence.delete(entry);
    this.droppedSequence.set(entry, Math.max(highest, sequenceOf(id)));
    if (this.droppedSequence.size > MAX_ENTRIES) {
      const oldest = this.droppedSequence.keys().next().value;
      this.droppedSequence.delete(oldest ?? '');
      this.hasDroppedEntries = true;
    }
  }

  /** What is certain about a request that is not held. */
  lookUp(id: RequestId): PastKnowledge {
    if (this.refusedAtMs.has(id)) {
      return 'refused';
    }
    const dropped = this.droppedSequence.get(entryIncarnationOf(id));
    if (dropped === undefined) {
      return this.hasDroppedEntries ? 'unknown' : 'never-received';
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
      this.drop(id);
    }
  }
}

function sequenceOf(id: RequestId): number {
  return Number(id.slice(id.lastIndexOf(':') + 1));
}
