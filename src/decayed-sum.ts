/** A sum in which what was added counts less the longer ago it was. */

/** An exponentially decaying sum. */
export class DecayedSum {
  private sum = 0;
  private updatedAtMs = 0;

  /** `memoryMs` is the time in which what was added loses all but 1/e of its weight. */
  constructor(private readonly memoryMs: number) {}

  /** The sum at `nowMs`. */
  at(nowMs: number): number {
    return this.sum * Math.exp(-Math.max(0, nowMs - this.updatedAtMs) / this.memoryMs);
  }

  /** Multiplies the sum. */
  scale(factor: number): void {
    this.sum *= factor;
  }

  /** Adds `amount`. */
  add(amount: number, nowMs: number): void {
    this.sum = this.at(nowMs) + amount;
    this.updatedAtMs = nowMs;
  }
}
