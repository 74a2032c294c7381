/**
 * Fingerprints of prompt parts. A part is tallied per service, since the backends of another
 * service may serve it, and not per tenant, since it harms whoever shares a backend with it.
 */
import type { Fingerprint } from './crash-tally.js';

/** Occurs neither in the id of a part nor in the fingerprint of a whole request. */
const SEPARATOR = ':';

/** Returns the fingerprint of a prompt part at the backends of a service. */
export function promptPartFingerprint(service: string, partId: string): Fingerprint {
  return `${service}${SEPARATOR}${partId}`;
}

/** Returns the id of a prompt part; undefined for the fingerprint of a whole request. */
export function promptPartOf(fingerprint: Fingerprint): string | undefined {
  const index = fingerprint.lastIndexOf(SEPARATOR);
  return index === -1 ? undefined : fingerprint.slice(index + 1);
}
