/** Positions of a store, for tests. */
import { NO_EPOCH } from '../../src/cluster/store-position.js';
import type { StorePosition } from '../../src/cluster/store-position.js';

/** The position of a revision; in a store that counts no epochs where none is given. */
export function at(revision: number, epoch: number = NO_EPOCH): StorePosition {
  return { epoch, revision };
}
