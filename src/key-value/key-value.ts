/** Client interface of the platform's key-value service. */
import type { Result } from '../result.js';
import type { PlatformError } from './errors.js';

/** A stored value with its revision. */
export interface KeyValueEntry {
  /** JSON value, at most one megabyte when serialized. */
  readonly value: unknown;
  /** Increases with each change of the key; a missing key has revision 0. */
  readonly revision: number;
}

/** Result of a compare-and-swap; `current` is the entry whose revision did not match. */
export type SwapOutcome =
  | { readonly swapped: true; readonly revision: number }
  | { readonly swapped: false; readonly current: KeyValueEntry | undefined };

/** A lease granted to a holder. */
export interface LeaseGrant {
  readonly holder: string;
  /** Fencing token: increases with each new grant of the lease; unchanged when it is renewed. */
  readonly fencingNumber: number;
  /** Lease duration from the time of the grant or renewal at the service, in milliseconds. */
  readonly durationMs: number;
}

/** Client of the key-value service; each call counts against its rate limits. */
export interface KeyValueClient {
  /** Reads a key; returns undefined if it does not exist. */
  get(key: string): Promise<Result<KeyValueEntry | undefined, PlatformError>>;

  /** Writes `value` (null deletes the key) if the revision equals `expectedRevision`. */
  compareAndSwap(
    key: string,
    expectedRevision: number,
    value: unknown,
  ): Promise<Result<SwapOutcome, PlatformError>>;

  /** Waits up to `waitMs` for a revision above `afterRevision`, then returns the current entry. */
  watch(
    key: string,
    afterRevision: number,
    waitMs: number,
  ): Promise<Result<KeyValueEntry | undefined, PlatformError>>;

  /** Acquires or renews the lease `name`; returns undefined if another holder has it. */
  acquireLease(
    name: string,
    holder: string,
    durationMs: number,
  ): Promise<Result<LeaseGrant | undefined, PlatformError>>;
}
