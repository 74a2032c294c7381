/**
 * Limits the rate at which requests start at an agent's engine, without I/O.
 *
 * A grant counts from its issue: until its gateway answers it, it may be used at any time of its
 * lifetime. Grants that the agent issued before a restart are unknown, so at a cold engine a
 * restarted agent begins as if the limit were exhausted.
 */
import type { StorePosition } from '../cluster/store-position.js';
import type { ColdStartBound } from '../routing/cold-start.js';
import { START_WINDOW_MS, StartWindow } from './start-window.js';
import type { Start } from './start-window.js';
import { WarmStartLimit } from './warm-start-limit.js';

/** Limits on starting requests at the engine now. */
export interface StartRules {
  readonly bound: ColdStartBound;
  /** Whether the engine is, or may be, cold. */
  readonly isCold: boolean;
  /** Position of the latest announcement that `isCold` takes into account; undefined for none. */
  readonly countedAnnouncement?: StorePosition | undefined;
}

/** Why slots are available by grant only. */
export type GrantsOnlyReason =
  /** The engine is cold, or may be. */
  | 'cold'
  /**
   * At least `ColdStartBound.taken` requests started in the last second; further takes could exceed
   * the limit of a cold engine if it has restarted unnoticed.
   */
  | 'busy';

/**
 * Longest time from the issue of a grant to its use, in milliseconds. Gateways give back a grant
 * whose clock reading is older than this, since the network or the gateway itself delayed the
 * messages. A gateway with waiting requests sends a message at least every 250 ms.
 */
export const GRANT_LIFETIME_MS = 500;
/** Share of the `busy` threshold below which gateways may take free slots again. */
const BUSY_EXIT_SHARE = 0.6;

/** Start rate limiter of one engine. */
export class StartLimiter {
  private readonly starts = new StartWindow();
  private readonly unansweredGrants = new Map<number, Start[]>();
  private readonly unknownGrantsUntilMs: number;
  private readonly warmLimit = new WarmStartLimit();
  private isBusy = false;

  /** @param startedAtMs - when this process started; grants of its predecessor are unknown */
  constructor(startedAtMs: number) {
    this.unknownGrantsUntilMs = startedAtMs + START_WINDOW_MS + GRANT_LIFETIME_MS;
  }

  /** Records a grant to the gateway on a connection. */
  noteGranted(connection: number, nowMs: number): void {
    const grants = this.unansweredGrants.get(connection) ?? [];
    this.unansweredGrants.set(connection, grants);
    grants.push(this.starts.add(nowMs + GRANT_LIFETIME_MS, nowMs));
  }

  /** Records that a gateway used its oldest unanswered grant. */
  noteUsed(connection: number, nowMs: number): void {
    const start = this.unansweredGrants.get(connection)?.shift();
    if (start !== undefined) {
      start.latestMs = Math.min(start.latestMs, nowMs);
    }
  }

  /** Records that a gateway gave back its oldest unanswered grant. */
  noteReturned(connection: number): void {
    const start = this.unansweredGrants.get(connection)?.shift();
    if (start !== undefined) {
      this.starts.remove(start);
    }
  }

  /** Records that a gateway took a free slot without a grant. */
  noteTaken(nowMs: number): void {
    this.starts.add(nowMs, nowMs);
  }

  /** Removes a connection; its unanswered grants still count, since they may be used. */
  removeConnection(connection: number): void {
    this.unansweredGrants.delete(connection);
  }

  /** Time until another slot may be granted, in milliseconds; 0 if it may be granted now. */
  msUntilGrant(rules: StartRules | undefined, nowMs: number): number {
    if (rules === undefined) {
      return 0;
    }
    const { bound, isCold } = rules;
    if (!isCold) {
      return this.warmLimit.msUntilGrant(this.starts.msUntilBelow(bound.warm, nowMs), nowMs);
    }
    const unknownGrantsMs = this.unknownGrantsUntilMs - nowMs;
    return Math.max(unknownGrantsMs, this.starts.msUntilBelow(bound.granted, nowMs));
  }

  /** Why slots are available by grant only; undefined while gateways may take free slots. */
  grantsOnly(rules: StartRules | undefined, nowMs: number): GrantsOnlyReason | undefined {
    if (rules === undefined) {
      return undefined;
    }
    if (rules.isCold) {
      return 'cold';
    }
    if (this.warmLimit.isSuspended(nowMs)) {
      return undefined;
    }
    const { taken } = rules.bound;
    this.isBusy = this.starts.count(nowMs) >= (this.isBusy ? taken * BUSY_EXIT_SHARE : taken);
    return this.isBusy ? 'busy' : undefined;
  }
}
