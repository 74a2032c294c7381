/**
 * Commands that handle an agent's call, bind a request, and reassign a bid that an agent refused.
 */
import type { BindMessage } from '../../protocol/messages.js';
import type { RequestId } from '../../request/request-id.js';
import type { AgentPeer, EntryEventContext, ActiveRequest } from '../entry-state.js';
import { agentRequestFields } from '../queries/describe-request.js';
import { isCandidate, refusalKey } from '../queries/rank-agents.js';
import { setPhase, withdrawBids } from './request-lifecycle.js';
import { placeBids } from './place-bids.js';

/**
 * Binds the called request to the calling agent, at most once; declines the call if the request is
 * no longer waiting or the agent is no longer a candidate for it.
 */
export function handleCall(
  context: EntryEventContext,
  agent: string,
  peer: AgentPeer,
  id: RequestId,
): void {
  const request = context.state.requests.get(id);
  if (
    request === undefined ||
    request.phase !== 'waiting' ||
    !isCandidate(context.state, request, agent)
  ) {
    request?.bids.delete(agent);
    peer.bids.delete(id);
    context.send(agent, { kind: 'decline-call', id });
    context.count('call.declined');
    return;
  }
  bindRequest(context, request, agent, peer, 'call');
}

/** Removes a bid that the agent refused, and offers the request to other agents. */
export function handleBidRefused(
  context: EntryEventContext,
  agent: string,
  peer: AgentPeer,
  id: RequestId,
): void {
  const request = context.state.requests.get(id);
  peer.bids.delete(id);
  if (request === undefined || !request.bids.delete(agent)) {
    return;
  }
  request.refusedBy.add(refusalKey(agent, peer));
  if (request.phase === 'waiting') {
    placeBids(context, request);
  }
}

/** Assigns a waiting request to `agent`; only a refusal by the agent makes it wait again. */
export function bindRequest(
  context: EntryEventContext,
  request: ActiveRequest,
  agent: string,
  peer: AgentPeer,
  by: 'call' | 'permit',
): void {
  const { id, tier } = request.description;
  withdrawBids(context, request, agent);
  setPhase(context, request, 'bound');
  request.binding = {
    agent,
    incarnation: peer.incarnation ?? '',
    boundAtMs: context.nowMs,
    disconnectedAtMs: undefined,
  };
  peer.bound.add(id);
  context.send(agent, createBindMessage(context, request, by === 'permit'));
  context.count('request.bound', 1, { tier: `${tier}` });
  context.timing('request.wait', context.nowMs - request.arrivedAtMs, { tier: `${tier}` });
  const reason = by === 'call' ? 'first permitted agent to call' : 'permit issued by the agent';
  context.logDecision('bind', request, reason, [agent]);
}

function createBindMessage(
  context: EntryEventContext,
  request: ActiveRequest,
  isByPermit: boolean,
): BindMessage {
  const { prefixHash, isRepeatable, idempotencyKey, payload } = request.description;
  return {
    kind: 'bind',
    ...agentRequestFields(context, request),
    prefixHash,
    isRepeatable,
    idempotencyKey,
    payload,
    isByPermit,
    generation: context.state.replica.generation,
  };
}
