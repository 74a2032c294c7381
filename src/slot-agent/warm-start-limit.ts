/**
 * Start rate limit of a warm engine, which may restart and be cold before its agent detects it,
 * without I/O.
 *
 * The limit has no effect while demand is below it. If requests keep waiting although slots are
 * free, demand exceeds what a cold engine can handle, and the limit is suspended: delaying requests
 * that a warm engine could serve is a certain loss, while an unnoticed cold start is rare.
 */

/** How long the limit may delay requests before it is suspended, in milliseconds. */
const MAX_DELAY_MS = 1_000;
/**
 * Time without a delay after which the next one starts a new period, in milliseconds: several
 * windows of one second.
 */
const DELAY_RESET_MS = 3_000;
/**
 * Time without excess demand after which the limit applies again, in milliseconds: several bursts.
 */
const SUSPENSION_MS = 10_000;

/** Warm start rate limit of one engine. */
export class WarmStartLimit {
  private delayedSinceMs = -Infinity;
  private lastDelayedAtMs = -Infinity;
  private suspendedUntilMs = -Infinity;

  /** Whether the limit is suspended. */
  isSuspended(nowMs: number): boolean {
    return nowMs < this.suspendedUntilMs;
  }

  /**
   * Time until a waiting request may get a free slot, in milliseconds.
   *
   * @param limitDelayMs - time until the limit would permit it
   */
  msUntilGrant(limitDelayMs: number, nowMs: number): number {
    if (limitDelayMs <= 0) {
      return 0;
    }
    if (nowMs - this.lastDelayedAtMs > DELAY_RESET_MS) {
      this.delayedSinceMs = nowMs;
    }
    this.lastDelayedAtMs = nowMs;
    if (!this.isSuspended(nowMs) && nowMs - this.delayedSinceMs < MAX_DELAY_MS) {
      return limitDelayMs;
    }
    this.suspendedUntilMs = nowMs + SUSPENSION_MS;
    return 0;
  }
}
