/**
 * What is believed of one life of a back end by what it says of itself: the limit that it names, whether it leaves, whether it rests.
 *
 * Statements come with every answer, from several gateways and late, so each belief has the moment of the statement that it
 * comes from, and an older one never takes the place of a newer one.
 */
import type { BackendStatement } from './backend-statement.js';

/** A belief of a gateway as it tells it to others; times are ages, since clocks differ. */
export interface ToldCondition {
  /** The life of the back end. */
  readonly backendId: string;
  /** Requests a second that it takes; missing where the newest statement names no limit. */
  readonly limitPerS?: number;
  /** Time since that statement, in milliseconds; missing where there was none. */
  readonly limitAgeMs?: number;
  readonly isLeaving: boolean;
  /** How much longer it rests, in milliseconds; negative since its rest is over; missing where it never rested. */
  readonly restLeftMs?: number;
  /** Time since it was last seen to serve a request, in milliseconds; missing where it does not matter. */
  readonly servedAgeMs?: number;
}

/** The statement of an answer, and what is known of its moment. */
export interface HeardStatement {
  readonly statement: BackendStatement;
  /** When the request was sent that was answered, in milliseconds. */
  readonly sentAtMs: number;
  /** Whether the back end turned the request away. */
  readonly isTurnedAway: boolean;
}

/**
 * Pause after a refusal, in milliseconds; it doubles with each further one up to the longest. A full back end has a slot
 * again within some tens; one that refuses all would otherwise look free and draw the traffic of every gateway.
 */
const REFUSED_PAUSE_MS = 10;
const MAX_REFUSED_PAUSE_MS = 1_000;
/** Pause from which a back end that refuses counts as resting for every gateway, in milliseconds: the fourth in a row. */
const SHARED_PAUSE_MS = 80;

/** What one life of a back end said of itself. */
export class BackendCondition {
  private limit: number | undefined;
  private limitAtMs = -Infinity;
  private hasLeft = false;
  private restEndMs = -Infinity;
  private servedAtMs = -Infinity;
  /** Refusals one after the other: each of a request that was sent after the one before was known. */
  private refusalsInRow = 0;
  private refusedAtMs = -Infinity;
  private pausedUntilMs = -Infinity;

  /** Requests a second that it takes from all gateways together; undefined while it names no limit. */
  get limitPerS(): number | undefined {
    return this.limit;
  }

  /** Time since the newest statement on its limit, of any gateway, in milliseconds; Infinity where there was none. */
  limitAgeMs(nowMs: number): number {
    return nowMs - this.limitAtMs;
  }

  /** Whether it leaves; a life that leaves does not come back. */
  get isLeaving(): boolean {
    return this.hasLeft;
  }

  /** When its rest ends or ended, in milliseconds; -Infinity where it never rested. */
  get restUntilMs(): number {
    return Math.max(this.restEndMs, this.pausedUntilMs);
  }

  /** Whether it wants nothing now, as it said or as follows from its refusals. */
  isResting(nowMs: number): boolean {
    return nowMs < Math.max(this.restEndMs, this.pausedUntilMs);
  }

  /** Whether it has not served a request since its rest. */
  get isReturning(): boolean {
    return this.restEndMs > this.servedAtMs;
  }

  /** Takes in the head of an answer; says whether a belief changed. */
  hear({ statement, sentAtMs, isTurnedAway }: HeardStatement, nowMs: number): boolean {
    const hasLimitNews = this.hearLimit(statement.limitPerS, sentAtMs, nowMs);
    const hasLeavingNews = this.hearLeaving(statement.isLeaving);
    const hasRestNews = this.hearRest(nowMs + (statement.restMs ?? -Infinity));
    const hasTurnNews = isTurnedAway ? this.hearRefusal(sentAtMs, nowMs) : this.hearAnswer(nowMs);
    return hasLimitNews || hasLeavingNews || hasRestNews || hasTurnNews;
  }

  /** It rests until then, as it asked or as follows from its refusals; says whether that is news. */
  private hearRest(untilMs: number): boolean {
    if (untilMs <= this.restEndMs) {
      return false;
    }
    this.restEndMs = untilMs;
    return true;
  }

  /** Takes in what another gateway believes; says whether a belief changed. */
  merge(told: ToldCondition, nowMs: number): boolean {
    const limitAtMs = nowMs - (told.limitAgeMs ?? Infinity);
    const isNewer = limitAtMs > this.limitAtMs;
    const hasLimitNews = isNewer && told.limitPerS !== this.limit;
    if (isNewer) {
      this.limitAtMs = limitAtMs;
      this.limit = told.limitPerS;
    }
    const hasLeavingNews = this.hearLeaving(told.isLeaving);
    const hasRestNews = this.hearRest(nowMs + (told.restLeftMs ?? -Infinity));
    const hasServedNews = this.hearServed(nowMs - (told.servedAgeMs ?? Infinity));
    return hasLimitNews || hasLeavingNews || hasRestNews || hasServedNews;
  }

  /** What others are told; undefined where it never said anything. */
  tell(backendId: string, nowMs: number): ToldCondition | undefined {
    const { limit, limitAtMs, restEndMs, servedAtMs, hasLeft } = this;
    const hasRested = restEndMs !== -Infinity;
    if (limitAtMs === -Infinity && !hasLeft && !hasRested) {
      return undefined;
    }
    return {
      backendId,
      isLeaving: hasLeft,
      ...(limit === undefined ? {} : { limitPerS: limit }),
      ...(limitAtMs === -Infinity ? {} : { limitAgeMs: nowMs - limitAtMs }),
      ...(hasRested ? { restLeftMs: restEndMs - nowMs } : {}),
      ...(hasRested && servedAtMs !== -Infinity ? { servedAgeMs: nowMs - servedAtMs } : {}),
    };
  }

  /**
   * An answer without a limit lifts it only if its request was sent after the limit was named: others may have been
   * answered before that and arrive later.
   */
  private hearLimit(limitPerS: number | undefined, sentAtMs: number, nowMs: number): boolean {
    const isOlder = limitPerS === undefined && sentAtMs <= this.limitAtMs;
    const isNothing = limitPerS === undefined && this.limit === undefined;
    if (isOlder || isNothing) {
      return false;
    }
    const isNews = limitPerS !== this.limit;
    this.limit = limitPerS;
    this.limitAtMs = nowMs;
    return isNews;
  }

  private hearLeaving(isLeaving: boolean): boolean {
    const isNews = isLeaving && !this.hasLeft;
    this.hasLeft ||= isLeaving;
    return isNews;
  }

  /** Others that were on their way when one was refused say no more than that one. */
  private hearRefusal(sentAtMs: number, nowMs: number): boolean {
    if (sentAtMs < this.refusedAtMs) {
      return false;
    }
    const pauseMs = Math.min(REFUSED_PAUSE_MS * 2 ** this.refusalsInRow, MAX_REFUSED_PAUSE_MS);
    this.refusalsInRow += 1;
    this.refusedAtMs = nowMs;
    this.pausedUntilMs = nowMs + pauseMs;
    return pauseMs >= SHARED_PAUSE_MS && this.hearRest(this.pausedUntilMs);
  }

  private hearAnswer(nowMs: number): boolean {
    this.refusalsInRow = 0;
    return this.hearServed(nowMs);
  }

  /** Only the first answer after a rest is news. */
  private hearServed(atMs: number): boolean {
    const wasReturning = this.isReturning;
    this.servedAtMs = Math.max(this.servedAtMs, atMs);
    return wasReturning && !this.isReturning;
  }
}
