/** What a check finds. */

/** A breach of a promise. */
export interface Violation {
  /** Name of the check. */
  readonly check: string;
  readonly atMs: number;
  readonly detail: string;
}
