/** The pools that this gateway holds: who asks is granted all of a cost, or nothing. */
import { DecayedSum } from '../../decayed-sum.js';
import type { TenantQuota } from '../../routing/configuration.js';
import { QuotaBucket } from './quota-bucket.js';
import { poolCredit, poolTerms } from './quota-terms.js';
import type { BucketTerms, QuotaTolerance } from './quota-terms.js';

/** What a holder answers. */
export type QuotaGrant =
  | {
      readonly isGranted: true;
      /** Time that must pass before it is used, in milliseconds; 0 for none. */
      readonly afterMs: number;
    }
  | {
      readonly isGranted: false;
      /** Time until the pool grants again if nobody else asks, in milliseconds. */
      readonly emptyForMs: number;
      /** When a caller may usefully try again, in milliseconds. */
      readonly retryAfterMs: number;
      /** What the pool holds. */
      readonly left: number;
      /** Whether the gateway that was asked holds a pool of the tenant. */
      readonly isHeld: boolean;
    };

/** A grant that was refused. */
export type RefusedGrant = Exclude<QuotaGrant, { readonly isGranted: true }>;

/** What is asked of a pool. */
export interface AskedCost {
  /** Tokens, or requests; above 0. */
  readonly cost: number;
  /** What the whole request costs, where this is a part of it. */
  readonly whole: number;
  /** Whether a grant of what flows in a little later is of use. */
  readonly mayWait: boolean;
}

/** What pools need to know. */
export interface QuotaPoolsPorts {
  /** The quota of a tenant in the configuration in force; undefined for one that has none, or is not known. */
  quotaOf(tenant: string): TenantQuota | undefined;
  /** Since when this gateway alone has the right to a pool of the tenant, in milliseconds; undefined if not. */
  heldSinceMs(tenant: string): number | undefined;
  /** Pools that a tenant's quota is divided among. */
  countPools(): number;
  /** A pool ran dry, or grants again after that. */
  onDry(tenant: string, isDry: boolean, level: number, terms: BucketTerms): void;
}

/**
 * Longest time for which a request may wait for what flows into a pool, in milliseconds: pools are empty after a start,
 * and tenants below their limits would be refused for it.
 */
export const MAX_AHEAD_MS = 200;
/**
 * Memory of the largest request of a tenant, in milliseconds. A pool grants nothing before it holds as much as the
 * largest lately asked for: when more is asked than flows in, small requests would otherwise take all of it, and
 * large ones of the same tenant would never be served.
 */
const LARGEST_MEMORY_MS = 60_000;
/**
 * Memory of what was refused, by which a pool that is over its rate is known, in milliseconds: a few of the times that a
 * request may wait.
 */
const REFUSED_MEMORY_MS = 1_000;
/** Pause named for a tenant that this gateway cannot grant anything, in milliseconds. */
const UNKNOWN_PAUSE_MS = 100;
/**
 * Bounds of the pause named to a caller, in milliseconds. One that returns late displaces another that would be in time.
 */
const MIN_RETRY_AFTER_MS = 50;
const MAX_RETRY_AFTER_MS = 1_000;

class Pool {
  readonly refused = new DecayedSum(REFUSED_MEMORY_MS);
  isDry = false;
  private largest = 0;
  private largestAtMs = -Infinity;

  constructor(
    readonly bucket: QuotaBucket,
    readonly unit: TenantQuota['unit'],
  ) {}

  /**
   * Whether waiting is of use: where much was refused lately more is asked than flows in, and a queue before the pool
   * would make all that is granted late and serve no more.
   */
  isWaitingUseful({ perMs }: BucketTerms, nowMs: number): boolean {
    return this.refused.at(nowMs) <= perMs * MAX_AHEAD_MS;
  }

  /** Level below which nothing is granted to an ask for a part of a request, or the whole. */
  threshold({ cost, whole }: AskedCost, { capacity }: BucketTerms, nowMs: number): number {
    if (whole >= this.largest || nowMs - this.largestAtMs > LARGEST_MEMORY_MS) {
      this.largest = whole;
      this.largestAtMs = nowMs;
    }
    return Math.max(cost, Math.min(this.largest * (cost / whole), capacity / 2));
  }
}

/** The pools that this gateway holds. */
export class QuotaPools {
  private readonly pools = new Map<string, Pool>();

  constructor(
    private readonly tolerance: QuotaTolerance,
    private readonly ports: QuotaPoolsPorts,
  ) {}

  /** Asks for a part of a tenant's pool, or the whole cost; `grant` names it, should it be given back. */
  ask(tenant: string, asked: AskedCost, grant: string, nowMs: number): QuotaGrant {
    const { cost, mayWait } = asked;
    const quota = this.ports.quotaOf(tenant);
    const pool = quota && this.poolOf(tenant, quota, nowMs);
    if (quota === undefined || pool === undefined) {
      return {
        isGranted: false,
        emptyForMs: UNKNOWN_PAUSE_MS,
        retryAfterMs: UNKNOWN_PAUSE_MS,
        left: 0,
        isHeld: false,
      };
    }
    const terms = this.termsOf(quota);
    const level = pool.bucket.levelAt(terms, nowMs);
    const lacking = pool.threshold(asked, terms, nowMs) - level;
    this.noteDry(tenant, pool, lacking > 0, level, terms);
    const afterMs = Math.max(0, lacking / terms.perMs);
    const isInTime = afterMs <= (mayWait && pool.isWaitingUseful(terms, nowMs) ? MAX_AHEAD_MS : 0);
    if (isInTime && pool.bucket.take(grant, cost, terms, nowMs, afterMs)) {
      return { isGranted: true, afterMs };
    }
    if (mayWait) {
      // Nothing else is tried for it.
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

  /** A grant was not used. */
  giveBack(tenant: string, grant: string, nowMs: number): void {
    this.pools.get(tenant)?.bucket.giveBack(grant, nowMs);
  }

  /** What the pools hold, by tenant. */
  levels(nowMs: number): ReadonlyMap<string, number> {
    const levels = new Map<string, number>();
    for (const [tenant, pool] of this.pools) {
      const quota = this.ports.quotaOf(tenant);
      if (quota !== undefined) {
        levels.set(tenant, pool.bucket.levelAt(this.termsOf(quota), nowMs));
      }
    }
    return levels;
  }

  /** Each pool is given its part of a credit once. */
  credit(tenants: readonly string[], nowMs: number): void {
    for (const tenant of tenants) {
      const quota = this.ports.quotaOf(tenant);
      const pool = quota && this.poolOf(tenant, quota, nowMs);
      if (quota !== undefined && pool !== undefined) {
        const amount = poolCredit(quota, this.tolerance, this.ports.countPools());
        pool.bucket.add(amount, this.termsOf(quota), nowMs);
      }
    }
  }

  /** The rights may have changed: pools that are held no more are dropped with what is in them. */
  review(): void {
    for (const tenant of this.pools.keys()) {
      if (this.ports.heldSinceMs(tenant) === undefined) {
        this.pools.delete(tenant);
      }
    }
  }

  private termsOf(quota: TenantQuota): BucketTerms {
    return poolTerms(quota, this.tolerance, this.ports.countPools());
  }

  private poolOf(tenant: string, quota: TenantQuota, nowMs: number): Pool | undefined {
    const sinceMs = this.ports.heldSinceMs(tenant);
    if (sinceMs === undefined) {
      this.pools.delete(tenant);
      return undefined;
    }
    const known = this.pools.get(tenant);
    if (known?.unit === quota.unit) {
      return known;
    }
    // What was counted in another unit says nothing of this one.
    const bucket = new QuotaBucket(known === undefined ? sinceMs : nowMs);
    const created = new Pool(bucket, quota.unit);
    this.pools.set(tenant, created);
    return created;
  }

  private noteDry(
    tenant: string,
    pool: Pool,
    isDry: boolean,
    level: number,
    terms: BucketTerms,
  ): void {
    // It is told dry no more once it holds half again: at the brink a line for each request would come.
    if (isDry ? !pool.isDry : pool.isDry && level >= terms.capacity / 2) {
      pool.isDry = isDry;
      this.ports.onDry(tenant, isDry, level, terms);
    }
  }
}
