/** Query: what an agent is told of where a request may be served. */
import type { StatedHomes } from '../../slot-agent/slot-messages.js';
import type { DispatchRequest } from './dispatch-request.js';
import type { SlotAgentLink } from './known-backend.js';

/**
 * The homes of a request as a message states them; empty, and free of cost, where there are none.
 *
 * An agent that knows of homes is told by whose names it finds them, also by a gateway that knows of none.
 */
export function statedHomes(
  { allowedRegions, homeOwner }: DispatchRequest,
  agent: SlotAgentLink,
): StatedHomes {
  const isOwnerTold = homeOwner !== undefined && agent.homes !== undefined;
  return {
    ...(allowedRegions === undefined ? {} : { allowedRegions: [...allowedRegions] }),
    ...(isOwnerTold ? { homeOwner } : {}),
  };
}
