/** Command: certify that a bound request is never started. */
import type { BindRefusalReason } from '../../protocol/messages.js';
import type { AgentTurn } from '../agent-state.js';

/** Certifies that `id` was not started, and records it so that it never will be. */
export function refuseBind(
  turn: AgentTurn,
  peer: string,
  id: string,
  reason: BindRefusalReason,
): void {
  turn.state.calls.delete(id);
  turn.state.records.refuse(id, turn.nowMs);
  turn.send(peer, { kind: 'bind-refused', id, reason });
  turn.count('bind.refused', 1, { reason });
}
