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

/** Why a request leaves its backend. */
export interface DepartureCause {
  /** Outcome of the attempt that is left. */
  readonly outcome: AttemptOutcome;
  readonly detail: string;
}

/** The request whose attempts are left. */
export interface DepartingRequest {
  current(): CurrentAttempt;
  /** Whether its caller takes no data for now, so that none is read from the backend. */
  isPaused(): boolean;
  /** Whether a slot that suits the request is free elsewhere. */
  canMove(): boolean;
  /** Sends the request elsewhere once a slot is free there; the attempt continues until then. */
  moveOncePlaced(cause: DepartureCause): void;
}

const SILENT: DepartureCause = { outcome: 'silent', detail: 'silent' };
const PATH_LOST: DepartureCause = { outcome: 'path-lost', detail: 'the path to it is lost' };

/**
 * Leaves silent backends and lost paths for other backends.
 *
 * A silent backend may be sound and go on, so its attempt ends only when another backend has a slot
 * for the request.
 */
export class AttemptDeparture {
  /** Runs while the backend sends nothing. */
  private readonly silenceTimer: OneShotTimer;

  constructor(
    private readonly request: AcceptedRequest,
    private readonly options: RequestOptions,
    ports: Pick<RequestPorts, 'clock'>,
    private readonly alternatives: AlternativeBackends,
    private readonly retries: RetryRules,
    private readonly departing: DepartingRequest,
  ) {
    this.silenceTimer = new OneShotTimer(ports.clock);
  }

  /** Limits how long a retryable request waits from now on for a backend that sends nothing. */
  armSilenceTimer(): void {
    this.checkSilenceIn(silenceTimeoutMs(this.request.route, this.options));
  }

  /** Like `armSilenceTimer`, for a backend that has been silent for long. */
  recheckSoon(): void {
    this.checkSilenceIn(SILENCE_RECHECK_MS);
  }

  private checkSilenceIn(delayMs: number): void {
    this.silenceTimer.clear();
    const { maxAttempts } = this.request.route;
    if (this.retries.isRepeatable && this.departing.current().attempts < maxAttempts) {
      this.silenceTimer.start(delayMs, () => this.leaveSilentBackend());
    }
  }

  /** Stops waiting for the end of a silence. */
  clear(): void {
    this.silenceTimer.clear();
  }

  /**
   * Retries elsewhere as soon as the path is known to be lost and another backend has a slot,
   * without waiting for the silence timeout.
   */
  leaveLostPath(lostId: string): void {
    const { backendId, handle } = this.departing.current();
    // Other requests that leave the path may have given this one a slot elsewhere meanwhile.
    const isOnPath = handle !== undefined && backendId === lostId;
    if (!isOnPath || !this.canLeave || !this.alternatives.isReachable(backendId)) {
      return;
    }
    if (this.retries.take()) {
      this.onceCharged(() => this.beginMove(PATH_LOST));
    }
  }

  private get canLeave(): boolean {
    const { backendId, attempts } = this.departing.current();
    return this.retries.canLeave(backendId, attempts);
  }

  private leaveSilentBackend(): void {
    const { backendId, handle } = this.departing.current();
    if (handle === undefined) {
      return;
    }
    if (this.departing.isPaused()) {
      this.armSilenceTimer();
    } else if (!this.canMoveFrom(backendId) || !this.retries.take()) {
      this.recheckSoon();
    } else if (this.retries.isCharged) {
      this.beginMove(SILENT);
    } else {
      // The slot may be taken while the retry is charged.
      this.onceCharged(() => this.leaveSilentBackend());
    }
  }

  private canMoveFrom(backendId: string): boolean {
    return this.canLeave && this.alternatives.hasFreeSlot(backendId) && this.departing.canMove();
  }

  private beginMove(cause: DepartureCause): void {
    this.clear();
    this.departing.moveOncePlaced(cause);
  }

  /** Calls `leave` once a retry is charged, unless the attempt has ended or sent data meanwhile. */
  private onceCharged(leave: () => void): void {
    const { handle, lastReceiptAtMs } = this.departing.current();
    this.retries.charge((isGranted) => {
      const current = this.departing.current();
      const hasMoved = current.handle !== handle || current.lastReceiptAtMs !== lastReceiptAtMs;
      if (isGranted && !hasMoved && handle !== undefined) {
        leave();
      } else if (current.handle === handle) {
        this.armSilenceTimer();
      }
    });
  }
}
