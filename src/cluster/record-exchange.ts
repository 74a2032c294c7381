/**
 * Synchronizes a replica of the store's records with other replicas (anti-entropy), without I/O.
 *
 * Replicas report their progress to each other. A replica that is behind fetches the missing
 * records from those that are ahead, one after the other. While the store is reachable it first
 * waits for `storeGraceMs`, since the same changes are about to arrive from the store.
 */
import type { Clock, TimerHandle } from '../clock.js';
import type { StorePosition } from './store-position.js';
import type {
  AppliedRecord,
  RecordsUpdate,
  ReplicaProgress,
  ReplicatedRecords,
} from './replicated-records.js';

/** Reports the progress of a replica. */
export interface ReplicaProgressReport {
  readonly kind: 'reach';
  /** Progress of the sender's replica. */
  readonly reach: ReplicaProgress;
}

/** Requests the records of another replica that are later than a position. */
export interface RecordsFetch {
  readonly kind: 'fetch';
  /** Position through which the requesting replica is complete. */
  readonly since: StorePosition;
}

/** Response to a fetch. */
export interface RecordsResponse extends RecordsUpdate {
  readonly kind: 'records';
}

/** Sends a fetch to the replica that reported its progress. */
export type SendFetch = (fetch: RecordsFetch) => void;

/** Dependencies of `RecordExchange`. */
export interface RecordExchangePorts {
  /** Whether this process can reach the store. */
  isStoreReachable(): boolean;
  /** Called with the records that a response added or changed. */
  onApplied(records: readonly AppliedRecord[]): void;
}

/** Delays of `RecordExchange`, in milliseconds. */
export interface RecordExchangeOptions {
  /** Time to wait for changes from the store before fetching them from a replica. Default: 300. */
  readonly storeGraceMs: number;
  /** Time without a response after which another replica is fetched from. Default: 400. */
  readonly responseTimeoutMs: number;
}

/** Defaults of `RecordExchangeOptions`. */
export const DEFAULT_RECORD_EXCHANGE_OPTIONS: RecordExchangeOptions = {
  storeGraceMs: 300,
  responseTimeoutMs: 400,
};

/** A replica that is ahead of this one. */
interface ReplicaAhead {
  /** The progress that it last reported. */
  readonly reach: ReplicaProgress;
  readonly sendFetch: SendFetch;
  /** Sequence number of the last fetch sent to it; 0 for none. */
  lastFetchNumber: number;
  /**
   * Whether a fetch was sent since its last progress report; its next report allows another fetch.
   */
  isFetchSent: boolean;
}

/** Fetches missing records from other replicas and serves their fetches. */
export class RecordExchange {
  /** Replicas that are ahead of this one, by name. */
  private readonly replicasAhead = new Map<string, ReplicaAhead>();
  private fetchCount = 0;
  /** Replica that the current fetch was sent to; undefined for none. */
  private fetchSource: string | undefined;
  private timer: TimerHandle | undefined;
  private behindSinceMs: number | undefined;

  constructor(
    private readonly records: ReplicatedRecords,
    private readonly ports: RecordExchangePorts,
    private readonly clock: Clock,
    private readonly options: RecordExchangeOptions = DEFAULT_RECORD_EXCHANGE_OPTIONS,
  ) {}

  /** Time for which this replica has been behind another, in milliseconds; 0 if it is not. */
  get behindMs(): number {
    const isBehind = [...this.replicasAhead.values()].some(({ reach }) =>
      this.records.isBehind(reach),
    );
    return isBehind && this.behindSinceMs !== undefined ? this.clock.now() - this.behindSinceMs : 0;
  }

  /** Handles a progress report of the replica `name`; fetches from it if this replica is behind. */
  handleProgress(name: string, reach: ReplicaProgress, sendFetch: SendFetch): void {
    if (!this.records.isBehind(reach)) {
      return;
    }
    this.removeCaughtUp();
    const lastFetchNumber = this.replicasAhead.get(name)?.lastFetchNumber ?? 0;
    this.replicasAhead.set(name, { reach, sendFetch, lastFetchNumber, isFetchSent: false });
    this.behindSinceMs ??= this.clock.now();
    if (this.timer !== undefined) {
      return;
    }
    if (this.ports.isStoreReachable()) {
      this.scheduleFetch(this.options.storeGraceMs);
    } else {
      this.sendNextFetch();
    }
  }

  /** Returns the response to a fetch of another replica. */
  handleFetch(fetch: RecordsFetch): RecordsResponse {
    return { kind: 'records', ...this.records.updateSince(fetch.since) };
  }

  /** Applies the response to a fetch of this replica. */
  handleResponse(response: RecordsResponse): void {
    this.ports.onApplied(this.records.applyUpdate(response));
    this.clock.clearTimeout(this.timer);
    this.timer = undefined;
    if (this.fetchSource !== undefined) {
      // Its response held every record that it has beyond the fetched position.
      this.replicasAhead.delete(this.fetchSource);
      this.fetchSource = undefined;
    }
    this.sendNextFetch();
  }

  /**
   * Sends a fetch to the replica with the oldest last fetch, and to the next one if there is no
   * response in time. A replica whose reports arrive may not receive the fetches of this process;
   * always choosing the first to report would fetch from it again and again.
   */
  private sendNextFetch(): void {
    this.removeCaughtUp();
    const [name, next] =
      [...this.replicasAhead]
        .filter(([, { isFetchSent }]) => !isFetchSent)
        .sort(([, left], [, right]) => left.lastFetchNumber - right.lastFetchNumber)[0] ?? [];
    this.fetchSource = name;
    if (next === undefined) {
      return;
    }
    this.fetchCount += 1;
    next.lastFetchNumber = this.fetchCount;
    next.isFetchSent = true;
    next.sendFetch({ kind: 'fetch', since: this.records.completeTo });
    this.scheduleFetch(this.options.responseTimeoutMs);
  }

  private scheduleFetch(delayMs: number): void {
    this.timer = this.clock.setTimeout(() => {
      this.timer = undefined;
      this.sendNextFetch();
    }, delayMs);
  }

  /** Removes the replicas that this one has caught up with. */
  private removeCaughtUp(): void {
    for (const [name, { reach }] of this.replicasAhead) {
      if (!this.records.isBehind(reach)) {
        this.replicasAhead.delete(name);
      }
    }
    if (this.replicasAhead.size === 0) {
      this.behindSinceMs = undefined;
    }
  }
}
