/** Commands that admit an incoming request or refuse it immediately. */
import { notExecutedRefusal } from '../../request/refusal.js';
import type { Refusal } from '../../request/refusal.js';
import { isHigherTier } from '../../request/tier.js';
import { estimateRequestBytes } from '../../request/request.js';
import type { RequestDescription } from '../../request/request.js';
import type { IncomingRequest } from '../entry-events.js';
import { canBeShed } from '../queries/preemption.js';
import { permittedEngines } from '../queries/rank-agents.js';
import { countWaiting } from '../entry-state.js';
import type { EntryEventContext, ActiveRequest } from '../entry-state.js';
import { setPhase, refuseRequest } from './request-lifecycle.js';
import { bindWithPermit } from './bind-with-permit.js';
import { checkWaitingRequest, resendUrgentBids } from './place-bids.js';

/**
 * Share of the queue limits by which higher tiers may exceed them while lower tiers are being
 * preempted.
 */
const RESERVE_SHARE = 1;

/**
 * Admits a request: checks policy and limits, claims its idempotency key if required, and offers it
 * to agents.
 */
export function acceptRequest(context: EntryEventContext, incoming: IncomingRequest): void {
  const request = trackRequest(context, createDescription(context, incoming));
  context.count('request.arrived', 1, { tier: `${request.description.tier}` });
  const refusal = findAdmissionRefusal(context, request) ?? shedIfOverLimit(context, request);
  if (refusal !== undefined) {
    refuseRequest(context, request, refusal);
    return;
  }
  const { id, tenant, isRepeatable, idempotencyKey } = request.description;
  if (!isRepeatable && idempotencyKey !== undefined) {
    context.emit({ kind: 'claim', id, tenant, key: idempotencyKey });
    return;
  }
  enqueueRequest(context, request);
}

/**
 * Queues a request whose claim is settled or not required; binds it at once if a suitable permit
 * exists, and otherwise sends bids for it.
 */
export function enqueueRequest(context: EntryEventContext, request: ActiveRequest): void {
  setPhase(context, request, 'waiting');
  if (!bindWithPermit(context, request)) {
    checkWaitingRequest(context, request);
  }
}

function createDescription(
  context: EntryEventContext,
  incoming: IncomingRequest,
): RequestDescription {
  const permitted = context.state.replica.permitted.find(incoming);
  const model = context.state.replica.policy.models.get(incoming.model);
  return {
    id: incoming.id,
    tenant: incoming.tenant,
    model: incoming.model,
    dataLabels: incoming.dataLabels,
    tier: Math.max(permitted.tier, incoming.requestedTier ?? permitted.tier),
    deadlineAtMs: context.nowMs + incoming.deadlineInMs,
    promptTokens: incoming.promptTokens,
    maxOutputTokens: incoming.maxOutputTokens,
    prefixHash: incoming.prefixHash,
    isRepeatable: incoming.isRepeatable && (model?.repeatable ?? true),
    idempotencyKey: incoming.idempotencyKey,
    payload: incoming.payload,
  };
}

function trackRequest(context: EntryEventContext, description: RequestDescription): ActiveRequest {
  const request: ActiveRequest = {
    description,
    arrivedAtMs: context.nowMs,
    phase: 'claiming',
    bids: new Set(),
    refusedBy: new Set(),
    urgentSinceMs: undefined,
    unreachableSinceMs: undefined,
    binding: undefined,
    nextChunkIndex: 0,
    hasStartedResponse: false,
    permitted: undefined,
    hasClaim: false,
  };
  const { activeByTenant } = context.state;
  context.state.requests.set(description.id, request);
  activeByTenant.set(description.tenant, (activeByTenant.get(description.tenant) ?? 0) + 1);
  return request;
}

function findAdmissionRefusal(
  context: EntryEventContext,
  request: ActiveRequest,
): Refusal | undefined {
  const { options, replica, isLeaving, activeByTenant } = context.state;
  const { description } = request;
  if (isLeaving) {
    return notExecutedRefusal('draining', 'this entry is leaving', options.retryAfterMs);
  }
  if (replica.generation === 0) {
    return notExecutedRefusal(
      'platform-unavailable',
      'no policy is known here yet',
      options.retryAfterMs,
    );
  }
  if (permittedEngines(context.state, request).engines.length === 0) {
    return notExecutedRefusal('not-permitted', 'no selector permits this request on any engine');
  }
  if (!description.isRepeatable && description.idempotencyKey === undefined) {
    return notExecutedRefusal(
      'invalid-request',
      'a request that may not be repeated needs an Idempotency-Key',
    );
  }
  const maxConcurrent = replica.policy.tenants.get(description.tenant)?.maxConcurrent ?? 0;
  if ((activeByTenant.get(description.tenant) ?? 0) > maxConcurrent) {
    return notExecutedRefusal(
      'tenant-limit',
      'the tenant has too many requests here',
      options.retryAfterMs,
    );
  }
  return undefined;
}

/**
 * Sheds requests of the lowest tier while the queue is full; returns a refusal if the arriving
 * request itself is shed.
 *
 * Nothing is shed while a permitted engine may still serve a lower tier: the request is marked
 * urgent, so that the agent preempts the lower tier, and the queue may exceed its limit by the
 * reserve in the meantime.
 */
function shedIfOverLimit(context: EntryEventContext, request: ActiveRequest): Refusal | undefined {
  const { options } = context.state;
  while (isOverLimit(context, request, 1)) {
    const victim = findShedCandidate(context, request) ?? request;
    const isReserveFull = isOverLimit(context, request, 1 + RESERVE_SHARE);
    if (!isReserveFull && !canBeShed(context.state, victim, context.nowMs)) {
      requestPreemption(context, victim);
      return undefined;
    }
    const detail = 'the queue is full and this was the lowest tier in it';
    const refusal = notExecutedRefusal('overloaded', detail, options.retryAfterMs);
    if (victim === request) {
      return refusal;
    }
    refuseRequest(context, victim, refusal);
  }
  return undefined;
}

/**
 * Requests preemption for `victim`; an arriving request that is not queued yet sends its urgent
 * bids when it is queued.
 */
function requestPreemption(context: EntryEventContext, victim: ActiveRequest): void {
  if (victim.phase === 'waiting') {
    resendUrgentBids(context, victim);
  } else {
    victim.urgentSinceMs = context.nowMs;
  }
}

function isOverLimit(context: EntryEventContext, request: ActiveRequest, factor: number): boolean {
  const { options, waitingBytes } = context.state;
  const count = countWaiting(context.state) + 1;
  const bytes = waitingBytes + estimateRequestBytes(request.description);
  return count > options.maxWaitingRequests * factor || bytes > options.maxWaitingBytes * factor;
}

/**
 * Returns the request that was queued first in the lowest queued tier, if that tier is lower than
 * that of the arriving request.
 */
function findShedCandidate(
  context: EntryEventContext,
  arriving: ActiveRequest,
): ActiveRequest | undefined {
  let lowest: number | undefined;
  for (const [tier, ids] of context.state.waitingByTier) {
    if (ids.size > 0 && (lowest === undefined || tier > lowest)) {
      lowest = tier;
    }
  }
  if (lowest === undefined || !isHigherTier(arriving.description.tier, lowest)) {
    return undefined;
  }
  const oldest = context.state.waitingByTier.get(lowest)?.values().next().value;
  return context.state.requests.get(oldest ?? '');
}
