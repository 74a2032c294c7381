/**
 * Estimates the rate at which a service supplies slots to this gateway while requests wait, and the
 * rate at which requests arrive; both determine the expected wait for a queue position.
 */
import { effectiveRank } from '../../slot-agent/waiting-priority.js';
import type { WaitingPriority } from '../../slot-agent/waiting-priority.js';
import { DecayedSum } from '../../decayed-sum.js';

/**
 * Decay time of the rates, in milliseconds: long enough for about ten requests of a small gateway,
 * short enough to detect the end of a burst.
 */
const RATE_DECAY_MS = 3_000;
/**
 * Minimum time with waiting requests before the supply rate is used, in milliseconds: several times
 * the interval between two freed slots of a busy service.
 */
const MIN_BUSY_MS = 50;
/**
 * Fraction of the supply below which what more urgent arrivals leave counts as none. Both rates are
 * based on about ten requests, so a smaller remainder cannot be distinguished from zero.
 */
const MIN_SPARE_SHARE = 0.05;

/** Arrivals of one rank whose requests could still be served in time. */
interface RankArrivals {
  readonly tier: number;
  readonly rankInTier: number;
  readonly count: DecayedSum;
}

/** Estimates the supply of slots of one service and the demand for them. */
export class SlotSupply {
  private readonly allBound = new DecayedSum(RATE_DECAY_MS);
  private readonly boundWhileBusy = new DecayedSum(RATE_DECAY_MS);
  private readonly busyMs = new DecayedSum(RATE_DECAY_MS);
  private readonly arrivals: RankArrivals[] = [];
  private busySinceMs: number | undefined;
  private countedToMs = 0;
  private maxPerMs: number | undefined;

  /** Records the arrival of a request that can still be served in time. */
  noteArrival({ tier, rankInTier }: WaitingPriority, nowMs: number): void {
    let rank = this.arrivals.find((one) => one.tier === tier && one.rankInTier === rankInTier);
    if (rank === undefined) {
      rank = { tier, rankInTier, count: new DecayedSum(RATE_DECAY_MS) };
      this.arrivals.push(rank);
    }
    rank.count.add(1, nowMs);
  }

  /** Caps the supply rate regardless of the estimate; undefined for no cap. */
  limitTo(slotsPerMs: number | undefined): void {
    this.maxPerMs = slotsPerMs;
  }

  /** Records whether requests are waiting. */
  noteWaiting(isWaiting: boolean, nowMs: number): void {
    this.countBusyTime(nowMs);
    if (!isWaiting) {
      this.busySinceMs = undefined;
    } else if (this.busySinceMs === undefined) {
      this.busySinceMs = nowMs;
      this.countedToMs = nowMs;
    }
  }

  /** Records that a request was bound. */
  noteBound(nowMs: number): void {
    this.allBound.add(1, nowMs);
    if (this.busySinceMs !== undefined) {
      this.countBusyTime(nowMs);
      this.boundWhileBusy.add(1, nowMs);
    }
  }

  /** Scales the learned rate at once after the number of slots changed by `factor`. */
  scale(factor: number): void {
    this.allBound.scale(factor);
    this.boundWhileBusy.scale(factor);
  }

  /** Returns for how long requests have been waiting without interruption, in milliseconds. */
  busyForMs(nowMs: number): number {
    return this.busySinceMs === undefined ? 0 : nowMs - this.busySinceMs;
  }

  /**
   * Returns the slots per millisecond while requests wait, within the cap; undefined before there
   * is an estimate or a cap.
   */
  slotsPerMs(nowMs: number): number | undefined {
    const learned = this.learnedPerMs(nowMs);
    return this.maxPerMs === undefined ? learned : Math.min(learned ?? Infinity, this.maxPerMs);
  }

  /**
   * Returns the estimated supply rate without the cap; undefined before there is an estimate.
   * Counts one slot more than were observed, so that a short wait without any has little effect,
   * and never returns less than the recent rate of use.
   */
  private learnedPerMs(nowMs: number): number | undefined {
    this.countBusyTime(nowMs);
    const busyMs = this.busyMs.at(nowMs);
    if (busyMs < MIN_BUSY_MS) {
      return undefined;
    }
    const whileBusy = (this.boundWhileBusy.at(nowMs) + 1) / busyMs;
    return Math.max(whileBusy, this.allBound.at(nowMs) / RATE_DECAY_MS);
  }

  /**
   * Returns the rate per millisecond of arrivals that are ordered before a request of `priority`.
   */
  arrivalsPerMsBefore(priority: WaitingPriority, isLate: boolean, nowMs: number): number {
    const rank = effectiveRank(priority, isLate);
    const before = this.arrivals.filter(
      ({ tier, rankInTier }) =>
        tier < priority.tier || (tier === priority.tier && rankInTier < rank),
    );
    return before.reduce((sum, { count }) => sum + count.at(nowMs), 0) / RATE_DECAY_MS;
  }

  /**
   * Returns the expected wait of a request behind `ahead` others, in milliseconds; 0 before there
   * is an estimate, Infinity when requests ordered before it take every slot.
   */
  expectedWaitMs(priority: WaitingPriority, ahead: number, isLate: boolean, nowMs: number): number {
    const slotsPerMs = this.slotsPerMs(nowMs);
    if (slotsPerMs === undefined) {
      return 0;
    }
    const sparePerMs = slotsPerMs - this.arrivalsPerMsBefore(priority, isLate, nowMs);
    return sparePerMs <= slotsPerMs * MIN_SPARE_SHARE ? Infinity : (ahead + 1) / sparePerMs;
  }

  private countBusyTime(nowMs: number): void {
    if (this.busySinceMs !== undefined && nowMs > this.countedToMs) {
      this.busyMs.add(nowMs - this.countedToMs, nowMs);
      this.countedToMs = nowMs;
    }
  }
}
