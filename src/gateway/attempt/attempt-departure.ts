/** Decides when a request leaves a backend that still has it. */
import type { AttemptOutcome } from '../dispatch/backend-health.js';
import type { AcceptedRequest } from './accepted-request.js';
import type { AlternativeBackends } from './alternative-backends.js';
import type { AttemptHandle } from './attempt.js';
import { OneShotTimer } from './one-shot-timer.js';
import { silenceTimeoutMs } from './request-model.js';
import type { RequestOptions, RequestPorts } from './request-model.js';
import type { RetryRules } from './retry-rules.js';

/**
 * Interval of the checks for a free slot elsewhere while a backend sends nothing, in milliseconds.
 */
const SILENCE_RECHECK_MS = 100;

/** An attempt in progress. */
export interface CurrentAttempt {
  readonly handle: AttemptHandle | undefined;
  readonly backendId: string;
  /** Number of attempts of the request, including this one. */
  readonly attempts: number;
  /** Time of the last data received, in milliseconds. */
  readonly lastReceiptAtMs: number;
}

/** The request whose attempts are left. */
export interface DepartingRequest {
  current(): CurrentAttempt;
  /** Ends the current attempt and sends the request elsewhere. */
  leave(outcome: AttemptOutcome, detail: string): void;
}

/** Leaves silent backends and lost paths for other backends. */
export class AttemptDeparture {
  /** Runs while the backend sends nothing. */
  private readonly silenceTimer: OneShotTimer;

  constructor(
    private readonly request: AcceptedRequest,
    private readonly options: RequestOptions,
    private readonly ports: RequestPorts,
    private readonly alternatives: AlternativeBackends,
    private readonly retries: RetryRules,
    private readonly departing: DepartingRequest,
  ) {
    this.silenceTimer = new OneShotTimer(ports.clock);
  }

  /** Limits how long a retryable request waits from now on for a backend that sends nothing. */
  armSilenceTimer(): void {
    const { route } = this.request;
    this.silenceTimer.clear();
    if (this.retries.isRepeatable && this.departing.current().attempts < route.maxAttempts) {
      const timeoutMs = silenceTimeoutMs(route, this.options);
      this.silenceTimer.start(timeoutMs, () => this.leaveSilentBackend());
    }
  }

  /** Stops waiting for the end of a silence. */
  clear(): void {
    this.silenceTimer.clear();
  }

  /**
   * Retries elsewhere as soon as the path is known to be lost, without waiting for the silence
   * timeout.
   */
  leaveLostPath(): void {
    const isReachableElsewhere = this.alternatives.isReachable(this.departing.current().backendId);
    if (this.canLeave && isReachableElsewhere && this.retries.take()) {
      this.leaveOnceCharged('path-lost', 'the path to it is lost');
    }
  }

  private get canLeave(): boolean {
    const { backendId, attempts } = this.departing.current();
    return this.retries.canLeave(backendId, attempts);
  }

  private leaveSilentBackend(): void {
    if (!this.canLeave) {
      return;
    }
    if (!this.alternatives.hasFreeSlot(this.departing.current().backendId)) {
      // Silence alone does not justify a cancel: the response may continue before a slot is free
      // elsewhere.
      this.silenceTimer.start(SILENCE_RECHECK_MS, () => this.leaveSilentBackend());
      return;
    }
    if (this.retries.take()) {
      this.leaveOnceCharged('silent', 'silent');
    }
  }

  /** Leaves the attempt once a retry is charged; otherwise it continues. */
  private leaveOnceCharged(outcome: AttemptOutcome, detail: string): void {
    const { handle, lastReceiptAtMs } = this.departing.current();
    this.ports.chargeRetry(this.request, (isGranted) => {
      const current = this.departing.current();
      const hasMoved = current.handle !== handle || current.lastReceiptAtMs !== lastReceiptAtMs;
      if (isGranted && !hasMoved && handle !== undefined) {
        this.departing.leave(outcome, detail);
      }
    });
  }
}
