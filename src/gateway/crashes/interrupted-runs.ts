/**
 * Runs whose responses were cut off, held until it is known whether their backends exited. Performs
 * no I/O.
 *
 * An interrupted response alone proves nothing: backends and network paths drop responses without a
 * process exit. A run counts as a crash only if its backend is found to have exited after the run
 * began.
 */

/** Evidence that the process at a backend's address has exited. */
export type ExitEvidence =
  /** Connections to its address are refused. */
  | 'port-closed'
  /** The agent on the backend's host reported that nothing listens on its port. */
  | 'agent'
  /** Another process registered, or responds, at its address. */
  | 'replaced';

/** One execution of a request on a backend. */
export interface BackendRun {
  readonly backendId: string;
  readonly sentAtMs: number;
}

/** Limits for tracking interrupted runs. */
export interface InterruptedRunsOptions {
  /**
   * Time after an interrupted response within which its backend must be found to have exited, in
   * milliseconds. Default 5,000: backends that crash register again after about three seconds,
   * which proves the exit even where nothing probed the address in the meantime.
   */
  readonly evidenceWindowMs: number;
  /**
   * The same for a run that this process aborted itself and that may continue on the backend for a
   * moment. Default 500.
   */
  readonly abortedEvidenceWindowMs: number;
  /** Maximum number of interrupted runs; the oldest are evicted first. Default 2,048. */
  readonly maxRuns: number;
}

/** Default limits for tracking interrupted runs. */
export const DEFAULT_INTERRUPTED_RUNS_OPTIONS: InterruptedRunsOptions = {
  evidenceWindowMs: 5_000,
  abortedEvidenceWindowMs: 500,
  maxRuns: 2_048,
};

/** A detected exit of a backend process. */
interface BackendExit {
  readonly detectedAtMs: number;
  readonly evidence: ExitEvidence;
}

interface InterruptedRun<Run> {
  readonly run: Run;
  readonly expiresAtMs: number;
}

/** Tracks runs whose responses were cut off and matches them with backend exits. */
export class InterruptedRuns<Run extends BackendRun> {
  private readonly runs = new Set<InterruptedRun<Run>>();
  /** The latest detected exit of each backend. */
  private readonly exits = new Map<string, BackendExit>();

  constructor(
    private readonly options: InterruptedRunsOptions = DEFAULT_INTERRUPTED_RUNS_OPTIONS,
  ) {}

  /**
   * Records an interrupted run; returns the evidence if its backend is already known to have exited
   * since the run began.
   */
  add(run: Run, isAbortedLocally: boolean, nowMs: number): ExitEvidence | undefined {
    const exit = this.exits.get(run.backendId);
    if (exit !== undefined && exit.detectedAtMs >= run.sentAtMs) {
      return exit.evidence;
    }
    const { evidenceWindowMs, abortedEvidenceWindowMs, maxRuns } = this.options;
    const expiresAtMs = nowMs + (isAbortedLocally ? abortedEvidenceWindowMs : evidenceWindowMs);
    this.runs.add({ run, expiresAtMs });
    if (this.runs.size > maxRuns) {
      const [oldest] = this.runs;
      this.runs.delete(oldest!);
    }
    return undefined;
  }

  /** Records that a backend exited; removes and returns the runs that ended with it. */
  takeExited(backendId: string, evidence: ExitEvidence, nowMs: number): Run[] {
    this.evictExpired(nowMs);
    this.exits.set(backendId, { detectedAtMs: nowMs, evidence });
    const endedRuns = [...this.runs].filter(({ run }) => run.backendId === backendId);
    endedRuns.forEach((entry) => this.runs.delete(entry));
    return endedRuns.map(({ run }) => run);
  }

  private evictExpired(nowMs: number): void {
    for (const entry of this.runs) {
      if (nowMs > entry.expiresAtMs) {
        this.runs.delete(entry);
      }
    }
    for (const [backendId, { detectedAtMs }] of this.exits) {
      if (nowMs - detectedAtMs > this.options.evidenceWindowMs) {
        this.exits.delete(backendId);
      }
    }
  }
}
