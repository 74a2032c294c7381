/** Bounds of the time in which a caller may resume a stream. */
import type { Route } from '../../routing/configuration.js';
import { MAX_RETENTION_MS } from '../../streams/stream-origin-table.js';

/** A first request and one that resumes its stream may each last for the route's timeout. */
const REQUESTS_OF_A_STREAM = 2;
/**
 * Upper bound of the retention of an origin in route timeouts, for callers that state a deadline far
 * beyond the timeout.
 */
const MAX_RETENTION_TIMEOUTS = 4;
/** Time for the last request of a caller to arrive, in milliseconds. */
const ARRIVAL_SLACK_MS = 1_000;

/**
 * Returns the longest time since a stream of the route that is resumed now began. A caller that
 * names its stream may wait beyond the timeout of the route, or the timeout may have been shortened
 * since, so only the longest retention of an origin bounds its age.
 */
export function maxStreamAgeMs(route: Pick<Route, 'timeoutMs'>, isNamed: boolean): number {
  return isNamed ? MAX_RETENTION_MS : expectedStreamAgeMs(route);
}

function expectedStreamAgeMs({ timeoutMs }: Pick<Route, 'timeoutMs'>): number {
  return timeoutMs * REQUESTS_OF_A_STREAM;
}

/** Returns how long a caller with this deadline may still resume a stream of the route. */
export function resumableForMs(
  route: Pick<Route, 'timeoutMs'>,
  callerDeadlineMs: number | undefined,
): number {
  const longestMs = route.timeoutMs * MAX_RETENTION_TIMEOUTS;
  return Math.min(callerDeadlineMs ?? expectedStreamAgeMs(route), longestMs) + ARRIVAL_SLACK_MS;
}
