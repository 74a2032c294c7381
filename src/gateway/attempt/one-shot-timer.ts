/** A restartable timer with at most one pending callback. */
import type { Clock, TimerHandle } from '../../clock.js';

/** A timer with at most one pending callback; starting it replaces the pending one. */
export class OneShotTimer {
  private handle: TimerHandle | undefined;

  constructor(private readonly clock: Clock) {}

  /** Whether a callback is pending. */
  get isRunning(): boolean {
    return this.handle !== undefined;
  }

  /** Calls `callback` once after `delayMs`; a negative delay is treated as 0. */
  start(delayMs: number, callback: () => void): void {
    this.clear();
    this.handle = this.clock.setTimeout(
      () => {
        this.handle = undefined;
        callback();
      },
      Math.max(0, delayMs),
    );
  }

  /** Cancels the pending callback, if any. */
  clear(): void {
    if (this.handle !== undefined) {
      this.clock.clearTimeout(this.handle);
      this.handle = undefined;
    }
  }
}
