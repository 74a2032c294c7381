/**
 * Detects event loop stalls and delays work until the input that arrived during a stall has been
 * read.
 *
 * After a stall the loop reads a caller's request before it sees that the same caller has closed
 * its connection since. Sends to backends must wait until both have been read.
 */
import type { Clock } from '../../clock.js';

/** Interval of the clock checks, in milliseconds. */
const CHECK_INTERVAL_MS = 50;
/**
 * Stall after which callers may have disconnected unnoticed, in milliseconds; an ordinary busy
 * iteration is shorter.
 */
const STALL_THRESHOLD_MS = 200;

/** Detects stalls of the event loop of this process. */
export class StallDetector {
  private checkedAtMs: number;
  private isCatchingUp = false;
  private readonly timer: NodeJS.Timeout;

  constructor(private readonly clock: Clock) {
    this.checkedAtMs = clock.now();
    this.timer = setInterval(() => this.check(), CHECK_INTERVAL_MS);
    this.timer.unref();
  }

  /**
   * Calls `callback` at once, or after a stall once all input that arrived meanwhile has been read.
   */
  afterPendingInput(callback: () => void): void {
    if (this.isCatchingUp || this.stallMs > STALL_THRESHOLD_MS) {
      afterTwoLoopIterations(callback);
    } else {
      callback();
    }
  }

  /** Stops the checks. */
  close(): void {
    clearInterval(this.timer);
  }

  private get stallMs(): number {
    return this.clock.now() - this.checkedAtMs - CHECK_INTERVAL_MS;
  }

  private check(): void {
    if (this.stallMs > STALL_THRESHOLD_MS) {
      this.isCatchingUp = true;
      afterTwoLoopIterations(() => (this.isCatchingUp = false));
    }
    this.checkedAtMs = this.clock.now();
  }
}

/**
 * Waits two loop iterations, since a connection's last bytes and its end are read in separate ones.
 */
function afterTwoLoopIterations(callback: () => void): void {
  setImmediate(() => setImmediate(callback));
}
