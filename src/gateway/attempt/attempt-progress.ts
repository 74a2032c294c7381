/** How far the answer to one attempt has come, and what that says of its back end. */
import type { Dispatcher } from '../dispatch/dispatcher.js';

/** Progress of one attempt. */
export class AttemptProgress {
  private events = 0;
  private firstAtMs = 0;
  private isPromptRead = false;
  private longestMs = 0;

  /**
   * `lastEventAtMs` is when the caller was sent an event of an earlier attempt;
   * undefined if it never was.
   */
  constructor(
    private readonly dispatcher: Dispatcher,
    private readonly backendId: string,
    private readonly promptTokens: number,
    private readonly startedAtMs: number,
    public lastEventAtMs: number | undefined,
    /** Whether the back end was cold when the request was sent: its times say nothing of it warm. */
    readonly isColdStart: boolean,
  ) {}

  /** Longest pause between two events of the stream, in milliseconds. */
  get longestPauseMs(): number {
    return this.longestMs;
  }

  /** Time from the send to the first event, in milliseconds; undefined before it. */
  get firstEventMs(): number | undefined {
    return this.events === 0 ? undefined : this.firstAtMs - this.startedAtMs;
  }

  /** Whole events arrived. */
  noteEvents(count: number, nowMs: number): void {
    if (this.events === 0) {
      this.firstAtMs = nowMs;
      this.notePromptRead();
      this.dispatcher.noteFirst(this.backendId);
      this.learnFirst(nowMs);
    }
    this.events += count;
    this.longestMs = Math.max(this.longestMs, nowMs - (this.lastEventAtMs ?? nowMs));
    this.lastEventAtMs = nowMs;
  }

  /** The answer is whole. */
  noteWhole(nowMs: number): void {
    const pauses = this.events - 1;
    if (pauses > 0 && !this.isColdStart) {
      this.dispatcher.learnPause(this.backendId, (nowMs - this.firstAtMs) / pauses);
    }
  }

  /** The attempt is over, in whatever way. */
  noteOver(): void {
    this.notePromptRead();
  }

  private learnFirst(nowMs: number): void {
    if (!this.isColdStart) {
      this.dispatcher.learnFirst(this.backendId, this.promptTokens, nowMs - this.startedAtMs);
    }
  }

  private notePromptRead(): void {
    if (!this.isPromptRead) {
      this.isPromptRead = true;
      this.dispatcher.notePromptRead(this.backendId, this.promptTokens);
    }
  }
}
