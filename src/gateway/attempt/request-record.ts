/** Collects the attempts and times of one request for metrics and the log. */
import type { Backend } from '../../routing/backend.js';
import type { AttemptOutcome } from '../dispatch/backend-health.js';
import type { KnownBackend } from '../dispatch/known-backend.js';
import { NO_STATEMENT } from '../statements/backend-statement.js';
import type { BackendStatement } from '../statements/backend-statement.js';
import type { AttemptRecord, RequestEnd } from './request-model.js';

/** Estimated state of a backend when a request was sent to it. */
export type BackendEstimate = Pick<AttemptRecord, 'occupied' | 'failureShare' | 'distance'>;

/** Returns the estimated state of a backend; `known` is undefined if it is not listed any more. */
export function estimateOf(known: KnownBackend | undefined, nowMs: number): BackendEstimate {
  const { occupied = 0, distance = 'same-zone' } = known ?? {};
  return { occupied, failureShare: known?.failureShare(nowMs) ?? 0, distance };
}

/** What an attempt sends. */
export interface AttemptContent {
  readonly bodyBytes: number;
  /** Id of the event after which the attempt resumes the stream; undefined for a new stream. */
  readonly lastEventId: string | undefined;
}

/** How an attempt ended. */
export interface AttemptEnd {
  readonly outcome: AttemptOutcome;
  readonly detail: string;
  /** Time from the send to the end, in milliseconds. */
  readonly lastedMs: number;
  /** Time without data before the end, in milliseconds. */
  readonly silentMs: number;
  /** Longest pause between two events of its stream, in milliseconds. */
  readonly longestPauseMs: number;
}

/** What the end of a request adds to its record. */
export type RecordedEnd = Pick<RequestEnd, 'status' | 'reason' | 'stage' | 'attempts'>;

/** Adds a backend's statement to the record of an attempt. */
export function addStatement(attempt: AttemptRecord, statement: BackendStatement): void {
  if (statement !== NO_STATEMENT) {
    const { limitPerS, isLeaving, restMs } = statement;
    attempt.stated = { limitPerS, isLeaving, restMs };
  }
}

/** Attempts and times of one request. */
export class RequestRecord {
  private readonly tries: AttemptRecord[] = [];
  private firstSentAtMs: number | undefined;
  private firstByteAtMs: number | undefined;
  private longestPauseMs = 0;

  constructor(private readonly arrivedAtMs: number) {}

  /** Adds and returns an attempt; `estimate` is the state on which the backend was chosen. */
  addAttempt(
    backend: Backend,
    estimate: BackendEstimate,
    { bodyBytes, lastEventId }: AttemptContent,
    nowMs: number,
  ): AttemptRecord {
    this.firstSentAtMs ??= nowMs;
    const attempt: AttemptRecord = {
      backend: backend.id,
      version: backend.version,
      ...(lastEventId === undefined ? {} : { afterEvent: lastEventId }),
      afterMs: nowMs - this.arrivedAtMs,
      ...estimate,
      slots: backend.slots,
      bytes: bodyBytes,
      outcome: 'under-way',
      detail: '',
    };
    this.tries.push(attempt);
    return attempt;
  }

  /** Sets the time of the first bytes sent to the caller, if not yet set. */
  setFirstByteTime(nowMs: number): void {
    this.firstByteAtMs ??= nowMs;
  }

  /** Sets the outcome of an attempt. */
  endAttempt(attempt: AttemptRecord, { longestPauseMs, ...end }: AttemptEnd): void {
    Object.assign(attempt, end);
    this.longestPauseMs = Math.max(this.longestPauseMs, longestPauseMs);
  }

  /** Returns the final record. */
  end(end: RecordedEnd, nowMs: number): RequestEnd {
    const { arrivedAtMs, firstByteAtMs, tries, longestPauseMs } = this;
    return {
      ...end,
      tries,
      waitedMs: (this.firstSentAtMs ?? nowMs) - arrivedAtMs,
      firstByteMs: firstByteAtMs === undefined ? undefined : firstByteAtMs - arrivedAtMs,
      totalMs: nowMs - arrivedAtMs,
      longestPauseMs,
    };
  }
}
