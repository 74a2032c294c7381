/** The slot of a backend that the dispatcher counts for a request. */
import type { AttemptOutcome } from '../dispatch/backend-health.js';
import type { RequestPorts } from './request-model.js';

/** Gives back the slot of a request's current attempt once. */
export class HeldSlot {
  private backendId: string | undefined;

  constructor(private readonly ports: Pick<RequestPorts, 'dispatcher' | 'clock'>) {}

  /** Notes that the dispatcher counts the request at a backend. */
  hold(backendId: string): void {
    this.backendId = backendId;
  }

  /** Gives the slot back, if one is held. */
  release(outcome: AttemptOutcome): void {
    const { backendId } = this;
    if (backendId !== undefined) {
      this.backendId = undefined;
      this.ports.dispatcher.finish(backendId, outcome, this.ports.clock.now());
    }
  }
}
