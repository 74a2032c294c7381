/** Answers of the gateway's own: why a request gets no back end's answer. */

import type { RequestFingerprint } from '../crashes/crash-tally.js';
import type { HomeRefusalReason } from '../homes/home-refusal.js';

/** Why the gateway itself answers. */
export type GatewayRefusalReason =
  | HomeRefusalReason
  | 'no-configuration'
  | 'no-route'
  | 'unknown-key'
  | 'configuration-unconfirmed'
  | 'body-too-long'
  | 'header-too-long'
  | 'quota-spent'
  | 'crashes-back-ends'
  | 'overloaded'
  | 'no-backend'
  | 'zone-evacuated'
  | 'stopping'
  | 'not-started-in-time'
  | 'backend-refused'
  | 'backend-failed'
  | 'timed-out';

/** An answer of the gateway's own. */
export interface GatewayRefusal {
  readonly reason: GatewayRefusalReason;
  /** When the caller may usefully try again, in milliseconds. */
  readonly retryAfterMs?: number;
  /** What the request is known by, where it is refused for what it did before. */
  readonly fingerprint?: RequestFingerprint;
  /** What decided, where a tenant's quota is spent. */
  readonly quota?: SpentQuota;
}

/** Why a tenant's quota did not suffice for a request. */
export interface SpentQuota {
  readonly tenant: string;
  /** What the request would have cost: tokens, or one. */
  readonly cost: number;
  /** What was left in the pools of the gateways that refused. */
  readonly left: number;
  /** Holders of the tenant's pools that refused, and that were not reached or did not answer in time. */
  readonly refused: number;
  readonly unanswered: number;
}

/**
 * HTTP status by reason.
 *
 * 429 and 503 promise that the request was not and will not be run; 502 and
 * 504 promise nothing.
 */
const STATUS_BY_REASON: Record<GatewayRefusalReason, number> = {
  'no-configuration': 503,
  'no-route': 404,
  'unknown-key': 401,
  // That there is no such route or key is known only by the newest configuration.
  'configuration-unconfirmed': 503,
  'body-too-long': 413,
  'header-too-long': 431,
  'quota-spent': 429,
  'crashes-back-ends': 503,
  overloaded: 503,
  'no-backend': 503,
  'no-common-home': 503,
  'no-backend-at-home': 503,
  'zone-evacuated': 503,
  stopping: 503,
  'not-started-in-time': 503,
  'backend-refused': 503,
  'backend-failed': 502,
  'timed-out': 504,
};

/** The HTTP status that carries a refusal. */
export function statusOfRefusal(refusal: GatewayRefusal): number {
  return STATUS_BY_REASON[refusal.reason];
}
