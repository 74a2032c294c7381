/** A gateway whose backends complete every request, though each may be silent for a while. */
import type { AttemptHandlers, OutgoingAttempt } from '../../src/gateway/attempt/attempt.js';
import type { AttemptHandle } from '../../src/gateway/attempt/attempt.js';
import { OpenGateway } from './open-gateway.js';

/** A period in which a backend sends nothing. */
export interface Silence {
  readonly backend: string;
  readonly fromMs: number;
  readonly untilMs: number;
}

const CONNECT_MS = 20;
const EVENT_INTERVAL_MS = 150;
const EVENTS = 6;

/** A gateway with sound backends. */
export class SoundBackends extends OpenGateway {
  silences: readonly Silence[] = [];

  override send(attempt: OutgoingAttempt, handlers: AttemptHandlers): AttemptHandle {
    return new SoundAttempt(this, attempt, handlers);
  }

  /** Returns how long a backend still sends nothing, in milliseconds. */
  silentForMs(backendId: string): number {
    const nowMs = this.clock.now();
    const ends = this.silences
      .filter(({ backend, fromMs, untilMs }) => {
        return backend === backendId && fromMs <= nowMs && nowMs < untilMs;
      })
      .map(({ untilMs }) => untilMs);
    return Math.max(0, ...ends.map((untilMs) => untilMs - nowMs));
  }
}

/** One attempt at a sound backend: a connect, then a head and some events. */
class SoundAttempt implements AttemptHandle {
  private isOver = false;
  private isSent = false;

  constructor(
    private readonly world: SoundBackends,
    private readonly attempt: OutgoingAttempt,
    private readonly handlers: AttemptHandlers,
  ) {
    world.clock.setTimeout(() => this.begin(), CONNECT_MS);
  }

  cancel(): void {
    this.isOver = true;
  }

  discardForeignResponse(): void {
    this.cancel();
  }

  withdraw(): boolean {
    if (this.isSent || this.isOver) {
      return false;
    }
    this.isOver = true;
    return true;
  }

  pause(): void {
    // Simulated callers apply no backpressure.
  }

  resume(): void {
    // See `pause`.
  }

  private begin(): void {
    if (this.isOver) {
      return;
    }
    this.isSent = true;
    const { headers } = this.attempt;
    const lastEvent = Number(headers[headers.indexOf('last-event') + 1]);
    this.after(EVENT_INTERVAL_MS, () => {
      const request = headers[headers.indexOf('request') + 1]!;
      this.handlers.onHead({ status: 200, rawHeaders: [], headers: { request } });
      this.sendEvents(lastEvent + 1);
    });
  }

  private sendEvents(next: number): void {
    if (this.isOver) {
      return;
    }
    this.handlers.onData(Buffer.from(`id: ${next}\ndata: e\n\n`));
    this.after(EVENT_INTERVAL_MS, () => {
      if (next < EVENTS) {
        this.sendEvents(next + 1);
      } else {
        this.isOver = true;
        this.handlers.onEnd();
      }
    });
  }

  /** Runs a step of the backend later, and not while it is silent. */
  private after(delayMs: number, step: () => void): void {
    this.world.clock.setTimeout(() => {
      const silentForMs = this.world.silentForMs(this.attempt.backend.id);
      if (silentForMs > 0) {
        this.after(silentForMs, step);
      } else if (!this.isOver) {
        step();
      }
    }, delayMs);
  }
}
