/** Query: what an agent is told of where a request may be served. */
import type { StatedHomes } from '../../slot-agent/slot-messages.js';
import type { DispatchRequest } from './dispatch-request.js';

/** The homes of a request as a message states them; empty, and free of cost, where there are none. */
export function statedHomes({ allowedRegions, homeOwner }: DispatchRequest): StatedHomes {
  return {
    ...(allowedRegions === undefined ? {} : { allowedRegions: [...allowedRegions] }),
    ...(homeOwner === undefined ? {} : { homeOwner }),
  };
}
