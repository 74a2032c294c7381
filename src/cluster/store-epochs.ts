/** Which epochs of the store a process has heard of, and whether its replica has settled in the newest one. */
import type { Clock } from '../clock.js';
import type { ReplicatedRecords } from './replicated-records.js';
import { NO_EPOCH } from './store-position.js';
import type { StorePosition } from './store-position.js';

/** The newest epoch of the store that a process knows of. */
export interface KnownEpoch {
  /** `NO_EPOCH` before the first. */
  readonly epoch: number;
  /** Since when it has been known, in milliseconds. */
  readonly sinceMs: number;
}

/** What is told of a change. */
export interface EpochChange {
  readonly event: 'store-epoch' | 'store-epoch-settled';
  readonly fields: {
    readonly epoch: number;
    readonly revision: number;
    /** What was known before; missing where nothing is lost. */
    readonly before?: StorePosition;
    /** Records of earlier epochs that the store does not show as they are known, and that are kept for now. */
    readonly kept?: number;
    /** Time since the epoch was heard of, in milliseconds. */
    readonly afterMs?: number;
  };
}

/** The epochs of the store. */
export class StoreEpochs {
  private known: KnownEpoch = { epoch: NO_EPOCH, sinceMs: -Infinity };
  private reached: StorePosition;
  private wasSettled = true;

  constructor(
    private readonly records: ReplicatedRecords,
    private readonly clock: Clock,
  ) {
    this.reached = records.currentTo;
  }

  /** The newest epoch that is known. */
  get newest(): KnownEpoch {
    return this.known;
  }

  /** Looks at the replica after it took records in; undefined where nothing is to be told. */
  look(): EpochChange | undefined {
    const before = this.reached;
    const { epoch, revision } = this.records.currentTo;
    this.reached = this.records.currentTo;
    if (epoch > this.known.epoch) {
      this.known = { epoch, sinceMs: this.clock.now() };
      this.wasSettled = this.records.isSettled;
      const kept = this.records.countKept();
      return { event: 'store-epoch', fields: { epoch, revision, before, kept } };
    }
    if (this.records.isSettled !== this.wasSettled) {
      this.wasSettled = this.records.isSettled;
      const afterMs = this.clock.now() - this.known.sinceMs;
      return { event: 'store-epoch-settled', fields: { epoch, revision, afterMs } };
    }
    return undefined;
  }
}
