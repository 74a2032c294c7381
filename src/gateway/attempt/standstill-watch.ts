/**
 * Notices that the process stood still for a while, and for how long what arrived meanwhile is being read.
 *
 * After a standstill the loop reads a caller's request before it sees that the same caller closed its
 * connection since. What is sent to back ends right then must wait until both were read.
 */
import type { Clock } from '../../clock.js';

/** Pause between two looks at the clock, in milliseconds. */
const LOOK_MS = 50;
/** Standstill from which on callers may have left unseen, in milliseconds; an ordinary busy turn is shorter. */
const STANDSTILL_MS = 200;

/** Watches over the process's own pace. */
export class StandstillWatch {
  private lookedAtMs: number;
  private isCatchingUp = false;
  private readonly timer: NodeJS.Timeout;

  constructor(private readonly clock: Clock) {
    this.lookedAtMs = clock.now();
    this.timer = setInterval(() => this.look(), LOOK_MS);
    this.timer.unref();
  }

  /** Calls back at once, or after a standstill once all that arrived meanwhile was read. */
  whenCaughtUp(callback: () => void): void {
    if (this.isCatchingUp || this.standstillMs > STANDSTILL_MS) {
      afterTwoTurns(callback);
    } else {
      callback();
    }
  }

  /** Stops watching. */
  close(): void {
    clearInterval(this.timer);
  }

  private get standstillMs(): number {
    return this.clock.now() - this.lookedAtMs - LOOK_MS;
  }

  private look(): void {
    if (this.standstillMs > STANDSTILL_MS) {
      this.isCatchingUp = true;
      afterTwoTurns(() => (this.isCatchingUp = false));
    }
    this.lookedAtMs = this.clock.now();
  }
}

/** A connection's last bytes and its end are read in two turns of the loop. */
function afterTwoTurns(callback: () => void): void {
  setImmediate(() => setImmediate(callback));
}
