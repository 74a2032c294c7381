/** Rules on whether a request may be sent to another backend. */
import { mayRunAgain } from '../../routing/configuration.js';
import type { AcceptedRequest } from './accepted-request.js';
import type { AttemptFailure } from './attempt.js';
import type { AlternativeBackends } from './alternative-backends.js';
import type { RequestPorts } from './request-model.js';
import type { ResponseRelay } from './response-relay.js';

const MIN_TIME_FOR_ATTEMPT_MS = 5;
/**
 * Maximum failed connects after which a request is still sent elsewhere; each uses up a part of the
 * caller's time.
 */
const MAX_CONNECT_FAILURES = 4;

/** Retry rules of one request. */
export class RetryRules {
  private connectFailures = 0;

  constructor(
    private readonly request: AcceptedRequest,
    private readonly relay: ResponseRelay,
    private readonly alternatives: AlternativeBackends,
    private readonly ports: Pick<RequestPorts, 'clock' | 'takeRetry'>,
  ) {}

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
    const hasAttemptLeft = attempts < this.request.route.maxAttempts;
    const canMove = this.alternatives.isAvailable(backendId);
    return canMove && this.isRepeatable && hasAttemptLeft && this.hasTimeLeft;
  }

  /** Records a failed connect; returns whether the request may still be sent elsewhere. */
  mayRetryUnsent({ isPortClosed }: AttemptFailure): boolean {
    // A closed port is detected at once, and no other request is sent there for now.
    this.connectFailures += isPortClosed ? 0 : 1;
    return this.connectFailures <= MAX_CONNECT_FAILURES && this.hasTimeLeft;
  }

  /**
   * Takes a retry after the last of `attempts` was not executed; returns false if none is left. With
   * no attempt left the request may only return to backends that it left as silent.
   */
  takeAfterRefusal(attempts: number): boolean {
    const hasAttemptLeft = attempts < this.request.route.maxAttempts;
    const canRetry = hasAttemptLeft || this.alternatives.hasLeftSilent;
    if (!canRetry || !this.hasTimeLeft || !this.take()) {
      return false;
    }
    if (!hasAttemptLeft) {
      this.alternatives.keepOnlySilent();
    }
    return true;
  }

  /** Takes a retry from the budget of the service; returns false if none is left. */
  take(): boolean {
    return this.ports.takeRetry(this.request.service);
  }
}
