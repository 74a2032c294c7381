/** Query: when the caller of a request that was not run is told to come back. */
import type { GatewayRefusal } from '../admission/gateway-refusal.js';
import { isHomeRefusal } from '../homes/home-refusal.js';
import type { RequestOptions } from './request-model.js';

/** What the pause is reckoned from. */
export interface RefusedWait {
  readonly options: RequestOptions;
  /** The pause by the queue that the request waited in; undefined if it never waited. */
  readonly queuePauseMs: (() => number) | undefined;
  /** What the caller has left, in milliseconds. */
  readonly leftMs: number;
}

/** The pause, in milliseconds. */
export function refusalPauseMs(
  reason: GatewayRefusal['reason'],
  { options, queuePauseMs, leftMs }: RefusedWait,
): number {
  const isForQueueToTell = reason === 'overloaded' || reason === 'zone-evacuated';
  if (isForQueueToTell && queuePauseMs !== undefined) {
    return queuePauseMs();
  }
  if (isHomeRefusal(reason)) {
    // Only operators can help, which takes them longer than any pause that callers heed.
    return Math.min(options.overloadRetryMaxMs, leftMs * options.maxRetryShare);
  }
  return options.retryAfterMs;
}
