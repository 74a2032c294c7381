/** Final refusals: why a request gets no answer, and whether it may have run. */

/** Why a request was refused or its answer was cut short. */
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
 * Whether the request ran: `no` is a promise that no back end was or will be
 * handed the request; `unknown` promises nothing.
 */
export type RanStatus = 'no' | 'unknown';

/** The final refusal of one request. */
export interface Refusal {
  readonly reason: RefusalReason;
  readonly ran: RanStatus;
  /** When the caller may usefully try again, in milliseconds; absent when trying again is of no use. */
  readonly retryAfterMs?: number;
  /** One sentence for the person who reads the refusal. */
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

/** The HTTP status that carries a refusal. */
export function httpStatusOf(refusal: Refusal): number {
  return HTTP_STATUS_BY_REASON[refusal.reason];
}

/** A refusal of a request that no back end was handed. */
export function notRun(reason: RefusalReason, detail: string, retryAfterMs?: number): Refusal {
  return { reason, ran: 'no', detail, retryAfterMs };
}

/** A refusal of a request that a back end may have begun. */
export function mayHaveRun(reason: RefusalReason, detail: string, retryAfterMs?: number): Refusal {
  return { reason, ran: 'unknown', detail, retryAfterMs };
}
