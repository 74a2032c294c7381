/** Rules on whether a request may be sent to another backend. */
import { mayRunAgain } from '../../routing/configuration.js';
import type { AcceptedRequest } from './accepted-request.js';
import type { AttemptFailure } from './attempt.js';
import type { AlternativeBackends } from './alternative-backends.js';
import type { RequestPorts } from './request-model.js';
import type { ResponseRelay } from './response-relay.js';
import { RetryReservation } from './retry-reservation.js';

const MIN_TIME_FOR_ATTEMPT_MS = 5;
/**
 * Maximum failed connects after which a request is still sent elsewhere; each uses up a part of the
 * caller's time.
 */
const MAX_CONNECT_FAILURES = 4;

/** What became of a retry that was sent. */
export interface SentRetry {
  /** Whether it may have reached a backend. */
  readonly hasArrived: boolean;
  /** Whether a backend may have executed it. */
  readonly mayHaveRun: boolean;
}

/** Retry rules of one request. */
export class RetryRules {
  private connectFailures = 0;
  private readonly next: RetryReservation;

  constructor(
    private readonly request: AcceptedRequest,
    private readonly relay: ResponseRelay,
    private readonly alternatives: AlternativeBackends,
    private readonly ports: Pick<
      RequestPorts,
      'clock' | 'takeRetry' | 'returnRetry' | 'chargeRetry'
    >,
  ) {
    this.next = new RetryReservation(request, ports);
  }

  /** Whether the request may run again, given what its caller has received. */
  get isRepeatable(): boolean {
    const { route } = this.request;
    return mayRunAgain(route) && (route.kind === 'stream' || !this.relay.hasStarted);
  }

  /** Whether the caller still waits long enough for another attempt. */
  get hasTimeLeft(): boolean {
    return this.request.deadlineAtMs - this.ports.clock.now() > MIN_TIME_FOR_ATTEMPT_MS;
  }

  /** Whether the request may leave the backend after `attempts` attempts. */
  canLeave(backendId: string, attempts: number): boolean {
    const canMove = this.alternatives.isAvailable(backendId);
    return canMove && this.isRepeatable && this.hasAttemptLeft(attempts) && this.hasTimeLeft;
  }

  /** Records a failed connect; returns whether the request may still be sent elsewhere. */
  mayRetryUnsent({ isPortClosed }: AttemptFailure): boolean {
    // A closed port is detected at once, and no other request is sent there for now.
    this.connectFailures += isPortClosed ? 0 : 1;
    return this.connectFailures <= MAX_CONNECT_FAILURES && this.hasTimeLeft;
  }

  /**
   * Takes a retry after the last of `attempts` was not executed; returns false if none is left. With
   * no attempt left the request may only return to a backend that it left as sound.
   */
  takeAfterRefusal(attempts: number): boolean {
    this.next.refundCharge();
    const canRetry = this.hasAttemptLeft(attempts) || this.alternatives.canReturn;
    return canRetry && this.hasTimeLeft && this.take();
  }

  /** Whether the next retry is taken and charged. */
  get isCharged(): boolean {
    return this.next.isCharged;
  }

  /** Charges the retry that was taken to the tenant; see `RetryReservation.charge`. */
  charge(onResult: (isGranted: boolean) => void): void {
    this.next.charge(onResult);
  }

  /** Records that the retry that was taken is made. */
  use(): void {
    this.next.use();
  }

  /** Records what became of the retry that was sent beside the current attempt and is not used. */
  useBeside({ hasArrived, mayHaveRun }: SentRetry): void {
    if (mayHaveRun) {
      this.next.use();
    } else if (hasArrived) {
      this.next.useUnexecuted();
    }
  }

  /** Gives back the retry that was taken. */
  release(): void {
    this.next.release();
  }

  /** Gives back the retry that was taken and not made. */
  end(): void {
    this.next.release();
  }

  /** Whether the request may go on at a backend that it left as sound. */
  get canReturn(): boolean {
    return this.alternatives.canReturn && this.isRepeatable && this.hasTimeLeft;
  }

  /** Limits the request to backends that it left as sound if no attempt is left. */
  limitToAttempts(attempts: number): void {
    if (!this.hasAttemptLeft(attempts)) {
      this.alternatives.returnOnly();
    }
  }

  /** Whether the request may reach one more backend after `attempts` attempts. */
  private hasAttemptLeft(attempts: number): boolean {
    return attempts < this.request.route.maxAttempts;
  }

  /** Takes the next retry from the budget of the service; returns false if none is left. */
  take(): boolean {
    return this.next.take();
  }
}
