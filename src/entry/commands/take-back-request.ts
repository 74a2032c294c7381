/** Command: take back a bound request that its agent certainly did not start. */
import type { BindRefusalReason } from '../../protocol/messages.js';
import type { RequestId } from '../../request/request-id.js';
import type { AgentPeer, EntryTurn } from '../entry-state.js';
import { refusalKey } from '../queries/rank-agents.js';
import { beginWaiting } from './accept-request.js';

/** Takes back a request that `agent` certified it did not and will not start. */
export function takeBackRequest(
  turn: EntryTurn,
  agent: string,
  peer: AgentPeer,
  id: RequestId,
  reason: BindRefusalReason,
): void {
  const held = turn.state.requests.get(id);
  if (held === undefined || held.phase !== 'bound' || held.binding?.agent !== agent) {
    return;
  }
  peer.bound.delete(id);
  held.binding = undefined;
  held.refusedBy.add(refusalKey(agent, peer));
  turn.count('bind.refused', 1, { reason });
  turn.decide('take-back', held, `not started: ${reason}`, [agent]);
  beginWaiting(turn, held);
}
