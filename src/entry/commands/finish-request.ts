/** Commands that end a request or take it out of one phase into another. */
import type { Refusal } from '../../request/refusal.js';
import { sizeOf } from '../../request/request.js';
import type { EntryTurn, HeldRequest, RequestPhase } from '../entry-state.js';

/** Moves a request to `phase` and keeps the counts of waiting requests right. */
export function enterPhase(turn: EntryTurn, held: HeldRequest, phase: RequestPhase): void {
  const { id, tier } = held.description;
  if (held.phase === 'waiting') {
    turn.state.waitingByTier.get(tier)?.delete(id);
    turn.state.waitingBytes -= sizeOf(held.description);
  }
  held.phase = phase;
  if (phase === 'waiting') {
    const ids = turn.state.waitingByTier.get(tier) ?? new Set();
    turn.state.waitingByTier.set(tier, ids.add(id));
    turn.state.waitingBytes += sizeOf(held.description);
  }
}

/** Looks at the request again at `atMs`. */
export function scheduleCheck(turn: EntryTurn, held: HeldRequest, atMs: number): void {
  turn.state.checks.push({ atMs, id: held.description.id });
}

/** Takes back all bids of a request, except the one at `exceptAgent`. */
export function withdrawBids(turn: EntryTurn, held: HeldRequest, exceptAgent?: string): void {
  const { id } = held.description;
  for (const agent of held.bids) {
    turn.state.peers.get(agent)?.bids.delete(id);
    if (agent !== exceptAgent) {
      turn.send(agent, { kind: 'withdraw-bids', ids: [id] });
    }
  }
  held.bids.clear();
}

/** Gives a request its final refusal at once. */
export function refuseRequest(turn: EntryTurn, held: HeldRequest, refusal: Refusal): void {
  const { id, tenant, tier, idempotencyKey } = held.description;
  if (held.hasClaim && refusal.ran === 'no' && idempotencyKey !== undefined) {
    turn.emit({ kind: 'release-claim', id, tenant, key: idempotencyKey });
  }
  forgetRequest(turn, held);
  turn.emit({ kind: 'refuse', id, refusal });
  turn.count('request.refused', 1, { reason: refusal.reason, ran: refusal.ran, tier: `${tier}` });
  turn.decide('refuse', held, `${refusal.reason}: ${refusal.detail}`);
}

/** Drops all that is held of a request. */
export function forgetRequest(turn: EntryTurn, held: HeldRequest): void {
  const { id, tenant } = held.description;
  withdrawBids(turn, held);
  if (held.binding !== undefined) {
    turn.state.peers.get(held.binding.agent)?.bound.delete(id);
  }
  if (held.phase === 'waiting') {
    enterPhase(turn, held, 'bound');
  }
  if (turn.state.requests.delete(id)) {
    const remaining = (turn.state.heldByTenant.get(tenant) ?? 1) - 1;
    if (remaining > 0) {
      turn.state.heldByTenant.set(tenant, remaining);
    } else {
      turn.state.heldByTenant.delete(tenant);
    }
  }
}
