/** One run of a request on a backend, as tracked for crash attribution. */
import type { Backend } from '../../routing/backend.js';
import type { AcceptedRequest } from '../attempt/accepted-request.js';
import type { CrashTally, Fingerprint } from './crash-tally.js';
import type { BackendRun } from './interrupted-runs.js';
import { promptPartFingerprint } from './prompt-part-fingerprint.js';
import type { FingerprintedRequest } from './request-fingerprint.js';

/** What identifies a request and the shared parts of its prompt. */
export interface TrackedRequest
  extends FingerprintedRequest, Pick<AcceptedRequest, 'service' | 'sharedPromptParts'> {}

/** One run of a request, from the moment it is sent. */
export interface RequestRun extends BackendRun {
  readonly request: AcceptedRequest;
  readonly backend: Backend;
  /** Tallies of the request and its prompt parts when it was sent; only those that existed. */
  readonly talliesAtStart: ReadonlyMap<Fingerprint, CrashTally>;
  /** The preceding, interrupted run of the same request. */
  readonly previous: RequestRun | undefined;
  /**
   * Crash counts of the request and its prompt parts including this run; empty while the run is not
   * known to have crashed its backend.
   */
  readonly crashes: Map<Fingerprint, number>;
}

/** Returns the fingerprints of the shared parts of a request's prompt. */
export function partFingerprintsOf({ service, sharedPromptParts }: TrackedRequest): Fingerprint[] {
  return sharedPromptParts.map((partId) => promptPartFingerprint(service, partId));
}
