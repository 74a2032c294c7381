/** The requests that are known to have crashed back ends, by fingerprint, without I/O. */
import { NO_CRASHES, saysMore } from './crash-tally.js';
import type { CrashTally, RequestCrashes, RequestFingerprint } from './crash-tally.js';

/** Bounds of the table. */
export interface CrashTableOptions {
  /**
   * Crashes from which on a request is refused. Default 3, the number that users bear: with two, a request
   * that was at work twice when back ends ended for other reasons would be refused for them.
   */
  readonly refuseAfterCrashes: number;
  /**
   * Time in which a request has neither crashed a back end nor been asked for, after which it is forgotten, in
   * milliseconds. Default 600,000. A request that keeps coming is refused for as long as it does; one that
   * returns after that may crash back ends anew.
   */
  readonly forgetMs: number;
  /**
   * Requests that are remembered; of more the one that was touched longest ago goes. Default 4,096, about half
   * a megabyte: each stands for a back end that has ended.
   */
  readonly maxRequests: number;
}

/** Defaults of the table. */
export const DEFAULT_CRASH_TABLE_OPTIONS: CrashTableOptions = {
  refuseAfterCrashes: 3,
  forgetMs: 600_000,
  maxRequests: 4_096,
};

interface KnownRequest {
  tally: CrashTally;
  touchedAtMs: number;
}

/** The requests that are known to have crashed back ends. */
export class CrashTable {
  /** In the order in which they were touched. */
  private readonly requests = new Map<RequestFingerprint, KnownRequest>();

  constructor(readonly options: CrashTableOptions = DEFAULT_CRASH_TABLE_OPTIONS) {}

  /** Whether nothing is known of any request, so that no fingerprint needs to be reckoned. */
  get isEmpty(): boolean {
    return this.requests.size === 0;
  }

  /** What is known of a request. */
  tallyOf(fingerprint: RequestFingerprint): CrashTally {
    return this.requests.get(fingerprint)?.tally ?? NO_CRASHES;
  }

  /** Whether a request is to be kept from back ends. */
  isRefused(fingerprint: RequestFingerprint): boolean {
    return this.tallyOf(fingerprint).crashes >= this.options.refuseAfterCrashes;
  }

  /** Requests that are refused, and those that have crashed back ends less often. */
  count(): { refused: number; suspected: number } {
    const tallies = [...this.requests.values()].map(({ tally }) => tally);
    const { refuseAfterCrashes } = this.options;
    const refused = tallies.filter(({ crashes }) => crashes >= refuseAfterCrashes).length;
    const suspected = tallies.filter(({ crashes }) => crashes > 0).length - refused;
    return { refused, suspected };
  }

  /** Takes in what was learned of a request; says whether it is news. */
  merge({ fingerprint, crashes, clearances }: RequestCrashes, nowMs: number): boolean {
    const told = { crashes, clearances };
    if (!saysMore(told, this.tallyOf(fingerprint))) {
      return false;
    }
    this.put(fingerprint, { tally: told, touchedAtMs: nowMs });
    this.limit();
    return true;
  }

  /** The request was asked for: it is remembered for as long as that goes on. */
  touch(fingerprint: RequestFingerprint, nowMs: number): void {
    const known = this.requests.get(fingerprint);
    if (known !== undefined) {
      this.put(fingerprint, { tally: known.tally, touchedAtMs: nowMs });
    }
  }

  /** Forgets what was not touched for long; to be called now and then. */
  forgetOld(nowMs: number): void {
    for (const [fingerprint, { touchedAtMs }] of this.requests) {
      if (nowMs - touchedAtMs <= this.options.forgetMs) {
        return;
      }
      this.requests.delete(fingerprint);
    }
  }

  /** Forgets everything. */
  clear(): void {
    this.requests.clear();
  }

  /** What is known, the `most` requests that were touched last. */
  newest(most: number): RequestCrashes[] {
    return [...this.requests]
      .slice(-most)
      .map(([fingerprint, { tally }]) => ({ fingerprint, ...tally }));
  }

  private put(fingerprint: RequestFingerprint, known: KnownRequest): void {
    this.requests.delete(fingerprint);
    this.requests.set(fingerprint, known);
  }

  private limit(): void {
    if (this.requests.size > this.options.maxRequests) {
      const [oldest] = this.requests.keys();
      this.requests.delete(oldest!);
    }
  }
}
