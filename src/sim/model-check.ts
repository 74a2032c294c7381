/**
 * A systematic search of small cases: two entries, two agents, two requests for one idempotency
 * key, one fault at every step, and one message delivered out of turn at every step.
 *
 * The cores are the daemons'. A case is run from its beginning each time, so nothing is copied.
 */
import type { PolicyDocument } from '../policy/document.js';
import { CASE_FAULTS, SmallWorld } from './small-world.js';
import type { SmallCase, SmallCaseHooks, SmallCaseResult } from './small-world.js';

/** Runs every case with up to `steps` steps for fault and out-of-turn delivery; returns what broke. */
export function checkSmallCases(
  document: PolicyDocument,
  steps: number,
  outOfTurnSteps: number,
  hooks: SmallCaseHooks = {},
): { readonly caseCount: number; readonly broken: ReadonlyArray<SmallCase & SmallCaseResult> } {
  const broken: Array<SmallCase & SmallCaseResult> = [];
  let caseCount = 0;
  for (const fault of CASE_FAULTS) {
    for (let faultStep = 0; faultStep < (fault === 'none' ? 1 : steps); faultStep += 1) {
      for (let outOfTurnStep = 0; outOfTurnStep <= outOfTurnSteps; outOfTurnStep += 1) {
        const one = { fault, faultStep, outOfTurnStep };
        const result = new SmallWorld(document, one, hooks).run();
        caseCount += 1;
        if (result.faults.length > 0) {
          broken.push({ ...one, ...result });
        }
      }
    }
  }
  return { caseCount, broken };
}
