/** Check: a request whose caller was told that it was not run is never handed to a back end, to the end of the run. */
import type { Observations } from '../observations.js';
import type { Violation } from './violation.js';

/** Looks at refusals and at the back ends' accounts. */
export function checkToldNotRun(observations: Observations): Violation[] {
  const handed = new Map(observations.handed.map((one) => [one.requestId, one]));
  return observations.attempts.flatMap((attempt) => {
    const ran = handed.get(attempt.requestId ?? '');
    if (attempt.refusal?.ran !== 'no' || ran === undefined) {
      return [];
    }
    const detail = `${ran.requestId} was refused as ${attempt.refusal.reason}, not run, but ran on ${ran.engine}`;
    return [{ check: 'told-not-run', atMs: ran.atMs, detail }];
  });
}
