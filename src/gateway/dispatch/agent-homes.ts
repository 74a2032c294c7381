/**
 * Query: what the agent beside an engine says of homes, by which a gateway checks itself before it sends.
 *
 * A gateway may know an older configuration than the agent, or hold another table of regions. It takes a free
 * slot without asking, and what was sent cannot be taken back; so it looks at the agent's word first.
 */
import type { AllowedRegions } from '../../routing/backend-restriction.js';
import type { HomeOwner } from '../../routing/named-homes.js';
import { isAccepted } from '../../routing/place-matching.js';
import type { AgentHomes } from '../../slot-agent/slot-messages.js';

/** Whether the engine stands, by its agent's word, in none of the regions that a request allows. */
export function isAbroadByAgent(
  agentHomes: AgentHomes | undefined,
  allowedRegions: AllowedRegions,
): boolean {
  if (agentHomes === undefined || allowedRegions === undefined) {
    return false;
  }
  return !isAccepted(agentHomes.region, allowedRegions);
}

/** Whether two requests have the same route and tenant, so that whatever names their homes is the same. */
export function isSameOwner(left: HomeOwner | undefined, right: HomeOwner | undefined): boolean {
  return left?.route === right?.route && left?.tenant === right?.tenant;
}

/**
 * Whether the agent knows a newer configuration than this gateway: its slots are then had by grants only,
 * which the agent gives by its own knowledge of the request's homes.
 *
 * @param version - of the configuration in force here; undefined where none is
 */
export function mustAskAgent(
  agentHomes: AgentHomes | undefined,
  version: number | undefined,
): boolean {
  return agentHomes !== undefined && version !== undefined && agentHomes.configuration > version;
}
