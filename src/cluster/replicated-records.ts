/**
 * The store's records as this process knows them.
 *
 * The store numbers every change with one rising revision, so that records
 * learned from the store and from peers merge without agreement: for each key
 * the newest revision wins, and a removal is a record too. Beside the records
 * the replica knows the revision through which it is complete, by which two
 * replicas find out at the price of one number whether one lacks anything.
 */

/** One key of the store at its last known change. */
export interface StoreRecord {
  readonly key: string;
  readonly revision: number;
  /** Undefined once the key was removed. */
  readonly value: string | undefined;
}

/** What a replica holds beyond a revision. */
export interface RecordsUpdate {
  /** The revision that was asked from; the receiver had to be complete through it. */
  readonly since: number;
  /** The revision through which the receiver is complete once it took this in. */
  readonly completeTo: number;
  /** Whether these are all records that exist: keys that it lacks were removed. */
  readonly isWhole: boolean;
  readonly records: readonly StoreRecord[];
}

const MAX_REMOVED_RECORDS = 2_000;

/** Records by key; a lower revision never replaces a higher one. */
export class ReplicatedRecords {
  private readonly records = new Map<string, StoreRecord>();
  private completeRevision = 0;
  /**
   * Every change after this revision is known one by one, removals included. A listing shows
   * what exists, not what was removed before; old removals are dropped to bound the memory.
   */
  private historyFrom = 0;

  /** Revision through which every change is known; 0 before the first listing. */
  get completeTo(): number {
    return this.completeRevision;
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
    this.historyFrom = Math.max(this.historyFrom, revision);
    return news;
  }

  /**
   * Takes in what another replica holds.
   *
   * @returns the records that were news
   */
  applyUpdate(update: RecordsUpdate): StoreRecord[] {
    const { records, since, completeTo, isWhole } = update;
    return isWhole
      ? this.applyListing(records, completeTo)
      : this.applyChanges(records, since, completeTo);
  }

  /** What a replica lacks that is complete through `since`. */
  updateSince(since: number): RecordsUpdate {
    const isWhole = since < this.historyFrom;
    const all = this.snapshot();
    const records = isWhole
      ? all.filter(({ value }) => value !== undefined)
      : all.filter(({ revision }) => revision > since);
    return { since, completeTo: this.completeRevision, isWhole, records };
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
