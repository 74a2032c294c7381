/** Outlier ejection: the health of a backend from the outcomes of its requests. */

/** Outcome of an attempt at a backend. */
export type AttemptOutcome =
  /** A complete response whose status does not indicate a failure of the backend. */
  | 'answered'
  /** The backend reported that it did not run the request. */
  | 'refused'
  /** A reset, a truncated response, or an error response of the backend itself. */
  | 'failed'
  /** No data was received: the backend may hang, or the network path to it may be cut. */
  | 'silent'
  /** The attempt was moved to another backend, since the path to this one is suspect. */
  | 'path-lost'
  /** The connection was refused: the request was not sent, and none can be for now. */
  | 'unreachable'
  /** The attempt ended for a reason that is not related to the health of the backend. */
  | 'unknown';

/** Options of ejection. */
export interface BackendHealthOptions {
  /** Weight of the newest outcome in the moving average. Default 0.2. */
  readonly smoothing: number;
  /** Failure rate from which a backend is ejected. Default 0.45. */
  readonly ejectShare: number;
  /** Shortest and longest ejection, in milliseconds. Defaults 1,000 and 6,000. */
  readonly ejectMinMs: number;
  readonly ejectMaxMs: number;
}

/** Default options of ejection. */
export const DEFAULT_BACKEND_HEALTH_OPTIONS: BackendHealthOptions = {
  smoothing: 0.2,
  ejectShare: 0.45,
  ejectMinMs: 1_000,
  ejectMaxMs: 6_000,
};

/** Tracks the health of one backend. */
export class BackendHealth {
  private failureShare = 0;
  private ejectedUntilMs = 0;
  private nextEjectionMs: number;
  private isOnTrial = false;

  constructor(private readonly options = DEFAULT_BACKEND_HEALTH_OPTIONS) {
    this.nextEjectionMs = options.ejectMinMs;
  }

  /** Whether requests should avoid the backend while others are available. */
  isEjected(nowMs: number): boolean {
    return nowMs < this.ejectedUntilMs;
  }

  /**
   * Whether the backend is probed with one request at a time: it was ejected, and no request has
   * succeeded there since.
   */
  get isProbing(): boolean {
    return this.isOnTrial;
  }

  /** Clears all failures and any ejection, once the agent reports the backend as open again. */
  reset(): void {
    this.failureShare = 0;
    this.ejectedUntilMs = 0;
    this.nextEjectionMs = this.options.ejectMinMs;
    this.isOnTrial = false;
  }

  /** Records an outcome. Returns whether it led to an ejection. */
  noteOutcome(outcome: AttemptOutcome, nowMs: number): boolean {
    if (outcome === 'unknown' || outcome === 'refused' || outcome === 'path-lost') {
      return false;
    }
    const { smoothing, ejectShare, ejectMinMs, ejectMaxMs } = this.options;
    const hasFailed = outcome !== 'answered';
    this.failureShare += smoothing * (Number(hasFailed) - this.failureShare);
    if (!hasFailed) {
      if (this.isOnTrial) {
        this.isOnTrial = false;
        this.nextEjectionMs = ejectMinMs;
        this.failureShare = 0;
      }
      return false;
    }
    const isCertain = this.isOnTrial || outcome === 'unreachable';
    if (!isCertain && this.failureShare < ejectShare) {
      return false;
    }
    if (nowMs < this.ejectedUntilMs) {
      return false;
    }
    this.ejectedUntilMs = nowMs + this.nextEjectionMs;
    this.nextEjectionMs = Math.min(this.nextEjectionMs * 2, ejectMaxMs);
    this.isOnTrial = true;
    return true;
  }
}
