/** The bids an agent holds: tier first, then tenant share, then deadline. */
import { Heap } from 'heap-js';
import type { RequestId } from '../request/request-id.js';
import type { Tier } from '../request/tier.js';

/** A bid as the agent holds it. */
export interface HeldBid {
  readonly id: RequestId;
  /** Incarnation of the entry that made the bid. */
  readonly peer: string;
  readonly tenant: string;
  readonly tier: Tier;
  readonly deadlineAtMs: number;
  readonly receivedAtMs: number;
  /** Tokens of prompt and longest answer, by which a tenant's share is reckoned. */
  readonly costTokens: number;
  readonly isUrgent: boolean;
}

/** Bids of one tenant in one tier, and the share of the engine it has had. */
interface TenantLane {
  readonly bids: Heap<HeldBid>;
  servedShare: number;
}

/** The bids of one tier by tenant. */
interface TierLane {
  readonly tenants: Map<string, TenantLane>;
  /** Share of the tenant served last: a tenant that comes back starts from here. */
  currentShare: number;
}

/** The bids an agent holds. */
export class BidQueue {
  private readonly byId = new Map<RequestId, HeldBid>();
  private readonly tiers = new Map<Tier, TierLane>();

  constructor(private readonly weightOf: (tenant: string) => number) {}

  /** Number of bids held. */
  get size(): number {
    return this.byId.size;
  }

  /** The bid for `id`, if one is held. */
  get(id: RequestId): HeldBid | undefined {
    return this.byId.get(id);
  }

  /** All bids held, in no particular order. */
  all(): IterableIterator<HeldBid> {
    return this.byId.values();
  }

  /** Adds a bid, or replaces an earlier one for the same request. */
  add(bid: HeldBid): void {
    this.byId.set(bid.id, bid);
    const tier = this.tiers.get(bid.tier) ?? { tenants: new Map(), currentShare: 0 };
    this.tiers.set(bid.tier, tier);
    const lane = tier.tenants.get(bid.tenant) ?? createLane(tier.currentShare);
    tier.tenants.set(bid.tenant, lane);
    lane.bids.push(bid);
  }

  /** Removes the bid for `id`. */
  remove(id: RequestId): void {
    this.byId.delete(id);
  }

  /** The bid that is to be called next. */
  peek(): HeldBid | undefined {
    for (const tierNumber of this.tierNumbers()) {
      const tier = this.tiers.get(tierNumber)!;
      const lane = this.nextLane(tier);
      if (lane !== undefined) {
        return lane.bids.peek();
      }
      this.tiers.delete(tierNumber);
    }
    return undefined;
  }

  /** Removes the bid that `peek` gave, and charges its tenant for it. */
  take(bid: HeldBid): void {
    this.byId.delete(bid.id);
    const tier = this.tiers.get(bid.tier);
    const lane = tier?.tenants.get(bid.tenant);
    if (tier === undefined || lane === undefined) {
      return;
    }
    tier.currentShare = lane.servedShare;
    lane.servedShare += bid.costTokens / this.weightOf(bid.tenant);
  }

  /** The bid that is to be given up first when there are too many: the last of the lowest tier. */
  findLowest(): HeldBid | undefined {
    let lowest: HeldBid | undefined;
    for (const bid of this.byId.values()) {
      if (lowest === undefined || bid.tier >= lowest.tier) {
        lowest = bid;
      }
    }
    return lowest;
  }

  private tierNumbers(): Tier[] {
    return [...this.tiers.keys()].sort((left, right) => left - right);
  }

  private nextLane(tier: TierLane): TenantLane | undefined {
    let best: TenantLane | undefined;
    for (const [tenant, lane] of tier.tenants) {
      this.dropStale(lane);
      if (lane.bids.length === 0) {
        tier.tenants.delete(tenant);
      } else if (best === undefined || lane.servedShare < best.servedShare) {
        best = lane;
      }
    }
    return best;
  }

  /** Bids that were removed or replaced stay in the heap until they come to its top. */
  private dropStale(lane: TenantLane): void {
    let top = lane.bids.peek();
    while (top !== undefined && this.byId.get(top.id) !== top) {
      lane.bids.pop();
      top = lane.bids.peek();
    }
  }
}

function createLane(servedShare: number): TenantLane {
  return {
    bids: new Heap<HeldBid>((left, right) => left.deadlineAtMs - right.deadlineAtMs),
    servedShare,
  };
}
