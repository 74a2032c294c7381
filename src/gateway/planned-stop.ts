/**
 * The planned stop of a gateway, without I/O: it is not ready at once, serves new requests for a
 * while, since callers hear of it late, then ends those that run and itself.
 */
import type { Clock } from '../clock.js';

/** Time after the stop signal in which new requests are still served, in milliseconds. */
const ACCEPT_MS = 3_000;
/** Requests are refused this long before the listener closes, in milliseconds. */
const REFUSE_AHEAD_MS = 100;
/** Time left before the kill at which the process ends whatever runs, in milliseconds. */
const KILL_MARGIN_MS = 350;

/** What a planned stop does to its surroundings. */
export interface PlannedStopPorts {
  /** Takes no new connections. */
  stopListening(): void;
  /** Requests that run. */
  countActive(): number;
  /** Ends everything; called once. */
  end(): void;
}

/** The planned stop of a gateway. */
export class PlannedStop {
  private requestedAtMs: number | undefined;
  private isOver = false;

  constructor(
    private readonly clock: Clock,
    private readonly graceMs: number,
    private readonly ports: PlannedStopPorts,
  ) {}

  /** Whether the stop signal came. */
  get isRequested(): boolean {
    return this.requestedAtMs !== undefined;
  }

  /** Whether new requests are refused. */
  get isRefusing(): boolean {
    return this.elapsedMs() > ACCEPT_MS - REFUSE_AHEAD_MS;
  }

  /** The stop signal came. */
  request(): void {
    this.requestedAtMs = this.clock.now();
    this.clock.setTimeout(() => {
      this.ports.stopListening();
      this.noteRequestEnded();
    }, ACCEPT_MS);
    const lastMs = Math.max(ACCEPT_MS, this.graceMs - KILL_MARGIN_MS);
    this.clock.setTimeout(() => this.end(), lastMs);
  }

  /** A request ended; the process ends with the last one. */
  noteRequestEnded(): void {
    if (this.elapsedMs() >= ACCEPT_MS && this.ports.countActive() === 0) {
      this.end();
    }
  }

  private elapsedMs(): number {
    return this.requestedAtMs === undefined ? -Infinity : this.clock.now() - this.requestedAtMs;
  }

  private end(): void {
    if (!this.isOver) {
      this.isOver = true;
      this.ports.end();
    }
  }
}
