/** What a back end says of itself in the head of an answer, beside the answer. */

/** What one answer says of the back end that gave it. */
export interface BackendStatement {
  /** Requests a second that it takes from all gateways together; undefined where it names no limit. */
  readonly limitPerS?: number | undefined;
  /** Whether it leaves and wants no new requests. */
  readonly isLeaving: boolean;
  /** For how long it wants nothing from the gateway that it turned away, in milliseconds; undefined where it says nothing. */
  readonly restMs?: number | undefined;
  /** Names of fields whose values say nothing, since they cannot be read. */
  readonly unreadable: readonly string[];
}

/** The answer says nothing of its back end. */
export const NO_STATEMENT: BackendStatement = { isLeaving: false, unreadable: [] };
