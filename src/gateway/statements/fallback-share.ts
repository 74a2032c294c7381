/**
 * Local share of a backend's limit, for use while no gateway can issue send rights: the issuing
 * gateway is down, partitioned or not known yet.
 *
 * The fallback shares of all gateways add up to half of the limit, so that gateways with and
 * without an issuer together stay within one and a half times the limit. Nothing accrues while no
 * right is requested. Each gateway starts at a different fill level, since all shares would
 * otherwise become available at the same moment.
 */

/** Fraction of a limit available without an issuer, over all gateways. */
const FALLBACK_SHARE = 0.5;
/**
 * Longest gap between two attempts that still accrues, in milliseconds: a few ticks of the gateway.
 * After a longer gap no right was requested in between.
 */
const MAX_ACCRUAL_GAP_MS = 500;
const MS_PER_S = 1_000;

/** The fallback share of one gateway for one backend. */
export class FallbackShare {
  private lastAttemptAtMs = -Infinity;

  /** `available`: initial fill level, a number in [0, 1) that differs between gateways. */
  constructor(private available: number) {}

  /** Takes one right; returns whether one was available. */
  tryTake(limitPerS: number, gateways: number, nowMs: number): boolean {
    const perMs = (limitPerS * FALLBACK_SHARE) / Math.max(1, gateways) / MS_PER_S;
    const sinceMs = nowMs - this.lastAttemptAtMs;
    this.lastAttemptAtMs = nowMs;
    this.available = Math.min(
      1,
      this.available + (sinceMs <= MAX_ACCRUAL_GAP_MS ? perMs * sinceMs : 0),
    );
    if (this.available < 1) {
      return false;
    }
    this.available -= 1;
    return true;
  }
}
