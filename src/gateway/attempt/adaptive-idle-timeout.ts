/**
 * Adaptive idle timeout of the connections to backends.
 *
 * Backends, or middleboxes on the path, may drop an idle connection without closing it. The next
 * request on such a stale connection is reset, with no way to tell whether it was executed. The
 * timeout is therefore lowered below the shortest idle time after which such a reset was seen, and
 * raised again while none is seen.
 */

/** Bounds of the timeout, in milliseconds. */
export interface AdaptiveIdleTimeoutOptions {
  /** Initial and maximum timeout. Default 20,000. */
  readonly maxMs: number;
  /** Minimum timeout. Default 100. */
  readonly minMs: number;
  /** Time without a stale connection after which the timeout is doubled. Default 10,000. */
  readonly doublingIntervalMs: number;
}

/** Default bounds of the timeout. */
export const DEFAULT_ADAPTIVE_IDLE_TIMEOUT_OPTIONS: AdaptiveIdleTimeoutOptions = {
  maxMs: 20_000,
  minMs: 100,
  doublingIntervalMs: 10_000,
};

/** Share of an idle time that proved too long that is used as the new timeout. */
const SAFE_SHARE = 0.6;

/** An idle timeout that is lowered by stale connections and recovers over time. */
export class AdaptiveIdleTimeout {
  private timeoutMs: number;
  private changedAtMs = 0;

  constructor(
    private readonly options: AdaptiveIdleTimeoutOptions = DEFAULT_ADAPTIVE_IDLE_TIMEOUT_OPTIONS,
  ) {
    this.timeoutMs = options.maxMs;
  }

  /** Returns the timeout at `nowMs`. */
  current(nowMs: number): number {
    const { maxMs, doublingIntervalMs } = this.options;
    while (this.timeoutMs < maxMs && nowMs - this.changedAtMs >= doublingIntervalMs) {
      this.timeoutMs = Math.min(maxMs, this.timeoutMs * 2);
      this.changedAtMs += doublingIntervalMs;
    }
    return this.timeoutMs;
  }

  /**
   * Lowers the timeout after a connection that had been idle for `idleMs` was reset by the next
   * request.
   */
  recordStaleReset(idleMs: number, nowMs: number): void {
    const timeoutMs = Math.min(this.current(nowMs), idleMs * SAFE_SHARE);
    this.timeoutMs = Math.max(this.options.minMs, timeoutMs);
    this.changedAtMs = nowMs;
  }
}
