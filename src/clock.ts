/** Time that is passed in, so that the simulator can put a virtual clock in its place. */

/** A timer that can be cleared. */
export type TimerHandle = unknown;

/** Time and timers. */
export interface Clock {
  /** Milliseconds since an arbitrary moment; never goes back. */
  now(): number;
  /** Calls `callback` once after `delayMs`. */
  setTimeout(callback: () => void, delayMs: number): TimerHandle;
  /** Prevents a call that has not happened yet. */
  clearTimeout(handle: TimerHandle): void;
}

/** The machine's monotonic clock. */
export const SYSTEM_CLOCK: Clock = {
  now: () => performance.now(),
  setTimeout: (callback, delayMs) => setTimeout(callback, delayMs),
  clearTimeout: (handle) => clearTimeout(handle as NodeJS.Timeout),
};

/** Resolves after `delayMs`. */
export function sleep(clock: Clock, delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    clock.setTimeout(resolve, delayMs);
  });
}
