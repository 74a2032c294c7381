/** The queue of one service, with wait estimates. */
import { isLate } from '../../slot-agent/waiting-priority.js';
import type { WaitingPriority } from '../../slot-agent/waiting-priority.js';
import type { DispatchRequest } from './dispatch-request.js';
import { SlotSupply } from './slot-supply.js';
import { WaitingQueue } from './waiting-queue.js';

/** Queues the requests of one service and estimates their waits. */
export class ServiceQueue {
  private readonly queue = new WaitingQueue();
  private readonly supply = new SlotSupply();

  get length(): number {
    return this.queue.length;
  }

  /** Returns the requests in queue order. */
  inOrder(nowMs: number): readonly DispatchRequest[] {
    return this.queue.inOrder(nowMs);
  }

  /** Returns the waiting requests that would be ordered before `request` if it were added. */
  before(request: WaitingPriority, nowMs: number): readonly DispatchRequest[] {
    return this.queue.before(request, nowMs);
  }

  /** Adds a request, which may be bound at once. */
  add(request: DispatchRequest, nowMs: number): void {
    if (!isLate(request, nowMs)) {
      this.supply.noteArrival(request, nowMs);
    }
    this.queue.add(request);
  }

  /** Removes a request; returns false if it is not queued. */
  remove(request: DispatchRequest): boolean {
    return this.queue.remove(request);
  }

  /** Caps the estimated supply of slots; undefined for no cap. */
  limitSupply(slotsPerMs: number | undefined): void {
    this.supply.limitTo(slotsPerMs);
  }

  /** Records that a request of the service got a slot. */
  noteBound(nowMs: number): void {
    this.supply.noteBound(nowMs);
  }

  /** Scales the supply estimate after a change from `before` to `after` slots of the service. */
  scaleSupply(before: number, after: number): void {
    // Without any slots there is no supply to scale; the previous estimate is retained.
    if (before > 0 && after > 0) {
      this.supply.scale(after / before);
    }
  }

  /**
   * Records whether requests are left waiting. Must be called after each change, once all possible
   * requests are bound.
   */
  settle(nowMs: number): void {
    this.supply.noteWaiting(this.queue.length > 0, nowMs);
  }

  /**
   * Returns the expected time until a request is bound, in milliseconds; Infinity if more urgent
   * requests take every slot.
   */
  expectedWaitMs(request: WaitingPriority, nowMs: number): number {
    const ahead = this.queue.countBefore(request, nowMs);
    return this.supply.expectedWaitMs(request, ahead, isLate(request, nowMs), nowMs);
  }

  /**
   * Like `expectedWaitMs`, for the time when the request is late and queued behind those that are
   * not.
   */
  expectedLateWaitMs(request: WaitingPriority, nowMs: number): number {
    return this.expectedWaitMs({ ...request, startByMs: -Infinity }, nowMs);
  }

  /**
   * Returns the expected time until a refused request could be served, in milliseconds. Where more
   * urgent requests take every slot, the shortage is expected to last as long as it has lasted so
   * far.
   */
  expectedRecoveryMs(request: WaitingPriority, nowMs: number): number {
    const waitMs = this.expectedLateWaitMs(request, nowMs);
    return Number.isFinite(waitMs) ? waitMs : this.supply.busyForMs(nowMs);
  }
}
