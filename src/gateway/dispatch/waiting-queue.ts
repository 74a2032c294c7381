/** The requests of one service that wait for a back end. */
import { compareWaiting, isLate } from '../../slot-agent/waiting-order.js';
import type { DispatchRequest } from './dispatch-request.js';

/**
 * How long after a refusal for lack of slots late requests stay behind, in milliseconds. In that
 * time the next request that can be in time is due within a few tens of milliseconds, and an answer
 * in time is worth several late ones; a slot is better kept free for it.
 */
const SHEDDING_MS = 300;

/** Requests that wait for one service. */
export class WaitingQueue {
  private requests: DispatchRequest[] = [];
  private shedAtMs = -Infinity;

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

  /** A request that could have been in time was refused for lack of slots. */
  noteShed(nowMs: number): void {
    this.shedAtMs = nowMs;
  }

  /** The requests that may be bound now, first in order first. */
  inOrder(nowMs: number): readonly DispatchRequest[] {
    // What was sorted last stays sorted but for the requests that became late or came since.
    this.requests.sort((left, right) => compareWaiting(left, right, nowMs));
    const isShedding = nowMs - this.shedAtMs < SHEDDING_MS;
    return this.requests.filter((request) => !isShedding || !isLate(request, nowMs));
  }

  /** Requests that go before `request`. */
  countBefore(request: DispatchRequest, nowMs: number): number {
    return this.requests.filter((other) => compareWaiting(other, request, nowMs) < 0).length;
  }
}
