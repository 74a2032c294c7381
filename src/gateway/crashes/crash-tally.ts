/**
 * How often a request is known to have crashed back ends, as a value that gateways merge without agreement:
 * in any order, any number of times.
 */

/** Same for the requests of one caller with the same method, host, path and body; base64url text. */
export type RequestFingerprint = string;

/** What is known of one request's crashes. */
export interface CrashTally {
  /**
   * Crashes one after another: each of them in a run that began after the one before was known. Runs that
   * were at work together count as one, since whatever ended their back ends, a machine room that lost power
   * for one, may have ended all of them at once.
   */
  readonly crashes: number;
  /**
   * How often the crashes were found to be somebody else's, because a back end answered the request. Of two
   * tallies the one with more of these is right, whatever it says of crashes.
   */
  readonly clearances: number;
}

/** The tally of one request, as gateways tell it to each other and to the store. */
export interface RequestCrashes extends CrashTally {
  readonly fingerprint: RequestFingerprint;
}

/** The tally of a request of which nothing is known. */
export const NO_CRASHES: CrashTally = { crashes: 0, clearances: 0 };

/** Whether `told` says more than `known`. */
export function saysMore(told: CrashTally, known: CrashTally): boolean {
  if (told.clearances !== known.clearances) {
    return told.clearances > known.clearances;
  }
  return told.crashes > known.crashes;
}
