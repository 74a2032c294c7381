/** The region fields of a request in messages to slot agents. */
import type { RegionConstraints } from '../../slot-agent/slot-messages.js';
import type { DispatchRequest } from './dispatch-request.js';
import type { SlotAgentLink } from './known-backend.js';

/**
 * Returns the allowed regions of a request, and the route and tenant that determine them
 * (`homeOwner`), as message fields; empty where the request has none.
 *
 * The route and tenant are sent to agents that report `homes`, also by a gateway whose own
 * configuration restricts no request to regions, so that the agent can look up the regions itself.
 */
export function regionConstraintsOf(
  { allowedRegions, homeOwner }: DispatchRequest,
  agent: SlotAgentLink,
): RegionConstraints {
  const includesOwner = homeOwner !== undefined && agent.homes !== undefined;
  return {
    ...(allowedRegions === undefined ? {} : { allowedRegions: [...allowedRegions] }),
    ...(includesOwner ? { homeOwner } : {}),
  };
}
