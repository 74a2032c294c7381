/** As of when a process knows the store's records: by an answer of the store, or by the word of one that has it. */

/** As of when a process knows the store's records. */
export class KnowledgeAge {
  private confirmedAtMs = -Infinity;

  /** All records were known as they were at `atMs`. */
  confirm(atMs: number): void {
    this.confirmedAtMs = Math.max(this.confirmedAtMs, atMs);
  }

  /** Time since then, in milliseconds; undefined before the first confirmation. */
  ageMs(nowMs: number): number | undefined {
    return this.confirmedAtMs === -Infinity ? undefined : nowMs - this.confirmedAtMs;
  }
}
