/** Calls of the store that are waited for until they are answered or overdue. */
import type { Clock } from '../clock.js';
import { sleep } from '../clock.js';
import type { Result } from '../result.js';
import type { WeirvaleError } from '../request/errors.js';
import { StoreHistoryGoneError } from './cluster-store.js';
import type { StoreRead } from './cluster-store.js';

/** A kind of call of the store. */
export type StoreCall = 'list' | 'watch';

/** How a call of the store ended. */
export type StoreCallResult = 'answered' | 'history-gone' | 'failed';

/** What came of a call by the time it was overdue. */
export type CallOutcome =
  | { readonly kind: 'answered'; readonly read: StoreRead }
  | { readonly kind: 'failed'; readonly error: WeirvaleError }
  | { readonly kind: 'overdue' };

/** A call of the store that is to be made. */
export interface PlannedCall<Failure extends WeirvaleError> {
  readonly call: StoreCall;
  /** How long the store may hold it back, in milliseconds. */
  readonly waitMs: number;
  /** Makes the call; resolves in any case after a time. */
  send(): Promise<Result<StoreRead, Failure>>;
  /** Takes the answer in, also one that comes late. */
  take(read: StoreRead): void;
}

/** Limits of calls. */
export interface StoreCallsOptions {
  /** Time beyond its wait after which a call is overdue, while answers do not take longer, in milliseconds. */
  readonly overdueMs: number;
  /** Longest such time. */
  readonly overdueMaxMs: number;
  /** Calls that may be under way at once, overdue ones included. */
  readonly openCalls: number;
}

/** Times of the usual answer after which a call is overdue. */
const OVERDUE_TIMES_USUAL = 2;
/** Weight of a quicker answer in the usual time; a slower one counts at once. */
const QUICKER_WEIGHT = 0.3;

/** Makes calls of the store. */
export class StoreCalls {
  private openCalls = 0;
  /** Time that the store takes to answer beside the wait, in milliseconds. */
  private usualAnswerMs = 0;

  constructor(
    private readonly clock: Clock,
    private readonly options: StoreCallsOptions,
    private readonly onCall: (call: StoreCall, result: StoreCallResult) => void,
  ) {}

  /** Whether no further call may be made now. */
  get isFull(): boolean {
    return this.openCalls >= this.options.openCalls;
  }

  /**
   * Makes a call and waits until it is answered or overdue. An answer that never comes says nothing, so it is not
   * waited for to the end of its time: the process would count as one that follows the store, for itself and
   * for others. An overdue answer is taken in when it comes.
   */
  ask<Failure extends WeirvaleError>({
    call,
    waitMs,
    send,
    take,
  }: PlannedCall<Failure>): Promise<CallOutcome> {
    const startedAtMs = this.clock.now();
    this.openCalls += 1;
    const answer = send().then((read): CallOutcome => {
      this.openCalls -= 1;
      this.onCall(call, callResult(read));
      if (!read.ok) {
        return { kind: 'failed', error: read.val };
      }
      this.noteAnswer(startedAtMs, waitMs, read.val);
      take(read.val);
      return { kind: 'answered', read: read.val };
    });
    const limitMs = waitMs + this.overdueMs;
    const overdue = sleep(this.clock, limitMs).then((): CallOutcome => ({ kind: 'overdue' }));
    return Promise.race([answer, overdue]);
  }

  /** Time beyond its wait after which a call is overdue, in milliseconds. */
  private get overdueMs(): number {
    const { overdueMs, overdueMaxMs } = this.options;
    return Math.min(overdueMaxMs, Math.max(overdueMs, this.usualAnswerMs * OVERDUE_TIMES_USUAL));
  }

  /** Learns how long answers take; one with changes may come at any moment of its wait. */
  private noteAnswer(startedAtMs: number, waitMs: number, { records }: StoreRead): void {
    const tookMs = this.clock.now() - startedAtMs - waitMs;
    const isQuicker = tookMs < this.usualAnswerMs;
    if (waitMs === 0 || records.length === 0) {
      const weight = isQuicker ? QUICKER_WEIGHT : 1;
      this.usualAnswerMs += weight * (Math.max(0, tookMs) - this.usualAnswerMs);
    }
  }
}

function callResult(read: Result<StoreRead, WeirvaleError>): StoreCallResult {
  if (read.ok) {
    return 'answered';
  }
  return read.val instanceof StoreHistoryGoneError ? 'history-gone' : 'failed';
}
