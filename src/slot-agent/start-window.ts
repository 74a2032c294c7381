/**
 * Sliding window that counts request starts at a backend within any one second, exactly, without
 * I/O.
 *
 * The time of a start may be known only as an interval: a granted slot is used at some time between
 * the grant and the message that reports its use. A start counts from its registration until one
 * second after the latest time at which it may happen. Therefore no interval of one second contains
 * more starts than were ever counted at once: when the last of them was registered, all others
 * still counted.
 */

/** A start, or a grant that may lead to one. */
export interface Start {
  /** Latest time at which the request is sent, in milliseconds. */
  latestMs: number;
}

/** One second plus a margin for clock rounding and timers that fire early, in milliseconds. */
export const START_WINDOW_MS = 1_000 + 20;

/** Request starts of the last second. */
export class StartWindow {
  private starts: Start[] = [];

  /** Registers a start that happens between now and `latestMs`. */
  add(latestMs: number, nowMs: number): Start {
    while (this.starts.length > 0 && this.starts[0]!.latestMs <= nowMs - START_WINDOW_MS) {
      this.starts.shift();
    }
    const start = { latestMs };
    this.starts.push(start);
    return start;
  }

  /** Removes a start that will not happen. */
  remove(start: Start): void {
    this.starts = this.starts.filter((other) => other !== start);
  }

  /** Number of starts that may lie within the second that ends now. */
  count(nowMs: number): number {
    this.starts = this.starts.filter(({ latestMs }) => latestMs > nowMs - START_WINDOW_MS);
    return this.starts.length;
  }

  /**
   * Time until fewer than `limit` starts count, in milliseconds; 0 if so already, Infinity for a
   * limit of 0.
   */
  msUntilBelow(limit: number, nowMs: number): number {
    const excess = this.count(nowMs) - limit + 1;
    if (limit <= 0 || excess <= 0) {
      return limit <= 0 ? Infinity : 0;
    }
    const latest = this.starts.map(({ latestMs }) => latestMs).sort((left, right) => left - right);
    return latest[excess - 1]! + START_WINDOW_MS - nowMs;
  }
}
