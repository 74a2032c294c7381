/**
 * Bounded model checking of the entry and agent cores: two entries, two agents and two requests
 * with the same idempotency key. Each case injects at most one fault and reorders at most one
 * delivery; the cases cover every combination of their steps.
 *
 * The cores are those that the daemons run. Every case starts from the initial state, so no state
 * is copied.
 */
import type { PolicyDocument } from '../policy/document.js';
import { CASE_FAULTS, ModelCheckRun } from './model-check-run.js';
import type { ModelCheckCase, ModelCheckHooks, ModelCheckResult } from './model-check-run.js';

/**
 * Runs every combination of a fault, or none, before one of the first `steps` steps and a reordered
 * delivery, or none, at one of the first `reorderedSteps` steps; returns the cases with violations.
 */
export function runModelCheck(
  document: PolicyDocument,
  steps: number,
  reorderedSteps: number,
  hooks: ModelCheckHooks = {},
): {
  readonly caseCount: number;
  readonly failedCases: ReadonlyArray<ModelCheckCase & ModelCheckResult>;
} {
  const failedCases: Array<ModelCheckCase & ModelCheckResult> = [];
  let caseCount = 0;
  for (const fault of CASE_FAULTS) {
    for (let faultStep = 0; faultStep < (fault === 'none' ? 1 : steps); faultStep += 1) {
      for (let reorderedStep = 0; reorderedStep <= reorderedSteps; reorderedStep += 1) {
        const modelCheckCase = { fault, faultStep, reorderedStep };
        const result = new ModelCheckRun(document, modelCheckCase, hooks).run();
        caseCount += 1;
        if (result.violations.length > 0) {
          failedCases.push({ ...modelCheckCase, ...result });
        }
      }
    }
  }
  return { caseCount, failedCases };
}
