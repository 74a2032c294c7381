/**
 * Finds the prompt parts that crash backends among all that were in flight on backends that ended.
 * Performs no I/O.
 *
 * Every part in flight on a backend that ended is a suspect, and most are victims. A part that was
 * answered in full is cleared and not a suspect. Of the others, the one that was at most ended
 * backends is found first, and the ends that it accounts for no longer count against any other: a
 * victim that was often in flight beside it is released, and a second culprit is found by the ends
 * that are left.
 */
import { countEnded } from './crash-tally.js';
import type { CrashTally, Fingerprint } from './crash-tally.js';

/** Evidence that is needed to hold a prompt part responsible. */
export interface CulpritOptions {
  /**
   * Number of ended backends that no other culprit accounts for. Default 3: with two, a rare part
   * would be held responsible that was in flight twice when backends ended for other reasons.
   */
  readonly minEndedBackends: number;
  /**
   * Number of consecutive crashes. Default 2: backends that end at one moment may share a cause,
   * such as a power failure.
   */
  readonly minCrashes: number;
  /**
   * Number of ended backends from which all parts with the same evidence are held responsible.
   * Default 5: until then, a further crash may tell them apart.
   */
  readonly minEndedBackendsIfTied: number;
}

/** Default evidence. */
export const DEFAULT_CULPRIT_OPTIONS: CulpritOptions = {
  minEndedBackends: 3,
  minCrashes: 2,
  minEndedBackendsIfTied: 5,
};

interface Suspect {
  readonly fingerprint: Fingerprint;
  /** Ended backends that no culprit found so far accounts for. */
  readonly unexplained: readonly string[];
}

/** Returns the fingerprints of the parts that crash backends. */
export function findCulprits(
  tallies: Iterable<readonly [Fingerprint, CrashTally]>,
  options: CulpritOptions = DEFAULT_CULPRIT_OPTIONS,
): ReadonlySet<Fingerprint> {
  const culprits = new Set<Fingerprint>();
  let suspects = suspectsIn(tallies, options);
  let found = nextCulprits(suspects, options);
  while (found.length > 0) {
    found.forEach(({ fingerprint }) => culprits.add(fingerprint));
    const explained = new Set(found.flatMap(({ unexplained }) => unexplained));
    suspects = suspects
      .filter((suspect) => !culprits.has(suspect.fingerprint))
      .map((suspect) => ({ ...suspect, unexplained: without(suspect.unexplained, explained) }))
      .filter(({ unexplained }) => unexplained.length >= options.minEndedBackends);
    found = nextCulprits(suspects, options);
  }
  return culprits;
}

function suspectsIn(
  tallies: Iterable<readonly [Fingerprint, CrashTally]>,
  { minEndedBackends, minCrashes }: CulpritOptions,
): Suspect[] {
  const suspects: Suspect[] = [];
  for (const [fingerprint, tally] of tallies) {
    if (countEnded(tally) >= minEndedBackends && tally.crashes >= minCrashes) {
      suspects.push({ fingerprint, unexplained: tally.endedBackends ?? [] });
    }
  }
  return suspects;
}

/**
 * Returns the next suspect that no rival may explain, or several with the same evidence once there
 * is enough of it; empty if there is none, or a further crash may tell them apart.
 */
function nextCulprits(suspects: readonly Suspect[], options: CulpritOptions): Suspect[] {
  const byEvidence = [...suspects].sort(
    (left, right) => right.unexplained.length - left.unexplained.length,
  );
  for (const suspect of byEvidence) {
    const rivals = byEvidence.filter((other) => isRival(other, suspect, options));
    const count = suspect.unexplained.length;
    const isTied = rivals.every(({ unexplained }) => unexplained.length === count);
    if (rivals.length === 0 || (isTied && count >= options.minEndedBackendsIfTied)) {
      return [suspect, ...rivals];
    }
  }
  return [];
}

/** Whether `other`, if it is a culprit, accounts for the ends that count against `suspect`. */
function isRival(other: Suspect, suspect: Suspect, options: CulpritOptions): boolean {
  if (other === suspect || other.unexplained.length < suspect.unexplained.length) {
    return false;
  }
  const remaining = without(suspect.unexplained, new Set(other.unexplained));
  return remaining.length < options.minEndedBackends;
}

function without(backends: readonly string[], explained: ReadonlySet<string>): string[] {
  return backends.filter((backend) => !explained.has(backend));
}
