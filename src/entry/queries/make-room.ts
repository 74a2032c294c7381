/** Queries: may a lower tier make room for a request, and may the request therefore be shed? */
import { isHigherTier } from '../../request/tier.js';
import type { AgentPeer, EntryState, HeldRequest } from '../entry-state.js';
import { isCandidate } from './rank-agents.js';

/** Age up to which an agent's word of what it serves is relied on, in milliseconds. */
const FRESH_LOAD_MS = 100;

/**
 * Whether the agent may be serving a lower tier. One that just told of none need not hear of the
 * request: under overload that would be a bid to every agent for every request.
 */
export function mayMakeRoom(peer: AgentPeer, held: HeldRequest, nowMs: number): boolean {
  const isHintFresh = nowMs - peer.loadReceivedAtMs < FRESH_LOAD_MS;
  const lowestTierServed = peer.load?.lowestTierServed ?? 0;
  return !isHintFresh || isHigherTier(held.description.tier, lowestTierServed);
}

/** Whether every reachable permitted agent just told that it serves no lower tier. */
export function mayBeShed(state: EntryState, held: HeldRequest, nowMs: number): boolean {
  for (const [name, peer] of state.peers) {
    if (isCandidate(state, held, name) && mayMakeRoom(peer, held, nowMs)) {
      return false;
    }
  }
  return true;
}
