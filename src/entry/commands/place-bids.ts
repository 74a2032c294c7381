/** Commands that offer a waiting request to agents. */
import type { BidMessage } from '../../protocol/messages.js';
import { notExecutedRefusal } from '../../request/refusal.js';
import type { EntryEventContext, ActiveRequest } from '../entry-state.js';
import { mayServeLowerTier } from '../queries/preemption.js';
import { agentRequestFields } from '../queries/describe-request.js';
import { shortestServiceMs, rankAgents } from '../queries/rank-agents.js';
import { refuseRequest, scheduleCheck } from './request-lifecycle.js';

const EXTRA_BID_INTERVAL_MS = 500;

/**
 * Sends bids to the best-ranked agents until the request has the number of bids that its age and
 * tier allow; an urgent request also gets a bid at every agent that may preempt a lower tier.
 */
export function placeBids(context: EntryEventContext, request: ActiveRequest): void {
  const { state } = context;
  const isUrgent = request.urgentSinceMs !== undefined;
  const ranked = rankAgents(state, request).map((agent) => agent.name);
  const missing = Math.max(0, targetBidCount(context, request) - request.bids.size);
  const chosen = ranked.slice(0, missing);
  if (isUrgent) {
    chosen.push(...ranked.slice(missing).filter((name) => mayPreemptAt(context, request, name)));
  }
  for (const name of chosen) {
    sendBid(context, request, name, isUrgent);
  }
  if (chosen.length > 0) {
    const reason = isUrgent
      ? 'urgent: agents that may preempt a lower tier'
      : 'shortest expected completion time';
    context.count('bid.sent', chosen.length);
    context.logDecision('bid', request, reason, chosen);
  }
  updateReachability(context, request);
}

/**
 * Runs a scheduled check of a waiting request: sends more bids, marks it urgent, or refuses it if
 * its deadline cannot be met.
 */
export function checkWaitingRequest(context: EntryEventContext, request: ActiveRequest): void {
  const { state } = context;
  const { options } = state;
  const serviceMs = shortestServiceMs(state, request);
  if (serviceMs === undefined) {
    checkUnreachable(context, request);
    return;
  }
  request.unreachableSinceMs = undefined;
  const latestStartMs = request.description.deadlineAtMs - serviceMs;
  if (context.nowMs >= latestStartMs - options.urgentSlackMs) {
    markUrgent(context, request);
  }
  if (isDeadlineInfeasible(context, request, latestStartMs)) {
    const detail = 'no permitted engine can finish the request before its deadline';
    refuseRequest(
      context,
      request,
      notExecutedRefusal('deadline-infeasible', detail, options.retryAfterMs),
    );
    return;
  }
  placeBids(context, request);
  scheduleCheck(context, request, nextCheckAtMs(context, request, latestStartMs));
}

/** Resends the urgent bids of a request; at most once per `RENEW_INTERVAL_MS`. */
export function resendUrgentBids(context: EntryEventContext, request: ActiveRequest): void {
  const RENEW_INTERVAL_MS = 50;
  const sinceMs = request.urgentSinceMs;
  if (
    request.phase === 'waiting' &&
    (sinceMs === undefined || context.nowMs - sinceMs >= RENEW_INTERVAL_MS)
  ) {
    request.urgentSinceMs = undefined;
    markUrgent(context, request);
  }
}

/**
 * Marks the request and its bids as urgent, and offers it to every agent that may preempt a lower
 * tier.
 */
export function markUrgent(context: EntryEventContext, request: ActiveRequest): void {
  if (request.urgentSinceMs !== undefined) {
    return;
  }
  request.urgentSinceMs = context.nowMs;
  for (const agent of request.bids) {
    if (mayPreemptAt(context, request, agent)) {
      context.send(agent, createBidMessage(context, request, true));
    }
  }
  placeBids(context, request);
}

function mayPreemptAt(context: EntryEventContext, request: ActiveRequest, agent: string): boolean {
  const peer = context.state.peers.get(agent);
  return peer !== undefined && mayServeLowerTier(peer, request, context.nowMs);
}

function isDeadlineInfeasible(
  context: EntryEventContext,
  request: ActiveRequest,
  latestStartMs: number,
): boolean {
  if (context.nowMs >= request.description.deadlineAtMs) {
    return true;
  }
  const urgentForMs = context.nowMs - (request.urgentSinceMs ?? context.nowMs);
  return context.nowMs >= latestStartMs && urgentForMs >= context.state.options.urgentGraceMs;
}

function nextCheckAtMs(
  context: EntryEventContext,
  request: ActiveRequest,
  latestStartMs: number,
): number {
  const { options } = context.state;
  if (request.urgentSinceMs === undefined) {
    const urgentAtMs = latestStartMs - options.urgentSlackMs;
    return Math.min(context.nowMs + EXTRA_BID_INTERVAL_MS, urgentAtMs);
  }
  const graceEndMs = request.urgentSinceMs + options.urgentGraceMs;
  return Math.min(request.description.deadlineAtMs, Math.max(latestStartMs, graceEndMs));
}

function checkUnreachable(context: EntryEventContext, request: ActiveRequest): void {
  const { options } = context.state;
  updateReachability(context, request);
  const since = request.unreachableSinceMs ?? context.nowMs;
  const giveUpAtMs = Math.min(since + options.noEngineGraceMs, request.description.deadlineAtMs);
  if (context.nowMs >= giveUpAtMs) {
    const detail = 'no permitted engine is reachable';
    refuseRequest(context, request, notExecutedRefusal('no-engine', detail, options.retryAfterMs));
    return;
  }
  scheduleCheck(context, request, giveUpAtMs);
}

function updateReachability(context: EntryEventContext, request: ActiveRequest): void {
  if (request.bids.size > 0) {
    request.unreachableSinceMs = undefined;
  } else {
    request.unreachableSinceMs ??= context.nowMs;
  }
}

/**
 * Returns the number of bids to keep open: grows with the time waited, and by one for each tier
 * above tier 3.
 */
function targetBidCount(context: EntryEventContext, request: ActiveRequest): number {
  const FIRST_TIER_WITHOUT_EXTRA_BIDS = 3;
  const extraForTier = Math.max(0, FIRST_TIER_WITHOUT_EXTRA_BIDS - request.description.tier);
  const waitedMs = context.nowMs - request.arrivedAtMs;
  return (
    context.state.options.bidWidth + extraForTier + Math.floor(waitedMs / EXTRA_BID_INTERVAL_MS)
  );
}

function sendBid(
  context: EntryEventContext,
  request: ActiveRequest,
  agent: string,
  isUrgent: boolean,
): void {
  request.bids.add(agent);
  context.state.peers.get(agent)?.bids.add(request.description.id);
  context.send(agent, createBidMessage(context, request, isUrgent));
}

function createBidMessage(
  context: EntryEventContext,
  request: ActiveRequest,
  isUrgent: boolean,
): BidMessage {
  return { kind: 'bid', ...agentRequestFields(context, request), isUrgent };
}
