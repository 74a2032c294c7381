/**
 * Deterministic hash of a pair of names, by which processes make the same choice without
 * communication.
 */
import MurmurHash3 from 'imurmurhash';

const HASH_RANGE = 2 ** 32;

/** Returns a hash of the ordered pair in [0, 1), the same on every machine. */
export function pairHash(left: string, right: string): number {
  return MurmurHash3(`${left} ${right}`).result() / HASH_RANGE;
}
