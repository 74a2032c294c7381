/** A virtual clock with a heap of timers: time advances only from one timer to the next. */
import { Heap } from 'heap-js';
import type { Clock, TimerHandle } from '../../src/clock.js';

interface Timer {
  readonly atMs: number;
  readonly number: number;
  callback: (() => void) | undefined;
}

/** A virtual clock backed by a heap, for many timers. */
export class HeapClock implements Clock {
  private readonly timers = new Heap<Timer>(
    (left, right) => left.atMs - right.atMs || left.number - right.number,
  );
  private nowMs = 0;
  private count = 0;

  now(): number {
    return this.nowMs;
  }

  setTimeout(callback: () => void, delayMs: number): TimerHandle {
    this.count += 1;
    const timer = { atMs: this.nowMs + Math.max(0, delayMs), number: this.count, callback };
    this.timers.push(timer);
    return timer;
  }

  clearTimeout(handle: TimerHandle): void {
    (handle as Timer).callback = undefined;
  }

  /**
   * Runs the next timer due by `untilMs`; if there is none, advances to `untilMs` and returns
   * false.
   */
  step(untilMs: number): boolean {
    const next = this.timers.peek();
    if (next === undefined || next.atMs > untilMs) {
      this.nowMs = untilMs;
      return false;
    }
    this.timers.pop();
    this.nowMs = next.atMs;
    next.callback?.();
    return true;
  }
}
