/**
 * How a tenant's limit is divided among those who may let requests pass.
 *
 * In any window all gateways together may let pass `(rate x window + burst) x (1 + over) + slack`. Of that, a few
 * pools hold the rate, with half of `over` on top, and the burst. What is tolerated beyond, the surplus, is divided:
 * `POOL_SHARE` of it is stock of the pools, `RESERVE_SHARE` are reserves, `CREDIT_SHARE` is for one credit in a window.
 * The rest is left unused.
 */
import type { TenantQuota } from '../../routing/configuration.js';

/** What is tolerated beyond a tenant's rate and burst, over all gateways. */
export interface QuotaTolerance {
  /** Share of rate and burst. */
  readonly overShare: number;
  /** Tokens (or requests) beside that. */
  readonly slack: number;
  /** Window that the limit is counted in, in milliseconds. */
  readonly windowMs: number;
}

/** A bucket's terms, in tokens (or requests) and milliseconds. */
export interface BucketTerms {
  /** Most that it ever holds. */
  readonly capacity: number;
  readonly perMs: number;
}

/**
 * Pools of each tenant, at as many gateways if there are so many. One that dies or is cut off takes an eighth of the
 * rate with it. More of them would hold less each, and a request must fit into one or be put together from several.
 */
export const MAX_POOLS = 8;
/**
 * Shares of the surplus that pools, reserves and a credit hold; the rest is a margin that nobody uses. Pools need stock
 * beside the burst, since requests are large against what one of them holds. A credit serves a fleet that has started again
 * as a whole, a reserve a gateway that is cut off from every holder.
 */
const POOL_SHARE = 0.4;
const RESERVE_SHARE = 0.2;
const CREDIT_SHARE = 0.3;
/** Part of the share above a tenant's rate that flows into its pools, so that what is lost on the way does not hold it below its rate. */
const OVER_SHARE_IN_RATE = 0.5;
/** Share of a reserve that is its stock; the rest flows into it during a window. */
const RESERVE_STOCK_SHARE = 0.75;
const MS_PER_S = 1_000;

/** Terms of each of a tenant's `pools` pools. */
export function poolTerms(
  quota: TenantQuota,
  tolerance: QuotaTolerance,
  pools: number,
): BucketTerms {
  const stock = quota.burst + POOL_SHARE * surplusOf(quota, tolerance);
  return {
    capacity: stock / pools,
    perMs: pooledRate(quota, tolerance) / MS_PER_S / pools,
  };
}

/** What flows at once into each of a tenant's `pools` pools, after a fleet has started again as a whole. */
export function poolCredit(quota: TenantQuota, tolerance: QuotaTolerance, pools: number): number {
  return (CREDIT_SHARE * surplusOf(quota, tolerance)) / pools;
}

/** Terms of the reserve that each of `gateways` gateways has for a tenant. */
export function reserveTerms(
  quota: TenantQuota,
  tolerance: QuotaTolerance,
  gateways: number,
): BucketTerms {
  const share = (RESERVE_SHARE * surplusOf(quota, tolerance)) / gateways;
  return {
    capacity: share * RESERVE_STOCK_SHARE,
    perMs: (share * (1 - RESERVE_STOCK_SHARE)) / tolerance.windowMs,
  };
}

/** Most that may pass in a window, over all gateways. */
export function windowBound(quota: TenantQuota, tolerance: QuotaTolerance): number {
  const nominal = (quota.ratePerS * tolerance.windowMs) / MS_PER_S + quota.burst;
  return nominal * (1 + tolerance.overShare) + tolerance.slack;
}

/** Rate of a tenant's pools together: a tenant over its limit is not held below it by what is lost on the way. */
function pooledRate({ ratePerS }: TenantQuota, { overShare }: QuotaTolerance): number {
  return ratePerS * (1 + overShare * OVER_SHARE_IN_RATE);
}

function surplusOf(quota: TenantQuota, tolerance: QuotaTolerance): number {
  const pooled = (pooledRate(quota, tolerance) * tolerance.windowMs) / MS_PER_S + quota.burst;
  return windowBound(quota, tolerance) - pooled;
}
