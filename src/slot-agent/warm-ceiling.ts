/**
 * The standing ceiling of a warm engine, which may turn cold without news, without I/O.
 *
 * It costs nothing while the engine is needed less. Where requests go on waiting beside free slots, the engine
 * is needed for more than a cold one bears, and the ceiling is lifted: to refuse what a warm engine could serve
 * would be a certain loss for a rare one.
 */

/** How long requests may wait for the ceiling's sake before it is lifted, in milliseconds. */
const HELD_MS = 1_000;
/** Pause without a wait after which another one counts anew, in milliseconds: some windows of a second. */
const CALM_MS = 3_000;
/** Time without need after which it holds again, in milliseconds: some bursts. */
const LIFTED_MS = 10_000;

/** The ceiling of one engine. */
export class WarmCeiling {
  private heldSinceMs = -Infinity;
  private lastHeldAtMs = -Infinity;
  private liftedUntilMs = -Infinity;

  /** Whether it does not hold for now. */
  isLifted(nowMs: number): boolean {
    return nowMs < this.liftedUntilMs;
  }

  /** Time until a waiting request may have a free slot, where the ceiling would let it begin in `heldMs`. */
  msUntilGrant(heldMs: number, nowMs: number): number {
    if (heldMs <= 0) {
      return 0;
    }
    if (nowMs - this.lastHeldAtMs > CALM_MS) {
      this.heldSinceMs = nowMs;
    }
    this.lastHeldAtMs = nowMs;
    if (!this.isLifted(nowMs) && nowMs - this.heldSinceMs < HELD_MS) {
      return heldMs;
    }
    this.liftedUntilMs = nowMs + LIFTED_MS;
    return 0;
  }
}
