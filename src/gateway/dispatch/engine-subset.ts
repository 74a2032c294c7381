/**
 * Deterministic subsetting: selects the engines that a gateway connects to.
 *
 * With a connection to every engine, each agent would send a message to every gateway for each slot
 * that is taken or freed. A gateway is therefore limited to the engines of its own zone and a few
 * of each other zone; in a fleet over several regions to those of its zone and its region, and a
 * few of each other region for failures and bursts. The selection uses rendezvous hashing: gateways
 * select independently, without coordination, and adding or removing one engine changes one
 * selection.
 */
import { pairHash } from '../../pair-hash.js';
import type { Distance } from '../../routing/zone-topology.js';
import { distanceFrom, regionNameOf } from '../../routing/locality.js';
import type { Locality } from '../../routing/locality.js';

/** The fields of an engine that the selection uses. */
export interface SubsetEngine {
  readonly id: string;
  readonly zone: string;
}

/** Size limits of a subset. */
export interface EngineSubsetOptions {
  /** Minimum size of a subset; with up to this many engines all are selected. Default 16. */
  readonly minEngines: number;
  /** Maximum number of engines in the gateway's own zone. Default 32. */
  readonly maxInZone: number;
  /** Number of engines in each other zone of a single-region fleet. Default 2. */
  readonly perOtherZone: number;
  /**
   * Maximum number of engines in the other zones of the gateway's region, in a fleet over several
   * regions. Default 16, the size up to which a small deployment is used as a whole.
   */
  readonly maxInRegion: number;
  /**
   * Number of engines in each other region. Default 2: one of them may fail, and together the
   * gateways of a region still reach nearly all engines of another one.
   */
  readonly perOtherRegion: number;
}

/** Default size limits of a subset. */
export const DEFAULT_ENGINE_SUBSET_OPTIONS: EngineSubsetOptions = {
  minEngines: 16,
  maxInZone: 32,
  perOtherZone: 2,
  maxInRegion: 16,
  perOtherRegion: 2,
};

/** The gateway that selects, and its zone. */
export interface SubsetOwner extends Locality {
  readonly name: string;
}

interface RankedEngine {
  readonly id: string;
  /** Group of engines that share one limit. */
  readonly group: string;
  readonly limit: number;
  readonly distance: Distance;
  readonly weight: number;
}

const DISTANCE_ORDER: Readonly<Record<Distance, number>> = {
  'same-zone': 0,
  'same-region': 1,
  'other-region': 2,
};

/**
 * Selects among the engines of one service.
 *
 * @returns the ids of the selected engines
 */
export function selectSubset(
  engines: readonly SubsetEngine[],
  owner: SubsetOwner,
  options: EngineSubsetOptions = DEFAULT_ENGINE_SUBSET_OPTIONS,
): Set<string> {
  const ranked = rankEngines(engines, owner, options);
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

/**
 * Returns the engines in order of selection: by hash alone within one region, by distance and then
 * by hash over several.
 */
function rankEngines(
  engines: readonly SubsetEngine[],
  owner: SubsetOwner,
  options: EngineSubsetOptions,
): RankedEngine[] {
  const hasSeveralRegions = engines.some(
    ({ zone }) => distanceFrom(owner, zone) === 'other-region',
  );
  const ranked = engines.map(({ id, zone }) => {
    const distance = distanceFrom(owner, zone);
    const weight = pairHash(owner.name, id);
    const groupLimit = hasSeveralRegions
      ? limitAcrossRegions(zone, distance, owner, options)
      : limitInSingleRegion(zone, distance, options);
    return { id, distance, weight, ...groupLimit };
  });
  return ranked.sort((left, right) => {
    const byDistance = hasSeveralRegions
      ? DISTANCE_ORDER[left.distance] - DISTANCE_ORDER[right.distance]
      : 0;
    return byDistance || left.weight - right.weight;
  });
}

function limitInSingleRegion(
  zone: string,
  distance: Distance,
  { maxInZone, perOtherZone }: EngineSubsetOptions,
): Pick<RankedEngine, 'group' | 'limit'> {
  return { group: zone, limit: distance === 'same-zone' ? maxInZone : perOtherZone };
}

function limitAcrossRegions(
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
