/** Queries: how long a request may wait for a back end, and when its caller may come back. */
import type { RandomSource } from '../../random.js';
import type { GatewayRefusal } from '../admission/gateway-refusal.js';
import type { AcceptedRequest, RequestOptions } from './request-model.js';

/** When the caller must get the next part of its answer for the answer to be in time, in milliseconds. */
export function nextEventDueAtMs(
  { arrivedAtMs, route }: AcceptedRequest,
  lastEventAtMs: number | undefined,
): number {
  return lastEventAtMs === undefined
    ? arrivedAtMs + route.targetLatencyMs
    : lastEventAtMs + route.maxPauseMs;
}

/** What bounds a wait. */
export interface WaitState {
  /** When the caller got its last event; undefined before the first. */
  readonly lastEventAtMs: number | undefined;
  /** When the request must be sent at the latest to be answered in time, in milliseconds. */
  readonly startByMs: number;
}

/**
 * Until when a request may wait, in milliseconds: one that is new as long as it can be in time; one
 * that was refused before for longer, since a late answer is worth more than a second refusal; a
 * stream that broke until its caller is about to give it up.
 */
export function waitUntilMs(
  request: AcceptedRequest,
  state: WaitState,
  options: RequestOptions,
): number {
  const { arrivedAtMs, endsAtMs, route, isReturning } = request;
  if (state.lastEventAtMs !== undefined) {
    return Math.min(endsAtMs, state.lastEventAtMs + options.resumeWaitMs);
  }
  if (!isReturning) {
    return Math.min(endsAtMs, state.startByMs);
  }
  const longestMs = (endsAtMs - arrivedAtMs) * options.waitTimeShare;
  return arrivedAtMs + Math.min(route.targetLatencyMs * options.lateWaitShare, longestMs);
}

/** A burst passes in seconds; callers that come back at once meet it again, and together. */
export function retryAfterMs(
  reason: GatewayRefusal['reason'],
  options: RequestOptions,
  random: RandomSource,
): number {
  return reason === 'overloaded'
    ? options.overloadRetryMs + random.next() * options.overloadRetrySpreadMs
    : options.retryAfterMs;
}
