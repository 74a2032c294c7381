/** A simulated process that can be killed, frozen and restarted under a new incarnation. */
import type { Clock, TimerHandle } from '../clock.js';
import type { Machine } from '../membership/machine.js';
import type { VirtualClock } from './virtual-clock.js';

/** Base class of simulated processes. */
export abstract class SimProcess {
  isAlive = false;
  isFrozen = false;
  /** Number of starts so far, which identifies the current incarnation. */
  startCount = 0;
  private queuedDeliveries: Array<() => void> = [];

  constructor(
    protected readonly clock: VirtualClock,
    readonly machine: Machine,
  ) {}

  /** Starts the process under a new incarnation. */
  start(): void {
    this.isAlive = true;
    this.isFrozen = false;
    this.startCount += 1;
    this.queuedDeliveries = [];
    this.onStart();
  }

  /** Kills the process immediately; deliveries to this incarnation are dropped from then on. */
  kill(): void {
    if (this.isAlive) {
      this.isAlive = false;
      this.onKilled();
    }
  }

  /** Suspends the process: deliveries to it are queued. */
  freeze(): void {
    this.isFrozen = this.isAlive;
  }

  /** Resumes a frozen process and runs its queued deliveries in order. */
  unfreeze(): void {
    this.isFrozen = false;
    const queued = this.queuedDeliveries;
    this.queuedDeliveries = [];
    for (const callback of queued) {
      this.deliver(this.startCount, callback);
    }
  }

  /**
   * Runs `callback` in the incarnation numbered `startCount`, or drops it if that has ended; queues
   * it while the process is frozen.
   */
  deliver(startCount: number, callback: () => void): void {
    if (!this.isAlive || startCount !== this.startCount) {
      return;
    }
    if (this.isFrozen) {
      this.queuedDeliveries.push(callback);
      return;
    }
    callback();
  }

  /**
   * Creates a clock for the current incarnation; its timers are queued while the process is frozen.
   */
  createProcessClock(): Clock {
    const startCount = this.startCount;
    return {
      now: () => this.clock.now(),
      setTimeout: (callback: () => void, delayMs: number): TimerHandle =>
        this.clock.setTimeout(() => this.deliver(startCount, callback), delayMs),
      clearTimeout: (handle: TimerHandle) => this.clock.clearTimeout(handle),
    };
  }

  /** Identifier of the current incarnation. */
  get incarnation(): string {
    return `${this.machine.name}.${this.startCount}`;
  }

  protected abstract onStart(): void;
  protected abstract onKilled(): void;
}
