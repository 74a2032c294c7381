/**
 * Runs tasks between two polls of the event loop, so that what has arrived meanwhile is read first.
 *
 * A request can be read before it is known that its caller has closed the connection: a
 * connection's last bytes and its end are read in separate polls, and those that wait to be
 * accepted, or behind the work of others, are read late. Work for a caller must therefore follow a
 * poll that began after its request was read, and must not take long until the next one.
 */
import type { Clock } from './clock.js';

/** Limits of the time between two polls, in milliseconds. */
export interface AfterPollQueueOptions {
  /**
   * Time after which the tasks that are left wait for the next poll. Default 50: callers that leave
   * must be noticed within half a second, and shorter slices spend more of a slow machine's time on
   * polls.
   */
  readonly sliceMs: number;
}

/** Default limits of the time between two polls. */
export const DEFAULT_AFTER_POLL_QUEUE_OPTIONS: AfterPollQueueOptions = { sliceMs: 50 };

/** A task and the first slice in which it may run. */
interface QueuedTask {
  readonly run: () => void;
  readonly firstSlice: number;
}

/** Runs tasks in slices, one after each poll of the event loop. */
export class AfterPollQueue {
  /** Tasks that were added by `afterPoll`; they go first. */
  private continued: QueuedTask[] = [];
  private fresh: QueuedTask[] = [];
  private slice = 0;
  private isArmed = false;
  private isInSlice = false;

  constructor(
    private readonly clock: Clock,
    private readonly options: AfterPollQueueOptions = DEFAULT_AFTER_POLL_QUEUE_OPTIONS,
  ) {}

  /** Runs `task` at once within a slice, and after the poll in progress otherwise. */
  afterPoll(task: () => void): void {
    if (this.isInSlice) {
      task();
      return;
    }
    this.continued.push({ run: task, firstSlice: this.slice + 1 });
    this.arm();
  }

  /** Runs `task` after a poll that begins later than this call. */
  afterNextPoll(task: () => void): void {
    this.fresh.push({ run: task, firstSlice: this.slice + 2 });
    this.arm();
  }

  private arm(): void {
    if (!this.isArmed) {
      this.isArmed = true;
      setImmediate(() => this.runSlice());
    }
  }

  private runSlice(): void {
    this.isArmed = false;
    this.slice += 1;
    const endAtMs = this.clock.now() + this.options.sliceMs;
    this.isInSlice = true;
    try {
      while (this.runNext() && this.clock.now() < endAtMs) {
        // Runs tasks until the slice is over.
      }
    } finally {
      this.isInSlice = false;
      if (this.continued.length + this.fresh.length > 0) {
        this.arm();
      }
    }
  }

  /** Runs the next task that may run; returns whether there was one. */
  private runNext(): boolean {
    const queue = this.isReady(this.continued) ? this.continued : this.fresh;
    if (!this.isReady(queue)) {
      return false;
    }
    queue.shift()!.run();
    return true;
  }

  private isReady(queue: readonly QueuedTask[]): boolean {
    const [first] = queue;
    return first !== undefined && first.firstSlice <= this.slice;
  }
}
