/**
 * Chooses the engines that a gateway works with.
 *
 * A link to every engine would cost each agent a message to every gateway for
 * each slot that changes hands. A gateway therefore keeps to the engines of its
 * own zone and a few of each other one. The choice is by rendezvous hashing:
 * gateways choose apart from each other, without a word between them, and one
 * engine that comes or goes changes one choice.
 */
import { pairShare } from '../../pair-share.js';

/** What the choice looks at. */
export interface SubsetEngine {
  readonly id: string;
  readonly zone: string;
}

/** Sizes of a subset. */
export interface EngineSubsetOptions {
  /** Up to this many engines all are taken. Default 16. */
  readonly minEngines: number;
  /** Most engines of the gateway's own zone. Default 32. */
  readonly maxInZone: number;
  /** Engines of each other zone. Default 2. */
  readonly perOtherZone: number;
}

/** Defaults of a subset. */
export const DEFAULT_ENGINE_SUBSET_OPTIONS: EngineSubsetOptions = {
  minEngines: 16,
  maxInZone: 32,
  perOtherZone: 2,
};

/** Who chooses. */
export interface SubsetOwner {
  readonly name: string;
  readonly zone: string;
}

/**
 * Chooses among the engines of one service.
 *
 * @returns the ids of the engines that `owner` works with
 */
export function chooseEngines(
  engines: readonly SubsetEngine[],
  owner: SubsetOwner,
  options: EngineSubsetOptions = DEFAULT_ENGINE_SUBSET_OPTIONS,
): Set<string> {
  const { minEngines, maxInZone, perOtherZone } = options;
  const ranked = engines
    .map(({ id, zone }) => ({ id, zone, weight: pairShare(owner.name, id) }))
    .sort((left, right) => left.weight - right.weight);
  const chosen = new Set<string>();
  const takenByZone = new Map<string, number>();
  for (const { id, zone } of ranked) {
    const taken = takenByZone.get(zone) ?? 0;
    if (taken < (zone === owner.zone ? maxInZone : perOtherZone)) {
      takenByZone.set(zone, taken + 1);
      chosen.add(id);
    }
  }
  for (const { id } of ranked) {
    if (chosen.size >= minEngines) {
      break;
    }
    chosen.add(id);
  }
  return chosen;
}
