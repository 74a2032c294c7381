/** Errors of reading and changing the policy. */
import { WeirvaleError } from '../request/errors.js';
import type { EntryName, PolicyEntry } from './document.js';

/** A validation error in a policy document. */
export interface PolicyProblem {
  readonly entry: EntryName;
  readonly problem: string;
  /** Line of the entry's section header, if the document was read from a file. */
  readonly line?: number;
}

/** The document violates the schema or references undeclared entries. */
export class InvalidPolicyError extends WeirvaleError {
  readonly code = 'invalid-policy';

  constructor(readonly problems: readonly PolicyProblem[]) {
    super(`policy has ${problems.length} problem(s): ${problems.map(describeProblem).join('; ')}`);
  }
}

/** A concurrent change modified the same entry. */
export class PolicyConflictError extends WeirvaleError {
  readonly code = 'policy-conflict';

  constructor(
    readonly entry: EntryName,
    readonly storedEntry: PolicyEntry | undefined,
    readonly requestedEntry: PolicyEntry | undefined,
  ) {
    super(`${entry} was modified by a concurrent change`);
  }
}

/** The platform's key-value service is unreachable, or the outcome of a change is unknown. */
export class PolicyStoreUnavailableError extends WeirvaleError {
  readonly code = 'policy-store-unavailable';
}

/** Formats a problem as one line of text. */
export function describeProblem(problem: PolicyProblem): string {
  const location =
    problem.line === undefined ? problem.entry : `line ${problem.line} ${problem.entry}`;
  return `${location}: ${problem.problem}`;
}
