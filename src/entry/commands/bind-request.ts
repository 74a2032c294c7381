/** Commands: answer an agent's call, bind a request, and move a bid that an agent will not call. */
import type { BindMessage } from '../../protocol/messages.js';
import type { RequestId } from '../../request/request-id.js';
import type { AgentPeer, EntryTurn, HeldRequest } from '../entry-state.js';
import { describeForAgent } from '../queries/describe-request.js';
import { isCandidate, refusalKey } from '../queries/rank-agents.js';
import { enterPhase, withdrawBids } from './finish-request.js';
import { placeBids } from './place-bids.js';

/** Binds the called request to the calling agent, once; or says that it is gone. */
export function answerCall(turn: EntryTurn, agent: string, peer: AgentPeer, id: RequestId): void {
  const held = turn.state.requests.get(id);
  if (held === undefined || held.phase !== 'waiting' || !isCandidate(turn.state, held, agent)) {
    held?.bids.delete(agent);
    peer.bids.delete(id);
    turn.send(agent, { kind: 'decline-call', id });
    turn.count('call.declined');
    return;
  }
  bindRequest(turn, held, agent, peer, 'call');
}

/** Takes note that an agent will not call a bid, and offers the request elsewhere. */
export function moveBid(turn: EntryTurn, agent: string, peer: AgentPeer, id: RequestId): void {
  const held = turn.state.requests.get(id);
  peer.bids.delete(id);
  if (held === undefined || !held.bids.delete(agent)) {
    return;
  }
  held.refusedBy.add(refusalKey(agent, peer));
  if (held.phase === 'waiting') {
    placeBids(turn, held);
  }
}

/** Gives a waiting request to `agent`, once and for all. */
export function bindRequest(
  turn: EntryTurn,
  held: HeldRequest,
  agent: string,
  peer: AgentPeer,
  by: 'call' | 'permit',
): void {
  const { id, tier } = held.description;
  withdrawBids(turn, held, agent);
  enterPhase(turn, held, 'bound');
  held.binding = {
    agent,
    incarnation: peer.incarnation ?? '',
    boundAtMs: turn.nowMs,
    contactLostAtMs: undefined,
  };
  peer.bound.add(id);
  turn.send(agent, createBind(turn, held, by === 'permit'));
  turn.count('request.bound', 1, { tier: `${tier}` });
  turn.timing('request.wait', turn.nowMs - held.arrivedAtMs, { tier: `${tier}` });
  const reason = by === 'call' ? 'first permitted agent to call' : 'permit of the agent';
  turn.decide('bind', held, reason, [agent]);
}

function createBind(turn: EntryTurn, held: HeldRequest, isByPermit: boolean): BindMessage {
  const { prefixHash, isRepeatable, idempotencyKey, payload } = held.description;
  return {
    kind: 'bind',
    ...describeForAgent(turn, held),
    prefixHash,
    isRepeatable,
    idempotencyKey,
    payload,
    isByPermit,
    generation: turn.state.replica.generation,
  };
}
