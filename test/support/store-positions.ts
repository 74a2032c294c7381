/** Test helper for store positions. */
import { NO_EPOCH } from '../../src/cluster/store-position.js';
import type { StorePosition } from '../../src/cluster/store-position.js';

/** Returns the position of a revision, by default in a store that reports no epochs. */
export function positionAt(revision: number, epoch: number = NO_EPOCH): StorePosition {
  return { epoch, revision };
}
