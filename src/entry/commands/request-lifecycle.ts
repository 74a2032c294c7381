/** Commands that end a request or move it between phases. */
import type { Refusal } from '../../request/refusal.js';
import { estimateRequestBytes } from '../../request/request.js';
import type { EntryEventContext, ActiveRequest, RequestPhase } from '../entry-state.js';

/** Moves a request to `phase` and updates the waiting requests and their size in bytes. */
export function setPhase(
  context: EntryEventContext,
  request: ActiveRequest,
  phase: RequestPhase,
): void {
  const { id, tier } = request.description;
  if (request.phase === 'waiting') {
    context.state.waitingByTier.get(tier)?.delete(id);
    context.state.waitingBytes -= estimateRequestBytes(request.description);
  }
  request.phase = phase;
  if (phase === 'waiting') {
    const ids = context.state.waitingByTier.get(tier) ?? new Set();
    context.state.waitingByTier.set(tier, ids.add(id));
    context.state.waitingBytes += estimateRequestBytes(request.description);
  }
}

/** Schedules a check of the request at `atMs`. */
export function scheduleCheck(
  context: EntryEventContext,
  request: ActiveRequest,
  atMs: number,
): void {
  context.state.scheduledChecks.push({ atMs, id: request.description.id });
}

/** Withdraws all bids of a request; the agent `exceptAgent` gets no message. */
export function withdrawBids(
  context: EntryEventContext,
  request: ActiveRequest,
  exceptAgent?: string,
): void {
  const { id } = request.description;
  for (const agent of request.bids) {
    context.state.peers.get(agent)?.bids.delete(id);
    if (agent !== exceptAgent) {
      context.send(agent, { kind: 'withdraw-bids', ids: [id] });
    }
  }
  request.bids.clear();
}

/** Ends a request with a refusal; releases its claim if it was certainly not run. */
export function refuseRequest(
  context: EntryEventContext,
  request: ActiveRequest,
  refusal: Refusal,
): void {
  const { id, tenant, tier, idempotencyKey } = request.description;
  if (request.hasClaim && refusal.ran === 'no' && idempotencyKey !== undefined) {
    context.emit({ kind: 'release-claim', id, tenant, key: idempotencyKey });
  }
  removeRequest(context, request);
  context.emit({ kind: 'refuse', id, refusal });
  context.count('request.refused', 1, {
    reason: refusal.reason,
    ran: refusal.ran,
    tier: `${tier}`,
  });
  context.logDecision('refuse', request, `${refusal.reason}: ${refusal.detail}`);
}

/** Removes all state of a request. */
export function removeRequest(context: EntryEventContext, request: ActiveRequest): void {
  const { id, tenant } = request.description;
  withdrawBids(context, request);
  if (request.binding !== undefined) {
    context.state.peers.get(request.binding.agent)?.bound.delete(id);
  }
  if (request.phase === 'waiting') {
    setPhase(context, request, 'bound');
  }
  if (context.state.requests.delete(id)) {
    const remaining = (context.state.activeByTenant.get(tenant) ?? 1) - 1;
    if (remaining > 0) {
      context.state.activeByTenant.set(tenant, remaining);
    } else {
      context.state.activeByTenant.delete(tenant);
    }
  }
}
