/**
 * Query: whether operators permit that a request is sent to a back end at all.
 *
 * One module decides for gateways, which ask before each send, and for slot agents, which ask again from
 * their own replica before they grant a slot. Health, load and the rate of starts are not looked at here:
 * they say which permitted back end is best, or when.
 */
import type { VersionUse } from '../rollout/rollout-order.js';
import type { Backend } from './backend.js';
import { isAccepted } from './place-matching.js';

/** Why nothing may be sent to a back end. */
export type RestrictionReason =
  /** Its zone is evacuated. */
  | 'zone-evacuated'
  /** A roll-out keeps requests from its version. */
  | 'version-closed'
  /** It stands in no region where the request may be served. */
  | 'outside-home';

/** Regions in which a request may be served; undefined where any will do. */
export type AllowedRegions = ReadonlySet<string> | undefined;

/** What operators ordered, as the asking process knows it. */
export interface OperatorRules {
  isEvacuated(zone: string): boolean;
  /** The region of a zone; undefined for one that is not known, which is in no region that a request allows. */
  regionOf(zone: string): string | undefined;
  versionUse(backend: Backend): VersionUse;
}

/** Why a request may not be sent to `backend`; undefined where it may. */
export function restrictionOf(
  backend: Backend,
  allowedRegions: AllowedRegions,
  rules: OperatorRules,
): RestrictionReason | undefined {
  if (rules.isEvacuated(backend.zone)) {
    return 'zone-evacuated';
  }
  if (allowedRegions !== undefined && !isAccepted(rules.regionOf(backend.zone), allowedRegions)) {
    return 'outside-home';
  }
  return rules.versionUse(backend) === 'closed' ? 'version-closed' : undefined;
}

/** The regions that two lists both allow; a list that is undefined allows all. */
export function commonRegions(
  left: readonly string[] | undefined,
  right: readonly string[] | undefined,
): AllowedRegions {
  if (left === undefined || right === undefined) {
    const only = left ?? right;
    return only === undefined ? undefined : new Set(only);
  }
  return new Set(left.filter((region) => right.includes(region)));
}
