/**
 * Health state machine of an agent's engine: decides from probe results and failed requests whether
 * the engine may be sent requests, without I/O.
 *
 * The requests of an engine that crashes or aborts every request fail and free their slots
 * immediately, so such an engine would attract more requests than any healthy one. A failed request
 * therefore suspends grants until a probe succeeds. Several consecutive failures eject the engine
 * for a backoff period, regardless of its status report; after that a single trial request decides,
 * as with a half-open circuit breaker.
 */

/** Result of one probe of an engine. */
export type EngineProbeResult =
  /** Requests that run or wait in the engine, and its start time on its own clock, if reported. */
  | { readonly kind: 'load'; readonly requests: number; readonly bornAtMs?: number | undefined }
  /** Connection refused: nothing listens at its address. */
  | { readonly kind: 'closed' }
  /** Timeout, or an invalid response. */
  | { readonly kind: 'silent' };

/** Whether gateways may send requests to an engine. */
export type EngineAvailability =
  | 'open'
  /** One request at a time, to test whether it responds. */
  | 'trial'
  /** No requests. */
  | 'closed';

/**
 * Why an engine is closed: its process exited, it is unresponsive, or it is ejected after
 * consecutive failures.
 */
export type ClosedCause = 'port-closed' | 'silent' | 'failing';

/** Internal health state. */
type EngineState =
  | 'serving'
  /** A request failed since the last successful probe. */
  | 'suspect'
  /** Ejected after consecutive failures, until the backoff ends. */
  | 'resting'
  /** The backoff ended; a single trial request decides. */
  | 'trial'
  /** Exited or unresponsive. */
  | 'gone';

/** Thresholds and backoff times of the health state machine. */
export interface EngineHealthOptions {
  /**
   * Consecutive failures that eject an engine. Default 8: an engine that fails 45 in 100 of its
   * requests reaches this once in 595 requests; one that fails all of them loses 8 in addition to
   * those already running.
   */
  readonly maxConsecutiveFailures: number;
  /**
   * Initial and maximum backoff, in milliseconds; it doubles with each failed trial. Defaults 300
   * and 1,000: a trial may fail a caller's request, while backoff wastes the slots of an engine
   * that has recovered.
   */
  readonly backoffMinMs: number;
  readonly backoffMaxMs: number;
  /**
   * Consecutive probes without a response after which an engine is considered unresponsive. Default
   * 2: a single one may time out because either process is busy.
   */
  readonly maxUnansweredProbes: number;
}

/** Default thresholds and backoff times. */
export const DEFAULT_ENGINE_HEALTH_OPTIONS: EngineHealthOptions = {
  maxConsecutiveFailures: 8,
  backoffMinMs: 300,
  backoffMaxMs: 1_000,
  maxUnansweredProbes: 2,
};

/** Health of one engine. */
export class EngineHealth {
  private state: EngineState = 'serving';
  private unansweredProbes = 0;
  /** Whether the last probe found nothing listening at its address. */
  private isPortClosed = false;
  /**
   * Whether a gateway got no response since the last successful probe; grants continue meanwhile.
   */
  private isProbeRequested = false;
  private consecutiveFailures = 0;
  private backoffUntilMs = 0;
  private backoffMs: number;

  constructor(private readonly options: EngineHealthOptions = DEFAULT_ENGINE_HEALTH_OPTIONS) {
    this.backoffMs = options.backoffMinMs;
  }

  /** Whether gateways may send it requests. */
  get availability(): EngineAvailability {
    if (this.state === 'trial') {
      return 'trial';
    }
    return this.state === 'gone' || this.state === 'resting' ? 'closed' : 'open';
  }

  /** Why it is closed; undefined while it is not. */
  get closedCause(): ClosedCause | undefined {
    if (this.state === 'resting') {
      return 'failing';
    }
    if (this.state !== 'gone') {
      return undefined;
    }
    return this.isPortClosed ? 'port-closed' : 'silent';
  }

  /** Whether grants wait for the next successful probe. */
  get isSuspect(): boolean {
    return this.state === 'suspect';
  }

  /** Whether its state is uncertain until a further probe. */
  get needsProbe(): boolean {
    return this.state !== 'serving' || this.isProbeRequested;
  }

  /** Records that a request succeeded, or that the response to a trial request began. */
  noteResponse(): void {
    this.consecutiveFailures = 0;
    if (this.state === 'trial') {
      this.markServing();
    }
  }

  /**
   * Requests a probe after a gateway got no response, since the fault may be in that gateway's
   * network path.
   */
  requestProbe(): void {
    this.isProbeRequested = true;
  }

  /** Records a failed request. */
  noteFailure(nowMs: number): void {
    this.consecutiveFailures += 1;
    if (this.state === 'trial' || this.hasReachedFailureLimit) {
      this.startBackoff(nowMs);
    } else if (this.state === 'serving') {
      this.state = 'suspect';
    }
  }

  /** Applies the result of a probe. */
  applyProbeResult(result: EngineProbeResult, nowMs: number): void {
    this.isPortClosed = result.kind === 'closed';
    if (result.kind !== 'load') {
      this.noteFailedProbe(result.kind === 'closed');
      return;
    }
    this.unansweredProbes = 0;
    this.isProbeRequested = false;
    if (this.state === 'suspect' || this.state === 'gone') {
      this.markServing();
    } else if (this.state === 'resting' && nowMs >= this.backoffUntilMs) {
      this.state = 'trial';
    }
  }

  private get hasReachedFailureLimit(): boolean {
    const isInUse = this.state === 'serving' || this.state === 'suspect';
    return isInUse && this.consecutiveFailures >= this.options.maxConsecutiveFailures;
  }

  private noteFailedProbe(isClosed: boolean): void {
    this.unansweredProbes += 1;
    if (isClosed || this.unansweredProbes >= this.options.maxUnansweredProbes) {
      this.state = 'gone';
    }
  }

  private startBackoff(nowMs: number): void {
    this.state = 'resting';
    this.backoffUntilMs = nowMs + this.backoffMs;
    this.backoffMs = Math.min(this.backoffMs * 2, this.options.backoffMaxMs);
  }

  /**
   * Returns to service. Resets failure count and backoff except after `suspect`: an engine that was
   * gone may be a new process, and failures of the previous one do not predict its own.
   */
  private markServing(): void {
    if (this.state !== 'suspect') {
      this.consecutiveFailures = 0;
      this.backoffMs = this.options.backoffMinMs;
    }
    this.state = 'serving';
  }
}
