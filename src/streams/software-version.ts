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
const PROCESS_PREFIX = 'process:';

/**
 * Version of a stream or of a backend whose process is not known. It matches no other version, nor
 * itself, so such a stream continues nowhere.
 */
export const UNIDENTIFIED_VERSION = 'unidentified' as SoftwareVersion;

/**
 * Returns the software version of a backend. One that announces none counts as a version of its
 * own, since nothing shows that another backend runs the same software.
 *
 * @param restarts - how often its process was seen to end since its announcement; each process that
 *   follows without an announcement counts as a version of its own too
 */
export function softwareVersionOf(
  { id, version }: Pick<Backend, 'id' | 'version'>,
  restarts = 0,
): SoftwareVersion {
  const isAnnounced = version !== '' && restarts === 0;
  const text = isAnnounced
    ? `${ANNOUNCED_PREFIX}${version}`
    : `${UNANNOUNCED_PREFIX}${id}#${restarts}`;
  return text as SoftwareVersion;
}

/**
 * Returns the software version of the process that started at `bornAtMs` at the address of a
 * backend. One that is not the announced process counts as a version of its own, since it may run
 * other software; every gateway derives the same version for it.
 */
export function softwareVersionOfProcess(
  backend: Pick<Backend, 'id' | 'name' | 'version' | 'bornAtMs'>,
  bornAtMs: number,
): SoftwareVersion {
  return bornAtMs === backend.bornAtMs
    ? softwareVersionOf(backend)
    : (`${PROCESS_PREFIX}${backend.name}@${bornAtMs}` as SoftwareVersion);
}
