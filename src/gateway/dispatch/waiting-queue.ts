/** The requests of one service that wait for a back end. */
import { compareWaiting } from '../../slot-agent/waiting-order.js';
import type { WaitingPlace } from '../../slot-agent/waiting-order.js';
import type { DispatchRequest } from './dispatch-request.js';

/** Requests that wait for one service. */
export class WaitingQueue {
  private requests: DispatchRequest[] = [];

  /** How many wait. */
  get length(): number {
    return this.requests.length;
  }

  /** Adds a request. */
  add(request: DispatchRequest): void {
    this.requests.push(request);
  }

  /** Takes a request out; false if it does not wait. */
  remove(request: DispatchRequest): boolean {
    const index = this.requests.indexOf(request);
    if (index < 0) {
      return false;
    }
    this.requests.splice(index, 1);
    return true;
  }

  /** The requests, first in order first. */
  inOrder(nowMs: number): readonly DispatchRequest[] {
    // What was sorted last stays sorted but for the requests that became late or came since.
    this.requests.sort((left, right) => compareWaiting(left, right, nowMs));
    return [...this.requests];
  }

  /** Requests that go before `place`. */
  countBefore(place: WaitingPlace, nowMs: number): number {
    return this.requests.filter((other) => compareWaiting(other, place, nowMs) < 0).length;
  }
}
