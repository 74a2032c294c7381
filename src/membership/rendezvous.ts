/** Rendezvous hashing: all processes rank the same names identically without coordination. */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Returns a 32-bit FNV-1a hash of `text` with a final avalanche step. */
export function hashText(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  return mixBits(hash);
}

/** Returns the `count` names that rank highest for `key`, in descending order. */
export function pickByRendezvous(key: string, names: readonly string[], count: number): string[] {
  return names
    .map((name) => ({ name, score: hashText(`${key}/${name}`) }))
    .sort((left, right) => right.score - left.score || (left.name < right.name ? -1 : 1))
    .slice(0, count)
    .map((ranked) => ranked.name);
}

/** Avalanche step: without it, the last characters of the text affect only some of the bits. */
function mixBits(hash: number): number {
  let mixed = hash ^ (hash >>> 16);
  mixed = Math.imul(mixed, 0x85ebca6b);
  mixed ^= mixed >>> 13;
  mixed = Math.imul(mixed, 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}
