/** Injectable random numbers, so that a run can be repeated from its seed. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** A source of random numbers. */
export interface RandomSource {
  /** Returns the next number, in [0, 1). */
  next(): number;
}

const UINT32_RANGE = 2 ** 32;

/** A random source that is determined by its seed. */
export class SeededRandom implements RandomSource {
  private readonly generator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  next(): number {
    return (this.generator.next() >>> 0) / UINT32_RANGE;
  }
}

/** Returns an integer from `low` to `high`, both included. */
export function randomInteger(random: RandomSource, low: number, high: number): number {
  return low + Math.floor(random.next() * (high - low + 1));
}

/** Returns `value` times a random factor between `1 - spread` and `1 + spread`. */
export function withJitter(random: RandomSource, value: number, spread: number): number {
  return value * (1 + spread * (2 * random.next() - 1));
}
