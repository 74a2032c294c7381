/** The interface of the platform's key-value service, as weirvale uses it. */
import type { Result } from '../result.js';
import type { PlatformError } from './errors.js';

/** A stored value. */
export interface KeyValueEntry {
  /** JSON value, at most a megabyte as text. */
  readonly value: unknown;
  /** Rises with each change of the key; a key that does not exist has revision 0. */
  readonly revision: number;
}

/** What became of a compare-and-swap. */
export type SwapOutcome =
  | { readonly swapped: true; readonly revision: number }
  | { readonly swapped: false; readonly current: KeyValueEntry | undefined };

/** A granted lease. */
export interface LeaseGrant {
  readonly holder: string;
  /** Rises with each grant of the lease to a new holder. */
  readonly fencingNumber: number;
  /** How long the lease lasts from the answer, in milliseconds. */
  readonly durationMs: number;
}

/** Calls to the platform's key-value service; every one counts against its rates. */
export interface KeyValueClient {
  /** Reads one key; undefined if it does not exist. */
  get(key: string): Promise<Result<KeyValueEntry | undefined, PlatformError>>;

  /** Writes `value` (null deletes) if the key's revision is still `expectedRevision`. */
  compareAndSwap(
    key: string,
    expectedRevision: number,
    value: unknown,
  ): Promise<Result<SwapOutcome, PlatformError>>;

  /** Waits up to `waitMs` until the key's revision passes `afterRevision`; gives its state then. */
  watch(
    key: string,
    afterRevision: number,
    waitMs: number,
  ): Promise<Result<KeyValueEntry | undefined, PlatformError>>;

  /** Takes or prolongs the lease `name` for `holder`; undefined if another holds it. */
  acquireLease(
    name: string,
    holder: string,
    durationMs: number,
  ): Promise<Result<LeaseGrant | undefined, PlatformError>>;
}
