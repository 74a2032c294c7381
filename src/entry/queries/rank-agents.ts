/** Queries that select and rank the reachable permitted agents for a request. */
import type { PermittedEngines } from '../../policy/eligibility.js';
import { withJitter } from '../../random.js';
import type { AgentPeer, EntryState, ActiveRequest } from '../entry-state.js';

const RANKING_JITTER = 0.1;
const OTHER_PLACE_PENALTY_MS = 2;
const OTHER_REGION_PENALTY_MS = 60;

/** An agent with the expected completion time of a request there. */
export interface RankedAgent {
  readonly name: string;
  readonly expectedMs: number;
}

/** Returns the engines that the installed policy permits for the request. */
export function permittedEngines(state: EntryState, request: ActiveRequest): PermittedEngines {
  const { generation, permitted } = state.replica;
  if (request.permitted?.generation !== generation) {
    request.permitted = { generation, engines: permitted.find(request.description) };
  }
  return request.permitted.engines;
}

/**
 * Whether the installed policy permits the request on `agentName` and the agent is available for
 * it.
 */
export function isCandidate(state: EntryState, request: ActiveRequest, agentName: string): boolean {
  const peer = state.peers.get(agentName);
  if (peer === undefined || peer.connectivity !== 'connected') {
    return false;
  }
  if (peer.isLeaving || peer.isListedLeaving) {
    return false;
  }
  if (request.refusedBy.has(refusalKey(agentName, peer))) {
    return false;
  }
  return permittedEngines(state, request).engineSet.has(agentName);
}

/** Returns the key that identifies this incarnation of an agent in the set of refusals. */
export function refusalKey(agentName: string, peer: AgentPeer): string {
  return `${agentName}/${peer.incarnation}`;
}

/** Returns the reachable permitted agents without a bid for the request, best first. */
export function rankAgents(state: EntryState, request: ActiveRequest): RankedAgent[] {
  const ranked: RankedAgent[] = [];
  for (const [name, peer] of state.peers) {
    if (!request.bids.has(name) && isCandidate(state, request, name)) {
      const expected = expectedCompletionMs(state, request, name, peer);
      ranked.push({ name, expectedMs: withJitter(state.random, expected, RANKING_JITTER) });
    }
  }
  return ranked.sort((left, right) => left.expectedMs - right.expectedMs);
}

/**
 * Returns the shortest expected service time among reachable permitted agents, ignoring their load.
 */
export function shortestServiceMs(state: EntryState, request: ActiveRequest): number | undefined {
  let best: number | undefined;
  for (const name of state.peers.keys()) {
    if (!isCandidate(state, request, name)) {
      continue;
    }
    const serviceMs = estimatedServiceMs(state, request, name);
    if (best === undefined || serviceMs < best) {
      best = serviceMs;
    }
  }
  return best;
}

/** Returns the expected service time; zero for an engine without samples, so that it is tried. */
function estimatedServiceMs(state: EntryState, request: ActiveRequest, name: string): number {
  return state.speedEstimates.sampleCount(name) === 0
    ? 0
    : state.speedEstimates.expectedServiceMs(name, request.description);
}

/** Returns the expected time from now to the end of the response on one agent's engine. */
export function expectedCompletionMs(
  state: EntryState,
  request: ActiveRequest,
  name: string,
  peer: AgentPeer,
): number {
  const serviceMs = state.speedEstimates.expectedServiceMs(name, request.description);
  const waiting = peer.bids.size + (peer.load?.waitingBids ?? 0);
  const running = Math.max(peer.bound.size, peer.load?.running ?? 0);
  const capacity = peer.load?.capacity ?? 1;
  const queueFactor = 1 + (waiting + running) / Math.max(1, capacity);
  return serviceMs * queueFactor + distancePenaltyMs(state, peer);
}

function distancePenaltyMs(state: EntryState, peer: AgentPeer): number {
  if (peer.machine.region !== state.identity.region) {
    return OTHER_REGION_PENALTY_MS;
  }
  return peer.machine.place === state.identity.place ? 0 : OTHER_PLACE_PENALTY_MS;
}
