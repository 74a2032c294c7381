/** A virtual clock whose time advances only from one timer to the next. */
import { createClock } from '@sinonjs/fake-timers';
import type { Clock, TimerHandle } from '../clock.js';

/** The library counts whole milliseconds; this many of its ticks make one virtual millisecond. */
const TICKS_PER_MS = 10;

/** Lets pending promise callbacks run by waiting for a macrotask of the real event loop. */
const drainPromises = () => new Promise((resolve) => setImmediate(resolve));

/** A `Clock` for deterministic simulations, driven by `runUntil`. */
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

  /** Makes `runUntil` run the callbacks of a settled promise before time advances. */
  markPromiseSettled(): void {
    this.hasPendingPromises = true;
  }

  /** Runs every timer that is due up to `untilMs`. */
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
