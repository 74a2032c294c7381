/** Tracks the newest epoch in the responses of a store, to detect positions of earlier epochs. */
import { err, ok } from '../result.js';
import type { Result } from '../result.js';
import { StoreUnavailableError } from './cluster-store.js';
import { isNoPosition, NO_EPOCH } from './store-position.js';
import type { StorePosition } from './store-position.js';

/** Newest epoch in the responses of one store. */
export class ResponseEpochTracker {
  private newestEpoch = NO_EPOCH;

  /**
   * Parses the epoch of a response and records it if it is the newest.
   *
   * @returns `NO_EPOCH` if the store has never sent an epoch; an error if the value is not an
   *   integer, or is missing although earlier responses had one
   */
  observe(value: unknown): Result<number, StoreUnavailableError> {
    const epoch = value === undefined ? NO_EPOCH : Number(value);
    const isMissing = value === undefined && this.newestEpoch !== NO_EPOCH;
    if (isMissing || !Number.isSafeInteger(epoch)) {
      return err(
        new StoreUnavailableError(`invalid or missing store epoch in the response: ${value}`),
      );
    }
    this.newestEpoch = Math.max(this.newestEpoch, epoch);
    return ok(epoch);
  }

  /**
   * Whether `position` belongs to an epoch before the newest one, so that a conditional write must
   * not use it. False for a position before the first change, whatever its epoch: it only requires
   * that the key does not exist.
   */
  isSuperseded(position: StorePosition): boolean {
    return !isNoPosition(position) && position.epoch < this.newestEpoch;
  }
}
