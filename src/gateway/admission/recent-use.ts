/** Tokens that were used in the last seconds, in steps of time. */

/** Tokens of one step. */
export interface UseStep {
  readonly atMs: number;
  tokens: number;
}

/** Length of a step, in milliseconds. */
const STEP_MS = 500;
/** Steps older than this say nothing more, in milliseconds: longer than the window of a quota. */
const KEPT_MS = 12_000;

/** What was used lately. */
export class RecentUse {
  private recent: UseStep[] = [];

  /** Tokens were used. */
  add(tokens: number, nowMs: number): void {
    const last = this.recent.at(-1);
    if (last !== undefined && nowMs - last.atMs < STEP_MS) {
      last.tokens += tokens;
      return;
    }
    this.recent = this.steps(nowMs);
    this.recent.push({ atMs: nowMs, tokens });
  }

  /** The steps that still say something, oldest first. */
  steps(nowMs: number): UseStep[] {
    return this.recent.filter(({ atMs }) => nowMs - atMs < KEPT_MS);
  }
}
