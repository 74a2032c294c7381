/** A virtual clock: time passes only from one timer to the next. */
import { createClock } from '@sinonjs/fake-timers';
import type { Clock, TimerHandle } from '../clock.js';

/** The library counts whole milliseconds; one of them stands for this part of a virtual one. */
const TICKS_PER_MS = 10;

/** The macrotask queue of the real event loop, by which pending promises are drained. */
const drainPromises = () => new Promise((resolve) => setImmediate(resolve));

/** A virtual clock. */
export class VirtualClock implements Clock {
  private readonly timers = createClock(0, Number.MAX_SAFE_INTEGER);
  private hasPendingPromises = false;

  now(): number {
    return this.timers.now / TICKS_PER_MS;
  }

  setTimeout(callback: () => void, delayMs: number): TimerHandle {
    return this.timers.setTimeout(callback, Math.max(1, Math.round(delayMs * TICKS_PER_MS)));
  }

  clearTimeout(handle: TimerHandle): void {
    this.timers.clearTimeout(handle as number);
  }

  /** Says that a promise was settled, so that what waits for it runs before time goes on. */
  notePromise(): void {
    this.hasPendingPromises = true;
  }

  /** Runs every timer up to `untilMs`. */
  async runUntil(untilMs: number): Promise<void> {
    const end = { isReached: false };
    const handle = this.setTimeout(() => (end.isReached = true), untilMs - this.now());
    while (!end.isReached) {
      this.timers.next();
      while (this.hasPendingPromises) {
        this.hasPendingPromises = false;
        await drainPromises();
      }
    }
    this.clearTimeout(handle);
  }
}
