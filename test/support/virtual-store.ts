/**
 * A simulated store on a virtual clock, with faults for all machines or for some, and network paths
 * that can be cut.
 */
import type { Result } from '../../src/result.js';
import { err, ok } from '../../src/result.js';
import { StoreHistoryGoneError, StoreUnavailableError } from '../../src/cluster/cluster-store.js';
import type { ClusterStore, StoreRead } from '../../src/cluster/cluster-store.js';
import { NO_EPOCH } from '../../src/cluster/store-position.js';
import type { StoreRecord } from '../../src/cluster/replicated-records.js';
import type { RandomSource } from '../../src/random.js';
import type { HeapClock } from './heap-clock.js';
import type { NetworkHost, VirtualNetwork } from './virtual-network.js';

/**
 * How the store handles calls: serves them, never responds, refuses the connection or resets it.
 */
export type StoreMode = 'answers' | 'silent' | 'refuses' | 'resets';

/** Address of the store on the virtual network. */
export const STORE_ADDRESS = 'store';

const ONE_WAY_DELAY_MS = 2;
/** Initial retransmission timeout of a call that was not acknowledged. */
const RESEND_MS = 200;

type ReadResult = Result<StoreRead, StoreUnavailableError | StoreHistoryGoneError>;

interface TimedWrite {
  readonly change: StoreRecord;
  readonly atMs: number;
}

interface PendingWatch {
  readonly since: number;
  respond(read: ReadResult): void;
}

/** In-memory store with revisions, watches, history and epochs. */
export class VirtualStore {
  mode: StoreMode = 'answers';
  /** Modes of single machines, by address; they apply while `mode` is 'answers'. */
  readonly machineModes = new Map<string, StoreMode>();
  /** Latency added to each response, in milliseconds. */
  extraLatencyMs = 0;
  /** Fraction of responses that are lost. */
  lossRate = 0;
  /** Whether changes are withheld from watches, to drop the history before any watch gets them. */
  isWithholdingChanges = false;
  /**
   * Whether a watch that times out meanwhile returns the current revision without the withheld
   * changes.
   */
  skipsWithheldChanges = false;
  /** Number of calls received. */
  calls = 0;
  /** Increases with each restore from a backup; `NO_EPOCH` if the store reports no epochs. */
  epoch = NO_EPOCH;
  private revision = 0;
  private oldestHistory = 0;
  private writes: TimedWrite[] = [];
  private readonly items = new Map<string, StoreRecord>();
  private history: StoreRecord[] = [];
  private readonly watches = new Set<PendingWatch>();

  constructor(
    private readonly clock: HeapClock,
    private readonly network: VirtualNetwork,
    private readonly random: RandomSource,
  ) {}

  /** Writes a key; returns the revision. */
  put(key: string, value: string): number {
    return this.write(key, value);
  }

  /** Removes a key; returns the revision. */
  remove(key: string): number {
    return this.write(key, undefined);
  }

  /** Returns the value of a key; undefined if it does not exist. */
  read(key: string): string | undefined {
    return this.items.get(key)?.value;
  }

  /** Drops the history of changes and cancels all watches. */
  dropHistory(): void {
    this.history = [];
    this.oldestHistory = this.revision;
    this.cancelWatches();
  }

  /** Restores the state at `backupAtMs`: later writes are lost, and their revisions are reused. */
  restore(backupAtMs: number): void {
    this.writes = this.writes.filter(({ atMs }) => atMs <= backupAtMs);
    this.items.clear();
    this.revision = 0;
    for (const { change } of this.writes) {
      this.apply(change);
    }
    this.history = this.history.filter(({ revision }) => revision <= this.revision);
    this.epoch += 1;
    this.cancelWatches();
  }

  private cancelWatches(): void {
    for (const watch of [...this.watches]) {
      this.watches.delete(watch);
      watch.respond(err(new StoreUnavailableError('the watch was cancelled')));
    }
  }

  /** Returns a client for the process of `host`; calls time out `timeoutMs` after their wait. */
  clientFor(host: NetworkHost, timeoutMs: number): ClusterStore {
    return {
      list: () =>
        this.call(host, timeoutMs, (reply) => reply(ok(this.list()))) as Promise<
          Result<StoreRead, StoreUnavailableError>
        >,
      watch: ({ revision }, waitMs) =>
        this.call(host, waitMs + timeoutMs, (reply) => this.watch(revision, waitMs, reply)),
    };
  }

  private write(key: string, value: string | undefined): number {
    const change = { key, epoch: this.epoch, revision: this.revision + 1, value };
    this.writes.push({ change, atMs: this.clock.now() });
    this.history.push(change);
    this.apply(change);
    if (!this.isWithholdingChanges) {
      this.completeWatches();
    }
    return this.revision;
  }

  private apply(change: StoreRecord): void {
    this.revision = change.revision;
    if (change.value === undefined) {
      this.items.delete(change.key);
    } else {
      this.items.set(change.key, change);
    }
  }

  private completeWatches(): void {
    for (const watch of [...this.watches]) {
      this.watches.delete(watch);
      watch.respond(ok(this.changesSince(watch.since)));
    }
  }

  private list(): StoreRead {
    return this.toRead([...this.items.values()]);
  }

  private changesSince(since: number): StoreRead {
    const records = this.history.filter(({ revision }) => revision > since);
    return this.toRead(records);
  }

  /** A response has the current epoch of the store, whenever its records were written. */
  private toRead(records: readonly StoreRecord[]): StoreRead {
    const { epoch, revision } = this;
    return { records: records.map((record) => ({ ...record, epoch })), epoch, revision };
  }

  private watch(since: number, waitMs: number, reply: (read: ReadResult) => void): void {
    if (this.isWithholdingChanges) {
      this.watches.add({ since, respond: reply });
    } else if (since < this.oldestHistory || since > this.revision) {
      reply(err(new StoreHistoryGoneError('the history after the revision was dropped')));
    } else if (since < this.revision) {
      reply(ok(this.changesSince(since)));
    } else {
      this.holdWatch(since, waitMs, reply);
    }
  }

  private holdWatch(since: number, waitMs: number, reply: (read: ReadResult) => void): void {
    const watch = { since, respond: reply };
    this.watches.add(watch);
    this.clock.setTimeout(() => {
      if (this.isWithholdingChanges && this.skipsWithheldChanges && this.watches.delete(watch)) {
        reply(ok(this.toRead([])));
      } else if (!this.isWithholdingChanges && this.watches.delete(watch)) {
        reply(ok(this.changesSince(since)));
      }
    }, waitMs);
  }

  private call(
    host: NetworkHost,
    callTimeoutMs: number,
    serve: (reply: (read: ReadResult) => void) => void,
  ): Promise<ReadResult> {
    return new Promise((resolve) => {
      const fail = (reason: string) =>
        host.runWhenActive(() => resolve(err(new StoreUnavailableError(reason))));
      this.clock.setTimeout(() => fail('timed out'), callTimeoutMs);
      const reply = (read: ReadResult) => {
        const isLost = this.modeFor(host) === 'silent' || this.random.next() < this.lossRate;
        if (!isLost) {
          this.transmit(STORE_ADDRESS, host.address, this.extraLatencyMs, () =>
            host.runWhenActive(() => resolve(read)),
          );
        }
      };
      this.transmit(host.address, STORE_ADDRESS, 0, () => {
        this.calls += 1;
        const mode = this.modeFor(host);
        if (mode === 'refuses' || mode === 'resets') {
          this.transmit(STORE_ADDRESS, host.address, 0, () => fail(mode));
        } else if (mode === 'answers') {
          serve(reply);
        }
      });
    });
  }

  private modeFor({ address }: NetworkHost): StoreMode {
    return this.mode === 'answers' ? (this.machineModes.get(address) ?? 'answers') : this.mode;
  }

  /** Delivers a message, retransmitting it with exponential backoff while the path is cut. */
  private transmit(from: string, to: string, extraMs: number, arrive: () => void): void {
    const send = (resendMs: number) => {
      if (this.network.canDeliver(from, to)) {
        this.clock.setTimeout(arrive, ONE_WAY_DELAY_MS + extraMs);
      } else {
        this.clock.setTimeout(() => send(resendMs * 2), resendMs);
      }
    };
    send(RESEND_MS);
  }
}
