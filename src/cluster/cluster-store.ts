/** The cluster's store as processes use it, and what its calls bring. */
import type { Result } from '../result.js';
import { WeirvaleError } from '../request/errors.js';
import type { StoreRecord } from './replicated-records.js';
import type { StorePosition } from './store-position.js';

/** The store refused, was silent, or gave an answer that is none. */
export class StoreUnavailableError extends WeirvaleError {
  readonly code = 'store-unavailable';
}

/** The store no longer keeps the history that a watch needs. */
export class StoreHistoryGoneError extends WeirvaleError {
  readonly code = 'store-history-gone';
}

/** A key was changed since the revision that a write was meant to follow. */
export class StoreConflictError extends WeirvaleError {
  readonly code = 'store-conflict';
}

/** The store came back from a copy of an earlier state: what was asked of it before says nothing of it now. */
export class StoreRestoredError extends WeirvaleError {
  readonly code = 'store-restored';
}

/** Records and the store's position that they were read at. */
export interface StoreRead extends StorePosition {
  readonly records: readonly StoreRecord[];
}

/** Why records could not be read. */
export type StoreReadError = StoreUnavailableError | StoreHistoryGoneError | StoreRestoredError;

/** The calls of the store that a follower makes. */
export interface ClusterStore {
  /** Reads every record. */
  list(): Promise<Result<StoreRead, StoreReadError>>;
  /** Waits up to `waitMs` for changes after `since`; the answer may be of a later epoch, where it says nothing of them. */
  watch(since: StorePosition, waitMs: number): Promise<Result<StoreRead, StoreReadError>>;
}

/** The call of the store by which records are written. */
export interface StoreWriter {
  /**
   * Writes `text` under `key` if that is at `expected` (revision 0: does not exist in that epoch). A write without an
   * answer may have been done, or may be done later. Nothing is sent where the store is known to be in a later epoch.
   *
   * @returns the store's position of the write
   */
  put(key: string, text: string, expected: StorePosition): Promise<StoreWriteResult>;
}

/** What came of a write. */
export type StoreWriteResult = Result<
  StorePosition,
  StoreUnavailableError | StoreConflictError | StoreRestoredError
>;

/** How records came to a process. */
export type RecordsSource =
  | 'watch'
  | 'listing'
  /** A listing right after an outage, which adds and removes nothing. */
  | 'listing-after-outage'
  /** Another process's replica. */
  | 'peer';
