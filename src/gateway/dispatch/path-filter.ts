/** Filters backends by whether the network path to them is suspect. */
import type { KnownBackend } from './known-backend.js';

/**
 * Returns the backends on trusted paths; for a repeatable request also suspect ones whose probe is
 * due. Returns all of them where no path is trusted, since none is then preferable.
 */
export function selectReachable(
  backends: readonly KnownBackend[],
  isRepeatable: boolean,
  nowMs: number,
): readonly KnownBackend[] {
  const trusted = backends.filter(({ path }) => !path.isSuspect);
  if (trusted.length === 0 || trusted.length === backends.length) {
    return backends;
  }
  return isRepeatable
    ? backends.filter((known) => !known.path.isSuspect || isProbeDue(known, nowMs))
    : trusted;
}

/** Whether to probe a suspect path. Active requests there already act as probes. */
function isProbeDue({ path, outstanding }: KnownBackend, nowMs: number): boolean {
  return outstanding === 0 && path.isProbeDue(nowMs);
}
