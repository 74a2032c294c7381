/** Cost of binding a request to a backend, and whether doing so stalls other streams there. */
import type { PrefillSpeed } from '../../slot-agent/slot-messages.js';
import type { DispatchRequest } from './dispatch-request.js';
import type { EngineSpeed } from './engine-speed.js';
import type { KnownBackend } from './known-backend.js';
import type { MeanSpeed } from './mean-speed.js';

/** Weight of the time for the whole response relative to the time to the first event. */
const WHOLE_RESPONSE_WEIGHT = 0.5;
/**
 * Fraction by which each active request at the backend lengthens the time to the first event.
 * Without it the nearest of several equal engines would be filled first.
 */
const CONCURRENCY_SLOWDOWN = 0.03;
/**
 * Cost of each active request at a backend of unknown speed, so that it gets one request at a time
 * while others have a free slot.
 */
const UNKNOWN_SPEED_COST_MS = 1_000;
/** Cost added to a backend that is expected to send the first event after its due time. */
const LATE_COST_MS = 100_000;
/**
 * Cost of a certain failure: a late response loses about 0.7 of the value of one in time, a failed
 * request all of it.
 */
const FAILURE_COST_MS = LATE_COST_MS / 0.7;
/**
 * Failure rate up to which a backend has no failure cost: every engine occasionally loses a
 * response.
 */
const TOLERATED_FAILURE_RATE = 0.1;

/** Returns the cost of binding `request` to a backend, in milliseconds; the lowest cost wins. */
export function bindingCostMs(
  request: DispatchRequest,
  known: KnownBackend,
  meanSpeed: MeanSpeed,
  nowMs: number,
): number {
  const workMs = (known.msPerUnit ?? meanSpeed.msPerUnit) * request.units;
  const excessFailureShare = Math.max(0, known.failureShare(nowMs) - TOLERATED_FAILURE_RATE);
  const failureMs = excessFailureShare * FAILURE_COST_MS;
  if (request.promptTokens === 0) {
    return (known.occupied + 1) * workMs + known.roundTrip.costMs + failureMs;
  }
  const firstMs = loadedFirstEventMs(request, known, meanSpeed.prefill);
  const unknownSpeedMs = known.speed.isKnown ? 0 : known.occupied * UNKNOWN_SPEED_COST_MS;
  const isLate = nowMs + firstMs + known.roundTrip.ms > request.firstDueAtMs;
  const lateMs = isLate ? LATE_COST_MS : 0;
  return (
    firstMs +
    known.roundTrip.costMs +
    workMs * WHOLE_RESPONSE_WEIGHT +
    unknownSpeedMs +
    failureMs +
    lateMs
  );
}

/**
 * Returns the expected time to the first event at a backend beside its active requests, without the
 * round trip, in milliseconds; `fallback` is used while its own speed is unknown.
 */
export function loadedFirstEventMs(
  request: DispatchRequest,
  known: KnownBackend,
  fallback?: PrefillSpeed,
): number {
  const tokens = known.pendingPromptTokens + request.promptTokens;
  const unloadedMs = known.speed.expectedFirstEventMs(tokens, fallback);
  return unloadedMs * (1 + known.occupied * CONCURRENCY_SLOWDOWN);
}

/**
 * Whether processing the prompt would pause the streams of `otherRequests` requests for longer than
 * the request's own bound on pauses.
 */
export function stallsOtherStreams(
  request: DispatchRequest,
  speed: EngineSpeed,
  otherRequests: number,
  tokensPerEvent: number,
): boolean {
  if (request.promptTokens === 0 || request.maxPauseMs === 0 || otherRequests <= 0) {
    return false;
  }
  return speed.expectedPauseMs(request.promptTokens, tokensPerEvent) > request.maxPauseMs;
}
