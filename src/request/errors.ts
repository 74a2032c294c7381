/** Base class of all typed errors in weirvale. */

/** An error with a stable machine-readable code; each subclass is one kind of error. */
export abstract class WeirvaleError extends Error {
  /** Stable kebab-case error code, safe to match on. */
  abstract readonly code: string;

  constructor(message: string) {
    super(message);
    this.name = new.target.name;
  }
}
