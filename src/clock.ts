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

/** A pending call of the system's clock. */
class SystemTimer {
  private readonly timeout: NodeJS.Timeout;
  private immediate: NodeJS.Immediate | undefined;

  constructor(callback: () => void, delayMs: number) {
    this.timeout = setTimeout(() => (this.immediate = setImmediate(callback)), delayMs);
  }

  clear(): void {
    clearTimeout(this.timeout);
    clearImmediate(this.immediate);
  }
}

/**
 * The system's monotonic clock.
 *
 * Calls that are due run after the next poll of the event loop: after a stall, timers would
 * otherwise run before the input that arrived meanwhile is read, and a neighbour whose messages are
 * unread would count as silent.
 */
export const SYSTEM_CLOCK: Clock = {
  now: () => performance.now(),
  setTimeout: (callback, delayMs) => new SystemTimer(callback, delayMs),
  clearTimeout: (handle) => (handle as SystemTimer | undefined)?.clear(),
};

/** Resolves after `delayMs`. */
export function sleep(clock: Clock, delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    clock.setTimeout(resolve, delayMs);
  });
}
