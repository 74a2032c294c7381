/** Check `dispatched-once`: no request and no idempotency key is dispatched to a backend twice. */
import type { Observations } from '../observations.js';
import type { Violation } from './violation.js';

/** Returns a violation for each repeated dispatch that the backends recorded. */
export function checkDispatchedOnce(observations: Observations): Violation[] {
  const violations: Violation[] = [];
  const engineByName = new Map<string, string>();
  for (const dispatch of observations.dispatches) {
    const names = [`request ${dispatch.requestId}`];
    if (dispatch.idempotencyKey !== undefined) {
      names.push(`key ${dispatch.idempotencyKey}`);
    }
    for (const name of names) {
      const firstEngine = engineByName.get(name);
      if (firstEngine !== undefined) {
        const detail = `${name} ran on ${firstEngine} and on ${dispatch.engine}`;
        violations.push({ check: 'dispatched-once', atMs: dispatch.atMs, detail });
      }
      engineByName.set(name, dispatch.engine);
    }
  }
  return violations;
}
