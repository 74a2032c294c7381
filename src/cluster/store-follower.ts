/** Follows the cluster's store: one listing, then watches, and a new listing whenever history is gone. */
import type { Clock } from '../clock.js';
import { sleep } from '../clock.js';
import type { RandomSource } from '../random.js';
import { withJitter } from '../random.js';
import type { WeirvaleError } from '../request/errors.js';
import { StoreHistoryGoneError } from './cluster-store.js';
import type { ClusterStore, StoreRead } from './cluster-store.js';
import { isLater, isNoPosition, laterOf, NO_EPOCH } from './store-position.js';
import type { StorePosition } from './store-position.js';
import { StoreCalls } from './store-calls.js';
import type { KnownEpoch } from './store-epochs.js';
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
   * A whole listing was read right after an outage, or soon after the store came back from a copy. What it lacks may
   * have lapsed, or be gone, only until its owner writes it again; a listing that counts follows.
   */
  onListingAfterOutage(read: StoreRead): void;
  /** All changes after `since` were seen. */
  onChanges(read: StoreRead, since: StorePosition): void;
  /** A watch was answered at `read` and brought the changes through `seenTo` only. */
  onChangesMissing(seenTo: StorePosition, read: StorePosition): void;
  /** What was asked in epoch `asked` was answered in another one, and is not taken in. */
  onOtherEpoch(call: StoreCall, asked: number, read: StorePosition): void;
  /**
   * The store answers again, or no longer; `heldMs` is how long the call was under way that told so, in
   * milliseconds.
   */
  onReachable(isReachable: boolean, reason: string, heldMs: number): void;
  /** How many processes follow the store and tell each other, this one included. */
  countFollowers(): number;
  /** Whether this process must follow the store itself; others tell it otherwise. */
  mustFollow(): boolean;
  /** The position through which the records are complete, from wherever they came; `NO_POSITION` for none. */
  completeTo(): StorePosition;
  /** The newest epoch that is known, from wherever it was heard. */
  knownEpoch(): KnownEpoch;
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
   * the others by positions, so that each need not ask for each change. Default 4.
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
   * Time after an outage, or after the store came back from a copy, in which owners that live write again what is
   * gone. Default 2,200: users' pages say about two seconds.
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
    let position: StorePosition | undefined;
    while (!this.isStopped) {
      if (!this.handlers.mustFollow()) {
        position = await this.rest();
      }
      // Of another epoch the same revision is another change, and a watch from there may pass changes over.
      const isToList = position?.epoch !== this.handlers.knownEpoch().epoch || this.isRelistDue();
      position = isToList ? await this.list() : await this.watch(position!);
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
   * Waits until this process must follow; returns the position to go on from. Others may be missed because
   * the store is out, for how long is not known here: if it does not answer now, it counts as out for long.
   */
  private async rest(): Promise<StorePosition | undefined> {
    this.isResting = true;
    while (!this.isStopped && !this.handlers.mustFollow()) {
      await sleep(this.clock, this.options.restMs);
    }
    this.isResting = false;
    this.reachable = undefined;
    this.lostAtMs = this.clock.now() - this.options.outageMs;
    const position = this.handlers.completeTo();
    return isNoPosition(position) ? undefined : position;
  }

  private async list(): Promise<StorePosition | undefined> {
    const startedAtMs = this.clock.now();
    const outcome = await this.ask({
      call: 'list',
      waitMs: 0,
      send: () => this.store.list(),
      take: (read) => this.takeListing(read, startedAtMs),
    });
    if (outcome.kind === 'answered') {
      return this.isOutdated(outcome.read) ? this.pause() : outcome.read;
    }
    this.noteLoss(outcome, startedAtMs);
    return this.pause();
  }

  private takeListing(read: StoreRead, startedAtMs: number): void {
    const nowMs = this.clock.now();
    const known = this.handlers.knownEpoch();
    if (this.isOutdated(read)) {
      this.handlers.onOtherEpoch('list', known.epoch, read);
      return;
    }
    const wasOut = this.lostAtMs !== undefined && nowMs - this.lostAtMs >= this.options.outageMs;
    const isFirst = !this.hasBeenAnswered && isNoPosition(this.handlers.completeTo());
    this.succeed(startedAtMs);
    if (wasOut && !isFirst) {
      this.putOffRelist(nowMs);
    }
    this.awaitOwners(read.epoch > known.epoch ? nowMs : known.sinceMs, read);
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

  /** A listing counts only once the owners have had their time since the epoch of the store began. */
  private awaitOwners(epochSinceMs: number, { epoch }: StorePosition): void {
    const settlesAtMs = epochSinceMs + this.options.reannounceMs;
    if (epoch !== NO_EPOCH && this.clock.now() < settlesAtMs) {
      this.relistAtMs = Math.max(this.relistAtMs ?? 0, settlesAtMs);
    }
  }

  /** Whether an answer is of an epoch that is over. */
  private isOutdated({ epoch }: StorePosition): boolean {
    return epoch < this.handlers.knownEpoch().epoch;
  }

  private isRelistDue(): boolean {
    return this.relistAtMs !== undefined && this.clock.now() >= this.relistAtMs;
  }

  private async watch(since: StorePosition): Promise<StorePosition | undefined> {
    const startedAtMs = this.clock.now();
    const waitMs = this.watchWaitMs(startedAtMs);
    let hasChanges = false;
    let isWhole = true;
    const outcome = await this.ask({
      call: 'watch',
      waitMs,
      send: () => this.store.watch(since, waitMs),
      take: (read) => {
        if (read.epoch !== since.epoch || this.isOutdated(read)) {
          this.handlers.onOtherEpoch('watch', since.epoch, read);
          isWhole = false;
          return;
        }
        const seenTo = read.records.reduce<StorePosition>(laterOf, since);
        hasChanges = read.records.length > 0;
        isWhole = !isLater(read, seenTo);
        this.succeed(startedAtMs);
        this.handlers.onChanges({ ...read, ...seenTo }, since);
        if (isWhole) {
          this.confirmWatch(startedAtMs, waitMs, read);
        } else {
          this.handlers.onChangesMissing(seenTo, read);
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
      return outcome.read;
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

  private async pause(): Promise<undefined> {
    await sleep(this.clock, withJitter(this.random, this.retryMs, RETRY_SPREAD));
    this.retryMs = Math.min(this.retryMs * 2, this.options.retryMaxMs);
    return undefined;
  }

  private tell(isReachable: boolean, reason: string, startedAtMs: number): void {
    if (this.reachable !== isReachable) {
      this.reachable = isReachable;
      this.handlers.onReachable(isReachable, reason, this.clock.now() - startedAtMs);
    }
  }
}
