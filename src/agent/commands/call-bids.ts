/** Commands: hold bids, and call the best one whenever the engine can take work. */
import type { BidMessage } from '../../protocol/messages.js';
import { decideEligibility } from '../../policy/eligibility.js';
import { isHigherTier } from '../../request/tier.js';
import type { AgentState, AgentTurn, EngineRequest } from '../agent-state.js';
import type { HeldBid } from '../bid-queue.js';
import {
  countTakenSlots,
  describeLoad,
  findPreemptible,
  findResumable,
  requestsIn,
} from '../queries/engine-load.js';

const LOAD_INTERVAL_MS = 200;

/** Holds a bid, or refuses it. */
export function holdBid(turn: AgentTurn, peer: string, message: BidMessage): void {
  const { state } = turn;
  if (state.isLeaving) {
    turn.send(peer, { kind: 'bid-refused', id: message.id, reason: 'leaving' });
    return;
  }
  const decision = decideEligibility(state.replica.policy, message, state.identity.name);
  if (!decision.allowed && state.replica.generation > 0) {
    turn.send(peer, { kind: 'bid-refused', id: message.id, reason: 'not-permitted' });
    return;
  }
  if (isAlreadyKnown(state, message.id)) {
    return;
  }
  state.bids.add(createBid(turn, peer, message));
  if (message.isUrgent) {
    turn.urgentPeers.add(peer);
  }
  refuseExcessBid(turn);
}

/** Calls bids while the engine can take work; resumes paused requests first where their tier comes first. */
export function callBids(turn: AgentTurn): void {
  const { state } = turn;
  let next = state.isLeaving ? undefined : state.bids.peek();
  while (countTakenSlots(state) < state.options.capacity) {
    const paused = findResumable(state);
    const isPausedFirst =
      paused !== undefined && (next === undefined || !isHigherTier(next.tier, paused.request.tier));
    if (isPausedFirst) {
      resumeRequest(turn, paused);
    } else if (next !== undefined) {
      callBid(turn, next, false);
      next = state.bids.peek();
    } else {
      return;
    }
  }
  while (next !== undefined && mayPreemptFor(turn, next)) {
    callBid(turn, next, true);
    next = state.bids.peek();
  }
}

/** Tells the entries whose urgent bids came in this turn what the engine serves, so that they may decide. */
export function answerUrgentBids(turn: AgentTurn): void {
  for (const peer of turn.urgentPeers) {
    turn.send(peer, describeLoad(turn.state));
  }
}

/** Releases calls whose bind did not come in time. */
export function expireCalls(turn: AgentTurn): void {
  for (const [id, call] of turn.state.calls) {
    if (turn.nowMs - call.calledAtMs >= turn.state.options.callTimeoutMs) {
      turn.state.calls.delete(id);
      turn.count('call.expired');
    }
  }
}

/** Whether the engine must hold a paused request or lose one for the next pre-emption. */
export function hasRoomForPaused(state: AgentState): boolean {
  return requestsIn(state, 'paused').length < state.options.maxPaused;
}

function isAlreadyKnown(state: AgentState, id: string): boolean {
  return state.calls.has(id) || state.pendingBinds.has(id) || state.engineRequests.has(id);
}

function createBid(turn: AgentTurn, peer: string, message: BidMessage): HeldBid {
  const known = turn.state.bids.get(message.id);
  return {
    id: message.id,
    peer,
    tenant: message.tenant,
    tier: message.tier,
    deadlineAtMs: turn.nowMs + message.deadlineInMs,
    receivedAtMs: known?.receivedAtMs ?? turn.nowMs,
    costTokens: message.promptTokens + message.maxOutputTokens,
    isUrgent: message.isUrgent,
  };
}

function refuseExcessBid(turn: AgentTurn): void {
  const { bids, options } = turn.state;
  if (bids.size <= options.maxBids) {
    return;
  }
  const lowest = bids.findLowest();
  if (lowest !== undefined) {
    bids.remove(lowest.id);
    turn.send(lowest.peer, { kind: 'bid-refused', id: lowest.id, reason: 'full' });
  }
}

function resumeRequest(turn: AgentTurn, paused: EngineRequest): void {
  paused.phase = 'running';
  turn.emit({ kind: 'engine-resume', id: paused.request.id });
  turn.decide('resume', paused.request, 'a slot is free and no higher tier waits');
}

function callBid(turn: AgentTurn, bid: HeldBid, needsPreemption: boolean): void {
  turn.state.bids.take(bid);
  turn.state.calls.set(bid.id, {
    peer: bid.peer,
    tier: bid.tier,
    calledAtMs: turn.nowMs,
    needsPreemption,
  });
  turn.send(bid.peer, { kind: 'call', id: bid.id });
  tellLoad(turn, bid.peer);
  turn.count('call.sent');
  const reason = needsPreemption ? 'a running lower tier makes room' : 'a slot is free';
  turn.decide('call', bid, reason);
}

function tellLoad(turn: AgentTurn, peerName: string): void {
  const peer = turn.state.peers.get(peerName);
  if (peer !== undefined && turn.nowMs - peer.lastLoadSentAtMs >= LOAD_INTERVAL_MS) {
    peer.lastLoadSentAtMs = turn.nowMs;
    turn.send(peerName, describeLoad(turn.state));
  }
}

/** Whether enough running requests of lower tiers are left for this bid, beyond those that calls count on. */
function mayPreemptFor(turn: AgentTurn, bid: HeldBid): boolean {
  const { state } = turn;
  const waitedMs = turn.nowMs - bid.receivedAtMs;
  const isDue = bid.isUrgent || waitedMs >= state.options.preemptAfterMs;
  if (!isDue || findPreemptible(state, bid.tier) === undefined) {
    return false;
  }
  if (!bid.isUrgent && !hasRoomForPaused(state)) {
    return false;
  }
  const preemptible = requestsIn(state, 'running').filter((running) =>
    isHigherTier(bid.tier, running.request.tier),
  ).length;
  const promised = [...state.calls.values()].filter((call) => call.needsPreemption).length;
  return promised < preemptible;
}
