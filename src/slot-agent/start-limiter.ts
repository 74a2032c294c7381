/**
 * Bounds how many requests a second begin at the engine beside an agent, without I/O.
 *
 * A grant counts from when it is issued: until its gateway says that it was used it may be used at any moment
 * of its life. What an agent granted before it was started anew is not known, so at a cold engine it begins as if
 * all was spent.
 */
import type { ColdStartBound } from '../routing/cold-start.js';
import { START_WINDOW_MS, StartWindow } from './start-window.js';
import type { Start } from './start-window.js';
import { WarmCeiling } from './warm-ceiling.js';

/** How the engine may be given requests now. */
export interface StartRules {
  readonly bound: ColdStartBound;
  /** Whether it is, or may be, cold. */
  readonly isCold: boolean;
}

/** Why free slots are only granted. */
export type GrantsOnly =
  /** The engine is cold, or may be. */
  | 'cold'
  /** So many requests began there in the last second that it could not bear them if it turned cold. */
  | 'busy';

/**
 * Longest time from a grant to its use, in milliseconds: gateways give back a grant that rests on a word of
 * theirs which is older, since it was held up on the way or by the gateway itself. A gateway that waits speaks
 * each 250 ms or sooner.
 */
export const GRANT_LIFE_MS = 500;
/** Share of the starts at which taking stops below which it is allowed again. */
const CALM_SHARE = 0.6;

/** Bounds the starts at one engine. */
export class StartLimiter {
  private readonly starts = new StartWindow();
  private readonly unanswered = new Map<number, Start[]>();
  private readonly spentUntilMs: number;
  private readonly ceiling = new WarmCeiling();
  private isBusy = false;

  /** @param startedAtMs - when this process started: what another one granted before is not known */
  constructor(startedAtMs: number) {
    this.spentUntilMs = startedAtMs + START_WINDOW_MS + GRANT_LIFE_MS;
  }

  /** A slot was granted to the gateway on a connection. */
  noteGranted(connection: number, nowMs: number): void {
    const grants = this.unanswered.get(connection) ?? [];
    this.unanswered.set(connection, grants);
    grants.push(this.starts.add(nowMs + GRANT_LIFE_MS, nowMs));
  }

  /** A gateway used its oldest grant. */
  noteUsed(connection: number, nowMs: number): void {
    const start = this.unanswered.get(connection)?.shift();
    if (start !== undefined) {
      start.latestMs = Math.min(start.latestMs, nowMs);
    }
  }

  /** A gateway gave its oldest grant back. */
  noteReturned(connection: number): void {
    const start = this.unanswered.get(connection)?.shift();
    if (start !== undefined) {
      this.starts.remove(start);
    }
  }

  /** A gateway took a free slot without a grant. */
  noteTaken(nowMs: number): void {
    this.starts.add(nowMs, nowMs);
  }

  /** A connection ended; grants that were not answered may still be used. */
  forget(connection: number): void {
    this.unanswered.delete(connection);
  }

  /** Time until another slot may be granted, in milliseconds; 0 if it may now. */
  msUntilGrant(rules: StartRules | undefined, nowMs: number): number {
    if (rules === undefined) {
      return 0;
    }
    const { bound, isCold } = rules;
    if (!isCold) {
      return this.ceiling.msUntilGrant(this.starts.msUntilBelow(bound.warm, nowMs), nowMs);
    }
    const spentMs = this.spentUntilMs - nowMs;
    return Math.max(spentMs, this.starts.msUntilBelow(bound.granted, nowMs));
  }

  /** Why free slots are only granted; undefined while gateways may take them. */
  grantsOnly(rules: StartRules | undefined, nowMs: number): GrantsOnly | undefined {
    if (rules === undefined) {
      return undefined;
    }
    if (rules.isCold) {
      return 'cold';
    }
    if (this.ceiling.isLifted(nowMs)) {
      return undefined;
    }
    const { taken } = rules.bound;
    this.isBusy = this.starts.count(nowMs) >= (this.isBusy ? taken * CALM_SHARE : taken);
    return this.isBusy ? 'busy' : undefined;
  }
}
