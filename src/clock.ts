/** Injectable time, so that the simulator can use a virtual clock. */

/** A timer that can be cleared. */
export type TimerHandle = unknown;

/** Time and timers. */
export interface Clock {
  /** Returns milliseconds since an arbitrary origin; monotonic. */
  now(): number;
  /** Calls `callback` once after `delayMs`. */
  setTimeout(callback: () => void, delayMs: number): TimerHandle;
  /** Cancels a pending call. */
  clearTimeout(handle: TimerHandle): void;
}

/** The system's monotonic clock. */
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
