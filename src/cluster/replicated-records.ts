/**
 * The store's records as this process knows them.
 *
 * The store orders every change, so that records learned from the store and from peers merge without agreement: for
 * each key the latest position wins, and a removal is a record too. Beside the records the replica knows how far it
 * reaches, by which two replicas find out at the price of two positions whether one lacks anything.
 *
 * Where the store comes back from a copy, it lacks changes that are known here, or shows what was before them. Until a
 * replica has settled in the new epoch, a record of an earlier one is replaced only by what was written later: see
 * `isWrittenLater`. It settles with a listing that is read once the owners have had time to write again what is gone.
 */
import {
  hasFallenBehind,
  haveSameRevision,
  isLater,
  laterOf,
  NO_POSITION,
  positionOf,
} from './store-position.js';
import type { StorePosition } from './store-position.js';

/** One key of the store at its last known change. */
export interface StoreRecord extends StorePosition {
  readonly key: string;
  /** Undefined once the key was removed. */
  readonly value: string | undefined;
}

/** A record that was not known as it is. */
export interface RecordNews extends StoreRecord {
  /** Whether only its position changed: the store holds the same write in a later epoch. Missing for no. */
  readonly isUnchanged?: true;
}

/** How far a replica reaches. */
export interface ReplicaReach {
  /** Every change through this one is known. */
  readonly completeTo: StorePosition;
  /**
   * Every value through this one is known; of what was removed after `completeTo` some may still be there.
   * Beyond `completeTo` after a listing that removes nothing.
   */
  readonly currentTo: StorePosition;
}

/** The reach of a replica that knows nothing. */
export const NO_REACH: ReplicaReach = { completeTo: NO_POSITION, currentTo: NO_POSITION };

/** Whether `reach` goes beyond `other` in some respect. */
export function isFurther(reach: ReplicaReach, other: ReplicaReach): boolean {
  return isLater(reach.completeTo, other.completeTo) || isLater(reach.currentTo, other.currentTo);
}

/** What a replica holds beyond a position. */
export interface RecordsUpdate extends ReplicaReach {
  /** The position that was asked from; the receiver had to be complete through it. */
  readonly since: StorePosition;
  /** Whether these are all records that exist: keys that it lacks were removed. */
  readonly isWhole: boolean;
  readonly records: readonly StoreRecord[];
  /** The earliest position that the store is known to have named in the newest epoch. */
  readonly epochStart: StorePosition;
}

/**
 * Compares two records of one key by what their owner counts itself, whatever the store's positions say: negative where
 * `left` is the older one. Undefined where one of them tells no such count.
 */
export type CompareByOwner = (left: StoreRecord, right: StoreRecord) => number | undefined;

const MAX_REMOVED_RECORDS = 2_000;

/** Records by key. */
export class ReplicatedRecords {
  private readonly records = new Map<string, StoreRecord>();
  private complete = NO_POSITION;
  private current = NO_POSITION;
  private start = NO_POSITION;
  /**
   * Every change after this one is known one by one, removals included. A listing shows
   * what exists, not what was removed before; old removals are dropped to bound the memory.
   */
  private historyFrom = NO_POSITION;

  constructor(private readonly compareByOwner: CompareByOwner = () => undefined) {}

  /** Position through which every change is known; `NO_POSITION` before the first listing that counts. */
  get completeTo(): StorePosition {
    return this.complete;
  }

  /** Position through which every value is known; see `ReplicaReach`. */
  get currentTo(): StorePosition {
    return this.current;
  }

  /** The newest epoch of the store that is known. */
  get epoch(): number {
    return this.current.epoch;
  }

  /** Whether all is known as the store has it in its newest epoch, and nothing else is held any more. */
  get isSettled(): boolean {
    return this.complete.epoch === this.epoch;
  }

  /** Records of earlier epochs that are kept until this replica has settled. */
  countKept(): number {
    return this.snapshot().filter(({ epoch, value }) => epoch < this.epoch && value !== undefined)
      .length;
  }

  /** Whether a replica that reaches so far knows something that this one lacks. */
  isBehind(reach: ReplicaReach): boolean {
    return isFurther(reach, this.reach);
  }

  /** Known records that are later than those of `read` with the same keys. */
  findLaterThan(read: readonly StoreRecord[]): StoreRecord[] {
    return read.flatMap((record) => {
      const known = this.records.get(record.key);
      return known !== undefined &&
        !this.isNews(record, known, this.complete.epoch) &&
        known.value !== record.value
        ? [known]
        : [];
    });
  }

  /** Takes a record in; returns it if it was news. */
  apply(record: StoreRecord, settledEpoch = this.complete.epoch): RecordNews | undefined {
    const known = this.records.get(record.key);
    if (!this.isNews(record, known, settledEpoch)) {
      return undefined;
    }
    this.records.delete(record.key);
    this.records.set(record.key, record);
    this.forgetOldRemovals();
    return known !== undefined && isSameWrite(record, known)
      ? { ...record, isUnchanged: true }
      : record;
  }

  /**
   * Takes in every change from `since` to `position`.
   *
   * @returns the records that were news
   */
  applyChanges(
    changes: readonly StoreRecord[],
    since: StorePosition,
    position: StorePosition,
  ): RecordNews[] {
    const news = this.applyAll(changes);
    if (!isLater(since, this.complete)) {
      this.complete = laterOf(this.complete, position);
    }
    if (!isLater(since, this.current)) {
      this.current = laterOf(this.current, position);
    }
    return news;
  }

  /**
   * Takes in what a listing read at `position` shows, and removes nothing.
   *
   * @returns the records that were news
   */
  addListing(listed: readonly StoreRecord[], position: StorePosition): RecordNews[] {
    this.noteEpochStart(position);
    this.current = laterOf(this.current, position);
    return this.applyAll(listed);
  }

  /**
   * Takes in a whole listing read at `position`.
   *
   * Keys that it lacks were removed by then, unless a later change of them is known.
   *
   * @returns the records that were news
   */
  applyListing(listed: readonly StoreRecord[], position: StorePosition): RecordNews[] {
    this.noteEpochStart(position);
    const settledEpoch = Math.max(position.epoch, this.complete.epoch);
    const news = this.applyAll(listed, settledEpoch);
    const keys = new Set(listed.map(({ key }) => key));
    const { epoch, revision } = position;
    for (const known of [...this.records.values()]) {
      if (known.value === undefined || keys.has(known.key) || isLater(known, position)) {
        continue;
      }
      const removal = { key: known.key, epoch, revision, value: undefined };
      news.push(...this.applyAll([removal], settledEpoch));
    }
    this.complete = laterOf(this.complete, position);
    this.current = laterOf(this.current, position);
    this.historyFrom = laterOf(this.historyFrom, position);
    return news;
  }

  /**
   * Takes in what another replica holds.
   *
   * @returns the records that were news
   */
  applyUpdate(update: RecordsUpdate): RecordNews[] {
    const { records, since, completeTo, currentTo, isWhole, epochStart } = update;
    this.noteEpochStart(epochStart);
    const news = isWhole
      ? this.applyListing(records, completeTo)
      : this.applyChanges(records, since, completeTo);
    if (!isLater(completeTo, this.current)) {
      this.current = laterOf(this.current, currentTo);
    }
    return news;
  }

  /** What a replica lacks that is complete through `since`. */
  updateSince(since: StorePosition): RecordsUpdate {
    const isWhole = isLater(this.historyFrom, since);
    const all = this.snapshot();
    const records = isWhole
      ? all.filter(({ value }) => value !== undefined)
      : all.filter((record) => isLater(record, since));
    return { since, ...this.reach, isWhole, records, epochStart: this.start };
  }

  /** How far this replica reaches. */
  get reach(): ReplicaReach {
    return { completeTo: this.complete, currentTo: this.current };
  }

  /** Every record, removals included, oldest news first. */
  snapshot(): StoreRecord[] {
    return [...this.records.values()];
  }

  private applyAll(records: readonly StoreRecord[], settledEpoch?: number): RecordNews[] {
    return records.flatMap((record) => this.apply(record, settledEpoch) ?? []);
  }

  private isNews(
    record: StoreRecord,
    known: StoreRecord | undefined,
    settledEpoch: number,
  ): boolean {
    if (known === undefined) {
      // A replica that has settled knows all that exists: somebody else still holds what the copy lacked.
      return record.epoch >= settledEpoch;
    }
    const newest = Math.max(record.epoch, known.epoch);
    if (record.epoch === known.epoch || newest <= settledEpoch) {
      return isLater(record, known);
    }
    return record.epoch > known.epoch
      ? this.isWrittenLater(record, known)
      : !this.isWrittenLater(known, record);
  }

  /**
   * Whether `record`, which the store shows in a later epoch, was written after `known`. It was if it is beyond the
   * first position that the epoch is known by. Otherwise it may be what the copy held: then the owner's own count
   * decides, and where there is none the revision does, which falls only where the copy is older.
   */
  private isWrittenLater(record: StoreRecord, known: StoreRecord): boolean {
    if (record.epoch === this.start.epoch && isLater(record, this.start)) {
      return true;
    }
    const order = this.compareByOwner(record, known);
    return order === undefined ? !hasFallenBehind(record, known) : order >= 0;
  }

  private noteEpochStart(position: StorePosition): void {
    const isEarlier = position.epoch === this.start.epoch && isLater(this.start, position);
    if (position.epoch > this.start.epoch || this.start === NO_POSITION || isEarlier) {
      this.start = positionOf(position);
    }
  }

  private forgetOldRemovals(): void {
    if (this.records.size <= MAX_REMOVED_RECORDS) {
      return;
    }
    for (const record of this.records.values()) {
      if (record.value === undefined) {
        this.records.delete(record.key);
        this.historyFrom = laterOf(this.historyFrom, record);
        return;
      }
    }
  }
}

/** Whether two records of a key are the same write, which the store shows in two epochs. */
function isSameWrite(left: StoreRecord, right: StoreRecord): boolean {
  const isOfTwoEpochs = left.epoch !== right.epoch;
  return isOfTwoEpochs && haveSameRevision(left, right) && left.value === right.value;
}
