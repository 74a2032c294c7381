/** A number for a pair of names that is the same wherever it is computed, for choices that need no word between processes. */
import MurmurHash3 from 'imurmurhash';

const HASH_RANGE = 2 ** 32;

/** A number in [0, 1) that is the same for a pair of names on every machine. */
export function pairShare(left: string, right: string): number {
  return MurmurHash3(`${left} ${right}`).result() / HASH_RANGE;
}
