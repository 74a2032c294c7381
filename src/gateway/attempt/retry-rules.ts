/** Rules on whether a request may be sent to another backend. */
import { mayRunAgain } from '../../routing/configuration.js';
import type { AcceptedRequest } from './accepted-request.js';
import type { AlternativeBackends } from './alternative-backends.js';
import type { RequestPorts } from './request-model.js';
import type { ResponseRelay } from './response-relay.js';

const MIN_TIME_FOR_ATTEMPT_MS = 5;

/** Retry rules of one request. */
export class RetryRules {
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

  /** Takes a retry from the budget of the service; returns false if none is left. */
  take(): boolean {
    return this.ports.takeRetry(this.request.service);
  }
}
