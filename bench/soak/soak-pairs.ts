/** Pairs of kinds of faults: which a seed draws, and which were in effect together. */

/** A fault that was injected; times in milliseconds. */
export interface InjectedFault {
  /** Kind, for example `killGateway`. */
  readonly kind: string;
  readonly description: string;
  readonly atMs: number;
  /** Duration, or the time in which processes recover from a fault without one. */
  readonly durationMs: number;
}

/** Two kinds of faults in alphabetical order. */
export type FaultPair = readonly [string, string];

/** Number of pairs that each seed draws: 50 seeds in a row draw each pair of up to 20 kinds. */
export const PAIRS_PER_SEED = 4;

/** Returns all pairs of different kinds. */
export function pairsOf(kinds: readonly string[]): FaultPair[] {
  const sorted = [...kinds].sort();
  return sorted.flatMap((first, index) =>
    sorted.slice(index + 1).map((second): FaultPair => [first, second]),
  );
}

/**
 * Returns the pairs of a seed. Seeds in a row draw each pair before any comes again; the pairs of one
 * seed are far apart in the list, where neighbours have a kind in common.
 */
export function pairsOfSeed(seed: number, kinds: readonly string[]): FaultPair[] {
  const pairs = pairsOf(kinds);
  const stride = coprimeFrom(Math.ceil(pairs.length / 3), pairs.length);
  return Array.from({ length: PAIRS_PER_SEED }, (_none, offset) => {
    const draw = seed * PAIRS_PER_SEED + offset;
    return pairs[(draw * stride) % pairs.length]!;
  });
}

/** Returns the first number from `from` that has no divisor in common with `other`. */
function coprimeFrom(from: number, other: number): number {
  let candidate = from;
  while (greatestCommonDivisor(candidate, other) !== 1) {
    candidate += 1;
  }
  return candidate;
}

function greatestCommonDivisor(one: number, other: number): number {
  return other === 0 ? one : greatestCommonDivisor(other, one % other);
}

/** Returns the pairs of different kinds that were in effect together, as keys of `pairKey`. */
export function overlappingPairs(faults: readonly InjectedFault[]): Set<string> {
  const found = new Set<string>();
  for (const [index, one] of faults.entries()) {
    for (const other of faults.slice(index + 1)) {
      const isTogether =
        one.atMs <= other.atMs + other.durationMs && other.atMs <= one.atMs + one.durationMs;
      if (isTogether && one.kind !== other.kind) {
        found.add(pairKey(one.kind, other.kind));
      }
    }
  }
  return found;
}

/** Returns a key for a pair, whatever the order of its kinds. */
export function pairKey(one: string, other: string): string {
  return one < other ? `${one}+${other}` : `${other}+${one}`;
}

/** Counts the seeds in which each pair of kinds was in effect together. */
export class PairTable {
  private readonly seedCounts = new Map<string, number>();

  constructor(private readonly kinds: readonly string[]) {}

  /** Adds the faults of one seed. */
  addSeed(faults: readonly InjectedFault[]): void {
    for (const key of overlappingPairs(faults)) {
      this.seedCounts.set(key, (this.seedCounts.get(key) ?? 0) + 1);
    }
  }

  /** Pairs that were in effect together in no seed. */
  get missing(): FaultPair[] {
    return pairsOf(this.kinds).filter(([one, other]) => !this.seedCounts.has(pairKey(one, other)));
  }

  /** Returns the table as text: a row for each kind, with the counts in the order of the rows. */
  format(): string {
    const kinds = [...this.kinds].sort();
    const labelLength = Math.max(...kinds.map(({ length }) => length));
    const cellOf = (one: string, other: string) =>
      one === other ? '-' : `${this.seedCounts.get(pairKey(one, other)) ?? 0}`;
    const rows = kinds.map((one, index) => {
      const cells = kinds.slice(0, index + 1).map((other) => cellOf(one, other).padStart(3));
      return `${one.padEnd(labelLength)} ${cells.join('')}`;
    });
    return rows.join('\n');
  }
}
