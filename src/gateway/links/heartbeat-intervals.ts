/** Heartbeat intervals between gateways. */

/** Time between two ticks, in milliseconds. */
export const PEER_TICK_MS = 100;
/** Ticks without new state after which a heartbeat is sent anyway. */
export const IDLE_HEARTBEAT_TICKS = 5;
/**
 * Largest fleet in which new state is sent in a heartbeat at every tick. In larger fleets
 * heartbeats are less frequent, so that each gateway sends at most about this many per tick on
 * average.
 */
const PEERS_PER_HEARTBEAT_TICK = 8;

/** Returns the ticks between two heartbeats with new state in a fleet of `gateways`. */
export function heartbeatTicks(gateways: number): number {
  return Math.ceil(gateways / PEERS_PER_HEARTBEAT_TICK);
}

/** Returns the longest time between two heartbeats of a healthy gateway, in milliseconds. */
export function maxHeartbeatIntervalMs(gateways: number): number {
  const ticks = heartbeatTicks(gateways);
  return Math.ceil(IDLE_HEARTBEAT_TICKS / ticks) * ticks * PEER_TICK_MS;
}
