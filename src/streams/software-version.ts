/**
 * Identifies the software that a backend runs. What two versions write does not fit together, so a
 * stream may continue only at a backend of the version that began it.
 */
import type { Backend } from '../routing/backend.js';

declare const brand: unique symbol;

/** Comparable identity of a software version within one service. */
export type SoftwareVersion = string & { readonly [brand]: true };

const ANNOUNCED_PREFIX = 'version:';
const UNANNOUNCED_PREFIX = 'backend:';

/**
 * Returns the software version of a backend. One that announces none counts as a version of its
 * own, since nothing shows that another backend runs the same software.
 */
export function softwareVersionOf({
  id,
  version,
}: Pick<Backend, 'id' | 'version'>): SoftwareVersion {
  const text = version === '' ? `${UNANNOUNCED_PREFIX}${id}` : `${ANNOUNCED_PREFIX}${version}`;
  return text as SoftwareVersion;
}
