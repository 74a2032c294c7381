/** Commands that start a bound request on the engine or refuse its bind. */
import { decideEligibility } from '../../policy/eligibility.js';
import type { BindMessage } from '../../protocol/messages.js';
import type { AgentEventContext, EngineRequest } from '../agent-state.js';
import { countOccupiedSlots, findPreemptible } from '../queries/engine-load.js';
import { isHigherTier } from '../../request/tier.js';
import { hasPauseCapacity } from './call-bids.js';
import { consumePermit } from './issue-permits.js';
import { refuseBind } from './refuse-bind.js';
import { failRequest } from './stream-response.js';

/** Gap between ticks that indicates that the process was paused. */
const PAUSE_THRESHOLD_MS = 1_000;
/** Time allowed after a pause for handling signals that arrived during it. */
const SIGNAL_DELAY_MS = 200;

/** Detects a pause of the process and refuses binds for `SIGNAL_DELAY_MS` after it. */
export function detectPause(context: AgentEventContext): void {
  const { state, nowMs } = context;
  if (state.lastTickAtMs !== undefined && nowMs - state.lastTickAtMs >= PAUSE_THRESHOLD_MS) {
    state.refuseBindsUntilMs = nowMs + SIGNAL_DELAY_MS;
    state.lastTickAtMs = nowMs;
    context.count('process.paused');
  }
}

/**
 * Starts a bound request if the installed policy permits it and a slot is free or can be freed, and
 * refuses it otherwise; holds it first if its policy generation is not installed yet.
 */
export function handleBind(context: AgentEventContext, peer: string, request: BindMessage): void {
  const { state } = context;
  const { id } = request;
  state.bids.remove(id);
  detectPause(context);
  if (state.engineRequests.has(id) || state.pendingBinds.has(id)) {
    return;
  }
  if (state.records.isRefused(id)) {
    refuseBind(context, peer, id, 'never-received');
    return;
  }
  if (context.nowMs < state.refuseBindsUntilMs) {
    refuseBind(context, peer, id, 'was-paused');
    return;
  }
  if (state.replica.generation < request.generation) {
    state.calls.delete(id);
    state.pendingBinds.set(id, { request, peer, receivedAtMs: context.nowMs });
    return;
  }
  startOrRefuse(context, peer, request);
}

/**
 * Starts pending binds whose policy generation is installed, and refuses those that waited longer
 * than `policyWaitMs`.
 */
export function resolvePendingBinds(context: AgentEventContext): void {
  const { state } = context;
  for (const [id, pending] of state.pendingBinds) {
    if (state.replica.generation >= pending.request.generation) {
      state.pendingBinds.delete(id);
      startOrRefuse(context, pending.peer, pending.request);
    } else if (context.nowMs - pending.receivedAtMs >= state.options.policyWaitMs) {
      state.pendingBinds.delete(id);
      refuseBind(context, pending.peer, id, 'policy-unknown');
    }
  }
}

function startOrRefuse(context: AgentEventContext, peer: string, request: BindMessage): void {
  const { state } = context;
  state.calls.delete(request.id);
  if (state.isLeaving) {
    refuseBind(context, peer, request.id, 'leaving');
    return;
  }
  const decision = decideEligibility(state.replica.policy, request, state.identity.name);
  if (!decision.allowed) {
    refuseBind(context, peer, request.id, 'not-permitted');
    return;
  }
  const canStart = request.isByPermit
    ? hasCapacityForPermit(context, request)
    : ensureFreeSlot(context, request);
  if (!canStart) {
    refuseBind(context, peer, request.id, 'full');
    return;
  }
  startRequest(context, peer, request, decision.selector);
}

/**
 * Uses up a permit and returns whether the request may start: a permit allows neither preemption
 * nor overtaking a queued bid of a higher tier.
 */
function hasCapacityForPermit(context: AgentEventContext, request: BindMessage): boolean {
  const { state } = context;
  consumePermit(context);
  const next = state.bids.peek();
  const isBehindHigherTier = next !== undefined && isHigherTier(next.tier, request.tier);
  return !isBehindHigherTier && countOccupiedSlots(state) < state.options.capacity;
}

/**
 * Preempts a running request of a lower tier if no slot is free; returns false if there is none.
 */
function ensureFreeSlot(context: AgentEventContext, request: BindMessage): boolean {
  const { state } = context;
  if (countOccupiedSlots(state) < state.options.capacity) {
    return true;
  }
  const victim = findPreemptible(state, request.tier);
  if (victim === undefined) {
    return false;
  }
  preempt(context, victim, request);
  return true;
}

function preempt(context: AgentEventContext, victim: EngineRequest, request: BindMessage): void {
  context.count('request.preempted', 1, { tier: `${victim.request.tier}` });
  if (hasPauseCapacity(context.state)) {
    victim.phase = 'paused';
    context.emit({ kind: 'engine-pause', id: victim.request.id });
    context.logDecision(
      'pause',
      victim.request,
      `preempted by ${request.id} of tier ${request.tier}`,
    );
    return;
  }
  context.emit({ kind: 'engine-cancel', id: victim.request.id });
  context.logDecision(
    'cancel',
    victim.request,
    `preempted by ${request.id}; the limit of paused requests is reached`,
  );
  failRequest(context, victim, 'preempted', 'a higher tier took the engine');
}

function startRequest(
  context: AgentEventContext,
  peer: string,
  request: BindMessage,
  selector: string,
): void {
  context.state.engineRequests.set(request.id, {
    request,
    peer,
    startedAtMs: context.nowMs,
    phase: 'running',
    responseMessages: [],
    chunkCount: 0,
    finishedAtMs: undefined,
    orphanedAtMs: context.state.peers.has(peer) ? undefined : context.nowMs,
  });
  context.emit({ kind: 'engine-start', request });
  context.count('request.started', 1, { tier: `${request.tier}` });
  context.logDecision('start', request, `permitted by ${selector}`);
}
