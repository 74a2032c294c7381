/**
 * Lets routes with little work wait among more urgent routes of the same tier.
 *
 * Strict order by route would starve routes whose requests cost next to nothing
 * beside those of the route before them: many are answered at the price of one.
 * A route whose usual work is small against that of the next more urgent rank
 * therefore takes that rank. It gains one rank at most.
 */

/** How the usual work of a rank is learned, and what is small beside it. */
export interface WorkRankOptions {
  /** Weight of the newest request in the usual work of its rank. Default 0.02. */
  readonly smoothing: number;
  /** Share of the usual work of the next rank up to which a rank gains it. Default 0.25. */
  readonly smallShare: number;
}

/** Defaults of the ranks by work. */
export const DEFAULT_WORK_RANK_OPTIONS: WorkRankOptions = { smoothing: 0.02, smallShare: 0.25 };

/** The usual work of the ranks of each service. */
export class WorkRanks {
  private readonly usualUnits = new Map<string, Map<number, number>>();

  constructor(private readonly options: WorkRankOptions = DEFAULT_WORK_RANK_OPTIONS) {}

  /** The rank at which a request of `units` work waits; learns from the request. */
  rankOf(service: string, routeRank: number, units: number): number {
    const ranks = this.usualUnits.get(service) ?? new Map<number, number>();
    this.usualUnits.set(service, ranks);
    const known = ranks.get(routeRank) ?? units;
    const usual = known + this.options.smoothing * (units - known);
    ranks.set(routeRank, usual);
    const next = nextMoreUrgent([...ranks.keys()], routeRank);
    const isSmall = next !== undefined && usual <= ranks.get(next)! * this.options.smallShare;
    return isSmall ? next : routeRank;
  }
}

function nextMoreUrgent(ranks: readonly number[], rank: number): number | undefined {
  const moreUrgent = ranks.filter((other) => other < rank);
  return moreUrgent.length === 0 ? undefined : Math.max(...moreUrgent);
}
