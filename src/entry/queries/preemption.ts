/** Queries on whether a request may preempt a lower tier, and whether it may be shed. */
import { isHigherTier } from '../../request/tier.js';
import type { AgentPeer, EntryState, ActiveRequest } from '../entry-state.js';
import { isCandidate } from './rank-agents.js';

/** Maximum age of a load report that is relied on, in milliseconds. */
const MAX_LOAD_REPORT_AGE_MS = 100;

/**
 * Whether the agent may be serving a lower tier than the request's. An agent whose recent load
 * report shows none gets no urgent bid: under overload, every request would otherwise be offered to
 * every agent.
 */
export function mayServeLowerTier(peer: AgentPeer, request: ActiveRequest, nowMs: number): boolean {
  const isLoadFresh = nowMs - peer.loadReceivedAtMs < MAX_LOAD_REPORT_AGE_MS;
  const lowestTierServed = peer.load?.lowestTierServed ?? 0;
  return !isLoadFresh || isHigherTier(request.description.tier, lowestTierServed);
}

/** Whether recent load reports show that no reachable permitted agent serves a lower tier. */
export function canBeShed(state: EntryState, request: ActiveRequest, nowMs: number): boolean {
  for (const [name, peer] of state.peers) {
    if (isCandidate(state, request, name) && mayServeLowerTier(peer, request, nowMs)) {
      return false;
    }
  }
  return true;
}
