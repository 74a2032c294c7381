/** Commands for permits, which let an entry bind its next request without a bid and a call. */
import type { AgentEventContext } from '../agent-state.js';
import { countOccupiedSlots, requestsInPhase } from '../queries/engine-load.js';

/**
 * Issues a permit to the entry whose request just ended, in the frame that carries the end of the
 * response.
 *
 * A permit reserves no slot: a bind that finds no free slot is refused as not started. A permit is
 * issued only while there are more free slots than unexpired permits and no bid or paused request
 * waits; permits expire.
 */
export function issuePermit(context: AgentEventContext, peer: string): void {
  const { state } = context;
  dropExpiredPermits(context);
  const isWorkWaiting = state.bids.size > 0 || requestsInPhase(state, 'paused').length > 0;
  const freeSlots = state.options.capacity - countOccupiedSlots(state);
  if (state.isLeaving || isWorkWaiting || freeSlots <= state.permitExpiriesMs.length) {
    return;
  }
  const validForMs = state.options.permitLifetimeMs;
  state.permitExpiriesMs.push(context.nowMs + validForMs);
  context.send(peer, { kind: 'permit', validForMs });
  context.count('permit.issued');
}

/** Removes the oldest permit after a bind has used one. */
export function consumePermit(context: AgentEventContext): void {
  context.state.permitExpiriesMs.shift();
}

function dropExpiredPermits(context: AgentEventContext): void {
  const { permitExpiriesMs } = context.state;
  while (permitExpiriesMs.length > 0 && permitExpiriesMs[0]! <= context.nowMs) {
    permitExpiriesMs.shift();
  }
}
