/** Command: bind a request at once to an agent that allowed it ahead. */
import type { AgentPeer, EntryTurn, HeldRequest } from '../entry-state.js';
import { expectedCompletionMs, isCandidate } from '../queries/rank-agents.js';
import { bindRequest } from './bind-request.js';

/** A permit is used only where the request is not expected to take much longer than elsewhere. */
const MAX_SLOWDOWN = 1.5;
/** An agent that was silent for longer may be frozen; a bid would show it, a permit does not. */
const MAX_SILENCE_MS = 1_000;

/** Binds `held` under the best fitting permit; false if there is none. */
export function bindUnderPermit(turn: EntryTurn, held: HeldRequest): boolean {
  let bestMs = Number.POSITIVE_INFINITY;
  let bestPermit: { name: string; peer: AgentPeer; expectedMs: number } | undefined;
  for (const [name, peer] of turn.state.peers) {
    if (!isCandidate(turn.state, held, name)) {
      continue;
    }
    const expectedMs = expectedCompletionMs(turn.state, held, name, peer);
    bestMs = Math.min(bestMs, expectedMs);
    const isBetter = expectedMs < (bestPermit?.expectedMs ?? Number.POSITIVE_INFINITY);
    if (isBetter && hasPermit(turn, peer)) {
      bestPermit = { name, peer, expectedMs };
    }
  }
  if (bestPermit === undefined || bestPermit.expectedMs > bestMs * MAX_SLOWDOWN) {
    return false;
  }
  bestPermit.peer.permitExpiriesMs.shift();
  bindRequest(turn, held, bestPermit.name, bestPermit.peer, 'permit');
  turn.count('permit.used');
  return true;
}

function hasPermit(turn: EntryTurn, peer: AgentPeer): boolean {
  const { permitExpiriesMs } = peer;
  if (turn.nowMs - peer.lastReceivedAtMs > MAX_SILENCE_MS) {
    return false;
  }
  while (permitExpiriesMs.length > 0 && permitExpiriesMs[0]! <= turn.nowMs) {
    permitExpiriesMs.shift();
  }
  return permitExpiriesMs.length > 0;
}
