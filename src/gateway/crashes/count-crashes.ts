/** Counts a crash against what was in flight on the backend. Performs no I/O. */
import { mergeTallies, NO_CRASHES } from './crash-tally.js';
import type { CrashTally, Fingerprint, FingerprintCrashes } from './crash-tally.js';
import { partFingerprintsOf } from './request-run.js';
import type { RequestRun } from './request-run.js';

/**
 * Maximum number of prompt parts that one crash is counted against, so that requests with many
 * parts cannot flood the other gateways.
 */
const MAX_PARTS_PER_CRASH = 64;

/** Returns the tally of a request or prompt part before the crash. */
export type TallyLookup = (fingerprint: Fingerprint) => CrashTally;

/** Adds a crash to the tally of a request or prompt part, and notes the count in its run. */
export function countCrash(
  run: RequestRun,
  fingerprint: Fingerprint,
  tallyOf: TallyLookup,
): CrashTally {
  const { clearances } = tallyOf(fingerprint);
  const crashes = priorCrashes(run, fingerprint, clearances) + 1;
  run.crashes.set(fingerprint, crashes);
  return { crashes, clearances };
}

/**
 * Adds the crash of the runs' backend to the tallies of their prompt parts, except those that
 * `isCleared` exempts; returns those with the most crashes first.
 */
export function countPartCrashes(
  runs: readonly RequestRun[],
  tallyOf: TallyLookup,
  isCleared: (fingerprint: Fingerprint) => boolean,
): FingerprintCrashes[] {
  const tallies = new Map<Fingerprint, CrashTally>();
  for (const run of runs) {
    for (const fingerprint of partFingerprintsOf(run.request)) {
      if (!isCleared(fingerprint)) {
        const counted = countCrash(run, fingerprint, tallyOf);
        const tally = { ...counted, endedBackends: [run.backendId] };
        tallies.set(fingerprint, mergeTallies(tallies.get(fingerprint) ?? tally, tally));
      }
    }
  }
  return [...tallies]
    .map(([fingerprint, tally]) => ({ fingerprint, ...tally }))
    .sort((left, right) => right.crashes - left.crashes)
    .slice(0, MAX_PARTS_PER_CRASH);
}

/**
 * Returns the crashes known when a run began, including those of the preceding run of the same
 * request. Only a run that began after a crash was known adds to the count, see
 * `CrashTally.crashes`.
 */
function priorCrashes(
  { talliesAtStart, previous }: RequestRun,
  fingerprint: Fingerprint,
  clearances: number,
): number {
  const atStart = talliesAtStart.get(fingerprint) ?? NO_CRASHES;
  const isSameVersion = atStart.clearances === clearances;
  return isSameVersion ? Math.max(atStart.crashes, previous?.crashes.get(fingerprint) ?? 0) : 0;
}
