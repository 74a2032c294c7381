/**
 * How long a connection to a back end may rest before it is used again.
 *
 * Back ends, or what lies between, may forget a resting connection without a
 * word; whatever is sent on it next is reset, and nobody can tell whether that
 * request ran. So the limit falls below the shortest rest after which that was
 * seen, and rises again while it is not seen.
 */

/** Bounds of the limit, in milliseconds. */
export interface RestLimitOptions {
  /** Limit to begin with, and highest one. Default 20,000. */
  readonly maxMs: number;
  /** Lowest limit. Default 100. */
  readonly minMs: number;
  /** Time without a forgotten connection after which the limit is doubled. Default 10,000. */
  readonly recoverMs: number;
}

/** Defaults of the limit. */
export const DEFAULT_REST_LIMIT_OPTIONS: RestLimitOptions = {
  maxMs: 20_000,
  minMs: 100,
  recoverMs: 10_000,
};

/** Share of a rest that proved too long which is still used. */
const SAFE_SHARE = 0.6;

/** How long a connection may rest. */
export class RestLimit {
  private limitMs: number;
  private changedAtMs = 0;

  constructor(private readonly options: RestLimitOptions = DEFAULT_REST_LIMIT_OPTIONS) {
    this.limitMs = options.maxMs;
  }

  /** The limit now. */
  current(nowMs: number): number {
    const { maxMs, recoverMs } = this.options;
    while (this.limitMs < maxMs && nowMs - this.changedAtMs >= recoverMs) {
      this.limitMs = Math.min(maxMs, this.limitMs * 2);
      this.changedAtMs += recoverMs;
    }
    return this.limitMs;
  }

  /** A connection that had rested for `restedMs` was reset by what was sent on it. */
  noteForgotten(restedMs: number, nowMs: number): void {
    const limitMs = Math.min(this.current(nowMs), restedMs * SAFE_SHARE);
    this.limitMs = Math.max(this.options.minMs, limitMs);
    this.changedAtMs = nowMs;
  }
}
