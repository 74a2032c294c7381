/** What the outcomes of requests say of a back end's health. */

/** How an attempt at a back end ended. */
export type AttemptOutcome =
  /** A whole answer, whatever its status, that was no failure of the back end. */
  | 'answered'
  /** The back end said that it did not run the request. */
  | 'refused'
  /** No connection, a broken answer, silence, or an error of its own. */
  | 'failed'
  /** Ended for a reason that says nothing of the back end. */
  | 'unknown';

/** Bounds of ejection. */
export interface BackendHealthOptions {
  /** Weight of the newest outcome. Default 0.2. */
  readonly smoothing: number;
  /** Share of failures from which a back end is ejected. Default 0.45. */
  readonly ejectShare: number;
  /** First and longest ejection, in milliseconds. Defaults 1,000 and 6,000. */
  readonly ejectMinMs: number;
  readonly ejectMaxMs: number;
}

/** Defaults of ejection. */
export const DEFAULT_BACKEND_HEALTH_OPTIONS: BackendHealthOptions = {
  smoothing: 0.2,
  ejectShare: 0.45,
  ejectMinMs: 1_000,
  ejectMaxMs: 6_000,
};

/** Health of one back end. */
export class BackendHealth {
  private failureShare = 0;
  private ejectedUntilMs = 0;
  private ejectMs: number;
  private isOnTrial = false;

  constructor(private readonly options = DEFAULT_BACKEND_HEALTH_OPTIONS) {
    this.ejectMs = options.ejectMinMs;
  }

  /** Whether requests should go elsewhere while others are left. */
  isEjected(nowMs: number): boolean {
    return nowMs < this.ejectedUntilMs;
  }

  /** Whether only one request at a time should be risked on it. */
  get isProbing(): boolean {
    return this.isOnTrial;
  }

  /** Learns from an outcome; says whether it led to an ejection. */
  learn(outcome: AttemptOutcome, nowMs: number): boolean {
    if (outcome === 'unknown' || outcome === 'refused') {
      return false;
    }
    const { smoothing, ejectShare, ejectMinMs, ejectMaxMs } = this.options;
    const sample = outcome === 'failed' ? 1 : 0;
    this.failureShare += smoothing * (sample - this.failureShare);
    if (sample === 0) {
      if (this.isOnTrial) {
        this.isOnTrial = false;
        this.ejectMs = ejectMinMs;
        this.failureShare = 0;
      }
      return false;
    }
    if (!this.isOnTrial && this.failureShare < ejectShare) {
      return false;
    }
    if (nowMs < this.ejectedUntilMs) {
      return false;
    }
    this.ejectedUntilMs = nowMs + this.ejectMs;
    this.ejectMs = Math.min(this.ejectMs * 2, ejectMaxMs);
    this.isOnTrial = true;
    return true;
  }
}
