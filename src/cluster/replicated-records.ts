/**
 * Local replica of the store's records.
 *
 * The store orders every change, so records from the store and from peers merge without consensus:
 * for each key the latest position wins, and a removal is a record too (a tombstone). The replica
 * also tracks its progress, two positions, so that two replicas compare only these to detect
 * whether one lacks anything.
 *
 * A store that is restored from a backup lacks changes that are known here, or holds earlier
 * values. Until a replica has settled in the new epoch, a record of an earlier epoch is replaced
 * only by one that was written later: see `isWrittenLater`. It settles with a listing that is read
 * after the owners of the records have had time to write lost records again.
 */
import {
  hasLowerRevision,
  haveSameRevision,
  isLater,
  laterPosition,
  NO_POSITION,
  positionOf,
} from './store-position.js';
import type { StorePosition } from './store-position.js';

/** Last known change of one key of the store. */
export interface StoreRecord extends StorePosition {
  readonly key: string;
  /** Undefined for a tombstone: the key was removed. */
  readonly value: string | undefined;
}

/** A record that changed the replica when it was applied. */
export interface AppliedRecord extends StoreRecord {
  /** Set if only the position changed: the store holds the same write in a later epoch. */
  readonly isUnchanged?: true;
}

/** Progress of a replica through the changes of the store. */
export interface ReplicaProgress {
  /** Every change up to and including this position is known. */
  readonly completeTo: StorePosition;
  /**
   * Every value written up to and including this position is known; keys removed after `completeTo`
   * may still be present. Later than `completeTo` after a listing that removes nothing.
   */
  readonly currentTo: StorePosition;
}

/** Progress of an empty replica. */
export const NO_PROGRESS: ReplicaProgress = { completeTo: NO_POSITION, currentTo: NO_POSITION };

/** Whether `progress` is later than `other` in at least one of its positions. */
export function isAheadOf(progress: ReplicaProgress, other: ReplicaProgress): boolean {
  return (
    isLater(progress.completeTo, other.completeTo) || isLater(progress.currentTo, other.currentTo)
  );
}

/** The records of a replica that are later than a position. */
export interface RecordsUpdate extends ReplicaProgress {
  /** Position after which the records start; the receiver has to be complete through it. */
  readonly since: StorePosition;
  /** Whether `records` holds every existing record: keys missing from it were removed. */
  readonly isWhole: boolean;
  readonly records: readonly StoreRecord[];
  /** Earliest known position that the store reported in the newest epoch. */
  readonly epochStart: StorePosition;
}

/**
 * Compares two records of one key by the version number that their owner wrote into them,
 * regardless of the store's positions: negative if `left` is older. Undefined if one of them has no
 * such number.
 */
export type CompareOwnerVersions = (left: StoreRecord, right: StoreRecord) => number | undefined;

/** Number of records, tombstones included, above which the oldest tombstone is dropped. */
const TOMBSTONE_PRUNE_THRESHOLD = 2_000;

/** Replica of the store's records, by key. */
export class ReplicatedRecords {
  private readonly records = new Map<string, StoreRecord>();
  private complete = NO_POSITION;
  private current = NO_POSITION;
  private epochStart = NO_POSITION;
  /**
   * Every change after this position is known individually, removals included. It advances with
   * each complete listing, which shows the existing keys but no earlier removals, and with each
   * tombstone that is dropped to bound memory.
   */
  private historyStart = NO_POSITION;

  constructor(private readonly compareByOwner: CompareOwnerVersions = () => undefined) {}

  /**
   * Position through which every change is known; `NO_POSITION` before the first `applyListing`.
   */
  get completeTo(): StorePosition {
    return this.complete;
  }

  /** Position through which every value is known; see `ReplicaProgress`. */
  get currentTo(): StorePosition {
    return this.current;
  }

  /** Newest known epoch of the store. */
  get epoch(): number {
    return this.current.epoch;
  }

  /**
   * Whether the replica matches the store in its newest epoch and retains no record of an earlier
   * one.
   */
  get isSettled(): boolean {
    return this.complete.epoch === this.epoch;
  }

  /** Number of records of earlier epochs that are retained until this replica has settled. */
  countRetained(): number {
    return this.snapshot().filter(({ epoch, value }) => epoch < this.epoch && value !== undefined)
      .length;
  }

  /** Whether a replica with the progress `progress` has something that this one lacks. */
  isBehind(progress: ReplicaProgress): boolean {
    return isAheadOf(progress, this.progress);
  }

  /** Returns the known records that are later than those of `read` with the same keys. */
  findLaterThan(read: readonly StoreRecord[]): StoreRecord[] {
    return read.flatMap((record) => {
      const known = this.records.get(record.key);
      return known !== undefined &&
        !this.supersedes(record, known, this.complete) &&
        known.value !== record.value
        ? [known]
        : [];
    });
  }

  /** Applies a record; returns it if it changed the replica. */
  apply(record: StoreRecord, settledTo = this.complete): AppliedRecord | undefined {
    const known = this.records.get(record.key);
    if (!this.supersedes(record, known, settledTo)) {
      return undefined;
    }
    this.records.delete(record.key);
    this.records.set(record.key, record);
    this.pruneOldestTombstone();
    return known !== undefined && isSameWrite(record, known)
      ? { ...record, isUnchanged: true }
      : record;
  }

  /**
   * Applies every change after `since` up to `position`.
   *
   * @returns the records that changed the replica
   */
  applyChanges(
    changes: readonly StoreRecord[],
    since: StorePosition,
    position: StorePosition,
  ): AppliedRecord[] {
    const applied = this.applyAll(changes);
    if (!isLater(since, this.complete)) {
      this.complete = laterPosition(this.complete, position);
    }
    if (!isLater(since, this.current)) {
      this.current = laterPosition(this.current, position);
    }
    return applied;
  }

  /**
   * Merges the records of a listing read at `position` and removes nothing.
   *
   * @returns the records that changed the replica
   */
  mergeListing(listed: readonly StoreRecord[], position: StorePosition): AppliedRecord[] {
    this.updateEpochStart(position);
    this.current = laterPosition(this.current, position);
    return this.applyAll(listed);
  }

  /**
   * Applies a complete listing read at `position`.
   *
   * Keys missing from it count as removed, unless a later change of them is known.
   *
   * @returns the records that changed the replica
   */
  applyListing(listed: readonly StoreRecord[], position: StorePosition): AppliedRecord[] {
    this.updateEpochStart(position);
    const { epoch, revision } = position;
    const isOutdated = isLater(this.complete, position);
    const settledTo = isOutdated ? this.complete : { epoch, revision: 0 };
    const applied = this.applyAll(listed, settledTo);
    const keys = new Set(listed.map(({ key }) => key));
    for (const known of [...this.records.values()]) {
      if (known.value === undefined || keys.has(known.key) || isLater(known, position)) {
        continue;
      }
      const removal = { key: known.key, epoch, revision, value: undefined };
      applied.push(...this.applyAll([removal], settledTo));
    }
    this.complete = laterPosition(this.complete, position);
    this.current = laterPosition(this.current, position);
    this.historyStart = laterPosition(this.historyStart, position);
    return applied;
  }

  /**
   * Applies the update of another replica.
   *
   * @returns the records that changed the replica
   */
  applyUpdate(update: RecordsUpdate): AppliedRecord[] {
    const { records, since, completeTo, currentTo, isWhole, epochStart } = update;
    this.updateEpochStart(epochStart);
    const applied = isWhole
      ? this.applyListing(records, completeTo)
      : this.applyChanges(records, since, completeTo);
    if (!isLater(completeTo, this.current)) {
      this.current = laterPosition(this.current, currentTo);
    }
    return applied;
  }

  /** Returns the update for a replica that is complete through `since`. */
  updateSince(since: StorePosition): RecordsUpdate {
    const isWhole = isLater(this.historyStart, since);
    const all = this.snapshot();
    const records = isWhole
      ? all.filter(({ value }) => value !== undefined)
      : all.filter((record) => isLater(record, since));
    return { since, ...this.progress, isWhole, records, epochStart: this.epochStart };
  }

  /** Progress of this replica. */
  get progress(): ReplicaProgress {
    return { completeTo: this.complete, currentTo: this.current };
  }

  /** Every record, tombstones included, in the order in which they were applied. */
  snapshot(): StoreRecord[] {
    return [...this.records.values()];
  }

  private applyAll(records: readonly StoreRecord[], settledTo?: StorePosition): AppliedRecord[] {
    return records.flatMap((record) => this.apply(record, settledTo) ?? []);
  }

  private supersedes(
    record: StoreRecord,
    known: StoreRecord | undefined,
    settledTo: StorePosition,
  ): boolean {
    if (known === undefined) {
      // A settled replica has every existing record: an older one was removed, and is merely
      // retained by a replica that is behind or unsettled.
      return isLater(record, settledTo);
    }
    const newest = Math.max(record.epoch, known.epoch);
    if (record.epoch === known.epoch || newest <= settledTo.epoch) {
      return isLater(record, known);
    }
    return record.epoch > known.epoch
      ? this.isWrittenLater(record, known)
      : !this.isWrittenLater(known, record);
  }

  /**
   * Whether `record`, which the store holds in a later epoch, was written after `known`. It was if
   * its position is later than the earliest known one of that epoch. Otherwise it may come from the
   * backup: then the owner's version number decides, or without one the revision, which falls only
   * if the backup is older than `known`.
   */
  private isWrittenLater(record: StoreRecord, known: StoreRecord): boolean {
    if (record.epoch === this.epochStart.epoch && isLater(record, this.epochStart)) {
      return true;
    }
    const order = this.compareByOwner(record, known);
    return order === undefined ? !hasLowerRevision(record, known) : order >= 0;
  }

  private updateEpochStart(position: StorePosition): void {
    const isEarlier =
      position.epoch === this.epochStart.epoch && isLater(this.epochStart, position);
    if (position.epoch > this.epochStart.epoch || this.epochStart === NO_POSITION || isEarlier) {
      this.epochStart = positionOf(position);
    }
  }

  private pruneOldestTombstone(): void {
    if (this.records.size <= TOMBSTONE_PRUNE_THRESHOLD) {
      return;
    }
    for (const record of this.records.values()) {
      if (record.value === undefined) {
        this.records.delete(record.key);
        this.historyStart = laterPosition(this.historyStart, record);
        return;
      }
    }
  }
}

/** Whether two records of a key are the same write, held by the store in two epochs. */
function isSameWrite(left: StoreRecord, right: StoreRecord): boolean {
  const haveDifferentEpochs = left.epoch !== right.epoch;
  return haveDifferentEpochs && haveSameRevision(left, right) && left.value === right.value;
}
