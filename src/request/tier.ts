/** Service tiers: 1 is the highest; a larger number is a lower tier. */

/** A service tier, a whole number from 1 (highest) to `LOWEST_TIER`. */
export type Tier = number;

/** The highest tier. */
export const HIGHEST_TIER: Tier = 1;

/** The lowest tier that a selector may assign. */
export const LOWEST_TIER: Tier = 9;

/** Whether `left` is served before `right`. */
export function isHigherTier(left: Tier, right: Tier): boolean {
  return left < right;
}
