/** A token bucket that limits how often something is done. */
import type { Clock } from './clock.js';

const MS_PER_S = 1_000;

/** A token bucket; full at the start. */
export class TokenBucket {
  private level: number;
  private refilledAtMs: number;

  constructor(
    private readonly capacity: number,
    private readonly refillPerS: number,
    private readonly clock: Clock,
  ) {
    this.level = capacity;
    this.refilledAtMs = clock.now();
  }

  /** Takes one token; returns false if none is left. */
  take(): boolean {
    const nowMs = this.clock.now();
    const refill = ((nowMs - this.refilledAtMs) / MS_PER_S) * this.refillPerS;
    this.level = Math.min(this.capacity, this.level + refill);
    this.refilledAtMs = nowMs;
    if (this.level < 1) {
      return false;
    }
    this.level -= 1;
    return true;
  }
}
