/**
 * Requests that would be refused for want of a route or a key wait a moment while what this gateway knows is old: the
 * newest configuration may hold both. Learning it is left to those who follow the store, so that requests for
 * what never existed cause no calls.
 */
import type { Clock, TimerHandle } from '../../clock.js';

/** What is asked of the surroundings. */
export interface UnconfirmedRefusalsPorts {
  /** Whether there may be a newer configuration that this gateway should know by now. */
  isKnowledgeOld(): boolean;
}

/** Limits of the wait. */
export interface UnconfirmedRefusalsOptions {
  /** Longest wait, in milliseconds. Default 500. */
  readonly waitMs: number;
  /** Pause between two looks, in milliseconds. Default 25. */
  readonly lookMs: number;
  /** Requests that may wait; further ones are refused at once. Default 200. */
  readonly maxWaiting: number;
}

/** Defaults of the wait. */
export const DEFAULT_UNCONFIRMED_REFUSALS_OPTIONS: UnconfirmedRefusalsOptions = {
  waitMs: 500,
  lookMs: 25,
  maxWaiting: 200,
};

/** Called once: whether the knowledge was confirmed in time. */
export type OnConfirmation = (isConfirmed: boolean) => void;

interface WaitingRequest {
  readonly endsAtMs: number;
  readonly onConfirmation: OnConfirmation;
}

/** Requests that wait for a confirmation of what this gateway knows. */
export class UnconfirmedRefusals {
  private readonly waiting = new Set<WaitingRequest>();
  private timer: TimerHandle | undefined;

  constructor(
    private readonly ports: UnconfirmedRefusalsPorts,
    private readonly clock: Clock,
    private readonly options: UnconfirmedRefusalsOptions = DEFAULT_UNCONFIRMED_REFUSALS_OPTIONS,
  ) {}

  /** Requests that wait. */
  get count(): number {
    return this.waiting.size;
  }

  /** Waits for a confirmation; returns how to give up. */
  wait(onConfirmation: OnConfirmation): () => void {
    if (this.waiting.size >= this.options.maxWaiting) {
      onConfirmation(false);
      return () => undefined;
    }
    const request = { endsAtMs: this.clock.now() + this.options.waitMs, onConfirmation };
    this.waiting.add(request);
    this.lookLater();
    return () => this.waiting.delete(request);
  }

  private lookLater(): void {
    this.timer ??= this.clock.setTimeout(() => {
      this.timer = undefined;
      this.look();
    }, this.options.lookMs);
  }

  private look(): void {
    const isConfirmed = !this.ports.isKnowledgeOld();
    const nowMs = this.clock.now();
    for (const request of [...this.waiting]) {
      if (isConfirmed || nowMs >= request.endsAtMs) {
        this.waiting.delete(request);
        request.onConfirmation(isConfirmed);
      }
    }
    if (this.waiting.size > 0) {
      this.lookLater();
    }
  }
}
