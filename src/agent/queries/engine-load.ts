/** Query: what the engine does now. */
import type { LoadMessage } from '../../protocol/messages.js';
import { isHigherTier } from '../../request/tier.js';
import type { Tier } from '../../request/tier.js';
import type { AgentState, EngineRequest, RunPhase } from '../agent-state.js';

/** Requests on the engine in `phase`. */
export function requestsIn(state: AgentState, phase: RunPhase): EngineRequest[] {
  return [...state.engineRequests.values()].filter((request) => request.phase === phase);
}

/** Slots that are taken: running requests, called bids and binds that wait for policy. */
export function countTakenSlots(state: AgentState): number {
  let preemptingCalls = 0;
  for (const call of state.calls.values()) {
    preemptingCalls += call.needsPreemption ? 1 : 0;
  }
  const called = state.calls.size - preemptingCalls;
  return requestsIn(state, 'running').length + called + state.pendingBinds.size;
}

/** The running request of the lowest tier below `tier`, the one with the shortest answer so far among equals. */
export function findPreemptible(state: AgentState, tier: Tier): EngineRequest | undefined {
  let lowest: EngineRequest | undefined;
  for (const running of requestsIn(state, 'running')) {
    if (!isHigherTier(tier, running.request.tier)) {
      continue;
    }
    if (lowest === undefined || isPreemptedBefore(running, lowest)) {
      lowest = running;
    }
  }
  return lowest;
}

/** The paused request that is resumed first. */
export function findResumable(state: AgentState): EngineRequest | undefined {
  return requestsIn(state, 'paused').sort(
    (left, right) => left.request.tier - right.request.tier || left.startedAtMs - right.startedAtMs,
  )[0];
}

/** The load as it is told to entries. */
export function describeLoad(state: AgentState): LoadMessage {
  const running = requestsIn(state, 'running');
  return {
    kind: 'load',
    running: running.length,
    capacity: state.options.capacity,
    waitingBids: state.bids.size,
    lowestTierServed: running.reduce((lowest, one) => Math.max(lowest, one.request.tier), 0),
  };
}

function isPreemptedBefore(left: EngineRequest, right: EngineRequest): boolean {
  if (left.request.tier !== right.request.tier) {
    return isHigherTier(right.request.tier, left.request.tier);
  }
  return left.chunkCount < right.chunkCount;
}
