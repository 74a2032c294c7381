/**
 * Runs whose answers broke off, until it is known whether their back ends ended with them, without I/O.
 *
 * A broken answer alone says little: back ends, and the ways to them, break off answers and live on. A run counts
 * as a crash only if its back end is found to have ended after the run began.
 */

/** What shows that a process at a back end's address has ended. */
export type EndingEvidence =
  /** Nothing listens at its address. */
  | 'port-closed'
  /** The agent beside it found that nothing listens there. */
  | 'agent'
  /** Another process has announced itself, or answers, at its address. */
  | 'replaced';

/** One run of a request at a back end. */
export interface BackendRun {
  readonly backendId: string;
  readonly sentAtMs: number;
}

/** Bounds of what is kept. */
export interface BrokenRunsOptions {
  /**
   * Time after a broken answer in which its back end must be found to have ended, in milliseconds. Default
   * 5,000: back ends that crash are back under a new announcement after some three seconds, which shows it
   * even where nobody asked them meanwhile.
   */
  readonly evidenceMs: number;
  /** The same for a run that this process broke off itself, which may go on there for a moment. Default 500. */
  readonly brokenOffEvidenceMs: number;
  /** Broken runs that are kept; the oldest go first. Default 2,048. */
  readonly maxRuns: number;
}

/** Defaults of what is kept. */
export const DEFAULT_BROKEN_RUNS_OPTIONS: BrokenRunsOptions = {
  evidenceMs: 5_000,
  brokenOffEvidenceMs: 500,
  maxRuns: 2_048,
};

/** A back end that was found to have ended. */
interface BackendEnding {
  readonly atMs: number;
  readonly evidence: EndingEvidence;
}

interface BrokenRun<Run> {
  readonly run: Run;
  readonly untilMs: number;
}

/** Runs whose answers broke off. */
export class BrokenRuns<Run extends BackendRun> {
  private readonly broken = new Set<BrokenRun<Run>>();
  /** How each back end was last found to have ended. */
  private readonly endings = new Map<string, BackendEnding>();

  constructor(private readonly options: BrokenRunsOptions = DEFAULT_BROKEN_RUNS_OPTIONS) {}

  /** An answer broke off; returns what shows that its back end has ended, if that is known already. */
  note(run: Run, isBrokenOffHere: boolean, nowMs: number): EndingEvidence | undefined {
    const ending = this.endings.get(run.backendId);
    if (ending !== undefined && ending.atMs >= run.sentAtMs) {
      return ending.evidence;
    }
    const { evidenceMs, brokenOffEvidenceMs, maxRuns } = this.options;
    const untilMs = nowMs + (isBrokenOffHere ? brokenOffEvidenceMs : evidenceMs);
    this.broken.add({ run, untilMs });
    if (this.broken.size > maxRuns) {
      const [oldest] = this.broken;
      this.broken.delete(oldest!);
    }
    return undefined;
  }

  /** A back end was found to have ended; returns the runs that ended with it. */
  takeEnded(backendId: string, evidence: EndingEvidence, nowMs: number): Run[] {
    this.forgetOld(nowMs);
    this.endings.set(backendId, { atMs: nowMs, evidence });
    const ended = [...this.broken].filter(({ run }) => run.backendId === backendId);
    ended.forEach((each) => this.broken.delete(each));
    return ended.map(({ run }) => run);
  }

  private forgetOld(nowMs: number): void {
    for (const each of this.broken) {
      if (nowMs > each.untilMs) {
        this.broken.delete(each);
      }
    }
    for (const [backendId, { atMs }] of this.endings) {
      if (nowMs - atMs > this.options.evidenceMs) {
        this.endings.delete(backendId);
      }
    }
  }
}
