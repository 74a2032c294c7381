/**
 * Measures how long connections wait to be accepted.
 *
 * Node.js accepts one connection of a listener in each iteration of the event loop, and the kernel
 * does not tell for how long a connection has waited. While every iteration accepts one, more are
 * waiting, or arriving as fast as they are accepted.
 */
import type { Clock } from '../../clock.js';

/** A period in which every iteration of the event loop accepted a connection. */
export interface AcceptBacklog {
  /** Number of connections that were accepted. */
  readonly connections: number;
  /** Upper bound of the time for which one of them waited, in milliseconds. */
  readonly durationMs: number;
}

/** Measures the accept backlog of one listener. */
export class AcceptBacklogMonitor {
  private connections = 0;
  private startedAtMs = 0;
  private hasAccepted = false;

  /** @param onEnd - called when an iteration accepts no connection after one or more that did */
  constructor(
    private readonly clock: Clock,
    private readonly onEnd: (backlog: AcceptBacklog) => void,
  ) {}

  /** Records that a connection was accepted. */
  recordAccept(): void {
    this.hasAccepted = true;
    this.connections += 1;
    if (this.connections === 1) {
      this.startedAtMs = this.clock.now();
      setImmediate(() => this.endIteration());
    }
  }

  private endIteration(): void {
    if (this.hasAccepted) {
      this.hasAccepted = false;
      setImmediate(() => this.endIteration());
      return;
    }
    const { connections } = this;
    this.connections = 0;
    this.onEnd({ connections, durationMs: this.clock.now() - this.startedAtMs });
  }
}
