/**
 * Chooses the engines that a gateway works with.
 *
 * A link to every engine would cost each agent a message to every gateway for
 * each slot that changes hands. A gateway therefore keeps to the engines of its
 * own zone and a few of each other one; in a fleet over several regions to
 * those of its zone and its region, and a few of each other region for failures
 * and bursts. The choice is by rendezvous hashing: gateways choose apart from
 * each other, without a word between them, and one engine that comes or goes
 * changes one choice.
 */
import { pairShare } from '../../pair-share.js';
import type { Distance } from '../../routing/places.js';
import { distanceFrom, regionNameOf } from '../../routing/standpoint.js';
import type { Standpoint } from '../../routing/standpoint.js';

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
  /** Engines of each other zone, where all are in one region. Default 2. */
  readonly perOtherZone: number;
  /**
   * Most engines of the other zones of the gateway's region, where there are several regions. Default 16: as
   * many as a small deployment is worked with whole.
   */
  readonly maxInRegion: number;
  /**
   * Engines of each other region. Default 2: one of them may be lost, and together the gateways of a region
   * still reach nearly all of another one.
   */
  readonly perOtherRegion: number;
}

/** Defaults of a subset. */
export const DEFAULT_ENGINE_SUBSET_OPTIONS: EngineSubsetOptions = {
  minEngines: 16,
  maxInZone: 32,
  perOtherZone: 2,
  maxInRegion: 16,
  perOtherRegion: 2,
};

/** Who chooses, and from where. */
export interface SubsetOwner extends Standpoint {
  readonly name: string;
}

interface RankedEngine {
  readonly id: string;
  /** Engines of one group share a limit. */
  readonly group: string;
  readonly limit: number;
  readonly distance: Distance;
  readonly weight: number;
}

const ORDER: Readonly<Record<Distance, number>> = {
  'same-zone': 0,
  'same-region': 1,
  'other-region': 2,
};

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
  const ranked = rank(engines, owner, options);
  const chosen = new Set<string>();
  const takenByGroup = new Map<string, number>();
  for (const { id, group, limit } of ranked) {
    const taken = takenByGroup.get(group) ?? 0;
    if (taken < limit) {
      takenByGroup.set(group, taken + 1);
      chosen.add(id);
    }
  }
  for (const { id } of ranked) {
    if (chosen.size >= options.minEngines) {
      break;
    }
    chosen.add(id);
  }
  return chosen;
}

/** In the order in which they are taken: by hash alone in one region, nearest first over several. */
function rank(
  engines: readonly SubsetEngine[],
  owner: SubsetOwner,
  options: EngineSubsetOptions,
): RankedEngine[] {
  const areSeveral = engines.some(({ zone }) => distanceFrom(owner, zone) === 'other-region');
  const ranked = engines.map(({ id, zone }) => {
    const distance = distanceFrom(owner, zone);
    const weight = pairShare(owner.name, id);
    const bounds = areSeveral
      ? boundsOverRegions(zone, distance, owner, options)
      : boundsInRegion(zone, distance, options);
    return { id, distance, weight, ...bounds };
  });
  return ranked.sort((left, right) => {
    const nearer = areSeveral ? ORDER[left.distance] - ORDER[right.distance] : 0;
    return nearer || left.weight - right.weight;
  });
}

function boundsInRegion(
  zone: string,
  distance: Distance,
  { maxInZone, perOtherZone }: EngineSubsetOptions,
): Pick<RankedEngine, 'group' | 'limit'> {
  return { group: zone, limit: distance === 'same-zone' ? maxInZone : perOtherZone };
}

function boundsOverRegions(
  zone: string,
  distance: Distance,
  owner: SubsetOwner,
  { maxInZone, maxInRegion, perOtherRegion }: EngineSubsetOptions,
): Pick<RankedEngine, 'group' | 'limit'> {
  if (distance === 'other-region') {
    return { group: `${distance} ${regionNameOf(owner, zone)}`, limit: perOtherRegion };
  }
  return { group: distance, limit: distance === 'same-zone' ? maxInZone : maxInRegion };
}
