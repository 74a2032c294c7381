/**
 * The store's records as this process knows them.
 *
 * The store numbers every change with one rising revision, so that records
 * learned from the store and from peers merge without agreement: for each key
 * the newest revision wins, and a removal is a record too.
 */

/** One key of the store at its last known change. */
export interface StoreRecord {
  readonly key: string;
  readonly revision: number;
  /** Undefined once the key was removed. */
  readonly value: string | undefined;
}

const MAX_REMOVED_RECORDS = 2_000;

/** Records by key; a lower revision never replaces a higher one. */
export class ReplicatedRecords {
  private readonly records = new Map<string, StoreRecord>();

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
    return news;
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
        return;
      }
    }
  }
}
