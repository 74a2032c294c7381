/** Service tiers (priority classes): 1 is the highest; larger numbers are lower tiers. */

/** A service tier: an integer from 1 (highest) to `LOWEST_TIER`. */
export type Tier = number;

/** The highest tier. */
export const HIGHEST_TIER: Tier = 1;

/** The lowest tier that a selector may assign. */
export const LOWEST_TIER: Tier = 9;

/** Whether tier `left` has priority over tier `right`. */
export function isHigherTier(left: Tier, right: Tier): boolean {
  return left < right;
}
