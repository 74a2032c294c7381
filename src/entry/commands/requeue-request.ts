/** Command that requeues a bound request whose agent certainly did not start it. */
import type { BindRefusalReason } from '../../protocol/messages.js';
import type { RequestId } from '../../request/request-id.js';
import type { AgentPeer, EntryEventContext } from '../entry-state.js';
import { refusalKey } from '../queries/rank-agents.js';
import { enqueueRequest } from './accept-request.js';

/** Requeues a request after `agent` certified that it did not and will not start it. */
export function requeueRequest(
  context: EntryEventContext,
  agent: string,
  peer: AgentPeer,
  id: RequestId,
  reason: BindRefusalReason,
): void {
  const request = context.state.requests.get(id);
  if (request === undefined || request.phase !== 'bound' || request.binding?.agent !== agent) {
    return;
  }
  peer.bound.delete(id);
  request.binding = undefined;
  request.refusedBy.add(refusalKey(agent, peer));
  context.count('bind.refused', 1, { reason });
  context.logDecision('take-back', request, `not started: ${reason}`, [agent]);
  enqueueRequest(context, request);
}
