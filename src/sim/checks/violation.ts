/** The result type of the simulation checks. */

/** A violation of a guarantee that a simulation check found. */
export interface Violation {
  /** Name of the check that found the violation. */
  readonly check: string;
  /** Virtual time of the violation, in milliseconds. */
  readonly atMs: number;
  readonly detail: string;
}
