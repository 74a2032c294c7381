/** Limits log lines a second; what matters more may use what is kept back from the rest. */

/** How much a line matters, most first. */
export type LinePriority = 'state' | 'failure' | 'success';

/** Lines a second over all priorities. */
export interface LineBudgetOptions {
  /** Default 400. */
  readonly linesPerS: number;
}

/** Share of a second's lines that a priority may use up to. */
const SHARE_BY_PRIORITY: Record<LinePriority, number> = { state: 1, failure: 0.9, success: 0.6 };
const MS_PER_S = 1_000;

/** Limits log lines a second. */
export class LineBudget {
  private secondStartedAtMs = 0;
  private used = 0;
  private droppedLines = 0;

  constructor(private readonly options: LineBudgetOptions) {}

  /** Takes one line; false when it must be dropped. */
  take(priority: LinePriority, nowMs: number): boolean {
    if (nowMs - this.secondStartedAtMs >= MS_PER_S) {
      this.secondStartedAtMs = nowMs;
      this.used = 0;
    }
    if (this.used >= this.options.linesPerS * SHARE_BY_PRIORITY[priority]) {
      this.droppedLines += 1;
      return false;
    }
    this.used += 1;
    return true;
  }

  /** Counts a line that was lost behind the budget. */
  countLost(): void {
    this.droppedLines += 1;
  }

  /** Lines dropped since this was asked last. */
  takeDropped(): number {
    const dropped = this.droppedLines;
    this.droppedLines = 0;
    return dropped;
  }
}
