/** Check: a back end that is leaving is handed nothing a few seconds after it starts to leave. */
import type { Observations, PlannedLeave } from '../observations.js';
import type { Violation } from './violation.js';

/** Time until no new work, by the way the leave was made known, in milliseconds. */
export const LEAVE_BOUND_MS = { signal: 1_000, list: 6_000 } as const;
/** A list that lags more than usual delays a leave made known by the list alone. */
const LIST_FAULT_EXTRA_MS = 12_000;

/** Looks at leaves and at the back ends' accounts. */
export function checkLeaving(observations: Observations): Violation[] {
  return observations.leaves.flatMap((leave) => {
    const untilMs = leave.restartedAtMs ?? Number.POSITIVE_INFINITY;
    const fromMs = leave.atMs + boundOf(observations, leave);
    return observations.handed
      .filter((one) => one.engine === leave.process && one.atMs > fromMs && one.atMs < untilMs)
      .map((one) => ({
        check: 'leaving',
        atMs: one.atMs,
        detail: `${one.requestId} was handed to ${one.engine} ${(one.atMs - leave.atMs).toFixed(0)} ms after it began to leave by ${leave.by}`,
      }));
  });
}

function boundOf(observations: Observations, leave: PlannedLeave): number {
  const bound = LEAVE_BOUND_MS[leave.by];
  const isListSlow = observations.isDisturbed(['list'], leave.atMs, leave.atMs + bound);
  return leave.by === 'list' && isListSlow ? bound + LIST_FAULT_EXTRA_MS : bound;
}
