/**
 * Shares the iterations of the event loop among connections that have sent more than may be processed
 * at once: each gets one turn an iteration, in the order in which they asked.
 */
import type { Clock } from '../clock.js';

/** Time after which the turns that are left wait for the next iteration, in milliseconds. */
const SLICE_MS = 20;

/** Runs turns between polls of the event loop. */
export class InputTurns {
  private waiting: Array<() => void> = [];
  private isArmed = false;

  constructor(private readonly clock: Pick<Clock, 'now'>) {}

  /** Number of turns that have not run. */
  get count(): number {
    return this.waiting.length;
  }

  /** Runs `turn` in the next iteration, or later if there are many. */
  add(turn: () => void): void {
    this.waiting.push(turn);
    this.arm();
  }

  private arm(): void {
    if (!this.isArmed) {
      this.isArmed = true;
      setImmediate(() => this.run());
    }
  }

  private run(): void {
    this.isArmed = false;
    const batch = this.waiting;
    this.waiting = [];
    const endAtMs = this.clock.now() + SLICE_MS;
    let next = 0;
    while (next < batch.length && (next === 0 || this.clock.now() < endAtMs)) {
      batch[next]!();
      next += 1;
    }
    this.waiting = batch.slice(next).concat(this.waiting);
    if (this.waiting.length > 0) {
      this.arm();
    }
  }
}
