/** Injects the pairs of faults that a seed draws. */
import { SeededRandom, randomInteger } from '../../src/random.js';
import { FAULT_KINDS, injectPair } from './soak-faults.js';
import type { SoakFleet } from './soak-fleet.js';
import { PAIRS_PER_SEED, pairsOfSeed } from './soak-pairs.js';
import type { InjectedFault } from './soak-pairs.js';
import type { SoakOptions } from './soak-run.js';

type PairOptions = Pick<SoakOptions, 'seed' | 'faultsMs' | 'sendsStatements' | 'silencesBackends'>;

/** Fraction of the pairs whose faults affect machines of equal index. */
const SAME_MACHINE_SHARE = 0.5;
const MAX_SOURCE_SEED = 1_000_000;

/**
 * Injects the pairs of the seed at equal distances; returns a function that stops this. Uses a
 * random source of its own, so that pairs don't change the other faults of a seed.
 */
export function startPairs(
  fleet: SoakFleet,
  { seed, faultsMs, sendsStatements, silencesBackends }: PairOptions,
  faults: InjectedFault[],
): () => void {
  const random = new SeededRandom(seed + 11);
  const isSwitchedOff = (kind: string) =>
    (kind === 'makeStatement' && sendsStatements === false) ||
    (kind === 'silenceBackend' && silencesBackends === false);
  const timers = pairsOfSeed(seed, FAULT_KINDS).map((pair, index) => {
    const sourceSeed = randomInteger(random, 1, MAX_SOURCE_SEED);
    const otherSeed = random.next() < SAME_MACHINE_SHARE ? sourceSeed : sourceSeed + 1;
    const inject = () => {
      if (!pair.some(isSwitchedOff)) {
        const sources = [new SeededRandom(sourceSeed), new SeededRandom(otherSeed)] as const;
        faults.push(...injectPair(fleet, pair, sources));
      }
    };
    return setTimeout(inject, ((index + 0.5) / PAIRS_PER_SEED) * faultsMs);
  });
  return () => timers.forEach((timer) => clearTimeout(timer));
}
