/** Check: no request is handed to a back end twice, and no idempotency key runs twice. */
import type { Observations } from '../observations.js';
import type { Violation } from './violation.js';

/** Looks at the back ends' accounts only. */
export function checkDispatchedOnce(observations: Observations): Violation[] {
  const violations: Violation[] = [];
  const seen = new Map<string, string>();
  for (const handed of observations.handed) {
    const names = [`request ${handed.requestId}`];
    if (handed.idempotencyKey !== undefined) {
      names.push(`key ${handed.idempotencyKey}`);
    }
    for (const name of names) {
      const first = seen.get(name);
      if (first !== undefined) {
        const detail = `${name} ran on ${first} and on ${handed.engine}`;
        violations.push({ check: 'dispatched-once', atMs: handed.atMs, detail });
      }
      seen.set(name, handed.engine);
    }
  }
  return violations;
}
