/** A timer that runs once at a time. */
import type { Clock, TimerHandle } from '../../clock.js';

/** A timer that runs once at a time: what is started takes the place of what runs. */
export class OneShotTimer {
  private handle: TimerHandle | undefined;

  constructor(private readonly clock: Clock) {}

  /** Whether its time is still to come. */
  get isRunning(): boolean {
    return this.handle !== undefined;
  }

  /** Calls `callback` once after `delayMs`, at once for a delay below 0. */
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

  /** Prevents a call that has not happened yet. */
  clear(): void {
    if (this.handle !== undefined) {
      this.clock.clearTimeout(this.handle);
      this.handle = undefined;
    }
  }
}
