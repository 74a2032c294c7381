/**
 * Persists the tallies of crashing requests and prompt parts in the cluster store, so that they
 * survive restarts of all gateways.
 *
 * A single bounded record holds all tallies. It is written by compare-and-swap; a writer that loses
 * the race merges its tallies with the stored ones and retries. Gateways read the record with the
 * other store records, from the store or from a peer.
 */
import type { Clock } from '../../clock.js';
import { isLater, NO_POSITION } from '../../cluster/store-position.js';
import type { StorePosition } from '../../cluster/store-position.js';
import type { WeirvaleError } from '../../request/errors.js';
import type { Result } from '../../result.js';
import { countEnded, mergeTallies, NO_CRASHES, supersedes } from './crash-tally.js';
import type { FingerprintCrashes, Fingerprint } from './crash-tally.js';

/** A tally as stored. */
export interface StoredCrashes extends FingerprintCrashes {
  /**
   * Wall-clock time of the last change on its writer's clock, in milliseconds; precise enough for
   * expiry after minutes, not for ordering.
   */
  readonly changedAtMs: number;
}

/** The stored record of crashing requests and its store position. */
export interface CrashRecord extends StorePosition {
  /** Undefined if operators removed the record. */
  readonly requests: readonly StoredCrashes[] | undefined;
}

/** Dependencies of the record writer. */
export interface CrashRecordPorts {
  /** Writes the record if the stored one is still at `expected` (revision 0: no record exists). */
  write(
    requests: readonly StoredCrashes[],
    expected: StorePosition,
  ): Promise<Result<StorePosition, WeirvaleError>>;
  /**
   * Called after each write attempt; `failure` is set if the store rejected it or did not respond.
   */
  onWritten(requests: number, failure: WeirvaleError | undefined): void;
  /** Returns the wall-clock time, in milliseconds. */
  timeOfDayMs(): number;
}

/** Limits of the stored record. */
export interface CrashRecordOptions {
  /**
   * Number of crashes, or of ended backends, from which a request or prompt part is stored. Default
   * 2: of the many requests in flight when a backend exits, only the one that caused the crash is
   * in flight at the next one too, so a hundred backends that exit at once under different requests
   * cause no write. A restart of all gateways loses at most one crash of a request.
   */
  readonly minCrashes: number;
  /**
   * Maximum number of stored requests and prompt parts, about 25 kB if all are requests; the oldest
   * are dropped first. Default 256.
   */
  readonly maxRequests: number;
  /**
   * Age after which a request is dropped, in milliseconds. Default 600,000, the same as the expiry
   * in gateways.
   */
  readonly maxAgeMs: number;
  /** Initial and maximum backoff after a failed write, in milliseconds. Defaults 200 and 3,000. */
  readonly retryMinMs: number;
  readonly retryMaxMs: number;
}

/** Default limits of the stored record. */
export const DEFAULT_CRASH_RECORD_OPTIONS: CrashRecordOptions = {
  minCrashes: 2,
  maxRequests: 256,
  maxAgeMs: 600_000,
  retryMinMs: 200,
  retryMaxMs: 3_000,
};

/** Keeps the stored record of crashing requests up to date. */
export class CrashRecordWriter {
  private stored = new Map<Fingerprint, StoredCrashes>();
  /** Store position of the record; revision 0 if no record exists. */
  private position = NO_POSITION;
  /** Newest position that was read, including that of a removal. */
  private lastSeenPosition = NO_POSITION;
  private readonly pendingWrites = new Map<Fingerprint, StoredCrashes>();
  private isWriting = false;
  private retryMs: number;

  constructor(
    private readonly ports: CrashRecordPorts,
    private readonly clock: Clock,
    private readonly options: CrashRecordOptions = DEFAULT_CRASH_RECORD_OPTIONS,
  ) {
    this.retryMs = options.retryMinMs;
  }

  /**
   * Whether operators removed the record. One that is missing in a later epoch than that in which
   * it was last seen was lost with the restored store.
   */
  isRemoval(record: CrashRecord): boolean {
    const { lastSeenPosition } = this;
    const isSameEpoch = record.epoch === lastSeenPosition.epoch;
    return record.requests === undefined && isSameEpoch && isLater(record, lastSeenPosition);
  }

  /** Applies the newest stored record; returns the requests that have not expired. */
  applyRecord({ requests, epoch, revision }: CrashRecord): readonly StoredCrashes[] {
    const position = { epoch, revision };
    if (isLater(this.lastSeenPosition, position)) {
      return [];
    }
    const isRestored = epoch > this.lastSeenPosition.epoch;
    const previous = this.stored;
    this.lastSeenPosition = position;
    this.position = requests === undefined ? { epoch, revision: 0 } : position;
    const recent = (requests ?? []).filter((request) => this.isRecent(request));
    this.stored = new Map(recent.map((request) => [request.fingerprint, request]));
    if (isRestored) {
      this.restoreLost(previous.values());
    }
    for (const [fingerprint, request] of this.pendingWrites) {
      if (!this.supersedesStored(request)) {
        this.pendingWrites.delete(fingerprint);
      }
    }
    return recent;
  }

  /** Adds tallies and writes those that qualify for storage and supersede the stored ones. */
  addTallies(tallies: readonly FingerprintCrashes[]): void {
    const changedAtMs = this.ports.timeOfDayMs();
    for (const request of tallies) {
      const count = Math.max(request.crashes, countEnded(request));
      const qualifies = count >= this.options.minCrashes || this.stored.has(request.fingerprint);
      if (qualifies && this.supersedesStored(request)) {
        this.addPendingWrite({ ...request, changedAtMs });
      }
    }
    this.writeIfNeeded();
  }

  /** Discards pending writes. */
  stop(): void {
    this.pendingWrites.clear();
  }

  /** Schedules writes of the tallies that the restored store lacks. */
  private restoreLost(previous: Iterable<StoredCrashes>): void {
    for (const request of previous) {
      if (this.isRecent(request) && this.supersedesStored(request)) {
        this.addPendingWrite(request);
      }
    }
    this.writeIfNeeded();
  }

  private addPendingWrite(request: StoredCrashes): void {
    const pending = this.pendingWrites.get(request.fingerprint) ?? NO_CRASHES;
    this.pendingWrites.set(request.fingerprint, { ...request, ...mergeTallies(pending, request) });
  }

  /** Returns the stored requests with the pending changes. */
  private mergedRequests(): StoredCrashes[] {
    const merged = new Map(this.stored);
    for (const [fingerprint, request] of this.pendingWrites) {
      const stored = this.stored.get(fingerprint) ?? NO_CRASHES;
      merged.set(fingerprint, { ...request, ...mergeTallies(stored, request) });
    }
    return [...merged.values()];
  }

  private supersedesStored(request: FingerprintCrashes): boolean {
    return supersedes(request, this.stored.get(request.fingerprint) ?? NO_CRASHES);
  }

  private isRecent({ changedAtMs }: StoredCrashes): boolean {
    return this.ports.timeOfDayMs() - changedAtMs <= this.options.maxAgeMs;
  }

  private writeIfNeeded(): void {
    if (!this.isWriting && this.pendingWrites.size > 0) {
      this.isWriting = true;
      void this.write();
    }
  }

  /** Discards pending writes that the record has no room for, or that have expired. */
  private retainPending(written: ReadonlySet<Fingerprint>): void {
    for (const fingerprint of this.pendingWrites.keys()) {
      if (!written.has(fingerprint)) {
        this.pendingWrites.delete(fingerprint);
      }
    }
  }

  private async write(): Promise<void> {
    const requests = this.mergedRequests()
      .filter((request) => this.isRecent(request))
      .sort((left, right) => left.changedAtMs - right.changedAtMs)
      .slice(-this.options.maxRequests);
    this.retainPending(new Set(requests.map(({ fingerprint }) => fingerprint)));
    const result = await this.ports.write(requests, this.position);
    this.ports.onWritten(requests.length, result.ok ? undefined : result.val);
    if (result.ok) {
      this.retryMs = this.options.retryMinMs;
      this.applyRecord({ requests, ...result.val });
      this.isWriting = false;
      this.writeIfNeeded();
      return;
    }
    // After a conflict, the next store update delivers what another gateway wrote.
    this.clock.setTimeout(() => {
      this.isWriting = false;
      this.writeIfNeeded();
    }, this.retryMs);
    this.retryMs = Math.min(this.retryMs * 2, this.options.retryMaxMs);
  }
}
