/**
 * Delays requests without a matching route or key while the gateway's configuration may be stale:
 * the newest configuration may contain both. The store watchers update it independently, so that
 * requests for routes or keys that never existed cause no store calls.
 */
import type { Clock, TimerHandle } from '../../clock.js';

/** Dependencies of the queue. */
export interface ConfirmationQueuePorts {
  /** Whether a newer configuration may exist that this gateway should have received by now. */
  isKnowledgeOld(): boolean;
}

/** Limits of the queue. */
export interface ConfirmationQueueOptions {
  /** Maximum wait, in milliseconds. Default 500. */
  readonly waitMs: number;
  /** Interval of the checks, in milliseconds. Default 25. */
  readonly checkIntervalMs: number;
  /** Maximum waiting requests; further ones are refused at once. Default 200. */
  readonly maxWaiting: number;
}

/** Default limits of the queue. */
export const DEFAULT_CONFIRMATION_QUEUE_OPTIONS: ConfirmationQueueOptions = {
  waitMs: 500,
  checkIntervalMs: 25,
  maxWaiting: 200,
};

/** Called once with whether the configuration was confirmed as current in time. */
export type OnConfirmation = (isConfirmed: boolean) => void;

interface WaitingRequest {
  readonly expiresAtMs: number;
  readonly onConfirmation: OnConfirmation;
}

/** Queues requests until the gateway's configuration is confirmed as current, or a timeout. */
export class ConfigurationConfirmationQueue {
  private readonly waiting = new Set<WaitingRequest>();
  private timer: TimerHandle | undefined;

  constructor(
    private readonly ports: ConfirmationQueuePorts,
    private readonly clock: Clock,
    private readonly options: ConfirmationQueueOptions = DEFAULT_CONFIRMATION_QUEUE_OPTIONS,
  ) {}

  /** Number of waiting requests. */
  get count(): number {
    return this.waiting.size;
  }

  /** Waits for a confirmation; the returned function cancels the wait. */
  wait(onConfirmation: OnConfirmation): () => void {
    if (this.waiting.size >= this.options.maxWaiting) {
      onConfirmation(false);
      return () => undefined;
    }
    const request = { expiresAtMs: this.clock.now() + this.options.waitMs, onConfirmation };
    this.waiting.add(request);
    this.scheduleCheck();
    return () => this.waiting.delete(request);
  }

  private scheduleCheck(): void {
    this.timer ??= this.clock.setTimeout(() => {
      this.timer = undefined;
      this.check();
    }, this.options.checkIntervalMs);
  }

  private check(): void {
    const isConfirmed = !this.ports.isKnowledgeOld();
    const nowMs = this.clock.now();
    for (const request of [...this.waiting]) {
      if (isConfirmed || nowMs >= request.expiresAtMs) {
        this.waiting.delete(request);
        request.onConfirmation(isConfirmed);
      }
    }
    if (this.waiting.size > 0) {
      this.scheduleCheck();
    }
  }
}
