/** Sound backends of a soak test that fall silent for a while and then go on. */
import { SeededRandom, randomInteger } from '../../src/random.js';
import type { RandomSource } from '../../src/random.js';
import type { SoakFleet } from './soak-fleet.js';
import type { InjectedFault } from './soak-pairs.js';

/** Duration of a silence, in milliseconds. */
export const SILENCE_MS = { min: 700, max: 1_500 };
const PAUSE_MS = { min: 100, max: 1_500 };
/** Fraction of the silences that affect several backends at once. */
const SEVERAL_SHARE = 0.3;

/** Silences one backend, or several at once; returns the duration and a description. */
function silenceBackends(fleet: SoakFleet, random: RandomSource) {
  const { backends } = fleet;
  const isSeveral = random.next() < SEVERAL_SHARE;
  const count = isSeveral ? randomInteger(random, 2, backends.length) : 1;
  const first = randomInteger(random, 0, backends.length - 1);
  const durationMs = randomInteger(random, SILENCE_MS.min, SILENCE_MS.max);
  const silenced = Array.from(
    { length: count },
    (_none, offset) => backends[(first + offset) % backends.length]!,
  );
  silenced.forEach((backend) => backend.fallSilent(durationMs));
  const ids = silenced.map(({ id }) => id).join(', ');
  return { durationMs, description: `${ids} silent for ${durationMs} ms` };
}

/**
 * Lets backends fall silent again and again; returns a function that stops this. Uses a random
 * source of its own, so that silences don't change the other faults of a seed.
 */
export function startSilences(fleet: SoakFleet, seed: number, faults: InjectedFault[]): () => void {
  const random = new SeededRandom(seed + 9);
  let timer: NodeJS.Timeout | undefined;
  const silenceNext = () => {
    const { durationMs, description } = silenceBackends(fleet, random);
    faults.push({ kind: 'silenceBackend', description, atMs: performance.now(), durationMs });
    const pauseMs = randomInteger(random, PAUSE_MS.min, PAUSE_MS.max);
    timer = setTimeout(silenceNext, durationMs + pauseMs);
  };
  silenceNext();
  return () => clearTimeout(timer);
}
