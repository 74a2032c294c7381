/**
 * Crash tally of a request or a prompt part: a value that gateways merge without coordination, in
 * any order and any number of times.
 */

/**
 * Identifies what runs may have in common: a whole request (see `fingerprintOf`), or a part of
 * their prompts (see `promptPartFingerprint`).
 */
export type Fingerprint = string;

/** Crash history of one request or prompt part. */
export interface CrashTally {
  /**
   * Number of consecutive crashes, each in a run that began after the previous crash was known.
   * Concurrent runs count as one crash, since a shared cause, such as a power failure in a machine
   * room, may have ended all their backends at once.
   */
  readonly crashes: number;
  /**
   * Number of times the crash count was reset because a backend completed a request. Acts as the
   * version of the tally: of two tallies the one with more clearances wins, whatever their crash
   * counts.
   */
  readonly clearances: number;
  /**
   * Ids of the backends that ended since the last clearance, in ascending order; missing for a
   * whole request.
   */
  readonly endedBackends?: readonly string[];
}

/** The tally of one fingerprint as exchanged with peers and the store. */
export interface FingerprintCrashes extends CrashTally {
  readonly fingerprint: Fingerprint;
}

/** A tally without recorded crashes. */
export const NO_CRASHES: CrashTally = { crashes: 0, clearances: 0 };

/**
 * Maximum number of backends in a tally. A prompt part is refused after a few; only backends that
 * end at the same moment add more.
 */
const MAX_ENDED_BACKENDS = 32;

/** Merges two tallies; the result does not depend on their order. */
export function mergeTallies(left: CrashTally, right: CrashTally): CrashTally {
  if (left.clearances !== right.clearances) {
    return left.clearances > right.clearances ? left : right;
  }
  const crashes = Math.max(left.crashes, right.crashes);
  const { clearances } = left;
  const ended = new Set([...(left.endedBackends ?? []), ...(right.endedBackends ?? [])]);
  if (ended.size === 0) {
    return { crashes, clearances };
  }
  const endedBackends = [...ended].sort().slice(0, MAX_ENDED_BACKENDS);
  return { crashes, clearances, endedBackends };
}

/** Whether `candidate` adds to `current`. */
export function supersedes(candidate: CrashTally, current: CrashTally): boolean {
  if (candidate.clearances !== current.clearances) {
    return candidate.clearances > current.clearances;
  }
  const merged = mergeTallies(current, candidate);
  return merged.crashes > current.crashes || countEnded(merged) > countEnded(current);
}

/** Number of different backends that ended since the last clearance; 0 for a whole request. */
export function countEnded({ endedBackends }: CrashTally): number {
  return endedBackends?.length ?? 0;
}
