/** Command: let an entry bind its next request without a bid, while the engine has room. */
import type { AgentTurn } from '../agent-state.js';
import { countTakenSlots, requestsIn } from '../queries/engine-load.js';

/**
 * Issues a permit to the entry whose request just ended, on the frame that carries its end.
 *
 * A permit takes no slot: a bind that comes too late is refused as not started. There are never
 * more of them than free slots, none while anything waits, and they lapse.
 */
export function issuePermit(turn: AgentTurn, peer: string): void {
  const { state } = turn;
  dropLapsedPermits(turn);
  const isWorkWaiting = state.bids.size > 0 || requestsIn(state, 'paused').length > 0;
  const freeSlots = state.options.capacity - countTakenSlots(state);
  if (state.isLeaving || isWorkWaiting || freeSlots <= state.permitExpiriesMs.length) {
    return;
  }
  const validForMs = state.options.permitLifetimeMs;
  state.permitExpiriesMs.push(turn.nowMs + validForMs);
  turn.send(peer, { kind: 'permit', validForMs });
  turn.count('permit.issued');
}

/** Takes note that a permit was used. */
export function spendPermit(turn: AgentTurn): void {
  turn.state.permitExpiriesMs.shift();
}

function dropLapsedPermits(turn: AgentTurn): void {
  const { permitExpiriesMs } = turn.state;
  while (permitExpiriesMs.length > 0 && permitExpiriesMs[0]! <= turn.nowMs) {
    permitExpiriesMs.shift();
  }
}
