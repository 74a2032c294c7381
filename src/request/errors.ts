/** The root of every typed failure in weirvale. */

/** A failure with a stable machine-readable code; each subclass is one kind of failure. */
export abstract class WeirvaleError extends Error {
  /** Stable, kebab-case name of the failure, safe to match on. */
  abstract readonly code: string;

  constructor(message: string) {
    super(message);
    this.name = new.target.name;
  }
}
