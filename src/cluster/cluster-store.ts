/** Interfaces and errors of the replicated key-value store that the cluster's processes share. */
import type { Result } from '../result.js';
import { WeirvaleError } from '../request/errors.js';
import type { StoreRecord } from './replicated-records.js';
import type { StorePosition } from './store-position.js';

/** The store refused the call, did not respond in time, or sent a malformed response. */
export class StoreUnavailableError extends WeirvaleError {
  readonly code = 'store-unavailable';
}

/** The store has dropped the history of changes that a watch would resume from. */
export class StoreHistoryGoneError extends WeirvaleError {
  readonly code = 'store-history-gone';
}

/** A conditional write failed: the key has changed since the expected position. */
export class StoreConflictError extends WeirvaleError {
  readonly code = 'store-conflict';
}

/**
 * The store was restored from a backup of an earlier state, so positions read before no longer
 * apply to it.
 */
export class StoreRestoredError extends WeirvaleError {
  readonly code = 'store-restored';
}

/** Records and the store position at which they were read. */
export interface StoreRead extends StorePosition {
  readonly records: readonly StoreRecord[];
}

/** Errors of a read. */
export type StoreReadError = StoreUnavailableError | StoreHistoryGoneError | StoreRestoredError;

/** Read calls of the store. */
export interface ClusterStore {
  /** Reads every record. */
  list(): Promise<Result<StoreRead, StoreReadError>>;
  /**
   * Waits up to `waitMs` for changes after `since`. A response from a later epoch does not cover
   * the changes after `since`.
   */
  watch(since: StorePosition, waitMs: number): Promise<Result<StoreRead, StoreReadError>>;
}

/** Write calls of the store. */
export interface StoreWriter {
  /**
   * Writes `text` to `key` if the key is at position `expected`; revision 0 requires that the key
   * does not exist, in any epoch. A write without a response may have been applied, or may still be
   * applied later. Sends nothing if `expected` has a revision above 0 and the store is known to be
   * in a later epoch.
   *
   * @returns the position of the write
   */
  put(key: string, text: string, expected: StorePosition): Promise<StoreWriteResult>;
}

/** Result of a write. */
export type StoreWriteResult = Result<
  StorePosition,
  StoreUnavailableError | StoreConflictError | StoreRestoredError
>;

/** Where a process received records from. */
export type RecordsSource =
  | 'watch'
  | 'listing'
  /** A listing right after an outage or a restore; keys that it lacks are not removed. */
  | 'listing-after-outage'
  /** The replica of another process. */
  | 'peer';
