/** Query: how many requests a second all gateways together may send to a back end, by what it says of itself. */
import type { BackendCondition } from './backend-condition.js';

/**
 * Least rate at which a back end with a limit is tried, in requests a second: only an answer shows that it names none
 * any more, and one that names nothing at all would never be heard again.
 */
const LEAST_PER_S = 0.5;
/** Rate at which a back end that has rested is tried until it has served a request, so that not all come back at once. */
const RETURN_PER_S = 5;

/** Requests a second, over all gateways; undefined where nothing is to be kept to. */
export function sendLimitPerS({ limitPerS, isReturning }: BackendCondition): number | undefined {
  if (limitPerS === undefined) {
    return isReturning ? RETURN_PER_S : undefined;
  }
  const namedPerS = Math.max(limitPerS, LEAST_PER_S);
  return isReturning ? Math.min(namedPerS, RETURN_PER_S) : namedPerS;
}
