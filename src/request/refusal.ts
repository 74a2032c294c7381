/** Final refusals: the reason a request failed and whether it may have been executed. */

/** Why a request was refused or its response was aborted. */
export type RefusalReason =
  | 'invalid-request'
  | 'unauthenticated'
  | 'not-permitted'
  | 'overloaded'
  | 'tenant-limit'
  | 'deadline-infeasible'
  | 'no-engine'
  | 'draining'
  | 'platform-unavailable'
  | 'duplicate-request'
  | 'engine-lost'
  | 'engine-failed'
  | 'preempted';

/**
 * Whether the request was executed: `no` guarantees that the request was not and will not be sent
 * to any backend; `unknown` guarantees nothing.
 */
export type ExecutionStatus = 'no' | 'unknown';

/** Final refusal of one request. */
export interface Refusal {
  readonly reason: RefusalReason;
  readonly ran: ExecutionStatus;
  /** Suggested delay before a retry, in milliseconds; undefined if a retry cannot succeed. */
  readonly retryAfterMs?: number;
  /** Human-readable explanation. */
  readonly detail: string;
}

const HTTP_STATUS_BY_REASON: Record<RefusalReason, number> = {
  'invalid-request': 400,
  unauthenticated: 401,
  'not-permitted': 403,
  overloaded: 503,
  'tenant-limit': 429,
  'deadline-infeasible': 503,
  'no-engine': 503,
  draining: 503,
  'platform-unavailable': 503,
  'duplicate-request': 409,
  'engine-lost': 502,
  'engine-failed': 502,
  preempted: 503,
};

/** Returns the HTTP status code for a refusal. */
export function httpStatusOf(refusal: Refusal): number {
  return HTTP_STATUS_BY_REASON[refusal.reason];
}

/** Creates a refusal of a request that was not sent to any backend. */
export function notExecutedRefusal(
  reason: RefusalReason,
  detail: string,
  retryAfterMs?: number,
): Refusal {
  return { reason, ran: 'no', detail, retryAfterMs };
}

/** Creates a refusal of a request that a backend may have started to execute. */
export function possiblyExecutedRefusal(
  reason: RefusalReason,
  detail: string,
  retryAfterMs?: number,
): Refusal {
  return { reason, ran: 'unknown', detail, retryAfterMs };
}
