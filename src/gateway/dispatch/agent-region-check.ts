/**
 * Checks of a request's allowed regions against what the slot agent of an engine reports.
 *
 * A gateway may hold an older configuration than the agent, or a different mapping of zones to
 * regions. It takes free slots without a grant and cannot recall a request that was sent, so it
 * checks the agent's report before it sends.
 */
import type { AllowedRegions } from '../../routing/backend-restriction.js';
import type { RouteAndTenant } from '../../routing/region-restrictions.js';
import { isAccepted } from '../../routing/label-matching.js';
import type { AgentRegionInfo } from '../../slot-agent/slot-messages.js';

/**
 * Whether the agent reports the engine outside the request's allowed regions, or knows no region of
 * its zone.
 */
export function isOutsideAllowedRegions(
  agentRegion: AgentRegionInfo | undefined,
  allowedRegions: AllowedRegions,
): boolean {
  if (agentRegion === undefined || allowedRegions === undefined) {
    return false;
  }
  return !isAccepted(agentRegion.region, allowedRegions);
}

/**
 * Whether two requests have the same route and tenant, and so the same allowed regions in every
 * configuration.
 */
export function isSameRouteAndTenant(
  left: RouteAndTenant | undefined,
  right: RouteAndTenant | undefined,
): boolean {
  return left?.route === right?.route && left?.tenant === right?.tenant;
}

/**
 * Whether the agent has a newer configuration than this gateway. Its slots are then available by
 * grant only, since the agent checks the request's allowed regions against the newer configuration.
 *
 * @param version - version of the configuration in force at this gateway; undefined where none is
 */
export function requiresGrant(
  agentRegion: AgentRegionInfo | undefined,
  version: number | undefined,
): boolean {
  return agentRegion !== undefined && version !== undefined && agentRegion.configuration > version;
}
