/** Malformed input of a soak test: spoilt responses, surplus bytes and unusable records. */
import type { RandomSource } from '../../src/random.js';
import { randomInteger } from '../../src/random.js';
import type { SoakBackend } from './soak-backend.js';
import type { SoakFleet } from './soak-fleet.js';

const MAX_FLIPPED_BITS = 3;
const MIN_FAULT_MS = 300;
const MAX_FAULT_MS = 1_500;
const SPOILT_SHARE = 0.15;
/** Names of records that no header can carry. */
const UNUSABLE_NAMES = ['e-9\ufffd', 'e 9', 'e-9\u0007'] as const;
const HOST_OF_NOBODY = '127.0.2.250:1';

/** Returns a copy of the bytes with one to three bits flipped. */
export function flipBits(bytes: Buffer, random: RandomSource): Buffer {
  const flipped = Buffer.from(bytes);
  const count = randomInteger(random, 1, MAX_FLIPPED_BITS);
  for (let flips = 0; flips < count; flips += 1) {
    const index = randomInteger(random, 0, flipped.length - 1);
    flipped[index] = flipped[index]! ^ (1 << randomInteger(random, 0, 7));
  }
  return flipped;
}

/** Injects one kind of malformed input for a while; returns its description. */
export function injectMalformedInput(fleet: SoakFleet, random: RandomSource): string {
  const durationMs = randomInteger(random, MIN_FAULT_MS, MAX_FAULT_MS);
  const kind = randomInteger(random, 0, 2);
  if (kind === 0) {
    return writeUnusableRecord(fleet, random, durationMs);
  }
  const index = randomInteger(random, 0, fleet.backends.length - 1);
  const fault = kind === 1 ? 'spoils' : 'surplus';
  return spoilResponses(fleet.backends[index]!, fault, durationMs);
}

function writeUnusableRecord(fleet: SoakFleet, random: RandomSource, durationMs: number): string {
  const name = UNUSABLE_NAMES[randomInteger(random, 0, UNUSABLE_NAMES.length - 1)]!;
  fleet.store.announce(name, { service: 'engines', address: HOST_OF_NOBODY, slots: 60 });
  setTimeout(() => fleet.store.remove(`servers/${name}`), durationMs).unref();
  return `record ${JSON.stringify(name)} for ${durationMs} ms`;
}

function spoilResponses(
  backend: SoakBackend,
  fault: 'spoils' | 'surplus',
  durationMs: number,
): string {
  backend.faults[fault] = SPOILT_SHARE;
  setTimeout(() => (backend.faults[fault] = 0), durationMs).unref();
  return `${backend.id} ${fault} for ${durationMs} ms`;
}
