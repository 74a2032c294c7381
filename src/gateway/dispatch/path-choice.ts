/** Query: which back ends a request may be bound to by what is believed of the paths there. */
import type { KnownBackend } from './known-backend.js';

/**
 * Those whose paths are trusted; for a request that may be repeated also those of which one request now and
 * then finds out whether the path is back. All of them where no path is trusted: none is worse than another.
 */
export function reachableOf(
  backends: readonly KnownBackend[],
  isRepeatable: boolean,
  nowMs: number,
): readonly KnownBackend[] {
  const trusted = backends.filter(({ path }) => !path.isSuspect);
  if (trusted.length === 0 || trusted.length === backends.length) {
    return backends;
  }
  return isRepeatable
    ? backends.filter((known) => !known.path.isSuspect || isTrialDue(known, nowMs))
    : trusted;
}

/** Requests at work there tell by their answers; only without any is one sent to find out. */
function isTrialDue({ path, outstanding }: KnownBackend, nowMs: number): boolean {
  return outstanding === 0 && path.isTrialDue(nowMs);
}
