/** A simulated process: it can be killed, frozen and started again under a new incarnation. */
import type { Clock, TimerHandle } from '../clock.js';
import type { Machine } from '../membership/machine.js';
import type { VirtualClock } from './virtual-clock.js';

/** A simulated process. */
export abstract class SimProcess {
  isAlive = false;
  isFrozen = false;
  /** Number of the current start. */
  startCount = 0;
  private inbox: Array<() => void> = [];

  constructor(
    protected readonly clock: VirtualClock,
    readonly machine: Machine,
  ) {}

  /** Starts the process under a new incarnation. */
  start(): void {
    this.isAlive = true;
    this.isFrozen = false;
    this.startCount += 1;
    this.inbox = [];
    this.onStart();
  }

  /** Ends the process at once; nothing that was under way reaches it any more. */
  kill(): void {
    if (this.isAlive) {
      this.isAlive = false;
      this.onKilled();
    }
  }

  /** Stops the process without ending it: what reaches it waits. */
  freeze(): void {
    this.isFrozen = this.isAlive;
  }

  /** Lets a frozen process go on with what reached it, in order. */
  unfreeze(): void {
    this.isFrozen = false;
    const waiting = this.inbox;
    this.inbox = [];
    for (const callback of waiting) {
      this.deliver(this.startCount, callback);
    }
  }

  /** Runs `callback` in the process, if it is still the start it was meant for. */
  deliver(startCount: number, callback: () => void): void {
    if (!this.isAlive || startCount !== this.startCount) {
      return;
    }
    if (this.isFrozen) {
      this.inbox.push(callback);
      return;
    }
    callback();
  }

  /** The clock as this start of the process has it: its timers wait while it is frozen. */
  createProcessClock(): Clock {
    const startCount = this.startCount;
    return {
      now: () => this.clock.now(),
      setTimeout: (callback: () => void, delayMs: number): TimerHandle =>
        this.clock.setTimeout(() => this.deliver(startCount, callback), delayMs),
      clearTimeout: (handle: TimerHandle) => this.clock.clearTimeout(handle),
    };
  }

  /** Name of the current incarnation. */
  get incarnation(): string {
    return `${this.machine.name}.${this.startCount}`;
  }

  protected abstract onStart(): void;
  protected abstract onKilled(): void;
}
