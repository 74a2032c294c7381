/** What happened to one request, for counters and the log. */
import type { Backend } from '../../routing/backend.js';
import type { AttemptOutcome } from '../dispatch/backend-health.js';
import { NO_STATEMENT } from '../statements/backend-statement.js';
import type { BackendStatement } from '../statements/backend-statement.js';
import type { RequestEnd, RequestTry } from './request-model.js';

/** What was believed of a back end when a request was sent there. */
export type BackendBelief = Pick<RequestTry, 'occupied' | 'failureShare' | 'distance'>;

/** The record of one request. */
export class RequestRecord {
  private readonly tries: RequestTry[] = [];
  private firstPlacedAtMs: number | undefined;
  private firstByteAtMs: number | undefined;
  private longestPauseMs = 0;

  constructor(private readonly arrivedAtMs: number) {}

  /** The request is sent to a back end; `believed` is what decided for it. */
  noteSent(backend: Backend, believed: BackendBelief, bodyBytes: number, nowMs: number): void {
    this.firstPlacedAtMs ??= nowMs;
    this.tries.push({
      backend: backend.id,
      afterMs: nowMs - this.arrivedAtMs,
      ...believed,
      slots: backend.slots,
      bytes: bodyBytes,
      outcome: 'under-way',
      detail: '',
    });
  }

  /** The back end said something of itself. */
  noteStatement(statement: BackendStatement): void {
    if (statement !== NO_STATEMENT) {
      const { limitPerS, isLeaving, restMs } = statement;
      this.tries.at(-1)!.stated = { limitPerS, isLeaving, restMs };
    }
  }

  /** A part of the answer came. */
  noteBytes(count: number): void {
    this.tries.at(-1)!.bytes += count;
  }

  /** The first bytes for the caller came. */
  noteFirstByte(nowMs: number): void {
    this.firstByteAtMs ??= nowMs;
  }

  /** The last try is over. */
  noteTryOver(outcome: AttemptOutcome, detail: string, longestPauseMs: number): void {
    const tried = this.tries.at(-1)!;
    tried.outcome = outcome;
    tried.detail = detail;
    this.longestPauseMs = Math.max(this.longestPauseMs, longestPauseMs);
  }

  /** How the request ended; `attempts` counts the back ends that may have run it. */
  end(status: number, reason: string, attempts: number, nowMs: number): RequestEnd {
    const { arrivedAtMs, firstByteAtMs, tries, longestPauseMs } = this;
    return {
      status,
      reason,
      attempts,
      tries,
      waitedMs: (this.firstPlacedAtMs ?? nowMs) - arrivedAtMs,
      firstByteMs: firstByteAtMs === undefined ? undefined : firstByteAtMs - arrivedAtMs,
      totalMs: nowMs - arrivedAtMs,
      longestPauseMs,
    };
  }
}
