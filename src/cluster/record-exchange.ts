/**
 * Keeps a replica of the store's records level with others, without I/O.
 *
 * Replicas tell each other the revision through which they are complete. One
 * that is behind asks for what it lacks. While the store answers this process
 * it waits a little first, since the same changes are about to come from there.
 */
import type { Clock } from '../clock.js';
import type { RecordsUpdate, ReplicatedRecords, StoreRecord } from './replicated-records.js';

/** Tells how far a replica reaches. */
export interface RecordsRevision {
  readonly kind: 'revision';
  /** Revision of the store through which the replica is complete. */
  readonly revision: number;
}

/** Asks another replica for what it holds beyond a revision. */
export interface RecordsFetch {
  readonly kind: 'fetch';
  /** The revision through which the asking replica is complete. */
  readonly since: number;
}

/** The answer to a fetch. */
export interface RecordsAnswer extends RecordsUpdate {
  readonly kind: 'records';
}

/** Sends a fetch to the replica that told its revision. */
export type SendFetch = (fetch: RecordsFetch) => void;

/** What an exchange needs from its surroundings. */
export interface RecordExchangePorts {
  /** Whether the store answers this process. */
  isStoreReachable(): boolean;
  /** Records that were not known. */
  onNews(records: readonly StoreRecord[]): void;
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

/** Keeps a replica level with others. */
export class RecordExchange {
  private isFetchPlanned = false;
  private fetchedAtMs: number | undefined;

  constructor(
    private readonly records: ReplicatedRecords,
    private readonly ports: RecordExchangePorts,
    private readonly clock: Clock,
    private readonly options: RecordExchangeOptions = DEFAULT_RECORD_EXCHANGE_OPTIONS,
  ) {}

  /** Another replica told the revision through which it is complete. */
  hearRevision(revision: number, sendFetch: SendFetch): void {
    if (!this.isBehind(revision) || this.isFetchPlanned || this.isAnswerDue()) {
      return;
    }
    if (!this.ports.isStoreReachable()) {
      this.fetch(sendFetch);
      return;
    }
    this.isFetchPlanned = true;
    this.clock.setTimeout(() => {
      this.isFetchPlanned = false;
      if (this.isBehind(revision)) {
        this.fetch(sendFetch);
      }
    }, this.options.storeHeadStartMs);
  }

  /** The answer to a fetch of another replica. */
  answer(fetch: RecordsFetch): RecordsAnswer {
    return { kind: 'records', ...this.records.updateSince(fetch.since) };
  }

  /** Takes in the answer to a fetch of this replica. */
  receive(answer: RecordsAnswer): void {
    this.fetchedAtMs = undefined;
    this.ports.onNews(this.records.applyUpdate(answer));
  }

  private fetch(sendFetch: SendFetch): void {
    this.fetchedAtMs = this.clock.now();
    sendFetch({ kind: 'fetch', since: this.records.completeTo });
  }

  private isBehind(revision: number): boolean {
    return revision > this.records.completeTo;
  }

  private isAnswerDue(): boolean {
    const { fetchedAtMs } = this;
    return (
      fetchedAtMs !== undefined && this.clock.now() - fetchedAtMs < this.options.answerTimeoutMs
    );
  }
}
