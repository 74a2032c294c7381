/**
 * Command that binds a request without a bid and a call, under a permit that an agent issued in
 * advance.
 */
import type { AgentPeer, EntryEventContext, ActiveRequest } from '../entry-state.js';
import { expectedCompletionMs, isCandidate } from '../queries/rank-agents.js';
import { bindRequest } from './bind-request.js';

/**
 * Largest ratio of the expected completion time at the permit's agent to the best one; a slower
 * agent's permit is not used.
 */
const MAX_SLOWDOWN = 1.5;
/**
 * Time without received messages after which an agent's permits are not used, in milliseconds: the
 * agent may be frozen. A frozen agent calls no bid, but a request bound under a permit would wait
 * for it.
 */
const MAX_SILENCE_MS = 1_000;

/**
 * Binds `request` under the permit with the shortest expected completion time; returns false if
 * none is suitable.
 */
export function bindWithPermit(context: EntryEventContext, request: ActiveRequest): boolean {
  let bestMs = Number.POSITIVE_INFINITY;
  let bestPermit: { name: string; peer: AgentPeer; expectedMs: number } | undefined;
  for (const [name, peer] of context.state.peers) {
    if (!isCandidate(context.state, request, name)) {
      continue;
    }
    const expectedMs = expectedCompletionMs(context.state, request, name, peer);
    bestMs = Math.min(bestMs, expectedMs);
    const isBetter = expectedMs < (bestPermit?.expectedMs ?? Number.POSITIVE_INFINITY);
    if (isBetter && hasPermit(context, peer)) {
      bestPermit = { name, peer, expectedMs };
    }
  }
  if (bestPermit === undefined || bestPermit.expectedMs > bestMs * MAX_SLOWDOWN) {
    return false;
  }
  bestPermit.peer.permitExpiriesMs.shift();
  bindRequest(context, request, bestPermit.name, bestPermit.peer, 'permit');
  context.count('permit.used');
  return true;
}

function hasPermit(context: EntryEventContext, peer: AgentPeer): boolean {
  const { permitExpiriesMs } = peer;
  if (context.nowMs - peer.lastReceivedAtMs > MAX_SILENCE_MS) {
    return false;
  }
  while (permitExpiriesMs.length > 0 && permitExpiriesMs[0]! <= context.nowMs) {
    permitExpiriesMs.shift();
  }
  return permitExpiriesMs.length > 0;
}
