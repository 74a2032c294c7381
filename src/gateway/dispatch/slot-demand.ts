/** Tells agents which requests wait that their engine would be right for. */
import type { SlotDemand, WaitingRank } from '../../slot-agent/slot-messages.js';
import { harmsOthers } from './backend-choice.js';
import type { DispatchRequest } from './dispatch-request.js';
import type { KnownBackend } from './known-backend.js';
import { isFar } from './near-first.js';

/** What a demand is made from. */
export interface DemandInputs {
  /** Requests that wait, in order. */
  readonly waiting: readonly DispatchRequest[];
  /** Tokens that an engine of the service gathers in one event. */
  readonly tokensPerEvent: number;
  /** Whether a back end may be used freely: a version on a small share is not to be asked for slots. */
  isOpen(known: KnownBackend): boolean;
  /** Whether agents in other regions are told of a request; those near by have the first chance. */
  mayCross(request: DispatchRequest): boolean;
  /** Most requests that a demand names. */
  readonly maxLength: number;
}

/** The demand to tell the agent of `known`; undefined if it was told the same before. */
export function nextDemand(
  known: KnownBackend,
  inputs: DemandInputs,
  nowMs: number,
): SlotDemand | undefined {
  const { agent } = known;
  if (agent === undefined || !known.isReady || !inputs.isOpen(known)) {
    return undefined;
  }
  const first = findDemand(known, inputs);
  const signature = first.map(({ tier, arrivedAtMs }) => `${tier}:${arrivedAtMs}`).join();
  if (agent.lastDemand === signature) {
    return undefined;
  }
  agent.lastDemand = signature;
  const ranks = first.map((request) => rankOf(request, nowMs));
  return { kind: 'demand', ranks, grantsSeen: agent.grantsSeen };
}

function rankOf(request: DispatchRequest, nowMs: number): WaitingRank {
  const { tier, rankInTier, arrivedAtMs, startByMs, allowedRegions } = request;
  return {
    tier,
    rankInTier,
    waitedMs: nowMs - arrivedAtMs,
    startInMs: startByMs - nowMs,
    ...(allowedRegions === undefined ? {} : { allowedRegions: [...allowedRegions] }),
  };
}

/** The first waiting requests that the engine would be right for once a slot is free. */
function findDemand(
  known: KnownBackend,
  { waiting, tokensPerEvent, maxLength, mayCross }: DemandInputs,
): DispatchRequest[] {
  const demand: DispatchRequest[] = [];
  for (const request of waiting) {
    if (demand.length >= maxLength) {
      break;
    }
    const isExcluded =
      request.excluded.has(known.backend.id) || (isFar(known) && !mayCross(request));
    if (!isExcluded && !harmsOthers(request, known.speed, known.occupied - 1, tokensPerEvent)) {
      demand.push(request);
    }
  }
  return demand;
}
