/**
 * The state of one backend instance as derived from its own statements and refusals: its request
 * limit, whether it is draining, and its backoff period.
 *
 * Statements arrive with every response, through several gateways and delayed, so each value
 * carries the time of its statement and an older statement never overrides a newer one.
 */
import type { BackendStatement } from './backend-statement.js';

/**
 * A backend condition as sent to peers. Contains ages instead of timestamps, since clocks differ.
 */
export interface ConditionSnapshot {
  /** ID of the backend instance. */
  readonly backendId: string;
  /** Stated request limit, in requests per second; missing if the newest statement names none. */
  readonly limitPerS?: number;
  /** Age of that statement, in milliseconds; missing if there was none. */
  readonly limitAgeMs?: number;
  readonly isLeaving: boolean;
  /**
   * Remaining backoff, in milliseconds; negative once the backoff has ended; missing if there was
   * none.
   */
  readonly restLeftMs?: number;
  /**
   * Time since the backend last served a request, in milliseconds; missing if there was no backoff
   * or nothing was served.
   */
  readonly servedAgeMs?: number;
}

/** A statement received with a response, and the context of its request. */
export interface ReceivedStatement {
  readonly statement: BackendStatement;
  /** When the request was sent, in milliseconds. */
  readonly sentAtMs: number;
  /** Whether the backend refused the request. */
  readonly isTurnedAway: boolean;
}

/**
 * Initial and maximum backoff after a refusal, in milliseconds; it doubles with each consecutive
 * refusal. A full backend usually has a free slot again within tens of milliseconds; one that
 * refuses everything would otherwise appear idle and attract the traffic of every gateway.
 */
const MIN_REFUSAL_BACKOFF_MS = 10;
const MAX_REFUSAL_BACKOFF_MS = 1_000;
/**
 * Backoff from which a refusing backend is in backoff for every gateway, in milliseconds; reached
 * at the fourth consecutive refusal.
 */
const MIN_SHARED_BACKOFF_MS = 80;

/** Tracks the condition of one backend instance. */
export class BackendCondition {
  private limit: number | undefined;
  private limitAtMs = -Infinity;
  private hasDrainStarted = false;
  private sharedBackoffEndMs = -Infinity;
  private lastServedAtMs = -Infinity;
  /** Consecutive refusals, each of a request that was sent after the previous refusal was known. */
  private consecutiveRefusals = 0;
  private lastRefusalAtMs = -Infinity;
  private refusalBackoffEndMs = -Infinity;

  /**
   * Stated limit in requests per second over all gateways; undefined if the backend states none.
   */
  get limitPerS(): number | undefined {
    return this.limit;
  }

  /**
   * Age of the newest statement on the limit, received by any gateway, in milliseconds; Infinity if
   * there was none.
   */
  limitAgeMs(nowMs: number): number {
    return nowMs - this.limitAtMs;
  }

  /** Whether the backend is draining; an instance never returns from draining. */
  get isLeaving(): boolean {
    return this.hasDrainStarted;
  }

  /** End of the current or last backoff, in milliseconds; -Infinity if there was none. */
  get backoffUntilMs(): number {
    return Math.max(this.sharedBackoffEndMs, this.refusalBackoffEndMs);
  }

  /**
   * Whether the backend must not receive requests now, because of a stated or a refusal backoff.
   */
  isInBackoff(nowMs: number): boolean {
    return nowMs < Math.max(this.sharedBackoffEndMs, this.refusalBackoffEndMs);
  }

  /**
   * Whether the backend has served no request since the end of its last shared backoff; also true
   * during that backoff.
   */
  get isRecovering(): boolean {
    return this.sharedBackoffEndMs > this.lastServedAtMs;
  }

  /** Applies the statement of a response; returns whether the condition changed. */
  applyStatement({ statement, sentAtMs, isTurnedAway }: ReceivedStatement, nowMs: number): boolean {
    const hasLimitChanged = this.updateLimit(statement.limitPerS, sentAtMs, nowMs);
    const hasDrainingChanged = this.updateDraining(statement.isLeaving);
    const hasBackoffChanged = this.extendSharedBackoff(nowMs + (statement.restMs ?? -Infinity));
    const hasOutcomeChanged = isTurnedAway
      ? this.recordRefusal(sentAtMs, nowMs)
      : this.recordResponse(nowMs);
    return hasLimitChanged || hasDrainingChanged || hasBackoffChanged || hasOutcomeChanged;
  }

  /**
   * Extends the backoff that is shared with peers, whether stated by the backend or derived from
   * its refusals; returns whether it changed.
   */
  private extendSharedBackoff(untilMs: number): boolean {
    if (untilMs <= this.sharedBackoffEndMs) {
      return false;
    }
    this.sharedBackoffEndMs = untilMs;
    return true;
  }

  /** Merges the condition sent by a peer; returns whether the condition changed. */
  merge(incoming: ConditionSnapshot, nowMs: number): boolean {
    const limitAtMs = nowMs - (incoming.limitAgeMs ?? Infinity);
    const isNewer = limitAtMs > this.limitAtMs;
    const hasLimitChanged = isNewer && incoming.limitPerS !== this.limit;
    if (isNewer) {
      this.limitAtMs = limitAtMs;
      this.limit = incoming.limitPerS;
    }
    const hasDrainingChanged = this.updateDraining(incoming.isLeaving);
    const hasBackoffChanged = this.extendSharedBackoff(nowMs + (incoming.restLeftMs ?? -Infinity));
    const hasServedChanged = this.recordServed(nowMs - (incoming.servedAgeMs ?? Infinity));
    return hasLimitChanged || hasDrainingChanged || hasBackoffChanged || hasServedChanged;
  }

  /**
   * Returns the condition to send to peers; undefined if the backend never had a limit or a shared
   * backoff and is not draining.
   */
  snapshot(backendId: string, nowMs: number): ConditionSnapshot | undefined {
    const { limit, limitAtMs, sharedBackoffEndMs, lastServedAtMs, hasDrainStarted } = this;
    const hadBackoff = sharedBackoffEndMs !== -Infinity;
    if (limitAtMs === -Infinity && !hasDrainStarted && !hadBackoff) {
      return undefined;
    }
    return {
      backendId,
      isLeaving: hasDrainStarted,
      ...(limit === undefined ? {} : { limitPerS: limit }),
      ...(limitAtMs === -Infinity ? {} : { limitAgeMs: nowMs - limitAtMs }),
      ...(hadBackoff ? { restLeftMs: sharedBackoffEndMs - nowMs } : {}),
      ...(hadBackoff && lastServedAtMs !== -Infinity
        ? { servedAgeMs: nowMs - lastServedAtMs }
        : {}),
    };
  }

  /**
   * A response without a limit lifts the limit only if its request was sent after the limit was
   * stated: responses given before that may arrive later.
   */
  private updateLimit(limitPerS: number | undefined, sentAtMs: number, nowMs: number): boolean {
    const isOlder = limitPerS === undefined && sentAtMs <= this.limitAtMs;
    const staysUnlimited = limitPerS === undefined && this.limit === undefined;
    if (isOlder || staysUnlimited) {
      return false;
    }
    const hasChanged = limitPerS !== this.limit;
    this.limit = limitPerS;
    this.limitAtMs = nowMs;
    return hasChanged;
  }

  private updateDraining(isLeaving: boolean): boolean {
    const hasChanged = isLeaving && !this.hasDrainStarted;
    this.hasDrainStarted ||= isLeaving;
    return hasChanged;
  }

  /**
   * Ignores refusals of requests that were already in flight when an earlier one was refused, as
   * they add no information.
   */
  private recordRefusal(sentAtMs: number, nowMs: number): boolean {
    if (sentAtMs < this.lastRefusalAtMs) {
      return false;
    }
    const backoffMs = Math.min(
      MIN_REFUSAL_BACKOFF_MS * 2 ** this.consecutiveRefusals,
      MAX_REFUSAL_BACKOFF_MS,
    );
    this.consecutiveRefusals += 1;
    this.lastRefusalAtMs = nowMs;
    this.refusalBackoffEndMs = nowMs + backoffMs;
    return backoffMs >= MIN_SHARED_BACKOFF_MS && this.extendSharedBackoff(this.refusalBackoffEndMs);
  }

  private recordResponse(nowMs: number): boolean {
    this.consecutiveRefusals = 0;
    return this.recordServed(nowMs);
  }

  /** Only the first response after a backoff counts as a change. */
  private recordServed(atMs: number): boolean {
    const wasRecovering = this.isRecovering;
    this.lastServedAtMs = Math.max(this.lastServedAtMs, atMs);
    return wasRecovering && !this.isRecovering;
  }
}
