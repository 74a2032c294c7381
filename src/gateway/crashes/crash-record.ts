/**
 * Keeps what is known of crashing requests in the cluster's store, so that it outlasts every gateway.
 *
 * One record holds all of it, bounded, and is written under the condition that nobody else has written it
 * meanwhile; whoever is too late merges with what the other wrote. Gateways read it with the store's other
 * records, from the store or from each other.
 */
import type { Clock } from '../../clock.js';
import { isLater, NO_POSITION } from '../../cluster/store-position.js';
import type { StorePosition } from '../../cluster/store-position.js';
import type { WeirvaleError } from '../../request/errors.js';
import type { Result } from '../../result.js';
import { NO_CRASHES, saysMore } from './crash-tally.js';
import type { RequestCrashes, RequestFingerprint } from './crash-tally.js';

/** A tally as the store holds it. */
export interface StoredCrashes extends RequestCrashes {
  /** Time of day of the last change, as its writer had it, in milliseconds; good for minutes, not for an order. */
  readonly changedAtMs: number;
}

/** The store's record of crashing requests, at its position. */
export interface CrashRecord extends StorePosition {
  /** Undefined once operators removed it. */
  readonly requests: readonly StoredCrashes[] | undefined;
}

/** What a writer needs from its surroundings. */
export interface CrashRecordPorts {
  /** Writes the record where the last one is at `expected` (revision 0: there is none). */
  write(
    requests: readonly StoredCrashes[],
    expected: StorePosition,
  ): Promise<Result<StorePosition, WeirvaleError>>;
  /** The record was written, or the store did not take it. */
  onWritten(requests: number, failure: WeirvaleError | undefined): void;
  /** The time of day, in milliseconds. */
  timeOfDayMs(): number;
}

/** Bounds of the record. */
export interface CrashRecordOptions {
  /**
   * Crashes from which on a request is written down. Default 2: of the many that were at work when a back end
   * ended only the one that caused it gets there again, so that a hundred back ends that end at once cost no
   * write. What a restart of all gateways loses is one crash.
   */
  readonly minCrashes: number;
  /** Most requests that are kept, some 25 kB; the oldest go first. Default 256. */
  readonly maxRequests: number;
  /** Age from which on a request is left out, in milliseconds. Default 600,000, as gateways forget it. */
  readonly maxAgeMs: number;
  /** First and longest pause after a write that the store did not take, in milliseconds. Defaults 200 and 3,000. */
  readonly retryMinMs: number;
  readonly retryMaxMs: number;
}

/** Defaults of the record. */
export const DEFAULT_CRASH_RECORD_OPTIONS: CrashRecordOptions = {
  minCrashes: 2,
  maxRequests: 256,
  maxAgeMs: 600_000,
  retryMinMs: 200,
  retryMaxMs: 3_000,
};

/** Keeps what is known of crashing requests in the cluster's store. */
export class CrashRecordWriter {
  private stored = new Map<RequestFingerprint, StoredCrashes>();
  /** The store's position of the record; revision 0 where there is none. */
  private position = NO_POSITION;
  /** The newest position that was taken in, that of a removal included. */
  private seen = NO_POSITION;
  private readonly unwritten = new Map<RequestFingerprint, StoredCrashes>();
  private isWriting = false;
  private retryMs: number;

  constructor(
    private readonly ports: CrashRecordPorts,
    private readonly clock: Clock,
    private readonly options: CrashRecordOptions = DEFAULT_CRASH_RECORD_OPTIONS,
  ) {
    this.retryMs = options.retryMinMs;
  }

  /** Takes in the store's newest record; returns the requests that are not too old. */
  take({ requests, epoch, revision }: CrashRecord): readonly StoredCrashes[] {
    const position = { epoch, revision };
    if (isLater(this.seen, position)) {
      return [];
    }
    this.seen = position;
    this.position = requests === undefined ? { epoch, revision: 0 } : position;
    const recent = (requests ?? []).filter((request) => this.isRecent(request));
    this.stored = new Map(recent.map((request) => [request.fingerprint, request]));
    for (const [fingerprint, request] of this.unwritten) {
      if (!this.isNews(request)) {
        this.unwritten.delete(fingerprint);
      }
    }
    return recent;
  }

  /** This gateway learned of requests; what the store lacks and is to be kept is written. */
  add(news: readonly RequestCrashes[]): void {
    const changedAtMs = this.ports.timeOfDayMs();
    for (const request of news) {
      const isToKeep =
        request.crashes >= this.options.minCrashes || this.stored.has(request.fingerprint);
      if (isToKeep && this.isNews(request)) {
        this.unwritten.set(request.fingerprint, { ...request, changedAtMs });
      }
    }
    this.writeIfNeeded();
  }

  /** Nothing is written any more. */
  stop(): void {
    this.unwritten.clear();
  }

  private isNews(request: RequestCrashes): boolean {
    return saysMore(request, this.stored.get(request.fingerprint) ?? NO_CRASHES);
  }

  private isRecent({ changedAtMs }: StoredCrashes): boolean {
    return this.ports.timeOfDayMs() - changedAtMs <= this.options.maxAgeMs;
  }

  private writeIfNeeded(): void {
    if (!this.isWriting && this.unwritten.size > 0) {
      this.isWriting = true;
      void this.write();
    }
  }

  private async write(): Promise<void> {
    const merged = new Map([...this.stored, ...this.unwritten]);
    const requests = [...merged.values()]
      .filter((request) => this.isRecent(request))
      .sort((left, right) => left.changedAtMs - right.changedAtMs)
      .slice(-this.options.maxRequests);
    const written = await this.ports.write(requests, this.position);
    this.ports.onWritten(requests.length, written.ok ? undefined : written.val);
    if (written.ok) {
      this.retryMs = this.options.retryMinMs;
      this.take({ requests, ...written.val });
      this.isWriting = false;
      this.writeIfNeeded();
      return;
    }
    // What somebody else wrote comes with the store's news meanwhile.
    this.clock.setTimeout(() => {
      this.isWriting = false;
      this.writeIfNeeded();
    }, this.retryMs);
    this.retryMs = Math.min(this.retryMs * 2, this.options.retryMaxMs);
  }
}
