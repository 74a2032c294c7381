/**
 * Counts requests that begin at a back end in any one second, exactly, without I/O.
 *
 * A start may be known only as a span: a slot that was granted is used at some moment from the grant to the
 * word that it was used. It counts from when it is noted until a second after the latest moment at which it
 * may have begun. So no second, wherever it is laid, holds more starts than were ever counted at once: when
 * the last of those in it was noted, all others in it still counted.
 */

/** A start, or a permission for one. */
export interface Start {
  /** The latest moment at which the request is sent, in milliseconds. */
  latestMs: number;
}

/** A second, and a margin for clocks that round and for timers that fire early, in milliseconds. */
export const START_WINDOW_MS = 1_000 + 20;

/** The starts of the last second. */
export class StartWindow {
  private starts: Start[] = [];

  /** Notes a start that happens from now until `latestMs`. */
  add(latestMs: number, nowMs: number): Start {
    while (this.starts.length > 0 && this.starts[0]!.latestMs <= nowMs - START_WINDOW_MS) {
      this.starts.shift();
    }
    const start = { latestMs };
    this.starts.push(start);
    return start;
  }

  /** The start never happens. */
  remove(start: Start): void {
    this.starts = this.starts.filter((other) => other !== start);
  }

  /** Starts that may lie in the second that ends now. */
  count(nowMs: number): number {
    this.starts = this.starts.filter(({ latestMs }) => latestMs > nowMs - START_WINDOW_MS);
    return this.starts.length;
  }

  /** Time until fewer than `limit` starts count, in milliseconds; 0 if that is so, Infinity for a limit of 0. */
  msUntilBelow(limit: number, nowMs: number): number {
    const excess = this.count(nowMs) - limit + 1;
    if (limit <= 0 || excess <= 0) {
      return limit <= 0 ? Infinity : 0;
    }
    const latest = this.starts.map(({ latestMs }) => latestMs).sort((left, right) => left - right);
    return latest[excess - 1]! + START_WINDOW_MS - nowMs;
  }
}
