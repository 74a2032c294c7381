/** The quota pools that this gateway holds; a request for a cost is granted in full or refused. */
import { DecayedSum } from '../../decayed-sum.js';
import type { TenantQuota } from '../../routing/configuration.js';
import { QuotaBucket } from './quota-bucket.js';
import { poolCredit, poolConfig } from './quota-budget.js';
import type { BucketConfig, QuotaTolerance } from './quota-budget.js';

/** A holder's response to a quota request; sent as `grant` in `quota-answer`. */
export type QuotaDecision =
  | {
      readonly isGranted: true;
      /** Delay before the grant may be used, in milliseconds; above 0 for an advance grant. */
      readonly afterMs: number;
    }
  | {
      readonly isGranted: false;
      /** Time until the pool could grant the cost if no other request came, in milliseconds. */
      readonly emptyForMs: number;
      /** Suggested delay before the caller retries, in milliseconds. */
      readonly retryAfterMs: number;
      /** Level of the pool. */
      readonly left: number;
      /** Whether the responding gateway holds a pool of the tenant. */
      readonly isHeld: boolean;
    };

/** A refused quota request. */
export type QuotaRefusal = Exclude<QuotaDecision, { readonly isGranted: true }>;

/** Cost requested from a pool. */
export interface RequestedCost {
  /** Tokens, or requests; above 0. */
  readonly cost: number;
  /** Cost of the whole request, of which `cost` may be a part. */
  readonly whole: number;
  /** Whether an advance grant, valid only after its `afterMs`, is acceptable. */
  readonly mayWait: boolean;
}

/** Dependencies of the pools. */
export interface QuotaPoolsPorts {
  /**
   * Returns the tenant's quota in the current configuration; undefined if it has none or is
   * unknown.
   */
  quotaOf(tenant: string): TenantQuota | undefined;
  /**
   * Returns when this gateway became the only holder of its pool of the tenant, in milliseconds;
   * undefined if it is not.
   */
  heldSinceMs(tenant: string): number | undefined;
  /** Returns the number of pools that each tenant's quota is divided into. */
  countPools(): number;
  /** Called when a pool becomes exhausted, and once it has recovered. */
  onExhaustedChange(
    tenant: string,
    isExhausted: boolean,
    level: number,
    config: BucketConfig,
  ): void;
}

/**
 * Longest delay of an advance grant, in milliseconds. Pools are empty after a start; without
 * advance grants tenants below their limits would be refused.
 */
export const MAX_ADVANCE_GRANT_MS = 200;
/**
 * Time for which a tenant's largest request is remembered, in milliseconds. A pool grants nothing
 * while its level is below the largest recent request: when demand exceeds the refill rate, small
 * requests would otherwise starve large ones of the same tenant.
 */
const LARGEST_COST_TTL_MS = 60_000;
/**
 * Time constant of the decaying sum of refused cost, by which overload of a pool is detected, in
 * milliseconds: a few times the longest delay of an advance grant.
 */
const REFUSED_DECAY_MS = 1_000;
/** Retry delay returned for a tenant without quota or pool at this gateway, in milliseconds. */
const NO_POOL_RETRY_MS = 100;
/**
 * Bounds of the retry delay returned to a caller, in milliseconds. A request that is retried late
 * takes quota from another that would still meet its deadline.
 */
const MIN_RETRY_AFTER_MS = 50;
const MAX_RETRY_AFTER_MS = 1_000;

class Pool {
  readonly refused = new DecayedSum(REFUSED_DECAY_MS);
  isExhausted = false;
  private largestCost = 0;
  private largestCostAtMs = -Infinity;

  constructor(
    readonly bucket: QuotaBucket,
    readonly unit: TenantQuota['unit'],
  ) {}

  /**
   * Whether advance grants are useful: a high recently refused cost means that demand exceeds the
   * refill rate, and queueing would then delay every grant without serving more requests.
   */
  allowsAdvanceGrants({ refillPerMs }: BucketConfig, nowMs: number): boolean {
    return this.refused.at(nowMs) <= refillPerMs * MAX_ADVANCE_GRANT_MS;
  }

  /** Returns the level below which a request for `cost` is not granted at once. */
  threshold({ cost, whole }: RequestedCost, { capacity }: BucketConfig, nowMs: number): number {
    if (whole >= this.largestCost || nowMs - this.largestCostAtMs > LARGEST_COST_TTL_MS) {
      this.largestCost = whole;
      this.largestCostAtMs = nowMs;
    }
    return Math.max(cost, Math.min(this.largestCost * (cost / whole), capacity / 2));
  }
}

/** The pools that this gateway holds. */
export class QuotaPools {
  private readonly pools = new Map<string, Pool>();

  constructor(
    private readonly tolerance: QuotaTolerance,
    private readonly ports: QuotaPoolsPorts,
  ) {}

  /** Requests `cost` from a tenant's pool; `grant` is the key for a later refund. */
  acquire(tenant: string, requested: RequestedCost, grant: string, nowMs: number): QuotaDecision {
    const { cost, mayWait } = requested;
    const quota = this.ports.quotaOf(tenant);
    const pool = quota && this.poolOf(tenant, quota, nowMs);
    if (quota === undefined || pool === undefined) {
      return {
        isGranted: false,
        emptyForMs: NO_POOL_RETRY_MS,
        retryAfterMs: NO_POOL_RETRY_MS,
        left: 0,
        isHeld: false,
      };
    }
    const config = this.configOf(quota);
    const level = pool.bucket.levelAt(config, nowMs);
    const missing = pool.threshold(requested, config, nowMs) - level;
    this.updateExhausted(tenant, pool, missing > 0, level, config);
    const afterMs = Math.max(0, missing / config.refillPerMs);
    const isInTime =
      afterMs <= (mayWait && pool.allowsAdvanceGrants(config, nowMs) ? MAX_ADVANCE_GRANT_MS : 0);
    if (isInTime && pool.bucket.take(grant, cost, config, nowMs, afterMs)) {
      return { isGranted: true, afterMs };
    }
    if (mayWait) {
      // Last round of the charge: this refusal is final.
      pool.refused.add(cost, nowMs);
    }
    return {
      isGranted: false,
      emptyForMs: afterMs,
      retryAfterMs: Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, afterMs)),
      left: level,
      isHeld: true,
    };
  }

  /** Refunds an unused grant. */
  refund(tenant: string, grant: string, nowMs: number): void {
    this.pools.get(tenant)?.bucket.refund(grant, nowMs);
  }

  /** Returns the level of each pool, by tenant. */
  levels(nowMs: number): ReadonlyMap<string, number> {
    const levels = new Map<string, number>();
    for (const [tenant, pool] of this.pools) {
      const quota = this.ports.quotaOf(tenant);
      if (quota !== undefined) {
        levels.set(tenant, pool.bucket.levelAt(this.configOf(quota), nowMs));
      }
    }
    return levels;
  }

  /** Adds its share of one credit to each held pool. */
  credit(tenants: readonly string[], nowMs: number): void {
    for (const tenant of tenants) {
      const quota = this.ports.quotaOf(tenant);
      const pool = quota && this.poolOf(tenant, quota, nowMs);
      if (quota !== undefined && pool !== undefined) {
        const amount = poolCredit(quota, this.tolerance, this.ports.countPools());
        pool.bucket.add(amount, this.configOf(quota), nowMs);
      }
    }
  }

  /** Discards pools that this gateway no longer holds, including their level. */
  dropLostPools(): void {
    for (const tenant of this.pools.keys()) {
      if (this.ports.heldSinceMs(tenant) === undefined) {
        this.pools.delete(tenant);
      }
    }
  }

  private configOf(quota: TenantQuota): BucketConfig {
    return poolConfig(quota, this.tolerance, this.ports.countPools());
  }

  private poolOf(tenant: string, quota: TenantQuota, nowMs: number): Pool | undefined {
    const sinceMs = this.ports.heldSinceMs(tenant);
    if (sinceMs === undefined) {
      this.pools.delete(tenant);
      return undefined;
    }
    const existing = this.pools.get(tenant);
    if (existing?.unit === quota.unit) {
      return existing;
    }
    // A level counted in another unit cannot be converted.
    const bucket = new QuotaBucket(existing === undefined ? sinceMs : nowMs);
    const created = new Pool(bucket, quota.unit);
    this.pools.set(tenant, created);
    return created;
  }

  private updateExhausted(
    tenant: string,
    pool: Pool,
    isExhausted: boolean,
    level: number,
    config: BucketConfig,
  ): void {
    // Hysteresis: reported as recovered only at half its capacity, to avoid a log line per request
    // near empty.
    if (isExhausted ? !pool.isExhausted : pool.isExhausted && level >= config.capacity / 2) {
      pool.isExhausted = isExhausted;
      this.ports.onExhaustedChange(tenant, isExhausted, level, config);
    }
  }
}
