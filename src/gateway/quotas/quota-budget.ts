/**
 * Division of a tenant's limit into pools, reserves and credits.
 *
 * In any window all gateways together may admit `(rate x window + burst) x (1 + overShare) +
 * slack`. Of that, a few pools get the rate, with half of `overShare` on top, and the burst. The
 * remaining tolerance, the surplus, is divided: `POOL_SHARE` of it adds to the pools' capacity,
 * `RESERVE_SHARE` goes to reserves, `CREDIT_SHARE` to one credit per window. The rest stays unused.
 */
import type { TenantQuota } from '../../routing/configuration.js';

/** Tolerated excess over a tenant's rate and burst, summed over all gateways. */
export interface QuotaTolerance {
  /** Fraction of rate and burst. */
  readonly overShare: number;
  /** Tokens (or requests) on top of that. */
  readonly slack: number;
  /** Sliding window over which the limit is measured, in milliseconds. */
  readonly windowMs: number;
}

/** Configuration of a token bucket, in tokens (or requests) and milliseconds. */
export interface BucketConfig {
  /** Highest level. */
  readonly capacity: number;
  /** Refill rate. */
  readonly refillPerMs: number;
}

/**
 * Maximum number of pools of a tenant, each at a different gateway. A gateway that crashes or is
 * partitioned off takes an eighth of the rate with it. With more pools each would be smaller, and a
 * request must fit into one or be split among several.
 */
export const MAX_POOLS = 8;
/**
 * Shares of the surplus for pools, reserves and a credit; the rest is an unused margin. Pools need
 * capacity beyond the burst, since requests are large relative to one pool. A credit serves a fleet
 * that has restarted as a whole, a reserve a gateway that is partitioned from every holder.
 */
const POOL_SHARE = 0.4;
const RESERVE_SHARE = 0.2;
const CREDIT_SHARE = 0.3;
/**
 * Share of `overShare` added to the pools' refill rate: lost grants would otherwise keep a tenant
 * below its rate.
 */
const POOL_RATE_OVER_SHARE = 0.5;
/** Share of a reserve that is its capacity; the rest is refilled over one window. */
const RESERVE_CAPACITY_SHARE = 0.75;
const MS_PER_S = 1_000;

/** Returns the configuration of each of a tenant's `pools` pools. */
export function poolConfig(
  quota: TenantQuota,
  tolerance: QuotaTolerance,
  pools: number,
): BucketConfig {
  const totalCapacity = quota.burst + POOL_SHARE * surplusOf(quota, tolerance);
  return {
    capacity: totalCapacity / pools,
    refillPerMs: pooledRate(quota, tolerance) / MS_PER_S / pools,
  };
}

/**
 * Returns the amount added at once to each of a tenant's `pools` pools after a restart of the whole
 * fleet.
 */
export function poolCredit(quota: TenantQuota, tolerance: QuotaTolerance, pools: number): number {
  return (CREDIT_SHARE * surplusOf(quota, tolerance)) / pools;
}

/** Returns the configuration of the reserve that each of `gateways` gateways has for a tenant. */
export function reserveConfig(
  quota: TenantQuota,
  tolerance: QuotaTolerance,
  gateways: number,
): BucketConfig {
  const share = (RESERVE_SHARE * surplusOf(quota, tolerance)) / gateways;
  return {
    capacity: share * RESERVE_CAPACITY_SHARE,
    refillPerMs: (share * (1 - RESERVE_CAPACITY_SHARE)) / tolerance.windowMs,
  };
}

/** Returns the most that all gateways together may admit in a window. */
export function maxPerWindow(quota: TenantQuota, tolerance: QuotaTolerance): number {
  const nominal = (quota.ratePerS * tolerance.windowMs) / MS_PER_S + quota.burst;
  return nominal * (1 + tolerance.overShare) + tolerance.slack;
}

/** Returns the total refill rate of a tenant's pools, including a margin for lost grants. */
function pooledRate({ ratePerS }: TenantQuota, { overShare }: QuotaTolerance): number {
  return ratePerS * (1 + overShare * POOL_RATE_OVER_SHARE);
}

function surplusOf(quota: TenantQuota, tolerance: QuotaTolerance): number {
  const pooled = (pooledRate(quota, tolerance) * tolerance.windowMs) / MS_PER_S + quota.burst;
  return maxPerWindow(quota, tolerance) - pooled;
}
