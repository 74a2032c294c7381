/**
 * Decides, from the engine's own reports and from requests that failed, whether the engine beside an
 * agent can be given requests, without I/O.
 *
 * When an engine crashes or breaks off whatever it is given, its requests fail at once and free their
 * slots at once, so that an engine that answers nobody would be handed more requests than any other. A
 * failed request therefore stops the grants until a look has shown that the engine is there; several
 * in a row let it rest, whatever its report says, and then one request tries it.
 */

/** What a look at the engine brought. */
export type EngineReading =
  /** Requests that run or wait there, and the engine's start by its own clock, where it tells. */
  | { readonly kind: 'load'; readonly requests: number; readonly bornAtMs?: number | undefined }
  /** Nothing listens at its address. */
  | { readonly kind: 'closed' }
  /** No answer in time, or a broken one. */
  | { readonly kind: 'silent' };

/** Whether gateways may use an engine. */
export type EngineAvailability =
  | 'open'
  /** One request at a time, to see whether it answers. */
  | 'trial'
  /** Nothing is to be sent there. */
  | 'closed';

/** Why an engine is closed: it ended, answers nobody, or rests after failures in a row. */
export type ClosedCause = 'port-closed' | 'silent' | 'failing';

/** What is believed of an engine. */
type EngineState =
  | 'serving'
  /** A request failed there since it was looked at last. */
  | 'suspect'
  /** It failed several requests in a row. */
  | 'resting'
  /** It has rested; one request is tried. */
  | 'trial'
  /** It crashed, or answers nobody. */
  | 'gone';

/** Bounds of an engine's rests. */
export interface EngineWatchOptions {
  /**
   * Failures in a row after which an engine rests. Default 8: one that fails 45 in 100 of its requests
   * does so once in 595, one that fails all loses as many beside what ran there when it began to.
   */
  readonly failuresInRow: number;
  /**
   * First and longest rest, in milliseconds; it doubles with each trial that fails. Defaults 300 and
   * 1,000: a trial may cost a caller its answer, a rest costs the slots of an engine that is well again.
   */
  readonly restMinMs: number;
  readonly restMaxMs: number;
  /**
   * Looks in a row without an answer after which an engine is taken to be gone. Default 2: one may be
   * lost to a busy process, on either side.
   */
  readonly silentLooks: number;
}

/** Defaults of an engine's rests. */
export const DEFAULT_ENGINE_WATCH_OPTIONS: EngineWatchOptions = {
  failuresInRow: 8,
  restMinMs: 300,
  restMaxMs: 1_000,
  silentLooks: 2,
};

/** What an agent believes of its engine. */
export class EngineWatch {
  private state: EngineState = 'serving';
  private silentLooks = 0;
  /** Whether the last look found nothing listening at its address. */
  private isPortClosed = false;
  /** Whether a gateway heard nothing of it since it was looked at last; grants go on meanwhile. */
  private isDoubted = false;
  private failuresInRow = 0;
  private restUntilMs = 0;
  private restMs: number;

  constructor(private readonly options: EngineWatchOptions = DEFAULT_ENGINE_WATCH_OPTIONS) {
    this.restMs = options.restMinMs;
  }

  /** Whether gateways may use it. */
  get availability(): EngineAvailability {
    if (this.state === 'trial') {
      return 'trial';
    }
    return this.state === 'gone' || this.state === 'resting' ? 'closed' : 'open';
  }

  /** Why it is closed; undefined while it is not. */
  get closedCause(): ClosedCause | undefined {
    if (this.state === 'resting') {
      return 'failing';
    }
    if (this.state !== 'gone') {
      return undefined;
    }
    return this.isPortClosed ? 'port-closed' : 'silent';
  }

  /** Whether a look is owed before anything is granted. */
  get isSuspect(): boolean {
    return this.state === 'suspect';
  }

  /** Whether looks are needed to find out how it is. */
  get needsLook(): boolean {
    return this.state !== 'serving' || this.isDoubted;
  }

  /** A request was answered there, or its answer began while the engine was on trial. */
  noteAnswer(): void {
    this.failuresInRow = 0;
    if (this.state === 'trial') {
      this.serve();
    }
  }

  /** A gateway heard nothing of a request, which may be the doing of its path: the next look decides. */
  noteDoubt(): void {
    this.isDoubted = true;
  }

  /** A request failed there. */
  noteFailure(nowMs: number): void {
    this.failuresInRow += 1;
    if (this.state === 'trial' || this.isFailingAll) {
      this.rest(nowMs);
    } else if (this.state === 'serving') {
      this.state = 'suspect';
    }
  }

  /** Takes in what a look brought. */
  noteReading(reading: EngineReading, nowMs: number): void {
    this.isPortClosed = reading.kind === 'closed';
    if (reading.kind !== 'load') {
      this.noteUnanswered(reading.kind === 'closed');
      return;
    }
    this.silentLooks = 0;
    this.isDoubted = false;
    if (this.state === 'suspect' || this.state === 'gone') {
      this.serve();
    } else if (this.state === 'resting' && nowMs >= this.restUntilMs) {
      this.state = 'trial';
    }
  }

  private get isFailingAll(): boolean {
    const isInUse = this.state === 'serving' || this.state === 'suspect';
    return isInUse && this.failuresInRow >= this.options.failuresInRow;
  }

  private noteUnanswered(isClosed: boolean): void {
    this.silentLooks += 1;
    if (isClosed || this.silentLooks >= this.options.silentLooks) {
      this.state = 'gone';
    }
  }

  private rest(nowMs: number): void {
    this.state = 'resting';
    this.restUntilMs = nowMs + this.restMs;
    this.restMs = Math.min(this.restMs * 2, this.options.restMaxMs);
  }

  /** A crashed engine that is back is another process: what its predecessor failed says nothing of it. */
  private serve(): void {
    if (this.state !== 'suspect') {
      this.failuresInRow = 0;
      this.restMs = this.options.restMinMs;
    }
    this.state = 'serving';
  }
}
