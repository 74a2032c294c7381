/** A token bucket with refunds of recent, unused grants. */
import type { BucketConfig } from './quota-budget.js';

/**
 * Time during which a grant is refundable, in milliseconds: longer than a gateway takes to try the
 * holders of a tenant's pools in turn. Refundable grants count against the capacity, so that a
 * refund always fits; a longer window would leave less of the capacity to a tenant under constant
 * load.
 */
export const REFUND_WINDOW_MS = 300;

interface Grant {
  readonly cost: number;
  readonly atMs: number;
}

/** A token bucket whose level plus refundable grants never exceeds its capacity. */
export class QuotaBucket {
  private level: number;
  private refilledAtMs: number;
  /** Grants inside the refund window, oldest first. */
  private readonly refundable = new Map<string, Grant>();
  private refundableCost = 0;

  /**
   * `sinceMs`: when this gateway became the only one entitled to the refill; the bucket was empty
   * then.
   */
  constructor(sinceMs: number) {
    this.level = 0;
    this.refilledAtMs = sinceMs;
  }

  /** Returns the level under the given configuration. */
  levelAt(config: BucketConfig, nowMs: number): number {
    this.refill(config, nowMs);
    return this.level;
  }

  /**
   * Takes all of `cost` under the key `grant`, or nothing. The refill of the next `aheadMs` may be
   * taken in advance; the grant must not be used before that refill has accrued.
   */
  take(grant: string, cost: number, config: BucketConfig, nowMs: number, aheadMs = 0): boolean {
    this.refill(config, nowMs);
    if (this.level + config.refillPerMs * aheadMs < cost) {
      return false;
    }
    this.level -= cost;
    this.refundable.set(grant, { cost, atMs: nowMs });
    this.refundableCost += cost;
    return true;
  }

  /** Adds `amount` at once, up to the free capacity. */
  add(amount: number, config: BucketConfig, nowMs: number): void {
    this.refill(config, nowMs);
    const freeCapacity = Math.max(0, config.capacity - this.refundableCost);
    this.level = Math.max(this.level, Math.min(freeCapacity, this.level + amount));
  }

  /** Puts an unused grant back; returns false if it is unknown or no longer refundable. */
  refund(grant: string, nowMs: number): boolean {
    this.expireRefundable(nowMs);
    const entry = this.refundable.get(grant);
    if (entry === undefined) {
      return false;
    }
    this.removeRefundable(grant, entry);
    this.level += entry.cost;
    return true;
  }

  private refill({ capacity, refillPerMs }: BucketConfig, nowMs: number): void {
    this.expireRefundable(nowMs);
    const freeCapacity = Math.max(0, capacity - this.refundableCost);
    this.level = Math.min(
      freeCapacity,
      this.level + refillPerMs * Math.max(0, nowMs - this.refilledAtMs),
    );
    this.refilledAtMs = nowMs;
  }

  private expireRefundable(nowMs: number): void {
    for (const [key, grant] of this.refundable) {
      if (nowMs - grant.atMs <= REFUND_WINDOW_MS) {
        return;
      }
      this.removeRefundable(key, grant);
    }
  }

  private removeRefundable(key: string, { cost }: Grant): void {
    this.refundable.delete(key);
    this.refundableCost -= cost;
  }
}
