/**
 * Graceful shutdown of a gateway, without I/O: it reports not ready at once, serves new requests
 * for a while, since callers notice that late, then waits for running requests until shortly before
 * the kill.
 */
import type { Clock } from '../clock.js';

/** Time after the stop signal for which new requests are still served, in milliseconds. */
const ACCEPT_WINDOW_MS = 3_000;
/** Time before the listener closes from which new requests are refused, in milliseconds. */
const REFUSAL_LEAD_MS = 100;
/** Time before the kill at which the process ends even if requests still run, in milliseconds. */
const KILL_MARGIN_MS = 350;
/** Time before the end of the process at which waiting requests are refused, in milliseconds. */
const REFUSAL_FLUSH_MS = 150;
/**
 * Time before the end of the process at which running requests without a response are answered, in
 * milliseconds.
 */
const ANSWER_FLUSH_MS = 50;
/** Maximum wait for a poll without input before the end of the process, in milliseconds. */
const QUIET_POLL_LIMIT_MS = 50;

/** Operations of the gateway that a graceful shutdown uses. */
export interface GracefulShutdownPorts {
  /** Stops accepting connections, then calls `onStopped`. */
  stopListening(onStopped: () => void): void;
  /** Calls `callback` right after a poll that brought no input from callers. */
  afterQuietPoll(callback: () => void): void;
  /** Number of requests whose response has not left the process. */
  countActive(): number;
  /** Refuses the requests that no backend has. */
  refuseWaiting(): void;
  /** Answers the requests whose responses have not begun. */
  failUnanswered(): void;
  /** Ends the gateway; called once. */
  end(): void;
}

/** State machine of a graceful shutdown. */
export class GracefulShutdown {
  private begunAtMs: number | undefined;
  private hasStoppedListening = false;
  private isAwaitingQuietPoll = false;
  private hasEnded = false;

  constructor(
    private readonly clock: Clock,
    private readonly graceMs: number,
    private readonly ports: GracefulShutdownPorts,
  ) {}

  /** Whether the stop signal was received. */
  get hasBegun(): boolean {
    return this.begunAtMs !== undefined;
  }

  /** Whether new requests are refused. */
  get isRefusing(): boolean {
    return this.elapsedMs() > ACCEPT_WINDOW_MS - REFUSAL_LEAD_MS;
  }

  /** Begins the shutdown on the stop signal. */
  begin(): void {
    this.begunAtMs = this.clock.now();
    this.clock.setTimeout(
      () => this.ports.stopListening(() => this.handleListenerClosed()),
      ACCEPT_WINDOW_MS,
    );
    const lastMs = Math.max(ACCEPT_WINDOW_MS, this.graceMs - KILL_MARGIN_MS);
    this.clock.setTimeout(() => this.ports.refuseWaiting(), lastMs - REFUSAL_FLUSH_MS);
    this.clock.setTimeout(() => this.ports.failUnanswered(), lastMs - ANSWER_FLUSH_MS);
    this.clock.setTimeout(() => this.endBeforeKill(), lastMs);
  }

  /**
   * Ends the gateway if the last response has left the process after the accept window, unless a
   * poll brings another request first.
   */
  onRequestEnded(): void {
    if (!this.hasStoppedListening || this.isAwaitingQuietPoll || !this.isInactive) {
      return;
    }
    this.isAwaitingQuietPoll = true;
    this.ports.afterQuietPoll(() => {
      this.isAwaitingQuietPoll = false;
      if (this.isInactive) {
        this.end();
      }
    });
  }

  private get isInactive(): boolean {
    return this.ports.countActive() === 0;
  }

  private handleListenerClosed(): void {
    this.hasStoppedListening = true;
    this.onRequestEnded();
  }

  private elapsedMs(): number {
    return this.begunAtMs === undefined ? -Infinity : this.clock.now() - this.begunAtMs;
  }

  /** Ends the gateway once the requests that have arrived are read. */
  private endBeforeKill(): void {
    this.clock.setTimeout(() => this.answerAndEnd(), QUIET_POLL_LIMIT_MS);
    this.ports.afterQuietPoll(() => this.answerAndEnd());
  }

  /** Ends the gateway; answers the requests that were read or sent since the last answers. */
  private answerAndEnd(): void {
    if (!this.hasEnded) {
      this.ports.refuseWaiting();
      this.ports.failUnanswered();
      this.end();
    }
  }

  private end(): void {
    if (!this.hasEnded) {
      this.hasEnded = true;
      this.ports.end();
    }
  }
}
