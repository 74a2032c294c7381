/** Tells agents which requests wait that their engine would be right for. */
import type { SlotDemand, WaitingRank } from '../../slot-agent/slot-messages.js';
import { harmsOthers } from './backend-choice.js';
import { statedHomes } from './stated-homes.js';
import type { DispatchRequest } from './dispatch-request.js';
import type { KnownBackend, SlotAgentLink } from './known-backend.js';

/** What a demand is made from. */
export interface DemandInputs {
  /** Requests that wait, in order. */
  readonly waiting: readonly DispatchRequest[];
  /** Tokens that an engine of the service gathers in one event. */
  readonly tokensPerEvent: number;
  /** Whether a back end may be used freely: a version on a small share is not to be asked for slots. */
  isOpen(known: KnownBackend): boolean;
  /** Whether operators permit that the request is sent there. */
  isPermitted(request: DispatchRequest, known: KnownBackend): boolean;
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
  const signature = signatureOf(first, agent);
  if (agent.lastDemand === signature) {
    return undefined;
  }
  agent.lastDemand = signature;
  const ranks = first.map((request) => rankOf(request, agent, nowMs));
  return { kind: 'demand', ranks, grantsSeen: agent.grantsSeen };
}

/** Changes with whatever the agent has to be told anew, homes among it; empty where nothing waits. */
function signatureOf(waiting: readonly DispatchRequest[], { homes }: SlotAgentLink): string {
  const version = homes === undefined ? '' : `@${homes.configuration}`;
  return waiting
    .map(({ tier, arrivedAtMs, allowedRegions }) => {
      const regions = allowedRegions === undefined ? '' : `:${[...allowedRegions].join('+')}`;
      return `${tier}:${arrivedAtMs}${regions}${version}`;
    })
    .join();
}

function rankOf(request: DispatchRequest, agent: SlotAgentLink, nowMs: number): WaitingRank {
  const { tier, rankInTier, arrivedAtMs, startByMs } = request;
  return {
    tier,
    rankInTier,
    waitedMs: nowMs - arrivedAtMs,
    startInMs: startByMs - nowMs,
    ...statedHomes(request, agent),
  };
}

/** The first waiting requests that the engine would be right for once a slot is free. */
function findDemand(
  known: KnownBackend,
  { waiting, tokensPerEvent, maxLength, isPermitted }: DemandInputs,
): DispatchRequest[] {
  const demand: DispatchRequest[] = [];
  for (const request of waiting) {
    if (demand.length >= maxLength) {
      break;
    }
    const isExcluded = request.excluded.has(known.backend.id) || !isPermitted(request, known);
    if (!isExcluded && !harmsOthers(request, known.speed, known.occupied - 1, tokensPerEvent)) {
      demand.push(request);
    }
  }
  return demand;
}
