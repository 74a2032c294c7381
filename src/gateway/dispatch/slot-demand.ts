/** Builds the demand messages that list waiting requests to slot agents. */
import type { SlotDemand, WaitingRank } from '../../slot-agent/slot-messages.js';
import { regionConstraintsOf } from './region-constraint-fields.js';
import type { DispatchRequest } from './dispatch-request.js';
import type { KnownBackend, SlotAgentLink } from './known-backend.js';
import { isRemoteRegion } from './region-fallback.js';

/** Inputs of a demand. */
export interface DemandInputs {
  /** Waiting requests in queue order. */
  readonly waiting: readonly DispatchRequest[];
  /**
   * Whether slots of the backend may be requested: its zone is not evacuated, its version is
   * neither closed nor has a limited rollout share, and it is neither rate-limited nor in backoff.
   */
  mayUseGrants(known: KnownBackend): boolean;
  /** Whether the request could use a slot of a backend that `mayUseGrants` allows. */
  canUseGrant(request: DispatchRequest, known: KnownBackend): boolean;
  /** Whether the request has waited long enough to be listed to agents in other regions. */
  mayUseRemoteRegion(request: DispatchRequest): boolean;
  /** Maximum number of requests in a demand. */
  readonly maxLength: number;
}

/**
 * Value of `lastDemandKey` that differs from every demand's key, so that the next demand is always
 * sent.
 */
export const UNSENT_DEMAND = '?';

/**
 * Returns the demand to send to the agent of `known`; undefined if it equals the last one sent, or
 * if the backend is not ready or has no connected agent.
 */
export function nextDemand(
  known: KnownBackend,
  inputs: DemandInputs,
  nowMs: number,
): SlotDemand | undefined {
  const { agent } = known;
  if (agent === undefined || !known.isReady) {
    return undefined;
  }
  // An empty demand replaces an earlier one that listed requests.
  const listed = inputs.mayUseGrants(known) ? findDemandedRequests(known, inputs) : [];
  const demandKey = demandKeyOf(listed, agent);
  if (agent.lastDemandKey === demandKey) {
    return undefined;
  }
  agent.lastDemandKey = demandKey;
  const ranks = listed.map((request) => rankOf(request, agent, nowMs));
  return { kind: 'demand', ranks, grantsSeen: agent.grantsSeen };
}

/**
 * Returns a key that changes whenever the demand must be sent again, also after a change of the
 * agent's configuration; empty where no request is listed.
 */
function demandKeyOf(waiting: readonly DispatchRequest[], { homes }: SlotAgentLink): string {
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
    ...regionConstraintsOf(request, agent),
  };
}

/** Returns the first waiting requests that could use a slot of the engine. */
function findDemandedRequests(
  known: KnownBackend,
  { waiting, maxLength, canUseGrant, mayUseRemoteRegion }: DemandInputs,
): DispatchRequest[] {
  const demand: DispatchRequest[] = [];
  for (const request of waiting) {
    if (demand.length >= maxLength) {
      break;
    }
    const isRemoteTooEarly = isRemoteRegion(known) && !mayUseRemoteRegion(request);
    if (!isRemoteTooEarly && canUseGrant(request, known)) {
      demand.push(request);
    }
  }
  return demand;
}
