/** A sum whose earlier amounts lose weight with time. */

/** An exponentially decaying sum. */
export class DecayedSum {
  private sum = 0;
  private updatedAtMs = 0;

  /** After `timeConstantMs`, an added amount has 1/e of its weight left. */
  constructor(private readonly timeConstantMs: number) {}

  /** Returns the sum at `nowMs`. */
  at(nowMs: number): number {
    return this.sum * Math.exp(-Math.max(0, nowMs - this.updatedAtMs) / this.timeConstantMs);
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
