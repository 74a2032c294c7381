/** Random numbers that are passed in, so that a run can be repeated from its seed. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** A source of random numbers. */
export interface RandomSource {
  /** The next number, at least 0 and less than 1. */
  next(): number;
}

const UINT32_RANGE = 2 ** 32;

/** A random source whose numbers follow from `seed` alone. */
export class SeededRandom implements RandomSource {
  private readonly generator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  next(): number {
    return (this.generator.next() >>> 0) / UINT32_RANGE;
  }
}

/** A whole number from `low` to `high`, both included. */
export function randomInteger(random: RandomSource, low: number, high: number): number {
  return low + Math.floor(random.next() * (high - low + 1));
}

/** `value` times a factor between `1 - spread` and `1 + spread`. */
export function withJitter(random: RandomSource, value: number, spread: number): number {
  return value * (1 + spread * (2 * random.next() - 1));
}
