/** Command: take in a request, or refuse it at once. */
import { notRun } from '../../request/refusal.js';
import type { Refusal } from '../../request/refusal.js';
import { isHigherTier } from '../../request/tier.js';
import { sizeOf } from '../../request/request.js';
import type { RequestDescription } from '../../request/request.js';
import type { ArrivedRequest } from '../entry-events.js';
import { mayBeShed } from '../queries/make-room.js';
import { permittedEngines } from '../queries/rank-agents.js';
import { countWaiting } from '../entry-state.js';
import type { EntryTurn, HeldRequest } from '../entry-state.js';
import { enterPhase, refuseRequest } from './finish-request.js';
import { bindUnderPermit } from './use-permit.js';
import { checkWaitingRequest, renewUrgency } from './place-bids.js';

/** Share of the limits by which higher tiers may pass them while lower tiers make room. */
const RESERVE_SHARE = 1;

/** Takes in a request: checks policy and limits, claims its key if need be, and offers it to agents. */
export function acceptRequest(turn: EntryTurn, arrived: ArrivedRequest): void {
  const held = holdRequest(turn, describe(turn, arrived));
  turn.count('request.arrived', 1, { tier: `${held.description.tier}` });
  const refusal = findRefusal(turn, held) ?? makeRoom(turn, held);
  if (refusal !== undefined) {
    refuseRequest(turn, held, refusal);
    return;
  }
  const { id, tenant, isRepeatable, idempotencyKey } = held.description;
  if (!isRepeatable && idempotencyKey !== undefined) {
    turn.emit({ kind: 'claim', id, tenant, key: idempotencyKey });
    return;
  }
  beginWaiting(turn, held);
}

/** Puts a request whose claim is settled, or needs none, among the waiting ones. */
export function beginWaiting(turn: EntryTurn, held: HeldRequest): void {
  enterPhase(turn, held, 'waiting');
  if (!bindUnderPermit(turn, held)) {
    checkWaitingRequest(turn, held);
  }
}

function describe(turn: EntryTurn, arrived: ArrivedRequest): RequestDescription {
  const permitted = turn.state.replica.permitted.find(arrived);
  const model = turn.state.replica.policy.models.get(arrived.model);
  return {
    id: arrived.id,
    tenant: arrived.tenant,
    model: arrived.model,
    dataLabels: arrived.dataLabels,
    tier: Math.max(permitted.tier, arrived.requestedTier ?? permitted.tier),
    deadlineAtMs: turn.nowMs + arrived.deadlineInMs,
    promptTokens: arrived.promptTokens,
    maxOutputTokens: arrived.maxOutputTokens,
    prefixHash: arrived.prefixHash,
    isRepeatable: arrived.isRepeatable && (model?.repeatable ?? true),
    idempotencyKey: arrived.idempotencyKey,
    payload: arrived.payload,
  };
}

function holdRequest(turn: EntryTurn, description: RequestDescription): HeldRequest {
  const held: HeldRequest = {
    description,
    arrivedAtMs: turn.nowMs,
    phase: 'claiming',
    bids: new Set(),
    refusedBy: new Set(),
    urgentSinceMs: undefined,
    unreachableSinceMs: undefined,
    binding: undefined,
    nextChunk: 0,
    hasStartedAnswer: false,
    permitted: undefined,
    hasClaim: false,
  };
  const { heldByTenant } = turn.state;
  turn.state.requests.set(description.id, held);
  heldByTenant.set(description.tenant, (heldByTenant.get(description.tenant) ?? 0) + 1);
  return held;
}

function findRefusal(turn: EntryTurn, held: HeldRequest): Refusal | undefined {
  const { options, replica, isLeaving, heldByTenant } = turn.state;
  const { description } = held;
  if (isLeaving) {
    return notRun('draining', 'this entry is leaving', options.retryAfterMs);
  }
  if (replica.generation === 0) {
    return notRun('platform-unavailable', 'no policy is known here yet', options.retryAfterMs);
  }
  if (permittedEngines(turn.state, held).engines.length === 0) {
    return notRun('not-permitted', 'no selector permits this request on any engine');
  }
  if (!description.isRepeatable && description.idempotencyKey === undefined) {
    return notRun('invalid-request', 'a request that may not be repeated needs an Idempotency-Key');
  }
  const maxConcurrent = replica.policy.tenants.get(description.tenant)?.maxConcurrent ?? 0;
  if ((heldByTenant.get(description.tenant) ?? 0) > maxConcurrent) {
    return notRun('tenant-limit', 'the tenant has too many requests here', options.retryAfterMs);
  }
  return undefined;
}

/**
 * Sheds the lowest tier while the queue is full; the refusal is for the newcomer itself.
 *
 * Nothing is shed while a permitted engine may still serve a lower tier: it turns urgent, so that
 * the lower tier makes room, and the queue passes its limit by the reserve meanwhile.
 */
function makeRoom(turn: EntryTurn, held: HeldRequest): Refusal | undefined {
  const { options } = turn.state;
  while (isOverLimit(turn, held, 1)) {
    const victim = findLowestWaiting(turn, held) ?? held;
    const isReserveFull = isOverLimit(turn, held, 1 + RESERVE_SHARE);
    if (!isReserveFull && !mayBeShed(turn.state, victim, turn.nowMs)) {
      askForRoom(turn, victim);
      return undefined;
    }
    const detail = 'the queue is full and this was the lowest tier in it';
    const refusal = notRun('overloaded', detail, options.retryAfterMs);
    if (victim === held) {
      return refusal;
    }
    refuseRequest(turn, victim, refusal);
  }
  return undefined;
}

/** A newcomer that does not wait yet asks when it begins to. */
function askForRoom(turn: EntryTurn, victim: HeldRequest): void {
  if (victim.phase === 'waiting') {
    renewUrgency(turn, victim);
  } else {
    victim.urgentSinceMs = turn.nowMs;
  }
}

function isOverLimit(turn: EntryTurn, held: HeldRequest, factor: number): boolean {
  const { options, waitingBytes } = turn.state;
  const count = countWaiting(turn.state) + 1;
  const bytes = waitingBytes + sizeOf(held.description);
  return count > options.maxWaitingRequests * factor || bytes > options.maxWaitingBytes * factor;
}

/** The request of the lowest waiting tier that waited longest, if that tier is lower than the newcomer's. */
function findLowestWaiting(turn: EntryTurn, newcomer: HeldRequest): HeldRequest | undefined {
  let lowest: number | undefined;
  for (const [tier, ids] of turn.state.waitingByTier) {
    if (ids.size > 0 && (lowest === undefined || tier > lowest)) {
      lowest = tier;
    }
  }
  if (lowest === undefined || !isHigherTier(newcomer.description.tier, lowest)) {
    return undefined;
  }
  const oldest = turn.state.waitingByTier.get(lowest)?.values().next().value;
  return turn.state.requests.get(oldest ?? '');
}
