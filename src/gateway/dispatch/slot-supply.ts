/**
 * Learns how fast a service gives slots to this gateway while requests wait, and how fast requests
 * arrive; from both follows how long a place in the order has to wait.
 */
import { rankOf } from '../../slot-agent/waiting-order.js';
import type { WaitingPlace } from '../../slot-agent/waiting-order.js';
import { DecayedSum } from '../../decayed-sum.js';

/**
 * Memory of the rates, in milliseconds: long enough for some ten requests of a small gateway, short
 * enough to see a burst end.
 */
const MEMORY_MS = 3_000;
/**
 * Requests wait for at least this time before the rate at which they are served says anything, in
 * milliseconds: some times the pause between two freed slots of a busy service.
 */
const MIN_BUSY_MS = 50;
/**
 * What is left of the supply beside more urgent arrivals counts as nothing below this share of it: both rates
 * come from some ten requests, so a smaller rest cannot be told from none.
 */
const MIN_SPARE_SHARE = 0.05;

/** Requests of one rank that could still be answered in time when they came. */
interface RankArrivals {
  readonly tier: number;
  readonly rankInTier: number;
  readonly count: DecayedSum;
}

/** Supply of slots of one service, and the demand for them. */
export class SlotSupply {
  private readonly allBound = new DecayedSum(MEMORY_MS);
  private readonly boundWhileBusy = new DecayedSum(MEMORY_MS);
  private readonly busyMs = new DecayedSum(MEMORY_MS);
  private readonly arrivals: RankArrivals[] = [];
  private busySinceMs: number | undefined;
  private countedToMs = 0;
  private mostPerMs: number | undefined;

  /** A request that can be in time arrives. */
  noteArrival({ tier, rankInTier }: WaitingPlace, nowMs: number): void {
    let rank = this.arrivals.find((one) => one.tier === tier && one.rankInTier === rankInTier);
    if (rank === undefined) {
      rank = { tier, rankInTier, count: new DecayedSum(MEMORY_MS) };
      this.arrivals.push(rank);
    }
    rank.count.add(1, nowMs);
  }

  /** No more can be had for now, whatever was seen before; undefined for no limit. */
  limitTo(slotsPerMs: number | undefined): void {
    this.mostPerMs = slotsPerMs;
  }

  /** Requests begin to wait, or none does any more. */
  noteWaiting(isWaiting: boolean, nowMs: number): void {
    this.countBusyTime(nowMs);
    if (!isWaiting) {
      this.busySinceMs = undefined;
    } else if (this.busySinceMs === undefined) {
      this.busySinceMs = nowMs;
      this.countedToMs = nowMs;
    }
  }

  /** A request is bound. */
  noteBound(nowMs: number): void {
    this.allBound.add(1, nowMs);
    if (this.busySinceMs !== undefined) {
      this.countBusyTime(nowMs);
      this.boundWhileBusy.add(1, nowMs);
    }
  }

  /** The service has `factor` times the slots that it had: what was learned of its rate is scaled at once. */
  scale(factor: number): void {
    this.allBound.scale(factor);
    this.boundWhileBusy.scale(factor);
  }

  /** For how long requests have been waiting without a break, in milliseconds. */
  busyForMs(nowMs: number): number {
    return this.busySinceMs === undefined ? 0 : nowMs - this.busySinceMs;
  }

  /**
   * Slots in a millisecond while requests wait; undefined while nothing was learned. One slot more than
   * were seen is assumed, so that a short wait without any says little, and never less than was used of late.
   */
  slotsPerMs(nowMs: number): number | undefined {
    const learned = this.learnedPerMs(nowMs);
    return this.mostPerMs === undefined ? learned : Math.min(learned ?? Infinity, this.mostPerMs);
  }

  private learnedPerMs(nowMs: number): number | undefined {
    this.countBusyTime(nowMs);
    const busyMs = this.busyMs.at(nowMs);
    if (busyMs < MIN_BUSY_MS) {
      return undefined;
    }
    const whileBusy = (this.boundWhileBusy.at(nowMs) + 1) / busyMs;
    return Math.max(whileBusy, this.allBound.at(nowMs) / MEMORY_MS);
  }

  /** Requests in a millisecond that go before `place`, now and as they come. */
  arrivalsPerMsBefore(place: WaitingPlace, isLate: boolean, nowMs: number): number {
    const rank = rankOf(place, isLate);
    const before = this.arrivals.filter(
      ({ tier, rankInTier }) => tier < place.tier || (tier === place.tier && rankInTier < rank),
    );
    return before.reduce((sum, { count }) => sum + count.at(nowMs), 0) / MEMORY_MS;
  }

  /**
   * Expected wait of a place behind `ahead` others, in milliseconds; 0 while nothing was learned,
   * Infinity when what goes before it takes every slot.
   */
  expectedWaitMs(place: WaitingPlace, ahead: number, isLate: boolean, nowMs: number): number {
    const slotsPerMs = this.slotsPerMs(nowMs);
    if (slotsPerMs === undefined) {
      return 0;
    }
    const sparePerMs = slotsPerMs - this.arrivalsPerMsBefore(place, isLate, nowMs);
    return sparePerMs <= slotsPerMs * MIN_SPARE_SHARE ? Infinity : (ahead + 1) / sparePerMs;
  }

  private countBusyTime(nowMs: number): void {
    if (this.busySinceMs !== undefined && nowMs > this.countedToMs) {
      this.busyMs.add(nowMs - this.countedToMs, nowMs);
      this.countedToMs = nowMs;
    }
  }
}
