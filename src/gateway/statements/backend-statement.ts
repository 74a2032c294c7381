/** Statements: what backends declare about themselves in response headers. */

/** The statement of one response about the backend that sent it. */
export interface BackendStatement {
  /** Limit in requests per second over all gateways; undefined if none is stated. */
  readonly limitPerS?: number | undefined;
  /** Whether the backend is draining and accepts no new requests. */
  readonly isLeaving: boolean;
  /**
   * Backoff requested from the gateway whose request was refused, in milliseconds; undefined if
   * none is stated.
   */
  readonly restMs?: number | undefined;
  /** Names of fields whose values could not be parsed and were ignored. */
  readonly unreadable: readonly string[];
}

/** The statement of a response without statement headers. */
export const NO_STATEMENT: BackendStatement = { isLeaving: false, unreadable: [] };
