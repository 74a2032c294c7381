/** Commands: start a bound request on the engine, or certify that it is never started. */
import { decideEligibility } from '../../policy/eligibility.js';
import type { BindMessage } from '../../protocol/messages.js';
import type { AgentTurn, EngineRequest } from '../agent-state.js';
import { countTakenSlots, findPreemptible } from '../queries/engine-load.js';
import { isHigherTier } from '../../request/tier.js';
import { hasRoomForPaused } from './call-bids.js';
import { spendPermit } from './issue-permits.js';
import { refuseBind } from './refuse-bind.js';
import { failRequest } from './stream-answer.js';

/** A gap between ticks that only a pause of the process explains. */
const PAUSE_MS = 1_000;
/** How long it may take until signals that came during a pause are heard. */
const SIGNAL_DELAY_MS = 200;

/** Distrusts binds for a while after the process was paused. */
export function noticePause(turn: AgentTurn): void {
  const { state, nowMs } = turn;
  if (state.lastTickAtMs !== undefined && nowMs - state.lastTickAtMs >= PAUSE_MS) {
    state.distrustBindsUntilMs = nowMs + SIGNAL_DELAY_MS;
    state.lastTickAtMs = nowMs;
    turn.count('process.paused');
  }
}

/** Starts a bound request if policy in force here permits it and the engine has room. */
export function receiveBind(turn: AgentTurn, peer: string, request: BindMessage): void {
  const { state } = turn;
  const { id } = request;
  state.bids.remove(id);
  noticePause(turn);
  if (state.engineRequests.has(id) || state.pendingBinds.has(id)) {
    return;
  }
  if (state.records.isRefused(id)) {
    refuseBind(turn, peer, id, 'never-received');
    return;
  }
  if (turn.nowMs < state.distrustBindsUntilMs) {
    refuseBind(turn, peer, id, 'was-paused');
    return;
  }
  if (state.replica.generation < request.generation) {
    state.calls.delete(id);
    state.pendingBinds.set(id, { request, peer, receivedAtMs: turn.nowMs });
    return;
  }
  startOrRefuse(turn, peer, request);
}

/** Starts binds that waited for policy, or refuses those that waited too long. */
export function reviewPendingBinds(turn: AgentTurn): void {
  const { state } = turn;
  for (const [id, pending] of state.pendingBinds) {
    if (state.replica.generation >= pending.request.generation) {
      state.pendingBinds.delete(id);
      startOrRefuse(turn, pending.peer, pending.request);
    } else if (turn.nowMs - pending.receivedAtMs >= state.options.policyWaitMs) {
      state.pendingBinds.delete(id);
      refuseBind(turn, pending.peer, id, 'policy-unknown');
    }
  }
}

function startOrRefuse(turn: AgentTurn, peer: string, request: BindMessage): void {
  const { state } = turn;
  state.calls.delete(request.id);
  if (state.isLeaving) {
    refuseBind(turn, peer, request.id, 'leaving');
    return;
  }
  const decision = decideEligibility(state.replica.policy, request, state.identity.name);
  if (!decision.allowed) {
    refuseBind(turn, peer, request.id, 'not-permitted');
    return;
  }
  const mayStart = request.isByPermit ? hasRoomForPermit(turn, request) : makeRoom(turn, request);
  if (!mayStart) {
    refuseBind(turn, peer, request.id, 'full');
    return;
  }
  startRequest(turn, peer, request, decision.selector);
}

/** A permit gives no right to make room, nor to pass a bid of a higher tier. */
function hasRoomForPermit(turn: AgentTurn, request: BindMessage): boolean {
  const { state } = turn;
  spendPermit(turn);
  const next = state.bids.peek();
  const isBehindHigherTier = next !== undefined && isHigherTier(next.tier, request.tier);
  return !isBehindHigherTier && countTakenSlots(state) < state.options.capacity;
}

/** Pauses a running request of a lower tier if there is no free slot. */
function makeRoom(turn: AgentTurn, request: BindMessage): boolean {
  const { state } = turn;
  if (countTakenSlots(state) < state.options.capacity) {
    return true;
  }
  const lowest = findPreemptible(state, request.tier);
  if (lowest === undefined) {
    return false;
  }
  preempt(turn, lowest, request);
  return true;
}

function preempt(turn: AgentTurn, lowest: EngineRequest, request: BindMessage): void {
  turn.count('request.preempted', 1, { tier: `${lowest.request.tier}` });
  if (hasRoomForPaused(turn.state)) {
    lowest.phase = 'paused';
    turn.emit({ kind: 'engine-pause', id: lowest.request.id });
    turn.decide('pause', lowest.request, `makes room for ${request.id} of tier ${request.tier}`);
    return;
  }
  turn.emit({ kind: 'engine-cancel', id: lowest.request.id });
  turn.decide('cancel', lowest.request, `makes room for ${request.id}; no room to pause`);
  failRequest(turn, lowest, 'preempted', 'a higher tier took the engine');
}

function startRequest(turn: AgentTurn, peer: string, request: BindMessage, selector: string): void {
  turn.state.engineRequests.set(request.id, {
    request,
    peer,
    startedAtMs: turn.nowMs,
    phase: 'running',
    answer: [],
    chunkCount: 0,
    finishedAtMs: undefined,
    orphanedAtMs: turn.state.peers.has(peer) ? undefined : turn.nowMs,
  });
  turn.emit({ kind: 'engine-start', request });
  turn.count('request.started', 1, { tier: `${request.tier}` });
  turn.decide('start', request, `permitted by ${selector}`);
}
