/**
 * State of a gateway's network path to one backend, without I/O.
 *
 * A cut path causes no error; it shows only by missing messages from the agent, which sends them at
 * short intervals. Any data from the backend's machine makes the path trusted again at once.
 */

/** Cause of a suspicion. */
export type SuspicionCause =
  /** The connection to the backend's agent timed out. */
  | 'agent-silent'
  /** A connection for a request hung while a message of the agent was overdue. */
  | 'connection-hung'
  /**
   * Engines of the same zone became suspect, and nothing was received from this backend either, or
   * it has no agent that would send anything.
   */
  | 'zone-silent';

/** A suspicion that has ended. */
export interface EndedSuspicion {
  /** How long the path was suspect, in milliseconds. */
  readonly suspectMs: number;
}

/**
 * Shortest and longest interval between two requests that probe a suspect path, in milliseconds.
 * Each may cost its caller a connect timeout, and the agent connections probe the path anyway.
 */
const MIN_PROBE_INTERVAL_MS = 500;
const MAX_PROBE_INTERVAL_MS = 4_000;

/** Tracks a gateway's path to one backend. */
export class PathState {
  /** When data was last received from the backend or its agent; undefined before the first. */
  heardAtMs: number | undefined;
  /** Whether the agent connection timed out and no data was received since. */
  isAgentSilent: boolean = false;
  /** Whether a connection for a request hung and no data was received since. */
  hasHungConnection = false;
  private suspicion: { readonly cause: SuspicionCause; readonly sinceMs: number } | undefined;
  private endedSuspicion: EndedSuspicion | undefined;
  private probeIntervalMs = MIN_PROBE_INTERVAL_MS;
  private nextProbeAtMs = 0;
  private readonly lostListeners = new Set<() => void>();

  /** Whether the path is presumed cut. */
  get isSuspect(): boolean {
    return this.suspicion !== undefined;
  }

  /** Cause and start of the suspicion; undefined while the path is trusted. */
  get suspected(): { readonly cause: SuspicionCause; readonly sinceMs: number } | undefined {
    return this.suspicion;
  }

  /**
   * Returns the time since data was last received, in milliseconds; 0 before the first, which
   * allows no conclusion.
   */
  silentMs(nowMs: number): number {
    return this.heardAtMs === undefined ? 0 : nowMs - this.heardAtMs;
  }

  /**
   * Records data from the backend's machine: an agent message, a response, or a refused connection.
   */
  noteActivity(nowMs: number): void {
    this.heardAtMs = nowMs;
    this.isAgentSilent = false;
    this.hasHungConnection = false;
    this.endSuspicion(nowMs);
  }

  /** Records a connect timeout of a request. */
  noteHungConnection(): void {
    this.hasHungConnection = true;
  }

  /** Records a timeout of the agent connection. */
  noteAgentTimeout(): void {
    this.isAgentSilent = true;
  }

  /** Ends the suspicion, if there is one. */
  endSuspicion(nowMs: number): void {
    if (this.suspicion !== undefined) {
      this.endedSuspicion = { suspectMs: nowMs - this.suspicion.sinceMs };
      this.suspicion = undefined;
    }
  }

  /** Returns the suspicion that ended since the last call, and clears it. */
  takeEndedSuspicion(): EndedSuspicion | undefined {
    const ended = this.endedSuspicion;
    this.endedSuspicion = undefined;
    return ended;
  }

  /** Marks the path as suspect. `notifyLost` must follow once all lost paths are marked. */
  suspect(cause: SuspicionCause, nowMs: number): void {
    this.suspicion = { cause, sinceMs: nowMs };
    this.probeIntervalMs = MIN_PROBE_INTERVAL_MS;
    this.nextProbeAtMs = nowMs + MIN_PROBE_INTERVAL_MS;
  }

  /** Notifies the active requests on the path that it is lost. */
  notifyLost(): void {
    for (const onLost of [...this.lostListeners]) {
      onLost();
    }
  }

  /** Whether a repeatable request should probe the suspect path. */
  isProbeDue(nowMs: number): boolean {
    return nowMs >= this.nextProbeAtMs;
  }

  /** Records a request sent on the path. */
  noteSent(nowMs: number): void {
    if (this.isSuspect) {
      this.probeIntervalMs = Math.min(this.probeIntervalMs * 2, MAX_PROBE_INTERVAL_MS);
      this.nextProbeAtMs = nowMs + this.probeIntervalMs;
    }
  }

  /**
   * Registers a callback for when the path becomes suspect. Returns a function that unregisters it.
   */
  subscribeLost(onLost: () => void): () => void {
    this.lostListeners.add(onLost);
    return () => void this.lostListeners.delete(onLost);
  }
}
