/**
 * Calls of the store with a timeout that adapts to its response time; late responses are still
 * processed.
 */
import type { Clock } from '../clock.js';
import { sleep } from '../clock.js';
import type { Result } from '../result.js';
import type { WeirvaleError } from '../request/errors.js';
import { StoreHistoryGoneError } from './cluster-store.js';
import type { StoreRead } from './cluster-store.js';

/** Read calls of the store. */
export type StoreCall = 'list' | 'watch';

/** How a call of the store ended, for metrics. */
export type StoreCallResult = 'answered' | 'history-gone' | 'failed';

/** Outcome of a call: a response, a failure, or neither before the call was overdue. */
export type CallOutcome =
  | { readonly kind: 'answered'; readonly read: StoreRead }
  | { readonly kind: 'failed'; readonly error: WeirvaleError }
  | { readonly kind: 'overdue' };

/** A call for `StoreCaller` to make. */
export interface StoreCallRequest<Failure extends WeirvaleError> {
  readonly call: StoreCall;
  /**
   * How long the store may hold the call open while nothing changes, in milliseconds; 0 for a
   * listing.
   */
  readonly waitMs: number;
  /** Sends the call; always resolves, at the latest when the client times out. */
  send(): Promise<Result<StoreRead, Failure>>;
  /** Processes the response, including one that arrives after the call was overdue. */
  onResponse(read: StoreRead): void;
}

/** Limits of the calls to the store. */
export interface StoreCallerOptions {
  /** Minimum time beyond `waitMs` after which a call is overdue, in milliseconds. */
  readonly overdueMs: number;
  /** Maximum time beyond `waitMs` after which a call is overdue, in milliseconds. */
  readonly overdueMaxMs: number;
  /** Maximum number of calls in flight, including overdue ones. */
  readonly maxOpenCalls: number;
}

/** A call is overdue after this multiple of the typical response time. */
const OVERDUE_FACTOR = 2;
/**
 * Smoothing factor for responses faster than the typical time; a slower response replaces that time
 * at once.
 */
const DECREASE_WEIGHT = 0.3;

/** Makes calls to the store and tracks its typical response time. */
export class StoreCaller {
  private openCalls = 0;
  /** Estimate of the response time of the store without `waitMs`, in milliseconds. */
  private typicalResponseMs = 0;

  constructor(
    private readonly clock: Clock,
    private readonly options: StoreCallerOptions,
    private readonly onCall: (call: StoreCall, result: StoreCallResult) => void,
  ) {}

  /** Whether the limit on calls in flight is reached. */
  get isFull(): boolean {
    return this.openCalls >= this.options.maxOpenCalls;
  }

  /**
   * Makes a call and waits until it has a response, has failed or is overdue. It does not wait for
   * the timeout of the client: until then, the process would count as a working reader of the
   * store, for itself and for its peers, although it receives nothing. A response that arrives
   * after the call was overdue is still processed.
   */
  execute<Failure extends WeirvaleError>({
    call,
    waitMs,
    send,
    onResponse,
  }: StoreCallRequest<Failure>): Promise<CallOutcome> {
    const startedAtMs = this.clock.now();
    this.openCalls += 1;
    const response = send().then((read): CallOutcome => {
      this.openCalls -= 1;
      this.onCall(call, callResult(read));
      if (!read.ok) {
        return { kind: 'failed', error: read.val };
      }
      this.updateTypicalResponse(startedAtMs, waitMs, read.val);
      onResponse(read.val);
      return { kind: 'answered', read: read.val };
    });
    const overdueAfterMs = waitMs + this.overdueMs;
    const overdue = sleep(this.clock, overdueAfterMs).then((): CallOutcome => ({
      kind: 'overdue',
    }));
    return Promise.race([response, overdue]);
  }

  /** Time beyond `waitMs` after which a call is overdue, in milliseconds. */
  private get overdueMs(): number {
    const { overdueMs, overdueMaxMs } = this.options;
    return Math.min(overdueMaxMs, Math.max(overdueMs, this.typicalResponseMs * OVERDUE_FACTOR));
  }

  /**
   * Updates the estimate of the response time. Ignores watches that returned changes, since those
   * may end at any moment within `waitMs`.
   */
  private updateTypicalResponse(startedAtMs: number, waitMs: number, { records }: StoreRead): void {
    const tookMs = this.clock.now() - startedAtMs - waitMs;
    const isFaster = tookMs < this.typicalResponseMs;
    if (waitMs === 0 || records.length === 0) {
      const weight = isFaster ? DECREASE_WEIGHT : 1;
      this.typicalResponseMs += weight * (Math.max(0, tookMs) - this.typicalResponseMs);
    }
  }
}

function callResult(read: Result<StoreRead, WeirvaleError>): StoreCallResult {
  if (read.ok) {
    return 'answered';
  }
  return read.val instanceof StoreHistoryGoneError ? 'history-gone' : 'failed';
}
