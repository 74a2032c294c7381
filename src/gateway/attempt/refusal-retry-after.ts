/** Computes the Retry-After of a request that was not executed. */
import type { GatewayRefusal } from '../admission/gateway-refusal.js';
import { isRegionRefusal } from '../regions/region-refusal.js';
import type { RequestOptions } from './request-model.js';

/** Inputs of the Retry-After computation. */
export interface RetryAfterInputs {
  readonly options: RequestOptions;
  /**
   * Computes the Retry-After from the queue in which the request waited; undefined if it never
   * waited.
   */
  readonly queueRetryAfterMs: (() => number) | undefined;
  /** Time left until the deadline of the request, in milliseconds. */
  readonly remainingMs: number;
}

/** Returns the Retry-After, in milliseconds. */
export function refusalRetryAfterMs(
  reason: GatewayRefusal['reason'],
  { options, queueRetryAfterMs, remainingMs }: RetryAfterInputs,
): number {
  const dependsOnQueue = reason === 'overloaded' || reason === 'zone-evacuated';
  if (dependsOnQueue && queueRetryAfterMs !== undefined) {
    return queueRetryAfterMs();
  }
  if (reason === 'stream-unavailable') {
    // The caller can begin the stream anew at any other version at once.
    return 0;
  }
  if (isRegionRefusal(reason)) {
    // Only operators can resolve this, which takes longer than any Retry-After that callers honor.
    return Math.min(options.overloadRetryMaxMs, remainingMs * options.maxRetryShare);
  }
  return options.retryAfterMs;
}
