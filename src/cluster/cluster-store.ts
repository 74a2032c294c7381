/** The cluster's store as processes use it, and what its calls bring. */
import type { Result } from '../result.js';
import { WeirvaleError } from '../request/errors.js';
import type { StoreRecord } from './replicated-records.js';

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

/** Records and the store's revision that they were read at. */
export interface StoreRead {
  readonly records: readonly StoreRecord[];
  readonly revision: number;
  /** Rises when the store comes back from a copy of an earlier state; undefined where the store does not say. */
  readonly epoch?: number | undefined;
}

/** The calls of the store that a follower makes. */
export interface ClusterStore {
  /** Reads every record. */
  list(): Promise<Result<StoreRead, StoreUnavailableError>>;
  /** Waits up to `waitMs` for changes after `revision`. */
  watch(
    revision: number,
    waitMs: number,
  ): Promise<Result<StoreRead, StoreUnavailableError | StoreHistoryGoneError>>;
}

/** The call of the store by which records are written. */
export interface StoreWriter {
  /**
   * Writes `text` under `key` if that is at `expectedRevision` (0: does not exist). A write without an
   * answer may have been done, or may be done later.
   *
   * @returns the store's revision of the write
   */
  put(
    key: string,
    text: string,
    expectedRevision: number,
  ): Promise<Result<number, StoreUnavailableError | StoreConflictError>>;
}

/** How records came to a process. */
export type RecordsSource =
  | 'watch'
  | 'listing'
  /** A listing right after an outage, which adds and removes nothing. */
  | 'listing-after-outage'
  /** Another process's replica. */
  | 'peer';
