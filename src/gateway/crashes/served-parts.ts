/** Remembers when backends last completed requests with each prompt part. Performs no I/O. */
import type { Fingerprint } from './crash-tally.js';

/** Maximum number of remembered parts, about a megabyte; the least recently served goes first. */
const MAX_PARTS = 8_192;
/**
 * Time for which a completed request clears the parts of its prompt of later crashes, in
 * milliseconds. Parts in regular use are served more often; one that is not served for this long
 * may have begun to crash backends.
 */
const CLEARANCE_MS = 2_000;

/** Prompt parts of requests that backends have completed. */
export class ServedParts {
  /** Time of the last completed request, in milliseconds, in ascending order. */
  private readonly servedAtMs = new Map<Fingerprint, number>();

  /** Records that a backend completed a request with the part. */
  add(fingerprint: Fingerprint, nowMs: number): void {
    this.servedAtMs.delete(fingerprint);
    this.servedAtMs.set(fingerprint, nowMs);
    if (this.servedAtMs.size > MAX_PARTS) {
      const [oldest] = this.servedAtMs.keys();
      this.servedAtMs.delete(oldest!);
    }
  }

  /** Whether a backend has completed a request with the part, at any time that is remembered. */
  has(fingerprint: Fingerprint): boolean {
    return this.servedAtMs.has(fingerprint);
  }

  /** Whether a backend completed a request with the part recently enough to clear it. */
  isCleared(fingerprint: Fingerprint, nowMs: number): boolean {
    return nowMs - (this.servedAtMs.get(fingerprint) ?? -Infinity) <= CLEARANCE_MS;
  }
}
