/** Commands that queue bids and call the best one whenever the engine has a free slot. */
import type { BidMessage } from '../../protocol/messages.js';
import { decideEligibility } from '../../policy/eligibility.js';
import { isHigherTier } from '../../request/tier.js';
import type { AgentState, AgentEventContext, EngineRequest } from '../agent-state.js';
import type { QueuedBid } from '../bid-queue.js';
import {
  countOccupiedSlots,
  createLoadMessage,
  findPreemptible,
  findNextToResume,
  requestsInPhase,
} from '../queries/engine-load.js';

const LOAD_INTERVAL_MS = 200;

/** Queues a bid or refuses it; ignores a bid whose request is already called or bound. */
export function enqueueBid(context: AgentEventContext, peer: string, message: BidMessage): void {
  const { state } = context;
  if (state.isLeaving) {
    context.send(peer, { kind: 'bid-refused', id: message.id, reason: 'leaving' });
    return;
  }
  const decision = decideEligibility(state.replica.policy, message, state.identity.name);
  if (!decision.allowed && state.replica.generation > 0) {
    context.send(peer, { kind: 'bid-refused', id: message.id, reason: 'not-permitted' });
    return;
  }
  if (isInProgress(state, message.id)) {
    return;
  }
  state.bids.add(createQueuedBid(context, peer, message));
  if (message.isUrgent) {
    context.urgentBidPeers.add(peer);
  }
  refuseExcessBid(context);
}

/**
 * Calls bids while slots are free, resuming paused requests first unless the next bid has a higher
 * tier; then calls bids that may preempt a running request.
 */
export function callBids(context: AgentEventContext): void {
  const { state } = context;
  let next = state.isLeaving ? undefined : state.bids.peek();
  while (countOccupiedSlots(state) < state.options.capacity) {
    const paused = findNextToResume(state);
    const shouldResumeFirst =
      paused !== undefined && (next === undefined || !isHigherTier(next.tier, paused.request.tier));
    if (shouldResumeFirst) {
      resumeRequest(context, paused);
    } else if (next !== undefined) {
      callBid(context, next, false);
      next = state.bids.peek();
    } else {
      return;
    }
  }
  while (next !== undefined && canPreemptFor(context, next)) {
    callBid(context, next, true);
    next = state.bids.peek();
  }
}

/**
 * Sends a load report to the entries whose urgent bids arrived in this event, so that they can
 * decide whether to shed the request.
 */
export function sendLoadForUrgentBids(context: AgentEventContext): void {
  for (const peer of context.urgentBidPeers) {
    context.send(peer, createLoadMessage(context.state));
  }
}

/** Releases the slots of calls whose bind did not arrive within the call timeout. */
export function expireCalls(context: AgentEventContext): void {
  for (const [id, call] of context.state.calls) {
    if (context.nowMs - call.calledAtMs >= context.state.options.callTimeoutMs) {
      context.state.calls.delete(id);
      context.count('call.expired');
    }
  }
}

/** Whether the engine can hold another paused request; if not, a preempted request is cancelled. */
export function hasPauseCapacity(state: AgentState): boolean {
  return requestsInPhase(state, 'paused').length < state.options.maxPaused;
}

function isInProgress(state: AgentState, id: string): boolean {
  return state.calls.has(id) || state.pendingBinds.has(id) || state.engineRequests.has(id);
}

function createQueuedBid(context: AgentEventContext, peer: string, message: BidMessage): QueuedBid {
  const existing = context.state.bids.get(message.id);
  return {
    id: message.id,
    peer,
    tenant: message.tenant,
    tier: message.tier,
    deadlineAtMs: context.nowMs + message.deadlineInMs,
    receivedAtMs: existing?.receivedAtMs ?? context.nowMs,
    costTokens: message.promptTokens + message.maxOutputTokens,
    isUrgent: message.isUrgent,
  };
}

function refuseExcessBid(context: AgentEventContext): void {
  const { bids, options } = context.state;
  if (bids.size <= options.maxBids) {
    return;
  }
  const lowest = bids.findEvictionCandidate();
  if (lowest !== undefined) {
    bids.remove(lowest.id);
    context.send(lowest.peer, { kind: 'bid-refused', id: lowest.id, reason: 'full' });
  }
}

function resumeRequest(context: AgentEventContext, paused: EngineRequest): void {
  paused.phase = 'running';
  context.emit({ kind: 'engine-resume', id: paused.request.id });
  context.logDecision('resume', paused.request, 'a slot is free and no bid of a higher tier waits');
}

function callBid(context: AgentEventContext, bid: QueuedBid, needsPreemption: boolean): void {
  context.state.bids.dequeue(bid);
  context.state.calls.set(bid.id, {
    peer: bid.peer,
    tier: bid.tier,
    calledAtMs: context.nowMs,
    needsPreemption,
  });
  context.send(bid.peer, { kind: 'call', id: bid.id });
  sendLoadIfDue(context, bid.peer);
  context.count('call.sent');
  const reason = needsPreemption
    ? 'a running request of a lower tier can be preempted'
    : 'a slot is free';
  context.logDecision('call', bid, reason);
}

function sendLoadIfDue(context: AgentEventContext, peerName: string): void {
  const peer = context.state.peers.get(peerName);
  if (peer !== undefined && context.nowMs - peer.lastLoadSentAtMs >= LOAD_INTERVAL_MS) {
    peer.lastLoadSentAtMs = context.nowMs;
    context.send(peerName, createLoadMessage(context.state));
  }
}

/**
 * Whether the bid may be called by preemption: it is urgent or has waited long enough, and a
 * running request of a lower tier is available beyond those reserved by outstanding calls. If it is
 * not urgent, the engine must also be able to hold another paused request.
 */
function canPreemptFor(context: AgentEventContext, bid: QueuedBid): boolean {
  const { state } = context;
  const waitedMs = context.nowMs - bid.receivedAtMs;
  const isDue = bid.isUrgent || waitedMs >= state.options.preemptAfterMs;
  if (!isDue || findPreemptible(state, bid.tier) === undefined) {
    return false;
  }
  if (!bid.isUrgent && !hasPauseCapacity(state)) {
    return false;
  }
  const preemptible = requestsInPhase(state, 'running').filter((running) =>
    isHigherTier(bid.tier, running.request.tier),
  ).length;
  const reservedPreemptions = [...state.calls.values()].filter(
    (call) => call.needsPreemption,
  ).length;
  return reservedPreemptions < preemptible;
}
