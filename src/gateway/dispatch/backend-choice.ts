/** Query: what it costs to bind a request to a back end, and whom that would hold up. */
import type { DispatchRequest } from './dispatch-request.js';
import type { EngineSpeed } from './engine-speed.js';
import type { KnownBackend } from './known-backend.js';
import type { UsualSpeed } from './usual-speed.js';

/** Weight of the whole work against the time to the first event when a back end is chosen. */
const WORK_WEIGHT = 0.5;
/**
 * Share by which each request at work there lengthens the time to the first event; without it the nearest of
 * like engines would be filled first.
 */
const OTHERS_SHARE = 0.03;
/** Cost for each request at a back end of unknown speed: it is tried with one at a time. */
const UNKNOWN_SPEED_COST_MS = 1_000;
/** Added to the cost of a back end that would be late, or make others late. */
const LATE_COST_MS = 100_000;
/**
 * Cost of a certain failure: a late answer loses about .7 of what one in time is worth, a failed request all
 * of it.
 */
const FAILURE_COST_MS = LATE_COST_MS / 0.7;
/** A share of failures up to this is as good as none: every engine loses an answer now and then. */
const USUAL_FAILURE_SHARE = 0.1;

/** Cost of binding `request` to a back end, in milliseconds; the lowest is chosen. */
export function costOf(
  request: DispatchRequest,
  known: KnownBackend,
  usual: UsualSpeed,
  nowMs: number,
): number {
  const workMs = (known.msPerUnit ?? usual.msPerUnit) * request.units;
  const unusualShare = Math.max(0, known.failureShare(nowMs) - USUAL_FAILURE_SHARE);
  const failureMs = unusualShare * FAILURE_COST_MS;
  if (request.promptTokens === 0) {
    return (known.occupied + 1) * workMs + known.roundTrip.costMs + failureMs;
  }
  const tokens = known.pendingPromptTokens + request.promptTokens;
  const aloneMs = known.speed.expectedFirstMs(tokens, usual.prefill);
  const firstMs = aloneMs * (1 + known.occupied * OTHERS_SHARE);
  const trialMs = known.speed.isKnown ? 0 : known.occupied * UNKNOWN_SPEED_COST_MS;
  const isLate = nowMs + firstMs + known.roundTrip.ms > request.firstDueAtMs;
  const lateMs = isLate ? LATE_COST_MS : 0;
  return firstMs + known.roundTrip.costMs + workMs * WORK_WEIGHT + trialMs + failureMs + lateMs;
}

/** Whether reading the prompt there would make the streams of `others` requests pause too long. */
export function harmsOthers(
  request: DispatchRequest,
  speed: EngineSpeed,
  others: number,
  tokensPerEvent: number,
): boolean {
  if (request.promptTokens === 0 || request.maxPauseMs === 0 || others <= 0) {
    return false;
  }
  return speed.expectedPauseMs(request.promptTokens, tokensPerEvent) > request.maxPauseMs;
}
