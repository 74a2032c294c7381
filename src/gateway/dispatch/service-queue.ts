/** The requests that wait for one service, and how long each is expected to wait. */
import { isLate } from '../../slot-agent/waiting-order.js';
import type { WaitingPlace } from '../../slot-agent/waiting-order.js';
import type { DispatchRequest } from './dispatch-request.js';
import { SlotSupply } from './slot-supply.js';
import { WaitingQueue } from './waiting-queue.js';

/** The queue of one service. */
export class ServiceQueue {
  private readonly queue = new WaitingQueue();
  private readonly supply = new SlotSupply();

  /** How many wait. */
  get length(): number {
    return this.queue.length;
  }

  /** The requests, first in order first. */
  inOrder(nowMs: number): readonly DispatchRequest[] {
    return this.queue.inOrder(nowMs);
  }

  /** A request arrives; it may be bound at once. */
  add(request: DispatchRequest, nowMs: number): void {
    if (!isLate(request, nowMs)) {
      this.supply.noteArrival(request, nowMs);
    }
    this.queue.add(request);
  }

  /** Takes a request out; false if it does not wait. */
  remove(request: DispatchRequest): boolean {
    return this.queue.remove(request);
  }

  /** No more slots than these can be had for now; undefined for no limit. */
  limitSupply(slotsPerMs: number | undefined): void {
    this.supply.limitTo(slotsPerMs);
  }

  /** A request of the service got a slot. */
  noteBound(nowMs: number): void {
    this.supply.noteBound(nowMs);
  }

  /** Of `before` slots of the service `after` are left, or came back. */
  scaleSupply(before: number, after: number): void {
    // Without any there is no supply to reckon by; what was learned before then is kept.
    if (before > 0 && after > 0) {
      this.supply.scale(after / before);
    }
  }

  /** What could be bound is bound; what is left waits. To be called after each change. */
  settle(nowMs: number): void {
    this.supply.noteWaiting(this.queue.length > 0, nowMs);
  }

  /** Expected time until a request is bound, in milliseconds; Infinity if others take every slot. */
  expectedWaitMs(request: WaitingPlace, nowMs: number): number {
    const ahead = this.queue.countBefore(request, nowMs);
    return this.supply.expectedWaitMs(request, ahead, isLate(request, nowMs), nowMs);
  }

  /** The same for the time when it is late and stands behind those that are not. */
  expectedLateWaitMs(request: WaitingPlace, nowMs: number): number {
    return this.expectedWaitMs({ ...request, startByMs: -Infinity }, nowMs);
  }

  /**
   * Expected time until the place that a refused request would get is free, in milliseconds. Where more
   * urgent requests take every slot, the shortage is expected to last as long as it has lasted.
   */
  expectedRecoveryMs(request: WaitingPlace, nowMs: number): number {
    const waitMs = this.expectedLateWaitMs(request, nowMs);
    return Number.isFinite(waitMs) ? waitMs : this.supply.busyForMs(nowMs);
  }
}
