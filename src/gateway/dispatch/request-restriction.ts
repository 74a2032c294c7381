/** Decides whether a request may be sent to a backend, by operator rules and by its stream. */
import { restrictionOf } from '../../routing/backend-restriction.js';
import type { OperatorRules, RestrictionReason } from '../../routing/backend-restriction.js';
import type { Backend } from '../../routing/backend.js';
import { softwareVersionOf } from '../../streams/software-version.js';
import type { PlacementConstraints } from './dispatch-request.js';

/** Why a request may not be sent to a backend. */
export type RequestRestrictionReason =
  | RestrictionReason
  /** Another software version began the stream that the request continues. */
  | 'other-version';

/**
 * Returns why the request may not be sent to `backend`; undefined where it may. A version that a
 * rollout has closed to new requests still continues the streams that it began.
 */
export function restrictionForRequest(
  backend: Backend,
  { allowedRegions, requiredVersion }: PlacementConstraints,
  rules: OperatorRules,
): RequestRestrictionReason | undefined {
  const isStreamVersion = requiredVersion === softwareVersionOf(backend);
  if (requiredVersion !== undefined && !isStreamVersion) {
    return 'other-version';
  }
  const reason = restrictionOf(backend, allowedRegions, rules);
  return reason === 'version-closed' && isStreamVersion ? undefined : reason;
}
