/**
 * Check `leaving`: a backend that shuts down gracefully (machine state `leaving`) receives no
 * requests once the shutdown has had time to propagate.
 */
import type { Observations, GracefulShutdown } from '../observations.js';
import type { Violation } from './violation.js';

/**
 * Time after which a backend that shuts down must receive no new requests, by how the shutdown was
 * signalled, in milliseconds.
 */
export const SHUTDOWN_LIMIT_MS = { signal: 1_000, list: 6_000 } as const;
/** Added to the `list` limit while a fault delays the machine list, in milliseconds. */
const LIST_FAULT_ALLOWANCE_MS = 12_000;

/** Returns a violation for each request dispatched to a backend after its shutdown took effect. */
export function checkGracefulShutdown(observations: Observations): Violation[] {
  return observations.shutdowns.flatMap((shutdown) => {
    const untilMs = shutdown.restartedAtMs ?? Number.POSITIVE_INFINITY;
    const fromMs = shutdown.atMs + shutdownLimitMs(observations, shutdown);
    return observations.dispatches
      .filter(
        (dispatch) =>
          dispatch.engine === shutdown.process && dispatch.atMs > fromMs && dispatch.atMs < untilMs,
      )
      .map((dispatch) => ({
        check: 'leaving',
        atMs: dispatch.atMs,
        detail: `${dispatch.requestId} was dispatched to ${dispatch.engine} ${(dispatch.atMs - shutdown.atMs).toFixed(0)} ms after its shutdown by ${shutdown.trigger} began`,
      }));
  });
}

function shutdownLimitMs(observations: Observations, shutdown: GracefulShutdown): number {
  const limitMs = SHUTDOWN_LIMIT_MS[shutdown.trigger];
  const isListDelayed = observations.isAffectedByFault(
    ['list'],
    shutdown.atMs,
    shutdown.atMs + limitMs,
  );
  return shutdown.trigger === 'list' && isListDelayed ? limitMs + LIST_FAULT_ALLOWANCE_MS : limitMs;
}
