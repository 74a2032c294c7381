/** Tallies of requests and prompt parts that have crashed backends. Performs no I/O. */
import { countEnded, mergeTallies, NO_CRASHES, supersedes } from './crash-tally.js';
import type { CrashTally, FingerprintCrashes, Fingerprint } from './crash-tally.js';
import { findCulprits } from './culprit-parts.js';
import { promptPartOf } from './prompt-part-fingerprint.js';

/** Limits of the crash table. */
export interface CrashTableOptions {
  /**
   * Number of crashes from which a whole request is refused. Default 3, the number of crashes that
   * is tolerated per request: with two, a request that was in flight twice when backends exited for
   * other reasons would be refused. Prompt parts are judged by `findCulprits`.
   */
  readonly refuseAfterCrashes: number;
  /**
   * Time without a crash or an arrival after which an entry expires, in milliseconds. Default
   * 600,000. What keeps arriving stays refused; what returns after the expiry may crash backends
   * again.
   */
  readonly expiryMs: number;
  /**
   * Maximum number of entries. Entries with a single crash are evicted first, so that many harmless
   * ones do not displace a crashing one; of these, the least recently used. Default 4,096, about
   * half a megabyte; an entry is added only for what was in flight when a backend exited.
   */
  readonly maxEntries: number;
}

/** Default limits of the crash table. */
export const DEFAULT_CRASH_TABLE_OPTIONS: CrashTableOptions = {
  refuseAfterCrashes: 3,
  expiryMs: 600_000,
  maxEntries: 4_096,
};

interface CrashTableEntry {
  tally: CrashTally;
  touchedAtMs: number;
}

/** Crash tallies by fingerprint. */
export class CrashTable {
  /** In least-recently-used order. */
  private readonly entries = new Map<Fingerprint, CrashTableEntry>();
  /** Fingerprints of the parts that crash backends; undefined if tallies have changed since. */
  private culprits: ReadonlySet<Fingerprint> | undefined;

  constructor(readonly options: CrashTableOptions = DEFAULT_CRASH_TABLE_OPTIONS) {}

  /** Whether the table has no entries, so that callers can skip computing fingerprints. */
  get isEmpty(): boolean {
    return this.entries.size === 0;
  }

  /** Returns the tally of a request or prompt part. */
  tallyOf(fingerprint: Fingerprint): CrashTally {
    return this.entries.get(fingerprint)?.tally ?? NO_CRASHES;
  }

  /** Whether requests with this fingerprint must not be sent to any backend. */
  isRefused(fingerprint: Fingerprint): boolean {
    return promptPartOf(fingerprint) === undefined
      ? this.tallyOf(fingerprint).crashes >= this.options.refuseAfterCrashes
      : this.culpritParts.has(fingerprint);
  }

  /** Fingerprints of the prompt parts that crash backends. */
  get culpritParts(): ReadonlySet<Fingerprint> {
    this.culprits ??= findCulprits(
      [...this.entries].map(([fingerprint, { tally }]) => [fingerprint, tally] as const),
    );
    return this.culprits;
  }

  /** Whether another part that crashes backends was at the same ended backends as this one. */
  isTied(fingerprint: Fingerprint): boolean {
    const evidence = (each: Fingerprint) => (this.tallyOf(each).endedBackends ?? []).join();
    return [...this.culpritParts].some(
      (other) => other !== fingerprint && evidence(other) === evidence(fingerprint),
    );
  }

  /** Counts refused entries and those with crashes that are not refused. */
  count(): { refused: number; suspected: number } {
    const crashed = [...this.entries].filter(([, { tally }]) => tally.crashes > 0);
    const refused = crashed.filter(([fingerprint]) => this.isRefused(fingerprint)).length;
    return { refused, suspected: crashed.length - refused };
  }

  /** Merges a tally; returns whether it added to the entry. */
  merge({ fingerprint, ...incoming }: FingerprintCrashes, nowMs: number): boolean {
    const current = this.tallyOf(fingerprint);
    if (!supersedes(incoming, current)) {
      return false;
    }
    this.setNewest(fingerprint, {
      tally: mergeTallies(current, incoming),
      touchedAtMs: nowMs,
    });
    this.culprits = undefined;
    this.evictOverflow();
    return true;
  }

  /** Marks an entry as recently used, which postpones its expiry. */
  touch(fingerprint: Fingerprint, nowMs: number): void {
    const entry = this.entries.get(fingerprint);
    if (entry !== undefined) {
      this.setNewest(fingerprint, { tally: entry.tally, touchedAtMs: nowMs });
    }
  }

  /** Removes entries that were not used within the expiry time; call periodically. */
  evictExpired(nowMs: number): void {
    for (const [fingerprint, { touchedAtMs }] of this.entries) {
      if (nowMs - touchedAtMs <= this.options.expiryMs) {
        return;
      }
      this.entries.delete(fingerprint);
      this.culprits = undefined;
    }
  }

  /** Removes all entries. */
  clear(): void {
    this.entries.clear();
    this.culprits = undefined;
  }

  /** Returns `count` tallies: those with several crashes first, then the most recently used. */
  newest(count: number): FingerprintCrashes[] {
    const tallies = [...this.entries].map(([fingerprint, { tally }]) => ({
      fingerprint,
      ...tally,
    }));
    const repeated = tallies.filter((tally) => !isSingleCrash(tally));
    const single = tallies.filter(isSingleCrash);
    return [...single, ...repeated].slice(-count);
  }

  private setNewest(fingerprint: Fingerprint, entry: CrashTableEntry): void {
    this.entries.delete(fingerprint);
    this.entries.set(fingerprint, entry);
  }

  private evictOverflow(): void {
    if (this.entries.size > this.options.maxEntries) {
      this.entries.delete(this.leastValuable());
      this.culprits = undefined;
    }
  }

  private leastValuable(): Fingerprint {
    for (const [fingerprint, { tally }] of this.entries) {
      if (isSingleCrash(tally)) {
        return fingerprint;
      }
    }
    const [oldest] = this.entries.keys();
    return oldest!;
  }
}

function isSingleCrash(tally: CrashTally): boolean {
  return tally.crashes <= 1 && countEnded(tally) <= 1;
}
