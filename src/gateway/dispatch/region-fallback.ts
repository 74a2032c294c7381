/**
 * Delay scheduling across regions: a request goes to an engine in another region only after it has
 * waited for a local one for as long as the round trip there plus the cost of the transfer.
 *
 * Without the delay, every request that finds the local engines momentarily full would cross at
 * once, and a slot granted across regions is idle while the grant and the request travel.
 */
import type { DispatchRequest } from './dispatch-request.js';
import type { KnownBackend } from './known-backend.js';

/** Availability of a service's engines by region, relative to a gateway. */
export interface RegionAvailability {
  /** Whether the local region has no usable engine, while other regions have some. */
  readonly isLocalRegionLost: boolean;
  /** How long a request waits for a local engine before remote ones are used, in milliseconds. */
  readonly remoteDelayMs: number;
}

/** Default for a service without known engines. */
export const DEFAULT_REGION_AVAILABILITY: RegionAvailability = {
  isLocalRegionLost: false,
  remoteDelayMs: 0,
};

/** Whether a backend is in another region. */
export function isRemoteRegion({ distance }: KnownBackend): boolean {
  return distance === 'other-region';
}

/** Whether a request may wait for the backend: it is local, ready, not closed and not on trial. */
export function isUsableLocally(known: KnownBackend): boolean {
  return (
    !isRemoteRegion(known) && known.isReady && known.availability !== 'closed' && !known.isOnTrial
  );
}

/** Computes the availability by region from the backends of one service. */
export function regionAvailabilityOf(backends: readonly KnownBackend[]): RegionAvailability {
  const ready = backends.filter(({ isReady }) => isReady);
  const remoteCostsMs = ready.filter(isRemoteRegion).map(({ roundTrip }) => roundTrip.costMs);
  if (remoteCostsMs.length === 0) {
    return DEFAULT_REGION_AVAILABILITY;
  }
  if (!ready.some(isUsableLocally)) {
    return { isLocalRegionLost: true, remoteDelayMs: 0 };
  }
  const sorted = remoteCostsMs.sort((left, right) => left - right);
  return { isLocalRegionLost: false, remoteDelayMs: sorted[Math.floor(sorted.length / 2)]! };
}

/** Whether a request has waited long enough to use other regions. */
export function hasWaitedForLocalRegion(
  { arrivedAtMs }: Pick<DispatchRequest, 'arrivedAtMs'>,
  { remoteDelayMs }: RegionAvailability,
  nowMs: number,
): boolean {
  return nowMs - arrivedAtMs >= remoteDelayMs;
}
