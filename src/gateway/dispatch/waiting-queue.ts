/** The waiting requests of one service, in order. */
import { compareWaitingPriority } from '../../slot-agent/waiting-priority.js';
import type { WaitingPriority } from '../../slot-agent/waiting-priority.js';
import type { DispatchRequest } from './dispatch-request.js';

/** Queues the waiting requests of one service. */
export class WaitingQueue {
  private requests: DispatchRequest[] = [];

  get length(): number {
    return this.requests.length;
  }

  add(request: DispatchRequest): void {
    this.requests.push(request);
  }

  /** Removes a request; returns false if it is not queued. */
  remove(request: DispatchRequest): boolean {
    const index = this.requests.indexOf(request);
    if (index < 0) {
      return false;
    }
    this.requests.splice(index, 1);
    return true;
  }

  /** Returns the requests in queue order. */
  inOrder(nowMs: number): readonly DispatchRequest[] {
    // The array is nearly sorted: only new requests and those that became late are out of place.
    this.requests.sort((left, right) => compareWaitingPriority(left, right, nowMs));
    return [...this.requests];
  }

  /** Returns the number of waiting requests ordered before one of `priority`. */
  countBefore(priority: WaitingPriority, nowMs: number): number {
    return this.requests.filter((other) => compareWaitingPriority(other, priority, nowMs) < 0)
      .length;
  }

  /** Returns the waiting requests that would be ordered before `request` if it were added. */
  before(request: WaitingPriority, nowMs: number): readonly DispatchRequest[] {
    return this.requests.filter((other) => compareWaitingPriority(other, request, nowMs) <= 0);
  }
}
