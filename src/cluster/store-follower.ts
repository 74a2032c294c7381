/** Follows the cluster's store: one listing, then watches, and a new listing whenever history is gone. */
import type { Clock } from '../clock.js';
import { sleep } from '../clock.js';
import type { RandomSource } from '../random.js';
import { withJitter } from '../random.js';
import type { WeirvaleError } from '../request/errors.js';
import { StoreHistoryGoneError } from './cluster-store.js';
import type { ClusterStore, StoreRead } from './cluster-store.js';
import { StoreCalls } from './store-calls.js';
import type {
  CallOutcome,
  PlannedCall,
  StoreCall,
  StoreCallResult,
  StoreCallsOptions,
} from './store-calls.js';

/** Who hears of what the follower learned. */
export interface StoreFollowerHandlers {
  /** A whole listing was read. */
  onListing(read: StoreRead): void;
  /**
   * A whole listing was read right after an outage. What it lacks may have lapsed only because
   * its owner could not reach the store; a listing that counts follows.
   */
  onListingAfterOutage(read: StoreRead): void;
  /** All changes after revision `since` were seen. */
  onChanges(read: StoreRead, since: number): void;
  /** A watch was answered at `revision` and brought the changes through `seenTo` only. */
  onChangesMissing(seenTo: number, revision: number): void;
  /**
   * The store answers again, or no longer; `heldMs` is how long the call was under way that told so, in
   * milliseconds.
   */
  onReachable(isReachable: boolean, reason: string, heldMs: number): void;
  /** How many processes follow the store and tell each other, this one included. */
  countFollowers(): number;
  /** Whether this process must follow the store itself; others tell it otherwise. */
  mustFollow(): boolean;
  /** The revision through which the records are complete, from wherever they came; 0 for none. */
  completeTo(): number;
  /** All records were known as the store had them at `atMs`. */
  onConfirmed(atMs: number): void;
  /** A call of the store ended. */
  onCall(call: StoreCall, result: StoreCallResult): void;
}

/** Times of a follower, in milliseconds. */
export interface StoreFollowerOptions extends StoreCallsOptions {
  /**
   * Longest wait of one watch; each waits for a random time from the half of it up, so that those of several
   * followers end at different moments. Default 1,500: with the time until a call is overdue, the longest that a
   * store which is back, or a path, is not noticed.
   */
  readonly watchMs: number;
  /** Pause after a watch that saw changes, in which further ones gather, for a few followers. Default 150. */
  readonly gatherMs: number;
  /**
   * Followers from which on the pause grows with their number: what one of them saw reaches
   * the others by revisions, so that each need not ask for each change. Default 4.
   */
  readonly gatherFollowers: number;
  /** Longest pause. Default 1,200. */
  readonly gatherMaxMs: number;
  /** First and longest pause after a failed call. Defaults 50 and 400. */
  readonly retryMinMs: number;
  readonly retryMaxMs: number;
  /** Time without an answer from which on the store counts as having been out. Default 500. */
  readonly outageMs: number;
  /**
   * Time after an outage in which owners that live announce themselves again. Default 2,200:
   * users' pages say about two seconds.
   */
  readonly reannounceMs: number;
  /** Longest time by which outages in a row put off the listing that counts. Default 4,400. */
  readonly putOffMs: number;
  /** Pause between two looks at whether this process must follow, while others do. Default 100. */
  readonly restMs: number;
}

/** Defaults of a follower. */
export const DEFAULT_STORE_FOLLOWER_OPTIONS: StoreFollowerOptions = {
  watchMs: 1_500,
  overdueMs: 300,
  overdueMaxMs: 1_500,
  openCalls: 4,
  gatherMs: 150,
  gatherFollowers: 4,
  gatherMaxMs: 1_200,
  retryMinMs: 50,
  retryMaxMs: 400,
  outageMs: 500,
  reannounceMs: 2_200,
  putOffMs: 4_400,
  restMs: 100,
};

const RETRY_SPREAD = 0.3;
const GATHER_SPREAD = 0.6;

/** Follows the store until it is stopped. */
export class StoreFollower {
  private isStopped = false;
  private hasBeenAnswered = false;
  private reachable: boolean | undefined;
  /** Since when the store owes an answer; undefined while it answers. */
  private lostAtMs: number | undefined;
  /** When the listing that counts is due after an outage. */
  private relistAtMs: number | undefined;
  /** When such a listing was due first, of several outages in a row. */
  private firstRelistAtMs: number | undefined;
  private retryMs: number;
  private isResting = false;
  private readonly calls: StoreCalls;

  constructor(
    private readonly store: ClusterStore,
    private readonly handlers: StoreFollowerHandlers,
    private readonly clock: Clock,
    private readonly random: RandomSource,
    private readonly options: StoreFollowerOptions = DEFAULT_STORE_FOLLOWER_OPTIONS,
  ) {
    this.retryMs = options.retryMinMs;
    this.calls = new StoreCalls(clock, options, (call, result) => handlers.onCall(call, result));
  }

  /** Runs until `stop` is called. */
  async run(): Promise<void> {
    let revision: number | undefined;
    while (!this.isStopped) {
      if (!this.handlers.mustFollow()) {
        revision = await this.rest();
      }
      const isListing = revision === undefined || this.isRelistDue();
      revision = isListing ? await this.list() : await this.watch(revision!);
    }
  }

  /** Whether the store answered its last call; undefined before the first. */
  get isReachable(): boolean | undefined {
    return this.reachable;
  }

  /** Ends the run after the call under way. */
  stop(): void {
    this.isStopped = true;
  }

  /** Whether this process follows the store and is answered: its last call is neither failed nor overdue. */
  get isFollowing(): boolean {
    return !this.isResting && this.reachable === true;
  }

  /**
   * Waits until this process must follow; returns the revision to go on from. Others may be missed because
   * the store is out, for how long is not known here: if it does not answer now, it counts as out for long.
   */
  private async rest(): Promise<number | undefined> {
    this.isResting = true;
    while (!this.isStopped && !this.handlers.mustFollow()) {
      await sleep(this.clock, this.options.restMs);
    }
    this.isResting = false;
    this.reachable = undefined;
    this.lostAtMs = this.clock.now() - this.options.outageMs;
    const revision = this.handlers.completeTo();
    return revision === 0 ? undefined : revision;
  }

  private async list(): Promise<number | undefined> {
    const startedAtMs = this.clock.now();
    const outcome = await this.ask({
      call: 'list',
      waitMs: 0,
      send: () => this.store.list(),
      take: (read) => this.takeListing(read, startedAtMs),
    });
    if (outcome.kind === 'answered') {
      return outcome.revision;
    }
    this.noteLoss(outcome, startedAtMs);
    await this.pause();
    return undefined;
  }

  private takeListing(read: StoreRead, startedAtMs: number): void {
    const nowMs = this.clock.now();
    const wasOut = this.lostAtMs !== undefined && nowMs - this.lostAtMs >= this.options.outageMs;
    const isFirst = !this.hasBeenAnswered && this.handlers.completeTo() === 0;
    this.succeed(startedAtMs);
    if (wasOut && !isFirst) {
      this.putOffRelist(nowMs);
    }
    if (this.relistAtMs !== undefined && !this.isRelistDue()) {
      this.handlers.onListingAfterOutage(read);
    } else {
      this.relistAtMs = undefined;
      this.firstRelistAtMs = undefined;
      this.handlers.onListing(read);
    }
    this.handlers.onConfirmed(startedAtMs);
  }

  /** Owners are given time to announce themselves, but not for ever where one outage follows the other. */
  private putOffRelist(nowMs: number): void {
    const { reannounceMs, putOffMs } = this.options;
    const relistAtMs = nowMs + reannounceMs;
    this.firstRelistAtMs ??= relistAtMs;
    this.relistAtMs = Math.min(relistAtMs, this.firstRelistAtMs + putOffMs);
  }

  private isRelistDue(): boolean {
    return this.relistAtMs !== undefined && this.clock.now() >= this.relistAtMs;
  }

  private async watch(revision: number): Promise<number | undefined> {
    const startedAtMs = this.clock.now();
    const waitMs = this.watchWaitMs(startedAtMs);
    let hasChanges = false;
    let isWhole = true;
    const outcome = await this.ask({
      call: 'watch',
      waitMs,
      send: () => this.store.watch(revision, waitMs),
      take: (read) => {
        const seenTo = Math.max(revision, ...read.records.map((record) => record.revision));
        hasChanges = read.records.length > 0;
        isWhole = seenTo >= read.revision;
        this.succeed(startedAtMs);
        this.handlers.onChanges({ ...read, revision: seenTo }, revision);
        if (isWhole) {
          this.confirmWatch(startedAtMs, waitMs, read);
        } else {
          this.handlers.onChangesMissing(seenTo, read.revision);
        }
      },
    });
    if (outcome.kind === 'answered') {
      if (!isWhole) {
        // Each revision is a change of some key: without it, this process does not know all through that one.
        return undefined;
      }
      if (hasChanges) {
        await sleep(this.clock, this.gatherPauseMs());
      }
      return outcome.revision;
    }
    if (outcome.kind === 'failed' && outcome.error instanceof StoreHistoryGoneError) {
      return undefined;
    }
    // A watch that was cut may have missed changes whose history is gone since: read afresh.
    this.noteLoss(outcome, startedAtMs);
    if (outcome.kind === 'failed') {
      await this.pause();
    }
    return undefined;
  }

  /** A watch that waited to its end without a change says that there was none by then. */
  private confirmWatch(startedAtMs: number, waitMs: number, { records }: StoreRead): void {
    const endMs = startedAtMs + waitMs;
    const hasWaited = records.length === 0 && this.clock.now() >= endMs;
    this.handlers.onConfirmed(hasWaited ? endMs : startedAtMs);
  }

  private watchWaitMs(nowMs: number): number {
    const untilRelistMs = (this.relistAtMs ?? Infinity) - nowMs;
    const waitMs = (this.options.watchMs * (1 + this.random.next())) / 2;
    return Math.round(Math.max(1, Math.min(waitMs, untilRelistMs)));
  }

  private async ask<Failure extends WeirvaleError>(
    call: PlannedCall<Failure>,
  ): Promise<CallOutcome> {
    while (this.calls.isFull) {
      await this.pause();
    }
    return this.calls.ask(call);
  }

  /** Spread at random, so that of many followers some ask at any moment. */
  private gatherPauseMs(): number {
    const { gatherMs, gatherFollowers, gatherMaxMs } = this.options;
    const groups = Math.max(1, this.handlers.countFollowers() / gatherFollowers);
    const pauseMs = Math.min(gatherMaxMs, gatherMs * groups);
    return groups === 1 ? pauseMs : withJitter(this.random, pauseMs, GATHER_SPREAD);
  }

  private succeed(startedAtMs: number): void {
    this.retryMs = this.options.retryMinMs;
    this.hasBeenAnswered = true;
    this.lostAtMs = undefined;
    this.tell(true, 'answered', startedAtMs);
  }

  /** A call failed, or is overdue: then the store may have been out since it was made. */
  private noteLoss(
    outcome: Exclude<CallOutcome, { readonly kind: 'answered' }>,
    startedAtMs: number,
  ): void {
    if (outcome.kind === 'overdue') {
      this.lostAtMs ??= startedAtMs;
      this.tell(false, 'no answer in time', startedAtMs);
    } else {
      this.lostAtMs ??= this.clock.now();
      this.tell(false, outcome.error.message, startedAtMs);
    }
  }

  private async pause(): Promise<void> {
    await sleep(this.clock, withJitter(this.random, this.retryMs, RETRY_SPREAD));
    this.retryMs = Math.min(this.retryMs * 2, this.options.retryMaxMs);
  }

  private tell(isReachable: boolean, reason: string, startedAtMs: number): void {
    if (this.reachable !== isReachable) {
      this.reachable = isReachable;
      this.handlers.onReachable(isReachable, reason, this.clock.now() - startedAtMs);
    }
  }
}
