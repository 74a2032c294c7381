/**
 * Closes connections unless input has arrived on them.
 *
 * Timers run before the poll of the event loop that reads what arrived meanwhile, so a connection
 * whose time is up may hold an unread request. It is closed only after a poll that began later and
 * brought nothing, and only right after it: input that arrives between a poll and the close would
 * be lost as well.
 */
import type { Clock } from '../../clock.js';

/** A connection whose time is up. */
export interface ExpiredConnection {
  /** Returns whether nothing has been read from the connection since its time was up. */
  isUnused(): boolean;
  close(): void;
}

/** Time from before a poll within which connections are closed after it, in milliseconds. */
const MAX_POLL_AGE_MS = 1;

/** Closes expired connections after polls that brought nothing for them. */
export class UnusedConnectionCloser {
  private expired: ExpiredConnection[] = [];
  private isArmed = false;

  constructor(private readonly clock: Pick<Clock, 'now'>) {}

  /** Closes the connection after a poll that begins later than this call, if it is unused then. */
  closeUnlessUsed(connection: ExpiredConnection): void {
    this.expired.push(connection);
    if (!this.isArmed) {
      this.isArmed = true;
      setImmediate(() => this.awaitPoll());
    }
  }

  /** Called after a poll, so that the next one begins later. */
  private awaitPoll(): void {
    const beforePollMs = this.clock.now();
    const batch = this.expired;
    this.expired = [];
    setImmediate(() => this.closeUnused(batch, beforePollMs));
  }

  private closeUnused(batch: ExpiredConnection[], beforePollMs: number): void {
    while (batch.length > 0 && this.clock.now() - beforePollMs <= MAX_POLL_AGE_MS) {
      const connection = batch.pop()!;
      if (connection.isUnused()) {
        connection.close();
      }
    }
    this.expired = batch.concat(this.expired);
    if (this.expired.length > 0) {
      this.awaitPoll();
    } else {
      this.isArmed = false;
    }
  }
}
