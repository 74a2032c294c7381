/** Derives the rate at which all gateways together may send to a backend from its condition. */
import type { BackendCondition } from './backend-condition.js';

/**
 * Minimum rate for a backend with a limit, in requests per second. Only a response can show that
 * the limit was lifted, so a backend with a limit of zero would otherwise never be contacted again.
 */
const MIN_RATE_PER_S = 0.5;
/**
 * Rate for a backend after a backoff until it has served a request, so that traffic does not return
 * all at once.
 */
const RECOVERY_RATE_PER_S = 5;

/** Returns the rate in requests per second over all gateways; undefined for no limit. */
export function sendLimitPerS({ limitPerS, isRecovering }: BackendCondition): number | undefined {
  if (limitPerS === undefined) {
    return isRecovering ? RECOVERY_RATE_PER_S : undefined;
  }
  const rateLimitPerS = Math.max(limitPerS, MIN_RATE_PER_S);
  return isRecovering ? Math.min(rateLimitPerS, RECOVERY_RATE_PER_S) : rateLimitPerS;
}
