/**
 * Decides whether operator rules permit sending a request to a backend at all.
 *
 * Gateways check this before each send; slot agents check it again against their own replica before
 * they grant a slot. Health, load and start rates are not considered here: they decide which
 * permitted backend is picked, and when.
 */
import type { VersionUse } from '../rollout/rollout-order.js';
import type { Backend } from './backend.js';
import { isAccepted } from './label-matching.js';

/** Why a request may not be sent to a backend. */
export type RestrictionReason =
  /** Its zone is evacuated. */
  | 'zone-evacuated'
  /** A rollout has closed its version to requests. */
  | 'version-closed'
  /** Its region is not among the request's allowed regions, or its zone is unknown. */
  | 'outside-home';

/** Regions in which a request may be served; undefined for any. */
export type AllowedRegions = ReadonlySet<string> | undefined;

/** Operator rules as known to this process. */
export interface OperatorRules {
  isEvacuated(zone: string): boolean;
  /** The region of a zone; undefined for an unknown zone, which is in no allowed region. */
  regionOf(zone: string): string | undefined;
  versionUse(backend: Backend): VersionUse;
}

/** Returns why a request may not be sent to `backend`; undefined where it may. */
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

/** Returns the intersection of two region lists; an undefined list allows all. */
export function intersectRegionLists(
  left: readonly string[] | undefined,
  right: readonly string[] | undefined,
): AllowedRegions {
  if (left === undefined || right === undefined) {
    const only = left ?? right;
    return only === undefined ? undefined : new Set(only);
  }
  return new Set(left.filter((region) => right.includes(region)));
}
