/** What the outcomes of requests say of a back end's health. */

/** How an attempt at a back end ended. */
export type AttemptOutcome =
  /** A whole answer, whatever its status, that was no failure of the back end. */
  | 'answered'
  /** The back end said that it did not run the request. */
  | 'refused'
  /** A reset, a broken answer, or an error of its own. */
  | 'failed'
  /** Nothing was heard of it: it may hang, or the path from here be cut. */
  | 'silent'
  /** It was left for another back end, since the path to it is believed to be lost. */
  | 'path-lost'
  /** Nothing listens at its address: the request was not sent, and none can be for now. */
  | 'unreachable'
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

  /** Another process answers there than the one of which something was learned. */
  forget(): void {
    this.failureShare = 0;
    this.ejectedUntilMs = 0;
    this.ejectMs = this.options.ejectMinMs;
    this.isOnTrial = false;
  }

  /** Learns from an outcome; says whether it led to an ejection. */
  learn(outcome: AttemptOutcome, nowMs: number): boolean {
    if (outcome === 'unknown' || outcome === 'refused' || outcome === 'path-lost') {
      return false;
    }
    const { smoothing, ejectShare, ejectMinMs, ejectMaxMs } = this.options;
    const hasFailed = outcome !== 'answered';
    this.failureShare += smoothing * (Number(hasFailed) - this.failureShare);
    if (!hasFailed) {
      if (this.isOnTrial) {
        this.isOnTrial = false;
        this.ejectMs = ejectMinMs;
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
    this.ejectedUntilMs = nowMs + this.ejectMs;
    this.ejectMs = Math.min(this.ejectMs * 2, ejectMaxMs);
    this.isOnTrial = true;
    return true;
  }
}
