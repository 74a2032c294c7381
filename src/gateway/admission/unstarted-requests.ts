/**
 * Requests that were read and are not offered to backends yet: they wait for a confirmed
 * configuration, the origin of their stream or a quota charge.
 */
import type { Clock, TimerHandle } from '../../clock.js';
import { MAX_TIMER_MS } from '../../routing/configuration.js';
import { DEFAULT_REQUEST_OPTIONS } from '../attempt/request-model.js';
import type { GatewayRefusal } from './gateway-refusal.js';

const NOT_STARTED_REFUSAL: GatewayRefusal = {
  reason: 'not-started-in-time',
  retryAfterMs: DEFAULT_REQUEST_OPTIONS.retryAfterMs,
};

/** Tracks the waits before requests are offered to backends. */
export class UnstartedRequests {
  private readonly waiting = new Set<UnstartedRequest>();

  constructor(private readonly clock: Clock) {}

  /** Number of waiting requests. */
  get count(): number {
    return this.waiting.size;
  }

  /**
   * Adds a wait.
   *
   * @param refuse - refuses the request; called at most once, and not after the end of the wait
   */
  add(refuse: (refusal: GatewayRefusal) => void): UnstartedRequest {
    const request = new UnstartedRequest(this.waiting, this.clock, refuse);
    this.waiting.add(request);
    return request;
  }

  /** Refuses all waiting requests. */
  refuseAll(refusal: GatewayRefusal): void {
    [...this.waiting].forEach((request) => request.refuse(refusal));
  }
}

/** The wait of one request. */
export class UnstartedRequest {
  private expiryTimer: TimerHandle | undefined;

  constructor(
    private readonly waiting: Set<UnstartedRequest>,
    private readonly clock: Clock,
    private readonly onRefused: (refusal: GatewayRefusal) => void,
  ) {}

  /** Ends the wait; returns whether it had not ended before. */
  end(): boolean {
    this.clock.clearTimeout(this.expiryTimer);
    return this.waiting.delete(this);
  }

  /** Refuses the request, unless its wait has ended. */
  refuse(refusal: GatewayRefusal): void {
    if (this.end()) {
      this.onRefused(refusal);
    }
  }

  /** Refuses the request at its deadline, unless its wait has ended by then. */
  expireAt(deadlineAtMs: number): void {
    if (this.waiting.has(this)) {
      const remainingMs = Math.min(MAX_TIMER_MS, deadlineAtMs - this.clock.now());
      this.expiryTimer = this.clock.setTimeout(() => this.refuse(NOT_STARTED_REFUSAL), remainingMs);
    }
  }
}
