/**
 * Check `told-not-run`: a request that was refused with `ran: 'no'` is not dispatched to a backend
 * at any time before the end of the simulation.
 */
import type { Observations } from '../observations.js';
import type { Violation } from './violation.js';

/** Returns a violation for each request that was refused as not run and also dispatched. */
export function checkRefusedNotRun(observations: Observations): Violation[] {
  const dispatchById = new Map(
    observations.dispatches.map((dispatch) => [dispatch.requestId, dispatch]),
  );
  return observations.attempts.flatMap((attempt) => {
    const dispatch = dispatchById.get(attempt.requestId ?? '');
    if (attempt.refusal?.ran !== 'no' || dispatch === undefined) {
      return [];
    }
    const detail = `${dispatch.requestId} was refused as not run (${attempt.refusal.reason}), but ran on ${dispatch.engine}`;
    return [{ check: 'told-not-run', atMs: dispatch.atMs, detail }];
  });
}
