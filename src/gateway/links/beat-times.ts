/** How often gateways show each other that they live, and when one that does not is set aside. */

/** Time between two ticks, in milliseconds. */
export const PEER_TICK_MS = 100;
/** Ticks without news after which a beat shows that this process lives. */
export const IDLE_BEAT_TICKS = 5;
/** Gateways that beats may go to in each tick; where there are more, beats are rarer. */
const PEERS_PER_BEAT_TICK = 8;
/** Silence after which a peer's share of the quotas is set aside: a time, in milliseconds, and periods of its beats. */
const QUOTA_SILENCE_MS = 1_200;
/**
 * What a region that is cut off spends before its silence shows is spent twice: with 2.5 periods, two seconds
 * among 29 gateways, a tenant that asks for three times its rate went 7 in 100 beyond its bound. A beat that is
 * late by half a period sets a share aside for a moment, which costs little.
 */
const QUOTA_SILENCE_BEATS = 1.5;

/** Ticks from one beat with news to the next among so many gateways. */
export function beatTicks(gateways: number): number {
  return Math.ceil(gateways / PEERS_PER_BEAT_TICK);
}

/** Longest time between two beats of a gateway that is well, in milliseconds. */
export function longestBeatMs(gateways: number): number {
  const ticks = beatTicks(gateways);
  return Math.ceil(IDLE_BEAT_TICKS / ticks) * ticks * PEER_TICK_MS;
}

/** Silence after which a peer's share of the quotas is set aside, in milliseconds. */
export function quotaSilenceMs(beatMs: number): number {
  return Math.max(QUOTA_SILENCE_MS, beatMs * QUOTA_SILENCE_BEATS);
}
