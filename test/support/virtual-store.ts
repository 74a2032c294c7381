/** A store on a virtual clock, before machines that it may turn away and paths that may be cut. */
import type { Result } from '../../src/result.js';
import { err, ok } from '../../src/result.js';
import { StoreHistoryGoneError, StoreUnavailableError } from '../../src/cluster/cluster-store.js';
import type { ClusterStore, StoreRead } from '../../src/cluster/cluster-store.js';
import { NO_EPOCH } from '../../src/cluster/store-position.js';
import type { StoreRecord } from '../../src/cluster/replicated-records.js';
import type { RandomSource } from '../../src/random.js';
import type { HeapClock } from './heap-clock.js';
import type { NetworkHost, VirtualNetwork } from './virtual-network.js';

/** What becomes of calls. */
export type StoreTreatment = 'answers' | 'silent' | 'refuses' | 'resets';

/** Address of the store on the network. */
export const STORE_ADDRESS = 'store';

const DELAY_MS = 2;
/** First interval after which a call that was not acknowledged is sent again. */
const RESEND_MS = 200;

type Read = Result<StoreRead, StoreUnavailableError | StoreHistoryGoneError>;

interface Write {
  readonly change: StoreRecord;
  readonly atMs: number;
}

interface Watch {
  readonly since: number;
  answer(read: Read): void;
}

/** The store. */
export class VirtualStore {
  treatment: StoreTreatment = 'answers';
  /** Machines that are treated otherwise than the rest, by address. */
  readonly turnedAway = new Map<string, StoreTreatment>();
  /** Further time of each answer, in milliseconds. */
  slowMs = 0;
  /** Share of answers that are lost. */
  lossShare = 0;
  /** Whether changes wake no watch, as while history is dropped. */
  isWithholding = false;
  /** Whether a watch whose wait ends meanwhile is told the store's revision all the same. */
  skipsWithheld = false;
  /** Calls that arrived. */
  calls = 0;
  /** Rises when the store comes back from a copy; `NO_EPOCH` while it counts none. */
  epoch = NO_EPOCH;
  private revision = 0;
  private oldestHistory = 0;
  private writes: Write[] = [];
  private readonly items = new Map<string, StoreRecord>();
  private history: StoreRecord[] = [];
  private readonly watches = new Set<Watch>();

  constructor(
    private readonly clock: HeapClock,
    private readonly network: VirtualNetwork,
    private readonly random: RandomSource,
  ) {}

  /** Writes a key; returns the revision. */
  put(key: string, value: string): number {
    return this.record(key, value);
  }

  /** Removes a key; returns the revision. */
  remove(key: string): number {
    return this.record(key, undefined);
  }

  /** The value of a key; undefined where there is none. */
  read(key: string): string | undefined {
    return this.items.get(key)?.value;
  }

  /** Drops the history and cuts every watch. */
  forgetHistory(): void {
    this.history = [];
    this.oldestHistory = this.revision;
    this.cutWatches();
  }

  /** Goes back to the state at `copyAtMs`: what was written since is gone, and its revisions are given out again. */
  restore(copyAtMs: number): void {
    this.writes = this.writes.filter(({ atMs }) => atMs <= copyAtMs);
    this.items.clear();
    this.revision = 0;
    for (const { change } of this.writes) {
      this.keep(change);
    }
    this.history = this.history.filter(({ revision }) => revision <= this.revision);
    this.epoch += 1;
    this.cutWatches();
  }

  private cutWatches(): void {
    for (const watch of [...this.watches]) {
      this.watches.delete(watch);
      watch.answer(err(new StoreUnavailableError('the watch was cut')));
    }
  }

  /** The store as a process of `host` calls it; a call ends `timeoutMs` after its wait at the latest. */
  of(host: NetworkHost, timeoutMs: number): ClusterStore {
    return {
      list: () =>
        this.call(host, timeoutMs, (reply) => reply(ok(this.list()))) as Promise<
          Result<StoreRead, StoreUnavailableError>
        >,
      watch: ({ revision }, waitMs) =>
        this.call(host, waitMs + timeoutMs, (reply) => this.watch(revision, waitMs, reply)),
    };
  }

  private record(key: string, value: string | undefined): number {
    const change = { key, epoch: this.epoch, revision: this.revision + 1, value };
    this.writes.push({ change, atMs: this.clock.now() });
    this.history.push(change);
    this.keep(change);
    if (!this.isWithholding) {
      this.wake();
    }
    return this.revision;
  }

  private keep(change: StoreRecord): void {
    this.revision = change.revision;
    if (change.value === undefined) {
      this.items.delete(change.key);
    } else {
      this.items.set(change.key, change);
    }
  }

  private wake(): void {
    for (const watch of [...this.watches]) {
      this.watches.delete(watch);
      watch.answer(ok(this.changesSince(watch.since)));
    }
  }

  private list(): StoreRead {
    return this.readOf([...this.items.values()]);
  }

  private changesSince(since: number): StoreRead {
    const records = this.history.filter(({ revision }) => revision > since);
    return this.readOf(records);
  }

  /** An answer names the epoch that it is given in, whenever its records were written. */
  private readOf(records: readonly StoreRecord[]): StoreRead {
    const { epoch, revision } = this;
    return { records: records.map((record) => ({ ...record, epoch })), epoch, revision };
  }

  private watch(since: number, waitMs: number, reply: (read: Read) => void): void {
    if (this.isWithholding) {
      this.watches.add({ since, answer: reply });
    } else if (since < this.oldestHistory || since > this.revision) {
      reply(err(new StoreHistoryGoneError('gone')));
    } else if (since < this.revision) {
      reply(ok(this.changesSince(since)));
    } else {
      this.hold(since, waitMs, reply);
    }
  }

  private hold(since: number, waitMs: number, reply: (read: Read) => void): void {
    const watch = { since, answer: reply };
    this.watches.add(watch);
    this.clock.setTimeout(() => {
      if (this.isWithholding && this.skipsWithheld && this.watches.delete(watch)) {
        reply(ok(this.readOf([])));
      } else if (!this.isWithholding && this.watches.delete(watch)) {
        reply(ok(this.changesSince(since)));
      }
    }, waitMs);
  }

  private call(
    host: NetworkHost,
    limitMs: number,
    serve: (reply: (read: Read) => void) => void,
  ): Promise<Read> {
    return new Promise((resolve) => {
      const fail = (reason: string) =>
        host.act(() => resolve(err(new StoreUnavailableError(reason))));
      this.clock.setTimeout(() => fail('timed out'), limitMs);
      const reply = (read: Read) => {
        const isLost = this.treatmentOf(host) === 'silent' || this.random.next() < this.lossShare;
        if (!isLost) {
          this.carry(STORE_ADDRESS, host.address, this.slowMs, () => host.act(() => resolve(read)));
        }
      };
      this.carry(host.address, STORE_ADDRESS, 0, () => {
        this.calls += 1;
        const treatment = this.treatmentOf(host);
        if (treatment === 'refuses' || treatment === 'resets') {
          this.carry(STORE_ADDRESS, host.address, 0, () => fail(treatment));
        } else if (treatment === 'answers') {
          serve(reply);
        }
      });
    });
  }

  private treatmentOf({ address }: NetworkHost): StoreTreatment {
    return this.treatment === 'answers'
      ? (this.turnedAway.get(address) ?? 'answers')
      : this.treatment;
  }

  /** Something arrives once the path is open when it is sent, or sent again. */
  private carry(from: string, to: string, extraMs: number, arrive: () => void): void {
    const send = (resendMs: number) => {
      if (this.network.passes(from, to)) {
        this.clock.setTimeout(arrive, DELAY_MS + extraMs);
      } else {
        this.clock.setTimeout(() => send(resendMs * 2), resendMs);
      }
    };
    send(RESEND_MS);
  }
}
