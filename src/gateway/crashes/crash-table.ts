/** Tallies of requests that have crashed backends, by fingerprint. Performs no I/O. */
import { NO_CRASHES, supersedes } from './crash-tally.js';
import type { CrashTally, RequestCrashes, RequestFingerprint } from './crash-tally.js';

/** Limits of the crash table. */
export interface CrashTableOptions {
  /**
   * Number of crashes from which a request is refused. Default 3, the number of crashes that is
   * tolerated per request: with two, a request that was in flight twice when backends exited for
   * other reasons would be refused.
   */
  readonly refuseAfterCrashes: number;
  /**
   * Time without a crash or an arrival of the request after which its entry expires, in
   * milliseconds. Default 600,000. A request that keeps arriving stays refused; one that returns
   * after the expiry may crash backends again.
   */
  readonly expiryMs: number;
  /**
   * Maximum number of entries; the least recently used is evicted first. Default 4,096, about half
   * a megabyte; an entry is added only for a request that was in flight when a backend exited.
   */
  readonly maxRequests: number;
}

/** Default limits of the crash table. */
export const DEFAULT_CRASH_TABLE_OPTIONS: CrashTableOptions = {
  refuseAfterCrashes: 3,
  expiryMs: 600_000,
  maxRequests: 4_096,
};

interface CrashTableEntry {
  tally: CrashTally;
  touchedAtMs: number;
}

/** Crash tallies by request fingerprint. */
export class CrashTable {
  /** In least-recently-used order. */
  private readonly requests = new Map<RequestFingerprint, CrashTableEntry>();

  constructor(readonly options: CrashTableOptions = DEFAULT_CRASH_TABLE_OPTIONS) {}

  /** Whether the table has no entries, so that callers can skip computing fingerprints. */
  get isEmpty(): boolean {
    return this.requests.size === 0;
  }

  /** Returns the tally of a request. */
  tallyOf(fingerprint: RequestFingerprint): CrashTally {
    return this.requests.get(fingerprint)?.tally ?? NO_CRASHES;
  }

  /** Whether the request must not be sent to any backend. */
  isRefused(fingerprint: RequestFingerprint): boolean {
    return this.tallyOf(fingerprint).crashes >= this.options.refuseAfterCrashes;
  }

  /** Counts refused requests and those with crashes below the refusal threshold. */
  count(): { refused: number; suspected: number } {
    const tallies = [...this.requests.values()].map(({ tally }) => tally);
    const { refuseAfterCrashes } = this.options;
    const refused = tallies.filter(({ crashes }) => crashes >= refuseAfterCrashes).length;
    const suspected = tallies.filter(({ crashes }) => crashes > 0).length - refused;
    return { refused, suspected };
  }

  /** Merges a tally; returns whether it superseded the entry. */
  merge({ fingerprint, crashes, clearances }: RequestCrashes, nowMs: number): boolean {
    const incoming = { crashes, clearances };
    if (!supersedes(incoming, this.tallyOf(fingerprint))) {
      return false;
    }
    this.setNewest(fingerprint, { tally: incoming, touchedAtMs: nowMs });
    this.evictOverflow();
    return true;
  }

  /** Marks a request as recently used, which postpones its expiry. */
  touch(fingerprint: RequestFingerprint, nowMs: number): void {
    const entry = this.requests.get(fingerprint);
    if (entry !== undefined) {
      this.setNewest(fingerprint, { tally: entry.tally, touchedAtMs: nowMs });
    }
  }

  /** Removes entries that were not used within the expiry time; call periodically. */
  evictExpired(nowMs: number): void {
    for (const [fingerprint, { touchedAtMs }] of this.requests) {
      if (nowMs - touchedAtMs <= this.options.expiryMs) {
        return;
      }
      this.requests.delete(fingerprint);
    }
  }

  /** Removes all entries. */
  clear(): void {
    this.requests.clear();
  }

  /** Returns the tallies of the `count` most recently used requests. */
  newest(count: number): RequestCrashes[] {
    return [...this.requests]
      .slice(-count)
      .map(([fingerprint, { tally }]) => ({ fingerprint, ...tally }));
  }

  private setNewest(fingerprint: RequestFingerprint, entry: CrashTableEntry): void {
    this.requests.delete(fingerprint);
    this.requests.set(fingerprint, entry);
  }

  private evictOverflow(): void {
    if (this.requests.size > this.options.maxRequests) {
      const [oldest] = this.requests.keys();
      this.requests.delete(oldest!);
    }
  }
}
