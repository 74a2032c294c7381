/**
 * Keeps a replica of the store's records level with others, without I/O.
 *
 * Replicas tell each other how far they reach. One that is behind asks those that are ahead, one after the other, for what it lacks. While the store answers
 * this process it waits a little first, since the same changes are about to come from there.
 */
import type { Clock, TimerHandle } from '../clock.js';
import type { StorePosition } from './store-position.js';
import type {
  RecordNews,
  RecordsUpdate,
  ReplicaReach,
  ReplicatedRecords,
} from './replicated-records.js';

/** Tells how far a replica reaches. */
export interface RecordsReach {
  readonly kind: 'reach';
  readonly reach: ReplicaReach;
}

/** Asks another replica for what it holds beyond a revision. */
export interface RecordsFetch {
  readonly kind: 'fetch';
  /** The position through which the asking replica is complete. */
  readonly since: StorePosition;
}

/** The answer to a fetch. */
export interface RecordsAnswer extends RecordsUpdate {
  readonly kind: 'records';
}

/** Sends a fetch to the replica that told how far it reaches. */
export type SendFetch = (fetch: RecordsFetch) => void;

/** What an exchange needs from its surroundings. */
export interface RecordExchangePorts {
  /** Whether the store answers this process. */
  isStoreReachable(): boolean;
  /** Records that were not known. */
  onNews(records: readonly RecordNews[]): void;
}

/** Times of an exchange, in milliseconds. */
export interface RecordExchangeOptions {
  /** Time that changes are given to come from the store. Default 300. */
  readonly storeHeadStartMs: number;
  /** Time after which a fetch that was not answered is no longer waited for. Default 400. */
  readonly answerTimeoutMs: number;
}

/** Defaults of an exchange. */
export const DEFAULT_RECORD_EXCHANGE_OPTIONS: RecordExchangeOptions = {
  storeHeadStartMs: 300,
  answerTimeoutMs: 400,
};

/** A replica that is ahead of this one. */
interface ReplicaAhead {
  readonly reach: ReplicaReach;
  readonly sendFetch: SendFetch;
  /** Number of the fetch that was sent to it last; 0 for none. */
  lastFetch: number;
  /** Whether it was asked since it last told its reach; it is asked again once it tells again. */
  isAsked: boolean;
}

/** Keeps a replica level with others. */
export class RecordExchange {
  /** Replicas that are ahead, by name. */
  private readonly ahead = new Map<string, ReplicaAhead>();
  private fetches = 0;
  /** The replica that was asked last. */
  private asked: string | undefined;
  private timer: TimerHandle | undefined;
  private behindSinceMs: number | undefined;

  constructor(
    private readonly records: ReplicatedRecords,
    private readonly ports: RecordExchangePorts,
    private readonly clock: Clock,
    private readonly options: RecordExchangeOptions = DEFAULT_RECORD_EXCHANGE_OPTIONS,
  ) {}

  /** For how long some replica has been ahead of this one, in milliseconds; 0 if none is. */
  get behindMs(): number {
    const isBehind = [...this.ahead.values()].some(({ reach }) => this.records.isBehind(reach));
    return isBehind && this.behindSinceMs !== undefined ? this.clock.now() - this.behindSinceMs : 0;
  }

  /** The replica `name` told how far it reaches. */
  hearReach(name: string, reach: ReplicaReach, sendFetch: SendFetch): void {
    if (!this.records.isBehind(reach)) {
      return;
    }
    this.forgetLevel();
    const lastFetch = this.ahead.get(name)?.lastFetch ?? 0;
    this.ahead.set(name, { reach, sendFetch, lastFetch, isAsked: false });
    this.behindSinceMs ??= this.clock.now();
    if (this.timer !== undefined) {
      return;
    }
    if (this.ports.isStoreReachable()) {
      this.fetchAfter(this.options.storeHeadStartMs);
    } else {
      this.fetch();
    }
  }

  /** The answer to a fetch of another replica. */
  answer(fetch: RecordsFetch): RecordsAnswer {
    return { kind: 'records', ...this.records.updateSince(fetch.since) };
  }

  /** Takes in the answer to a fetch of this replica. */
  receive(answer: RecordsAnswer): void {
    this.ports.onNews(this.records.applyUpdate(answer));
    this.clock.clearTimeout(this.timer);
    this.timer = undefined;
    if (this.asked !== undefined) {
      // It has handed over all that it holds.
      this.ahead.delete(this.asked);
      this.asked = undefined;
    }
    this.fetch();
  }

  /**
   * Asks the replica that was asked longest ago, and another one if it does not answer: one whose words arrive
   * may not hear this process, and would be asked again and again where the first that tells is asked.
   */
  private fetch(): void {
    this.forgetLevel();
    const [name, next] =
      [...this.ahead]
        .filter(([, { isAsked }]) => !isAsked)
        .sort(([, left], [, right]) => left.lastFetch - right.lastFetch)[0] ?? [];
    this.asked = name;
    if (next === undefined) {
      return;
    }
    this.fetches += 1;
    next.lastFetch = this.fetches;
    next.isAsked = true;
    next.sendFetch({ kind: 'fetch', since: this.records.completeTo });
    this.fetchAfter(this.options.answerTimeoutMs);
  }

  private fetchAfter(delayMs: number): void {
    this.timer = this.clock.setTimeout(() => {
      this.timer = undefined;
      this.fetch();
    }, delayMs);
  }

  /** Leaves out replicas that this one has caught up with. */
  private forgetLevel(): void {
    for (const [name, { reach }] of this.ahead) {
      if (!this.records.isBehind(reach)) {
        this.ahead.delete(name);
      }
    }
    if (this.ahead.size === 0) {
      this.behindSinceMs = undefined;
    }
  }
}
