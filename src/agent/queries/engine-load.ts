/** Queries on the engine's current load. */
import type { LoadMessage } from '../../protocol/messages.js';
import { isHigherTier } from '../../request/tier.js';
import type { Tier } from '../../request/tier.js';
import type { AgentState, EngineRequest, EngineRequestPhase } from '../agent-state.js';

/** Returns the requests on the engine that are in `phase`. */
export function requestsInPhase(state: AgentState, phase: EngineRequestPhase): EngineRequest[] {
  return [...state.engineRequests.values()].filter((request) => request.phase === phase);
}

/**
 * Counts the occupied slots: running requests, calls that wait for their bind, and binds that wait
 * for a policy generation. A call that will preempt a running request occupies no extra slot.
 */
export function countOccupiedSlots(state: AgentState): number {
  let preemptingCalls = 0;
  for (const call of state.calls.values()) {
    preemptingCalls += call.needsPreemption ? 1 : 0;
  }
  const called = state.calls.size - preemptingCalls;
  return requestsInPhase(state, 'running').length + called + state.pendingBinds.size;
}

/**
 * Returns the running request of the lowest tier below `tier`; among equals, the one with the
 * fewest response chunks.
 */
export function findPreemptible(state: AgentState, tier: Tier): EngineRequest | undefined {
  let lowest: EngineRequest | undefined;
  for (const running of requestsInPhase(state, 'running')) {
    if (!isHigherTier(tier, running.request.tier)) {
      continue;
    }
    if (lowest === undefined || isPreemptedBefore(running, lowest)) {
      lowest = running;
    }
  }
  return lowest;
}

/**
 * Returns the paused request to resume next: the one of the highest tier, then the one started
 * first.
 */
export function findNextToResume(state: AgentState): EngineRequest | undefined {
  return requestsInPhase(state, 'paused').sort(
    (left, right) => left.request.tier - right.request.tier || left.startedAtMs - right.startedAtMs,
  )[0];
}

/** Creates the load report that is sent to entries. */
export function createLoadMessage(state: AgentState): LoadMessage {
  const running = requestsInPhase(state, 'running');
  return {
    kind: 'load',
    running: running.length,
    capacity: state.options.capacity,
    waitingBids: state.bids.size,
    lowestTierServed: running.reduce(
      (lowest, request) => Math.max(lowest, request.request.tier),
      0,
    ),
  };
}

function isPreemptedBefore(left: EngineRequest, right: EngineRequest): boolean {
  if (left.request.tier !== right.request.tier) {
    return isHigherTier(right.request.tier, left.request.tier);
  }
  return left.chunkCount < right.chunkCount;
}
