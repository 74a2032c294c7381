/**
 * Priority queue of bids: by tier, then weighted fair queueing across tenants, then by deadline.
 */
import { Heap } from 'heap-js';
import type { RequestId } from '../request/request-id.js';
import type { Tier } from '../request/tier.js';

/** A bid in an agent's queue. */
export interface QueuedBid {
  readonly id: RequestId;
  /** Incarnation of the entry that sent the bid. */
  readonly peer: string;
  readonly tenant: string;
  readonly tier: Tier;
  readonly deadlineAtMs: number;
  readonly receivedAtMs: number;
  /** Prompt tokens plus maximum output tokens: the cost that is charged to the tenant. */
  readonly costTokens: number;
  readonly isUrgent: boolean;
}

/**
 * Bids of one tenant in one tier, with the tenant's virtual time: the cost served so far, divided
 * by the tenant's weight.
 */
interface TenantQueue {
  readonly bids: Heap<QueuedBid>;
  virtualTime: number;
}

/** The bids of one tier by tenant. */
interface TierQueue {
  readonly tenants: Map<string, TenantQueue>;
  /** Virtual time of the tenant served last; a tenant without queued bids restarts from it. */
  virtualTime: number;
}

/** Queue of the bids that an agent may call, with weighted fair sharing between tenants. */
export class BidQueue {
  private readonly byId = new Map<RequestId, QueuedBid>();
  private readonly tiers = new Map<Tier, TierQueue>();

  constructor(private readonly weightOf: (tenant: string) => number) {}

  /** Number of queued bids. */
  get size(): number {
    return this.byId.size;
  }

  /** Returns the queued bid for `id`, if any. */
  get(id: RequestId): QueuedBid | undefined {
    return this.byId.get(id);
  }

  /** Returns all queued bids, in no particular order. */
  all(): IterableIterator<QueuedBid> {
    return this.byId.values();
  }

  /** Adds a bid, or replaces the queued bid for the same request. */
  add(bid: QueuedBid): void {
    this.byId.set(bid.id, bid);
    const tierQueue = this.tiers.get(bid.tier) ?? { tenants: new Map(), virtualTime: 0 };
    this.tiers.set(bid.tier, tierQueue);
    const queue = tierQueue.tenants.get(bid.tenant) ?? createTenantQueue(tierQueue.virtualTime);
    tierQueue.tenants.set(bid.tenant, queue);
    queue.bids.push(bid);
  }

  /** Removes the bid for `id`. */
  remove(id: RequestId): void {
    this.byId.delete(id);
  }

  /** Returns the bid to call next. */
  peek(): QueuedBid | undefined {
    for (const tier of this.sortedTiers()) {
      const tierQueue = this.tiers.get(tier)!;
      const queue = this.selectTenantQueue(tierQueue);
      if (queue !== undefined) {
        return queue.bids.peek();
      }
      this.tiers.delete(tier);
    }
    return undefined;
  }

  /** Removes the bid that `peek` returned, and charges its cost to its tenant. */
  dequeue(bid: QueuedBid): void {
    this.byId.delete(bid.id);
    const tierQueue = this.tiers.get(bid.tier);
    const queue = tierQueue?.tenants.get(bid.tenant);
    if (tierQueue === undefined || queue === undefined) {
      return;
    }
    tierQueue.virtualTime = queue.virtualTime;
    queue.virtualTime += bid.costTokens / this.weightOf(bid.tenant);
  }

  /** Returns the bid to refuse when the queue exceeds its limit: the newest of the lowest tier. */
  findEvictionCandidate(): QueuedBid | undefined {
    let lowest: QueuedBid | undefined;
    for (const bid of this.byId.values()) {
      if (lowest === undefined || bid.tier >= lowest.tier) {
        lowest = bid;
      }
    }
    return lowest;
  }

  private sortedTiers(): Tier[] {
    return [...this.tiers.keys()].sort((left, right) => left - right);
  }

  private selectTenantQueue(tierQueue: TierQueue): TenantQueue | undefined {
    let best: TenantQueue | undefined;
    for (const [tenant, queue] of tierQueue.tenants) {
      this.popRemovedBids(queue);
      if (queue.bids.length === 0) {
        tierQueue.tenants.delete(tenant);
      } else if (best === undefined || queue.virtualTime < best.virtualTime) {
        best = queue;
      }
    }
    return best;
  }

  /** Pops bids that were removed or replaced: they stay in the heap until they reach its top. */
  private popRemovedBids(queue: TenantQueue): void {
    let top = queue.bids.peek();
    while (top !== undefined && this.byId.get(top.id) !== top) {
      queue.bids.pop();
      top = queue.bids.peek();
    }
  }
}

function createTenantQueue(virtualTime: number): TenantQueue {
  return {
    bids: new Heap<QueuedBid>((left, right) => left.deadlineAtMs - right.deadlineAtMs),
    virtualTime,
  };
}
