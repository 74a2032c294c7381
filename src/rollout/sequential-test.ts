/**
 * Tests whether a version has a higher failure rate than the version in force (Wald's sequential
 * probability ratio test).
 *
 * Both hypotheses are relative to the failure rate of the version in force over the same period: up
 * to a small margin above it is good, at least a large margin above it is bad.
 */

/** Completed requests of one version, and how many of them failed or were late. */
export interface OutcomeCounts {
  readonly ended: number;
  readonly bad: number;
}

/** Result of the test; `open` while there is too little evidence. */
export type Verdict = 'open' | 'good' | 'bad';

/** Probability of classifying a good version as bad; each such error costs operators a rollout. */
const FALSE_BAD_RATE = 0.001;
/** Probability of classifying a bad version as good, by this test alone. */
const FALSE_GOOD_RATE = 0.01;
/** Maximum excess of a good version's failure rate over that of the version in force. */
const GOOD_MARGIN = 0.03;
/** Further excess, on top of `GOOD_MARGIN`, at which a version counts as bad. */
const BAD_MARGIN = 0.2;
/**
 * Upper limit of the assumed failure rates; above it both versions fail and cannot be
 * distinguished.
 */
const MAX_FAILURE_RATE = 0.95;
/** Successful requests of the version in force that are assumed in addition to those observed. */
const PRIOR_REQUESTS = 10;

const BAD_THRESHOLD = Math.log((1 - FALSE_GOOD_RATE) / FALSE_BAD_RATE);
const GOOD_THRESHOLD = Math.log(FALSE_GOOD_RATE / (1 - FALSE_BAD_RATE));

/** Returns the log likelihood ratio of `target` being bad to it being good, given its outcomes. */
export function logLikelihoodRatio(target: OutcomeCounts, inForce: OutcomeCounts): number {
  const baseline = inForce.bad / (inForce.ended + PRIOR_REQUESTS);
  const good = Math.min(MAX_FAILURE_RATE - BAD_MARGIN, baseline + GOOD_MARGIN);
  const bad = Math.min(MAX_FAILURE_RATE, baseline + GOOD_MARGIN + BAD_MARGIN);
  const succeeded = target.ended - target.bad;
  return target.bad * Math.log(bad / good) + succeeded * Math.log((1 - bad) / (1 - good));
}

/** Returns the verdict on `target` given the outcomes so far. */
export function evaluateVersion(target: OutcomeCounts, inForce: OutcomeCounts): Verdict {
  const ratio = logLikelihoodRatio(target, inForce);
  if (ratio >= BAD_THRESHOLD) {
    return 'bad';
  }
  return ratio <= GOOD_THRESHOLD ? 'good' : 'open';
}
