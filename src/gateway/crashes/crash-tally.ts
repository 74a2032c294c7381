/**
 * Crash tally of a request: a value that gateways merge without coordination, in any order and any
 * number of times.
 */

/**
 * Identical for requests of the same caller with the same method, host, path and body; base64url.
 */
export type RequestFingerprint = string;

/** Crash history of one request. */
export interface CrashTally {
  /**
   * Number of consecutive crashes, each in a run that began after the previous crash was known.
   * Concurrent runs count as one crash, since a shared cause, such as a power failure in a machine
   * room, may have ended all their backends at once.
   */
  readonly crashes: number;
  /**
   * Number of times the crash count was reset because a backend completed the request. Acts as the
   * version of the tally: of two tallies the one with more clearances wins, whatever their crash
   * counts.
   */
  readonly clearances: number;
}

/** The tally of one request as exchanged with peers and the store. */
export interface RequestCrashes extends CrashTally {
  readonly fingerprint: RequestFingerprint;
}

/** The tally of a request without recorded crashes. */
export const NO_CRASHES: CrashTally = { crashes: 0, clearances: 0 };

/** Whether `candidate` supersedes `current`. */
export function supersedes(candidate: CrashTally, current: CrashTally): boolean {
  if (candidate.clearances !== current.clearances) {
    return candidate.clearances > current.clearances;
  }
  return candidate.crashes > current.crashes;
}
