/** Tells agents which requests wait that their engine would be right for. */
import type { SlotDemand, WaitingRank } from '../../slot-agent/slot-messages.js';
import { statedHomes } from './stated-homes.js';
import type { DispatchRequest } from './dispatch-request.js';
import type { KnownBackend, SlotAgentLink } from './known-backend.js';
import { isFar } from './near-first.js';

/** What a demand is made from. */
export interface DemandInputs {
  /** Requests that wait, in order. */
  readonly waiting: readonly DispatchRequest[];
  /** Whether a back end may be asked for slots at all: not in an evacuated zone, of a version on a small share or with a limit. */
  isOpen(known: KnownBackend): boolean;
  /** Whether the request could use a slot of the back end, which is open. */
  fits(request: DispatchRequest, known: KnownBackend): boolean;
  /** Whether agents in other regions are told of a request; those near by have the first chance. */
  mayCross(request: DispatchRequest): boolean;
  /** Most requests that a demand names. */
  readonly maxLength: number;
}

/** Stands for a demand that the agent has to be told whatever it is; no demand's text is the same. */
export const UNTOLD_DEMAND = '?';

/** The demand to tell the agent of `known`; undefined if it was told the same before. */
export function nextDemand(
  known: KnownBackend,
  inputs: DemandInputs,
  nowMs: number,
): SlotDemand | undefined {
  const { agent } = known;
  if (agent === undefined || !known.isReady) {
    return undefined;
  }
  // An agent that was told of requests before is told that none waits for it any more.
  const first = inputs.isOpen(known) ? findDemand(known, inputs) : [];
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
  { waiting, maxLength, fits, mayCross }: DemandInputs,
): DispatchRequest[] {
  const demand: DispatchRequest[] = [];
  for (const request of waiting) {
    if (demand.length >= maxLength) {
      break;
    }
    const isOutOfReach = isFar(known) && !mayCross(request);
    if (!isOutOfReach && fits(request, known)) {
      demand.push(request);
    }
  }
  return demand;
}
