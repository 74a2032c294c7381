/** Query: whether a back end may be given another request. */
import type { KnownBackend } from './known-backend.js';

/** What decides how many requests a back end may be given. */
export interface RoomInputs {
  /** Whether the back end is an engine, which serves in batches. */
  readonly isEngine: boolean;
  /** Gateways that are known, this one included. */
  readonly gateways: number;
  /** What all gateways together use of an engine while no agent tells, as a share of its slots. */
  readonly shareWithoutAgent: number;
  /** This gateway's number in [0, 1) for the back end, by which the rest of a division is dealt out. */
  readonly draw: number;
}

/** Whether `known` has room for another request of this gateway. */
export function hasRoom(known: KnownBackend, inputs: RoomInputs, nowMs: number): boolean {
  if (known.availability === 'closed' || (known.isOnTrial && known.outstanding > 0)) {
    return false;
  }
  if (known.agent !== undefined || !inputs.isEngine) {
    return known.occupied < known.backend.slots;
  }
  // Every gateway hears of a new engine at once: none rushes to it before its agent could be asked.
  return !known.isAgentAwaited(nowMs) && known.occupied < limitWithoutAgent(known, inputs);
}

/**
 * Requests that one gateway may have at an engine whose agent it does not hear. Where there are more
 * gateways than slots, most may have none: one each would be several times what the engine takes.
 */
function limitWithoutAgent({ backend }: KnownBackend, inputs: RoomInputs): number {
  const { shareWithoutAgent, gateways, draw } = inputs;
  const part = (backend.slots * shareWithoutAgent) / Math.max(1, gateways);
  const rest = part - Math.floor(part);
  return Math.min(backend.slots, Math.floor(part) + (draw < rest ? 1 : 0));
}
