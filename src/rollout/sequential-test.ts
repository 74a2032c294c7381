/**
 * Query: a sequential test of whether a version fails more of its requests than the one that is in force
 * (Wald's sequential probability ratio test).
 *
 * Both hypotheses follow from what the version in force fails at the same time: as much and a little more
 * is still good; clearly more is bad.
 */

/** Requests of one version, and how many of them failed or were late. */
export interface OutcomeCounts {
  readonly ended: number;
  readonly bad: number;
}

/** What the evidence says. */
export type Verdict = 'open' | 'good' | 'bad';

/** Chance of calling a good version bad; each call costs operators a roll-out. */
const FALSE_BAD = 0.001;
/** Chance of calling a bad version good, by this test alone. */
const FALSE_GOOD = 0.01;
/** What a good version may fail beyond the one in force, as a share of its requests. */
const GOOD_MARGIN = 0.03;
/** What a bad version fails beyond the one in force at the least. */
const BAD_MARGIN = 0.2;
/** Above this share of failures nothing can be told: both versions fail. */
const MAX_SHARE = 0.95;
/** Requests of the version in force, without a failure, that are assumed beside those seen. */
const ASSUMED_ENDED = 10;

const BAD_BOUND = Math.log((1 - FALSE_GOOD) / FALSE_BAD);
const GOOD_BOUND = Math.log(FALSE_GOOD / (1 - FALSE_BAD));

/** Logarithm of how much likelier the outcomes of `target` are if it is bad than if it is good. */
export function likelihoodRatio(target: OutcomeCounts, inForce: OutcomeCounts): number {
  const usual = inForce.bad / (inForce.ended + ASSUMED_ENDED);
  const good = Math.min(MAX_SHARE - BAD_MARGIN, usual + GOOD_MARGIN);
  const bad = Math.min(MAX_SHARE, usual + GOOD_MARGIN + BAD_MARGIN);
  const answered = target.ended - target.bad;
  return target.bad * Math.log(bad / good) + answered * Math.log((1 - bad) / (1 - good));
}

/** What the outcomes say of `target`. */
export function judge(target: OutcomeCounts, inForce: OutcomeCounts): Verdict {
  const ratio = likelihoodRatio(target, inForce);
  if (ratio >= BAD_BOUND) {
    return 'bad';
  }
  return ratio <= GOOD_BOUND ? 'good' : 'open';
}
