/**
 * What a gateway believes of its own path to one back end, without I/O.
 *
 * A path that is cut says nothing: what tells of it is that the other end, which speaks at short intervals,
 * is no longer heard. Anything that comes from the back end's machine ends the suspicion at once.
 */

/** What made a path suspect. */
export type SuspicionCause =
  /** The agent beside the back end fell silent. */
  | 'agent-silent'
  /** A connection for a request hung while the agent was due to be heard. */
  | 'connection-hung'
  /** Nothing was heard of the zone any more. */
  | 'zone-silent';

/** A suspicion that has ended. */
export interface EndedSuspicion {
  /** For how long the path was suspect, in milliseconds. */
  readonly suspectMs: number;
}

/**
 * First and longest pause between two requests that try a suspect path, in milliseconds: each may cost a
 * caller the time in which a connection does not come up, and the agents' links look for the path as well.
 */
const FIRST_TRIAL_PAUSE_MS = 500;
const MAX_TRIAL_PAUSE_MS = 4_000;

/** A gateway's path to one back end. */
export class PathState {
  /** When the back end or its agent was heard last; undefined before. */
  heardAtMs: number | undefined;
  /** Whether the agent's link fell silent and nothing was heard since. */
  isAgentSilent: boolean = false;
  /** Whether a connection for a request hung and nothing was heard since. */
  hasHungConnection = false;
  private suspicion: { readonly cause: SuspicionCause; readonly sinceMs: number } | undefined;
  private endedSuspicion: EndedSuspicion | undefined;
  private trialPauseMs = FIRST_TRIAL_PAUSE_MS;
  private nextTrialAtMs = 0;
  private readonly watchers = new Set<() => void>();

  /** Whether it is believed to be cut. */
  get isSuspect(): boolean {
    return this.suspicion !== undefined;
  }

  /** What made it suspect, and when; undefined while it is trusted. */
  get suspected(): { readonly cause: SuspicionCause; readonly sinceMs: number } | undefined {
    return this.suspicion;
  }

  /** Time since something was heard, in milliseconds; 0 where nothing ever was, so that it says nothing. */
  silentMs(nowMs: number): number {
    return this.heardAtMs === undefined ? 0 : nowMs - this.heardAtMs;
  }

  /** Something came from the back end's machine: a word of the agent, an answer, a refused connection. */
  noteHeard(nowMs: number): void {
    this.heardAtMs = nowMs;
    this.isAgentSilent = false;
    this.hasHungConnection = false;
    this.endSuspicion(nowMs);
  }

  /** A connection for a request did not come up in time. */
  noteHungConnection(): void {
    this.hasHungConnection = true;
  }

  /** The link to the agent fell silent. */
  noteAgentSilent(): void {
    this.isAgentSilent = true;
  }

  /** Ends the suspicion, if there is one. */
  endSuspicion(nowMs: number): void {
    if (this.suspicion !== undefined) {
      this.endedSuspicion = { suspectMs: nowMs - this.suspicion.sinceMs };
      this.suspicion = undefined;
    }
  }

  /** The suspicion that has ended since this was asked last. */
  takeEndedSuspicion(): EndedSuspicion | undefined {
    const ended = this.endedSuspicion;
    this.endedSuspicion = undefined;
    return ended;
  }

  /** The path is believed to be cut from now on; `tellLost` is to follow once all that are lost are marked. */
  suspect(cause: SuspicionCause, nowMs: number): void {
    this.suspicion = { cause, sinceMs: nowMs };
    this.trialPauseMs = FIRST_TRIAL_PAUSE_MS;
    this.nextTrialAtMs = nowMs + FIRST_TRIAL_PAUSE_MS;
  }

  /** Tells the requests at work there that the path is lost. */
  tellLost(): void {
    for (const onLost of [...this.watchers]) {
      onLost();
    }
  }

  /** Whether a request that may be repeated is to try a suspect path. */
  isTrialDue(nowMs: number): boolean {
    return nowMs >= this.nextTrialAtMs;
  }

  /** A request is sent there. */
  noteSent(nowMs: number): void {
    if (this.isSuspect) {
      this.trialPauseMs = Math.min(this.trialPauseMs * 2, MAX_TRIAL_PAUSE_MS);
      this.nextTrialAtMs = nowMs + this.trialPauseMs;
    }
  }

  /** Calls back when the path becomes suspect, until the returned function is called. */
  watch(onLost: () => void): () => void {
    this.watchers.add(onLost);
    return () => void this.watchers.delete(onLost);
  }
}
