/** Decides whether a request may be sent to a backend, by operator rules and by its stream. */
import { restrictionOf } from '../../routing/backend-restriction.js';
import type { OperatorRules, RestrictionReason } from '../../routing/backend-restriction.js';
import { UNIDENTIFIED_VERSION } from '../../streams/software-version.js';
import type { SoftwareVersion } from '../../streams/software-version.js';
import type { PlacementConstraints } from './dispatch-request.js';
import type { KnownBackend } from './known-backend.js';

/** Why a request may not be sent to a backend. */
export type RequestRestrictionReason =
  | RestrictionReason
  /** Another software version began the stream that the request continues. */
  | 'other-version';

/**
 * Returns why the request may not be sent to a backend; undefined where it may. A version that a
 * rollout has closed to new requests still continues the streams that it began.
 */
export function restrictionForRequest(
  known: Pick<KnownBackend, 'backend' | 'softwareVersion'>,
  { allowedRegions, requiredVersion }: PlacementConstraints,
  rules: OperatorRules,
): RequestRestrictionReason | undefined {
  if (requiredVersion !== undefined && !isKnownToMatch(requiredVersion, known.softwareVersion)) {
    return 'other-version';
  }
  const reason = restrictionOf(known.backend, allowedRegions, rules);
  const continuesStream = requiredVersion !== undefined;
  return reason === 'version-closed' && continuesStream ? undefined : reason;
}

/** Whether both versions are known and the same. */
function isKnownToMatch(required: SoftwareVersion, running: SoftwareVersion): boolean {
  return required === running && running !== UNIDENTIFIED_VERSION;
}
