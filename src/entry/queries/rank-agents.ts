/** Query: the reachable permitted agents for a request, best first. */
import type { PermittedEngines } from '../../policy/eligibility.js';
import { withJitter } from '../../random.js';
import type { AgentPeer, EntryState, HeldRequest } from '../entry-state.js';

const RANDOM_SPREAD = 0.1;
const OTHER_PLACE_PENALTY_MS = 2;
const OTHER_REGION_PENALTY_MS = 60;

/** An agent and how long a request is expected to take there. */
export interface RankedAgent {
  readonly name: string;
  readonly expectedMs: number;
}

/** The engines that policy in force permits for the request. */
export function permittedEngines(state: EntryState, held: HeldRequest): PermittedEngines {
  const { generation, permitted } = state.replica;
  if (held.permitted?.generation !== generation) {
    held.permitted = { generation, engines: permitted.find(held.description) };
  }
  return held.permitted.engines;
}

/** Whether policy in force permits the request on `agentName`, and the agent can take it. */
export function isCandidate(state: EntryState, held: HeldRequest, agentName: string): boolean {
  const peer = state.peers.get(agentName);
  if (peer === undefined || peer.connectivity !== 'connected') {
    return false;
  }
  if (peer.isLeaving || peer.isListedLeaving) {
    return false;
  }
  if (held.refusedBy.has(refusalKey(agentName, peer))) {
    return false;
  }
  return permittedEngines(state, held).engineSet.has(agentName);
}

/** The name under which a refusal by this incarnation of an agent is remembered. */
export function refusalKey(agentName: string, peer: AgentPeer): string {
  return `${agentName}/${peer.incarnation}`;
}

/** The reachable permitted agents that hold no bid of the request yet, best first. */
export function rankAgents(state: EntryState, held: HeldRequest): RankedAgent[] {
  const ranked: RankedAgent[] = [];
  for (const [name, peer] of state.peers) {
    if (!held.bids.has(name) && isCandidate(state, held, name)) {
      const expected = expectedCompletionMs(state, held, name, peer);
      ranked.push({ name, expectedMs: withJitter(state.random, expected, RANDOM_SPREAD) });
    }
  }
  return ranked.sort((left, right) => left.expectedMs - right.expectedMs);
}

/** The shortest expected service time among reachable permitted agents, as though they were idle. */
export function bestServiceMs(state: EntryState, held: HeldRequest): number | undefined {
  let best: number | undefined;
  for (const name of state.peers.keys()) {
    if (!isCandidate(state, held, name)) {
      continue;
    }
    const serviceMs = learnedServiceMs(state, held, name);
    if (best === undefined || serviceMs < best) {
      best = serviceMs;
    }
  }
  return best;
}

/** Expected service time; zero for an engine that nothing is known of, which therefore gets a try. */
function learnedServiceMs(state: EntryState, held: HeldRequest, name: string): number {
  return state.speeds.samplesOf(name) === 0
    ? 0
    : state.speeds.expectedServiceMs(name, held.description);
}

/** Expected time from now to the end of the answer on one agent's engine. */
export function expectedCompletionMs(
  state: EntryState,
  held: HeldRequest,
  name: string,
  peer: AgentPeer,
): number {
  const serviceMs = state.speeds.expectedServiceMs(name, held.description);
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
