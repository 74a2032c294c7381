/**
 * Delay scheduling over regions: a request goes to an engine in another region only once waiting for one near
 * by has cost as much time as the way there and what its bytes are worth.
 *
 * Without the pause every request that finds the engines near by full for a moment would cross at once, and
 * a slot that is granted over the way there lies idle for as long as the grant and the request travel.
 */
import type { DispatchRequest } from './dispatch-request.js';
import type { KnownBackend } from './known-backend.js';

/** How the engines of a service lie to a gateway. */
export interface ServiceReach {
  /** Whether its own region has none that may be waited for, while others have some. */
  readonly isNearLost: boolean;
  /** How long a request waits for one near by before others are used, in milliseconds. */
  readonly farPatienceMs: number;
}

/** Before anything is known of a service. */
export const UNKNOWN_REACH: ServiceReach = { isNearLost: false, farPatienceMs: 0 };

/** Whether a back end is in another region. */
export function isFar({ distance }: KnownBackend): boolean {
  return distance === 'other-region';
}

/** Whether a back end near by may be waited for: one that is lost, or tries whether it answers, is not. */
export function isWorthWaitingFor(known: KnownBackend): boolean {
  return !isFar(known) && known.isReady && known.availability !== 'closed' && !known.isOnTrial;
}

/** Works out how the back ends of one service lie. */
export function reachOf(backends: readonly KnownBackend[]): ServiceReach {
  const ready = backends.filter(({ isReady }) => isReady);
  const ways = ready.filter(isFar).map(({ roundTrip }) => roundTrip.costMs);
  if (ways.length === 0) {
    return UNKNOWN_REACH;
  }
  if (!ready.some(isWorthWaitingFor)) {
    return { isNearLost: true, farPatienceMs: 0 };
  }
  const sorted = ways.sort((left, right) => left - right);
  return { isNearLost: false, farPatienceMs: sorted[Math.floor(sorted.length / 2)]! };
}

/** Whether a request has waited long enough for others than those near by. */
export function hasWaitedForNear(
  { arrivedAtMs }: Pick<DispatchRequest, 'arrivedAtMs'>,
  { farPatienceMs }: ServiceReach,
  nowMs: number,
): boolean {
  return nowMs - arrivedAtMs >= farPatienceMs;
}
