/** Which epoch the answers of a store name, and whether what is known is from before it. */
import { err, ok } from '../result.js';
import type { Result } from '../result.js';
import { StoreUnavailableError } from './cluster-store.js';
import { isNoPosition, NO_EPOCH } from './store-position.js';
import type { StorePosition } from './store-position.js';

/** The epochs that the answers of one store name. */
export class EpochWatch {
  private newest = NO_EPOCH;

  /**
   * Takes in what an answer names; `NO_EPOCH` for a store that never named one.
   *
   * @returns an error for an answer that names none, or nothing that is one, of a store that did before
   */
  take(named: unknown): Result<number, StoreUnavailableError> {
    const epoch = named === undefined ? NO_EPOCH : Number(named);
    const isMissing = named === undefined && this.newest !== NO_EPOCH;
    if (isMissing || !Number.isSafeInteger(epoch)) {
      return err(new StoreUnavailableError(`the answer names no epoch of the store: ${named}`));
    }
    this.newest = Math.max(this.newest, epoch);
    return ok(epoch);
  }

  /** Whether a position that a write is to follow is of an epoch that is over. */
  isOver(position: StorePosition): boolean {
    return !isNoPosition(position) && position.epoch < this.newest;
  }
}
