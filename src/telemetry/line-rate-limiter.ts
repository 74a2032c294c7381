/** Limits log lines per second; a part of the rate is reserved for lines of higher priority. */

/** Priority of a log line, highest first. */
export type LinePriority = 'state' | 'failure' | 'success';

/** Options of `LineRateLimiter`. */
export interface LineRateLimiterOptions {
  /** Maximum number of lines per second over all priorities; 200 unless `log.linesPerS` is set. */
  readonly linesPerS: number;
}

/** Share of `linesPerS` up to which lines of a priority are accepted. */
const SHARE_BY_PRIORITY: Record<LinePriority, number> = { state: 1, failure: 0.9, success: 0.6 };
const MS_PER_S = 1_000;

/** Fixed-window rate limiter for log lines, with a window of one second. */
export class LineRateLimiter {
  private windowStartMs = 0;
  private linesUsed = 0;
  private droppedLines = 0;

  constructor(private readonly options: LineRateLimiterOptions) {}

  /** Counts one line against the limit; returns false if it must be dropped. */
  tryAcquire(priority: LinePriority, nowMs: number): boolean {
    if (nowMs - this.windowStartMs >= MS_PER_S) {
      this.windowStartMs = nowMs;
      this.linesUsed = 0;
    }
    if (this.linesUsed >= this.options.linesPerS * SHARE_BY_PRIORITY[priority]) {
      this.droppedLines += 1;
      return false;
    }
    this.linesUsed += 1;
    return true;
  }

  /** Counts a line that was accepted here but dropped by the output. */
  countDropped(): void {
    this.droppedLines += 1;
  }

  /** Returns and resets the number of dropped lines. */
  drainDropped(): number {
    const dropped = this.droppedLines;
    this.droppedLines = 0;
    return dropped;
  }
}
