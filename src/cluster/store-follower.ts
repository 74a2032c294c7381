/**
 * Follows the store: a listing, then watches, and a new listing whenever a watch cannot be resumed.
 */
import type { Clock } from '../clock.js';
import { sleep } from '../clock.js';
import type { RandomSource } from '../random.js';
import { withJitter } from '../random.js';
import type { WeirvaleError } from '../request/errors.js';
import { StoreHistoryGoneError } from './cluster-store.js';
import type { ClusterStore, StoreRead } from './cluster-store.js';
import { isLater, isNoPosition, laterPosition, NO_EPOCH } from './store-position.js';
import type { StorePosition } from './store-position.js';
import { StoreCaller } from './store-caller.js';
import type { KnownEpoch } from './replica-epoch-tracker.js';
import type {
  CallOutcome,
  StoreCallRequest,
  StoreCall,
  StoreCallResult,
  StoreCallerOptions,
} from './store-caller.js';

/** Callbacks of a follower: results of its reads, and state that it needs from its process. */
export interface StoreFollowerHandlers {
  /** A full listing was read; keys that it lacks do not exist. */
  onListing(read: StoreRead): void;
  /**
   * A listing was read right after an outage, or soon after the store was restored from a backup.
   * Keys that it lacks must be retained: they may have expired, or be lost, only until their owners
   * write them again. A full listing follows.
   */
  onListingAfterOutage(read: StoreRead): void;
  /** A watch returned all changes from `since` to the position of `read`. */
  onChanges(read: StoreRead, since: StorePosition): void;
  /** The response of a watch has position `read`, but contains changes only up to `seenTo`. */
  onChangesMissing(seenTo: StorePosition, read: StorePosition): void;
  /**
   * Discarded a listing of an earlier epoch than the newest known one, or a watch that is of
   * another epoch than its start position or of an earlier one than the newest known one.
   * `expectedEpoch` is the newest known epoch for a listing, and that of the start position for a
   * watch.
   */
  onEpochMismatch(call: StoreCall, expectedEpoch: number, read: StorePosition): void;
  /**
   * The store became reachable or unreachable; `heldMs` is the duration of the call that showed it,
   * in milliseconds.
   */
  onReachabilityChange(isReachable: boolean, reason: string, heldMs: number): void;
  /** Estimated number of processes that follow the store and exchange changes, with this one. */
  countFollowers(): number;
  /**
   * Whether this process must follow the store itself; otherwise it receives changes from peers.
   */
  mustFollow(): boolean;
  /**
   * Position up to which the replica has all changes, from the store or from peers; `NO_POSITION`
   * if it is empty.
   */
  completeTo(): StorePosition;
  /** The newest known epoch, from the store or from peers. */
  knownEpoch(): KnownEpoch;
  /** The replica holds all records as the store had them at `atMs`. */
  onReplicaConfirmed(atMs: number): void;
  /** A call to the store ended. */
  onCall(call: StoreCall, result: StoreCallResult): void;
}

/** Options of a follower; times in milliseconds. */
export interface StoreFollowerOptions extends StoreCallerOptions {
  /**
   * Maximum wait of a watch. Each watch waits for a random time between half of it and all of it,
   * so that the watches of several followers end at different times. Default 1,500: together with
   * the time until a call is overdue, this bounds the time until a follower notices that the store
   * or a path to it has recovered.
   */
  readonly watchMs: number;
  /**
   * Delay of the next watch after one that returned changes, to coalesce further ones, with few
   * followers. Default 150.
   */
  readonly coalesceMs: number;
  /**
   * Number of followers above which the delay grows in proportion to their number: followers
   * exchange changes with each other, so not every one of them needs to read each change from the
   * store. Default 4.
   */
  readonly coalesceFollowers: number;
  /** Maximum delay of the next watch after one that returned changes. Default 1,200. */
  readonly coalesceMaxMs: number;
  /** Initial and maximum backoff after a failed call. Defaults 50 and 400. */
  readonly retryMinMs: number;
  readonly retryMaxMs: number;
  /** Minimum time without a response for a loss of the store to count as an outage. Default 500. */
  readonly outageMs: number;
  /**
   * Time after an outage, or after a restore from a backup, in which live owners write lost records
   * again. Default 2,200: owners need about two seconds.
   */
  readonly reannounceMs: number;
  /** Maximum time by which successive outages can postpone the full listing. Default 4,400. */
  readonly maxPostponeMs: number;
  /** Interval for checking whether an idle process must follow the store again. Default 100. */
  readonly idlePollMs: number;
}

/** Default options of a follower. */
export const DEFAULT_STORE_FOLLOWER_OPTIONS: StoreFollowerOptions = {
  watchMs: 1_500,
  overdueMs: 300,
  overdueMaxMs: 1_500,
  maxOpenCalls: 4,
  coalesceMs: 150,
  coalesceFollowers: 4,
  coalesceMaxMs: 1_200,
  retryMinMs: 50,
  retryMaxMs: 400,
  outageMs: 500,
  reannounceMs: 2_200,
  maxPostponeMs: 4_400,
  idlePollMs: 100,
};

const RETRY_JITTER = 0.3;
const COALESCE_JITTER = 0.6;

/** Reads the store with listings and watches until it is stopped. */
export class StoreFollower {
  private isStopped = false;
  private hasResponse = false;
  private reachable: boolean | undefined;
  /** Start of the current loss of the store; undefined while the store responds. */
  private unreachableSinceMs: number | undefined;
  /** When the full listing after an outage or a restore is due. */
  private relistAtMs: number | undefined;
  /** When the full listing was first due, before successive outages postponed it. */
  private firstRelistAtMs: number | undefined;
  private retryMs: number;
  private isIdle = false;
  private readonly calls: StoreCaller;

  constructor(
    private readonly store: ClusterStore,
    private readonly handlers: StoreFollowerHandlers,
    private readonly clock: Clock,
    private readonly random: RandomSource,
    private readonly options: StoreFollowerOptions = DEFAULT_STORE_FOLLOWER_OPTIONS,
  ) {
    this.retryMs = options.retryMinMs;
    this.calls = new StoreCaller(clock, options, (call, result) => handlers.onCall(call, result));
  }

  /** Runs until `stop` is called. */
  async run(): Promise<void> {
    let position: StorePosition | undefined;
    while (!this.isStopped) {
      if (!this.handlers.mustFollow()) {
        position = await this.waitWhileIdle();
      }
      // Revisions of another epoch refer to other changes, so a watch from this position could skip
      // changes.
      const mustList = position?.epoch !== this.handlers.knownEpoch().epoch || this.isRelistDue();
      position = mustList ? await this.list() : await this.watch(position!);
    }
  }

  /**
   * Whether the last call succeeded; a dropped history or a discarded response leaves it unchanged.
   * Undefined before the first call and after an idle period.
   */
  get isReachable(): boolean | undefined {
    return this.reachable;
  }

  /** Stops the follower after the call in flight. */
  stop(): void {
    this.isStopped = true;
  }

  /** Whether this process follows the store and its last call succeeded; see `isReachable`. */
  get isFollowing(): boolean {
    return !this.isIdle && this.reachable === true;
  }

  /**
   * Waits until this process must follow the store; returns the position to resume from. The
   * readers may have been lost because of an outage of the store that began at an unknown time, so
   * this counts as an outage until the store responds.
   */
  private async waitWhileIdle(): Promise<StorePosition | undefined> {
    this.isIdle = true;
    while (!this.isStopped && !this.handlers.mustFollow()) {
      await sleep(this.clock, this.options.idlePollMs);
    }
    this.isIdle = false;
    this.reachable = undefined;
    this.unreachableSinceMs = this.clock.now() - this.options.outageMs;
    const position = this.handlers.completeTo();
    return isNoPosition(position) ? undefined : position;
  }

  private async list(): Promise<StorePosition | undefined> {
    const startedAtMs = this.clock.now();
    const outcome = await this.execute({
      call: 'list',
      waitMs: 0,
      send: () => this.store.list(),
      onResponse: (read) => this.applyListing(read, startedAtMs),
    });
    if (outcome.kind === 'answered') {
      return this.isFromPastEpoch(outcome.read) ? this.backOff() : outcome.read;
    }
    this.recordFailure(outcome, startedAtMs);
    return this.backOff();
  }

  private applyListing(read: StoreRead, startedAtMs: number): void {
    const nowMs = this.clock.now();
    const known = this.handlers.knownEpoch();
    if (this.isFromPastEpoch(read)) {
      this.handlers.onEpochMismatch('list', known.epoch, read);
      return;
    }
    const wasOutage =
      this.unreachableSinceMs !== undefined &&
      nowMs - this.unreachableSinceMs >= this.options.outageMs;
    const isFirst = !this.hasResponse && isNoPosition(this.handlers.completeTo());
    this.recordSuccess(startedAtMs);
    if (wasOutage && !isFirst) {
      this.postponeRelist(nowMs);
    }
    this.deferRelistForEpoch(read.epoch > known.epoch ? nowMs : known.sinceMs, read);
    if (this.relistAtMs !== undefined && !this.isRelistDue()) {
      this.handlers.onListingAfterOutage(read);
    } else {
      this.relistAtMs = undefined;
      this.firstRelistAtMs = undefined;
      this.handlers.onListing(read);
    }
    this.handlers.onReplicaConfirmed(startedAtMs);
  }

  /**
   * Postpones the full listing so that owners can write their records again, but at most by
   * `maxPostponeMs` in total.
   */
  private postponeRelist(nowMs: number): void {
    const { reannounceMs, maxPostponeMs } = this.options;
    const relistAtMs = nowMs + reannounceMs;
    this.firstRelistAtMs ??= relistAtMs;
    this.relistAtMs = Math.min(relistAtMs, this.firstRelistAtMs + maxPostponeMs);
  }

  /**
   * Defers the full listing until owners have had `reannounceMs` in the current epoch to write lost
   * records again.
   */
  private deferRelistForEpoch(epochSinceMs: number, { epoch }: StorePosition): void {
    const settlesAtMs = epochSinceMs + this.options.reannounceMs;
    if (epoch !== NO_EPOCH && this.clock.now() < settlesAtMs) {
      this.relistAtMs = Math.max(this.relistAtMs ?? 0, settlesAtMs);
    }
  }

  /** Whether a response belongs to an epoch before the newest known one. */
  private isFromPastEpoch({ epoch }: StorePosition): boolean {
    return epoch < this.handlers.knownEpoch().epoch;
  }

  private isRelistDue(): boolean {
    return this.relistAtMs !== undefined && this.clock.now() >= this.relistAtMs;
  }

  private async watch(since: StorePosition): Promise<StorePosition | undefined> {
    const startedAtMs = this.clock.now();
    const waitMs = this.watchWaitMs(startedAtMs);
    let hasChanges = false;
    let isComplete = true;
    const outcome = await this.execute({
      call: 'watch',
      waitMs,
      send: () => this.store.watch(since, waitMs),
      onResponse: (read) => {
        if (read.epoch !== since.epoch || this.isFromPastEpoch(read)) {
          this.handlers.onEpochMismatch('watch', since.epoch, read);
          isComplete = false;
          return;
        }
        const seenTo = read.records.reduce<StorePosition>(laterPosition, since);
        hasChanges = read.records.length > 0;
        isComplete = !isLater(read, seenTo);
        this.recordSuccess(startedAtMs);
        this.handlers.onChanges({ ...read, ...seenTo }, since);
        if (isComplete) {
          this.confirmWatch(startedAtMs, waitMs, read);
        } else {
          this.handlers.onChangesMissing(seenTo, read);
        }
      },
    });
    if (outcome.kind === 'answered') {
      if (!isComplete) {
        // Each revision is a change of some key, so a missing one means that the replica is not
        // complete.
        return undefined;
      }
      if (hasChanges) {
        await sleep(this.clock, this.coalesceDelayMs());
      }
      return outcome.read;
    }
    if (outcome.kind === 'failed' && outcome.error instanceof StoreHistoryGoneError) {
      return undefined;
    }
    // A lost watch may have missed changes, and the store may have dropped their history since:
    // list again.
    this.recordFailure(outcome, startedAtMs);
    if (outcome.kind === 'failed') {
      await this.backOff();
    }
    return undefined;
  }

  /**
   * A watch that ended without changes after its full wait confirms the replica as of its end, any
   * other as of its start.
   */
  private confirmWatch(startedAtMs: number, waitMs: number, { records }: StoreRead): void {
    const endMs = startedAtMs + waitMs;
    const hasWaited = records.length === 0 && this.clock.now() >= endMs;
    this.handlers.onReplicaConfirmed(hasWaited ? endMs : startedAtMs);
  }

  private watchWaitMs(nowMs: number): number {
    const untilRelistMs = (this.relistAtMs ?? Infinity) - nowMs;
    const waitMs = (this.options.watchMs * (1 + this.random.next())) / 2;
    return Math.round(Math.max(1, Math.min(waitMs, untilRelistMs)));
  }

  private async execute<Failure extends WeirvaleError>(
    call: StoreCallRequest<Failure>,
  ): Promise<CallOutcome> {
    while (this.calls.isFull) {
      await this.backOff();
    }
    return this.calls.execute(call);
  }

  /**
   * Delay after changes; randomized so that, among many followers, some are reading at any time.
   */
  private coalesceDelayMs(): number {
    const { coalesceMs, coalesceFollowers, coalesceMaxMs } = this.options;
    const groups = Math.max(1, this.handlers.countFollowers() / coalesceFollowers);
    const delayMs = Math.min(coalesceMaxMs, coalesceMs * groups);
    return groups === 1 ? delayMs : withJitter(this.random, delayMs, COALESCE_JITTER);
  }

  private recordSuccess(startedAtMs: number): void {
    this.retryMs = this.options.retryMinMs;
    this.hasResponse = true;
    this.unreachableSinceMs = undefined;
    this.reportReachability(true, 'answered', startedAtMs);
  }

  /**
   * Records a failed or overdue call. If it is overdue, the store may have been unreachable since
   * it was sent.
   */
  private recordFailure(
    outcome: Exclude<CallOutcome, { readonly kind: 'answered' }>,
    startedAtMs: number,
  ): void {
    if (outcome.kind === 'overdue') {
      this.unreachableSinceMs ??= startedAtMs;
      this.reportReachability(false, 'no response in time', startedAtMs);
    } else {
      this.unreachableSinceMs ??= this.clock.now();
      this.reportReachability(false, outcome.error.message, startedAtMs);
    }
  }

  private async backOff(): Promise<undefined> {
    await sleep(this.clock, withJitter(this.random, this.retryMs, RETRY_JITTER));
    this.retryMs = Math.min(this.retryMs * 2, this.options.retryMaxMs);
    return undefined;
  }

  private reportReachability(isReachable: boolean, reason: string, startedAtMs: number): void {
    if (this.reachable !== isReachable) {
      this.reachable = isReachable;
      this.handlers.onReachabilityChange(isReachable, reason, this.clock.now() - startedAtMs);
    }
  }
}
