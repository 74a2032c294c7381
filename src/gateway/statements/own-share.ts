/**
 * A gateway's own share of what a back end takes, for when nobody can be asked: where whoever deals out its rights is dead,
 * cut off or not known yet.
 *
 * All gateways together have half of the limit, so that those who can ask and those who cannot keep to one and a half times
 * of it. Nothing is saved up while nothing is wanted, and the first right comes at a moment of its own at each gateway:
 * all of them would otherwise find their share full at once.
 */

/** Part of a limit that gateways have without asking, all together. */
const UNASKED_SHARE = 0.5;
/** Pause between two wants after which nothing more was wanted meanwhile, in milliseconds: some ticks of the gateway. */
const WANTED_PAUSE_MS = 500;
const MS_PER_S = 1_000;

/** One gateway's share of one back end. */
export class OwnShare {
  private wantedAtMs = -Infinity;

  /** `level`: a number in [0, 1) that differs between gateways. */
  constructor(private level: number) {}

  /** A right is wanted; says whether there is one. */
  take(limitPerS: number, gateways: number, nowMs: number): boolean {
    const perMs = (limitPerS * UNASKED_SHARE) / Math.max(1, gateways) / MS_PER_S;
    const sinceMs = nowMs - this.wantedAtMs;
    this.wantedAtMs = nowMs;
    this.level = Math.min(1, this.level + (sinceMs <= WANTED_PAUSE_MS ? perMs * sinceMs : 0));
    if (this.level < 1) {
      return false;
    }
    this.level -= 1;
    return true;
  }
}
