/** Command that certifies that a bound request was not and will not be started. */
import type { BindRefusalReason } from '../../protocol/messages.js';
import type { AgentEventContext } from '../agent-state.js';

/** Sends the refusal of the bind of `id`, and records it so that the request is never started. */
export function refuseBind(
  context: AgentEventContext,
  peer: string,
  id: string,
  reason: BindRefusalReason,
): void {
  context.state.calls.delete(id);
  context.state.records.recordRefusal(id, context.nowMs);
  context.send(peer, { kind: 'bind-refused', id, reason });
  context.count('bind.refused', 1, { reason });
}
