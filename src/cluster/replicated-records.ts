/**
 * The store's records as this process knows them.
 *
 * The store numbers every change with one rising revision, so that records
 * learned from the store and from peers merge without agreement: for each key
 * the newest revision wins, and a removal is a record too. Beside the records
 * the replica knows how far it reaches, by which two replicas find out at the price
 * of two numbers whether one lacks anything.
 */

/** One key of the store at its last known change. */
export interface StoreRecord {
  readonly key: string;
  readonly revision: number;
  /** Undefined once the key was removed. */
  readonly value: string | undefined;
}

/** How far a replica reaches, in revisions of the store. */
export interface ReplicaReach {
  /** Every change through this revision is known. */
  readonly completeTo: number;
  /**
   * Every value through this revision is known; of what was removed after `completeTo` some may still be there.
   * Beyond `completeTo` after a listing that removes nothing.
   */
  readonly currentTo: number;
}

/** The reach of a replica that knows nothing. */
export const NO_REACH: ReplicaReach = { completeTo: 0, currentTo: 0 };

/** Whether `reach` goes beyond `other` in some respect. */
export function isFurther(reach: ReplicaReach, other: ReplicaReach): boolean {
  return reach.completeTo > other.completeTo || reach.currentTo > other.currentTo;
}

/** What a replica holds beyond a revision. */
export interface RecordsUpdate extends ReplicaReach {
  /** The revision that was asked from; the receiver had to be complete through it. */
  readonly since: number;
  /** Whether these are all records that exist: keys that it lacks were removed. */
  readonly isWhole: boolean;
  readonly records: readonly StoreRecord[];
}

const MAX_REMOVED_RECORDS = 2_000;

/** Records by key; a lower revision never replaces a higher one. */
export class ReplicatedRecords {
  private readonly records = new Map<string, StoreRecord>();
  private completeRevision = 0;
  private currentRevision = 0;
  /**
   * Every change after this revision is known one by one, removals included. A listing shows
   * what exists, not what was removed before; old removals are dropped to bound the memory.
   */
  private historyFrom = 0;

  /** Revision through which every change is known; 0 before the first listing. */
  get completeTo(): number {
    return this.completeRevision;
  }

  /** Revision through which every value is known; see `ReplicaReach`. */
  get currentTo(): number {
    return this.currentRevision;
  }

  /** Whether a replica that reaches so far knows something that this one lacks. */
  isBehind(reach: ReplicaReach): boolean {
    return isFurther(reach, this.reach);
  }

  /** Known records that are newer than those of `read` with the same keys. */
  findNewerThan(read: readonly StoreRecord[]): StoreRecord[] {
    return read.flatMap(({ key, revision }) => {
      const known = this.records.get(key);
      return known !== undefined && known.revision > revision ? [known] : [];
    });
  }

  /** Takes a record in; says whether it was news. */
  apply(record: StoreRecord): boolean {
    const known = this.records.get(record.key);
    if (known !== undefined && known.revision >= record.revision) {
      return false;
    }
    this.records.delete(record.key);
    this.records.set(record.key, record);
    this.forgetOldRemovals();
    return true;
  }

  /**
   * Takes in every change from `since` to `revision`.
   *
   * @returns the records that were news
   */
  applyChanges(changes: readonly StoreRecord[], since: number, revision: number): StoreRecord[] {
    const news = changes.filter((record) => this.apply(record));
    if (this.completeRevision >= since) {
      this.completeRevision = Math.max(this.completeRevision, revision);
    }
    if (this.currentRevision >= since) {
      this.currentRevision = Math.max(this.currentRevision, revision);
    }
    return news;
  }

  /**
   * Takes in what a listing read at `revision` shows, and removes nothing.
   *
   * @returns the records that were news
   */
  addListing(listed: readonly StoreRecord[], revision: number): StoreRecord[] {
    const news = listed.filter((record) => this.apply(record));
    this.currentRevision = Math.max(this.currentRevision, revision);
    return news;
  }

  /**
   * Takes in a whole listing read at `revision`.
   *
   * Keys that it lacks were removed by then, unless a later change of them is known.
   *
   * @returns the records that were news
   */
  applyListing(listed: readonly StoreRecord[], revision: number): StoreRecord[] {
    const news = listed.filter((record) => this.apply(record));
    const keys = new Set(listed.map(({ key }) => key));
    for (const known of [...this.records.values()]) {
      if (known.value === undefined || keys.has(known.key) || known.revision > revision) {
        continue;
      }
      const removal: StoreRecord = { key: known.key, revision, value: undefined };
      if (this.apply(removal)) {
        news.push(removal);
      }
    }
    this.completeRevision = Math.max(this.completeRevision, revision);
    this.currentRevision = Math.max(this.currentRevision, revision);
    this.historyFrom = Math.max(this.historyFrom, revision);
    return news;
  }

  /**
   * Takes in what another replica holds.
   *
   * @returns the records that were news
   */
  applyUpdate(update: RecordsUpdate): StoreRecord[] {
    const { records, since, completeTo, currentTo, isWhole } = update;
    const news = isWhole
      ? this.applyListing(records, completeTo)
      : this.applyChanges(records, since, completeTo);
    if (this.currentRevision >= completeTo) {
      this.currentRevision = Math.max(this.currentRevision, currentTo);
    }
    return news;
  }

  /** What a replica lacks that is complete through `since`. */
  updateSince(since: number): RecordsUpdate {
    const isWhole = since < this.historyFrom;
    const all = this.snapshot();
    const records = isWhole
      ? all.filter(({ value }) => value !== undefined)
      : all.filter(({ revision }) => revision > since);
    return { since, ...this.reach, isWhole, records };
  }

  /** How far this replica reaches. */
  get reach(): ReplicaReach {
    return { completeTo: this.completeRevision, currentTo: this.currentRevision };
  }

  /** Every record, removals included, oldest news first. */
  snapshot(): StoreRecord[] {
    return [...this.records.values()];
  }

  private forgetOldRemovals(): void {
    if (this.records.size <= MAX_REMOVED_RECORDS) {
      return;
    }
    for (const record of this.records.values()) {
      if (record.value === undefined) {
        this.records.delete(record.key);
        this.historyFrom = Math.max(this.historyFrom, record.revision);
        return;
      }
    }
  }
}
