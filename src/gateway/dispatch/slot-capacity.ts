/** Whether a backend has capacity for another request of this gateway. */
import type { KnownBackend } from './known-backend.js';

/** Inputs of the capacity check. */
export interface CapacityInputs {
  /** Whether the backend is an engine, which processes requests in batches. */
  readonly isEngine: boolean;
  /** Number of known gateways, including this one. */
  readonly gateways: number;
  /**
   * Slots of an engine that all gateways together use while its agent is not connected, as a
   * fraction of its slots.
   */
  readonly shareWithoutAgent: number;
  /**
   * Hash in [0, 1) of this gateway and the backend, by which the remainder of the division is
   * assigned.
   */
  readonly shareHash: number;
}

/** Whether `known` has capacity for another request of this gateway. */
export function hasFreeCapacity(
  known: KnownBackend,
  inputs: CapacityInputs,
  nowMs: number,
): boolean {
  if (known.availability === 'closed' || (known.isOnTrial && known.outstanding > 0)) {
    return false;
  }
  if (known.agent !== undefined || !inputs.isEngine) {
    return known.occupied < known.backend.slots;
  }
  // All gateways discover a new engine at the same time: none sends to it before its agent had time
  // to connect.
  return !known.isAgentAwaited(nowMs) && known.occupied < limitWithoutAgent(known, inputs);
}

/**
 * Returns the maximum number of requests that one gateway may have at an engine whose agent is not
 * connected. Where gateways outnumber slots, most get none: one each would be several times the
 * engine's capacity.
 */
function limitWithoutAgent({ backend }: KnownBackend, inputs: CapacityInputs): number {
  const { shareWithoutAgent, gateways, shareHash } = inputs;
  const share = (backend.slots * shareWithoutAgent) / Math.max(1, gateways);
  const remainder = share - Math.floor(share);
  return Math.min(backend.slots, Math.floor(share) + (shareHash < remainder ? 1 : 0));
}
