/** Determines whether the constraints of a request exclude every backend that could serve it. */
import { regionRefusalOf } from '../regions/region-refusal.js';
import type { RegionRefusalReason } from '../regions/region-refusal.js';
import type { PlacementConstraints } from './dispatch-request.js';

/** Why no backend can serve a request. */
export type PlacementRefusalReason =
  | RegionRefusalReason
  /** No backend of the version that began the stream is left. */
  | 'stream-unavailable';

/** Returns why a request's constraints cause a refusal; undefined if they do not. */
export function placementRefusalOf(
  { allowedRegions, requiredVersion }: PlacementConstraints,
  hasCandidates: () => boolean,
): PlacementRefusalReason | undefined {
  if (requiredVersion !== undefined && !hasCandidates()) {
    return 'stream-unavailable';
  }
  return regionRefusalOf(allowedRegions, hasCandidates);
}
