/** Tracks the response of one attempt and reports the observed latencies of its backend. */
import type { Dispatcher } from '../dispatch/dispatcher.js';

/** Response progress of one attempt. */
export class AttemptProgress {
  private eventCount = 0;
  private firstEventAtMs = 0;
  private isPrefillReported = false;
  private maxPauseMs = 0;

  /**
   * `lastEventAtMs` is the time of the last event sent to the caller by an earlier attempt;
   * undefined if there was none.
   */
  constructor(
    private readonly dispatcher: Dispatcher,
    private readonly backendId: string,
    private readonly promptTokens: number,
    private readonly startedAtMs: number,
    public lastEventAtMs: number | undefined,
    /** Whether the backend was cold at the send; its latencies are then not representative. */
    readonly isColdStart: boolean,
  ) {}

  /** Longest pause between two events of the stream, in milliseconds. */
  get longestPauseMs(): number {
    return this.maxPauseMs;
  }

  /** Time from the send to the first event, in milliseconds; undefined before the first event. */
  get firstEventMs(): number | undefined {
    return this.eventCount === 0 ? undefined : this.firstEventAtMs - this.startedAtMs;
  }

  /** Records `count` complete events received at `nowMs`. */
  recordEvents(count: number, nowMs: number): void {
    if (this.eventCount === 0) {
      this.firstEventAtMs = nowMs;
      this.reportPrefillDone();
      this.dispatcher.noteFirstEvent(this.backendId);
      this.reportFirstEventLatency(nowMs);
    }
    this.eventCount += count;
    this.maxPauseMs = Math.max(this.maxPauseMs, nowMs - (this.lastEventAtMs ?? nowMs));
    this.lastEventAtMs = nowMs;
  }

  /** Records that the response to a request of `workUnits` is complete. */
  recordCompletion(nowMs: number, workUnits: number): void {
    if (this.isColdStart) {
      return;
    }
    this.dispatcher.learnSpeed(this.backendId, workUnits, nowMs - this.startedAtMs);
    const intervals = this.eventCount - 1;
    if (intervals > 0) {
      this.dispatcher.learnEventInterval(this.backendId, (nowMs - this.firstEventAtMs) / intervals);
    }
  }

  /** Records the end of the attempt, whatever its outcome. */
  recordEnd(): void {
    this.reportPrefillDone();
  }

  private reportFirstEventLatency(nowMs: number): void {
    if (!this.isColdStart) {
      this.dispatcher.learnFirstEventTime(
        this.backendId,
        this.promptTokens,
        nowMs - this.startedAtMs,
      );
    }
  }

  private reportPrefillDone(): void {
    if (!this.isPrefillReported) {
      this.isPrefillReported = true;
      this.dispatcher.notePromptDone(this.backendId, this.promptTokens);
    }
  }
}
