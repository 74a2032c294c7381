/** Failures of reading and changing policy. */
import { WeirvaleError } from '../request/errors.js';
import type { EntryName, PolicyEntry } from './document.js';

/** One fault of a policy document. */
export interface PolicyProblem {
  readonly entry: EntryName;
  readonly problem: string;
  /** Line of the file, where the document came from one. */
  readonly line?: number;
}

/** The document breaks the schema or names something that is not declared. */
export class InvalidPolicyError extends WeirvaleError {
  readonly code = 'invalid-policy';

  constructor(readonly problems: readonly PolicyProblem[]) {
    super(`policy has ${problems.length} problem(s): ${problems.map(describeProblem).join('; ')}`);
  }
}

/** Another operator changed the same entry first. */
export class PolicyConflictError extends WeirvaleError {
  readonly code = 'policy-conflict';

  constructor(
    readonly entry: EntryName,
    readonly theirs: PolicyEntry | undefined,
    readonly yours: PolicyEntry | undefined,
  ) {
    super(`${entry} was changed by somebody else in the meantime`);
  }
}

/** The platform's key-value service could not be reached, or gave no certain answer. */
export class PolicyStoreUnavailableError extends WeirvaleError {
  readonly code = 'policy-store-unavailable';
}

/** One problem as a line for a person. */
export function describeProblem(problem: PolicyProblem): string {
  const where =
    problem.line === undefined ? problem.entry : `line ${problem.line} ${problem.entry}`;
  return `${where}: ${problem.problem}`;
}
