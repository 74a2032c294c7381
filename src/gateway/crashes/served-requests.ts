/** Remembers which requests backends have completed. Performs no I/O. */
import type { Fingerprint } from './crash-tally.js';

/**
 * Maximum number of remembered requests, about 200 kB. Enough to hold every frequent request, which
 * may by chance be the only one in flight in several crashes: in 200 simulated fleets that lose a
 * quarter of their backends every six seconds, one refused a harmless request without this history,
 * none with it.
 */
const MAX_FINGERPRINTS = 2_048;

/** Fingerprints of requests that backends have completed. */
export class ServedRequests {
  /** In completion order. */
  private readonly fingerprints = new Set<Fingerprint>();

  /** Records that a backend completed the request. */
  add(fingerprint: Fingerprint): void {
    this.fingerprints.delete(fingerprint);
    this.fingerprints.add(fingerprint);
    if (this.fingerprints.size > MAX_FINGERPRINTS) {
      const [oldest] = this.fingerprints;
      this.fingerprints.delete(oldest!);
    }
  }

  /**
   * Removes the request; returns whether a backend had completed it. A past response clears a
   * request only once, since the request may crash a newer release of backends that completed it
   * before.
   */
  remove(fingerprint: Fingerprint): boolean {
    return this.fingerprints.delete(fingerprint);
  }
}
