/** Query: whether the homes of a request leave no back end that could ever serve it as things stand. */
import type { AllowedRegions } from '../../routing/backend-restriction.js';

/** Why the homes of a request leave no back end. */
export type HomeRefusalReason =
  /** Its route and its tenant have no region in common. */
  | 'no-common-home'
  /** No back end of its service stands in its regions, or operators keep requests from all that do. */
  | 'no-backend-at-home';

/** Why a request is refused for its homes; undefined where it is not. */
export function homeRefusalOf(
  allowedRegions: AllowedRegions,
  hasCandidates: () => boolean,
): HomeRefusalReason | undefined {
  if (allowedRegions === undefined) {
    return undefined;
  }
  if (allowedRegions.size === 0) {
    return 'no-common-home';
  }
  return hasCandidates() ? undefined : 'no-backend-at-home';
}

const REASONS: ReadonlySet<string> = new Set<HomeRefusalReason>([
  'no-common-home',
  'no-backend-at-home',
]);

/** Whether a request ended for its homes. */
export function isHomeRefusal(reason: string): reason is HomeRefusalReason {
  return REASONS.has(reason);
}
