/** Determines whether a request's allowed regions exclude every backend that could serve it. */
import type { AllowedRegions } from '../../routing/backend-restriction.js';

/** Why the allowed regions of a request leave no backend. */
export type RegionRefusalReason =
  /** Its route and its tenant have no allowed region in common. */
  | 'no-common-home'
  /**
   * Its service has no ready or recently unlisted backend in the allowed regions, or operators
   * excluded all of them.
   */
  | 'no-backend-at-home';

/** Returns why a request's allowed regions cause a refusal; undefined if they do not. */
export function regionRefusalOf(
  allowedRegions: AllowedRegions,
  hasCandidates: () => boolean,
): RegionRefusalReason | undefined {
  if (allowedRegions === undefined) {
    return undefined;
  }
  if (allowedRegions.size === 0) {
    return 'no-common-home';
  }
  return hasCandidates() ? undefined : 'no-backend-at-home';
}

const REGION_REFUSAL_REASONS: ReadonlySet<string> = new Set<RegionRefusalReason>([
  'no-common-home',
  'no-backend-at-home',
]);

/** Whether a request was refused because of its allowed regions. */
export function isRegionRefusal(reason: string): reason is RegionRefusalReason {
  return REGION_REFUSAL_REASONS.has(reason);
}
