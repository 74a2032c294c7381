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
}

/** Whether `known` has room for another request of this gateway. */
export function hasRoom(known: KnownBackend, inputs: RoomInputs, nowMs: number): boolean {
  if (known.health.isProbing && known.outstanding > 0) {
    return false;
  }
  if (known.agent !== undefined || !inputs.isEngine) {
    return known.occupied < known.backend.slots;
  }
  // Every gateway hears of a new engine at once: none rushes to it before its agent could be asked.
  return !known.isAgentAwaited(nowMs) && known.occupied < limitWithoutAgent(known, inputs);
}

/** Requests that one gateway may have at an engine whose agent it does not hear. */
function limitWithoutAgent({ backend }: KnownBackend, inputs: RoomInputs): number {
  return Math.ceil((backend.slots * inputs.shareWithoutAgent) / Math.max(1, inputs.gateways));
}
