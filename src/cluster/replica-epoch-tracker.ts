/**
 * Tracks the newest epoch of the store and whether the replica has settled in it, to log each
 * change.
 */
import type { Clock } from '../clock.js';
import type { ReplicatedRecords } from './replicated-records.js';
import { NO_EPOCH } from './store-position.js';
import type { StorePosition } from './store-position.js';

/** The newest epoch of the store that a process has observed. */
export interface KnownEpoch {
  /** `NO_EPOCH` until an epoch is known. */
  readonly epoch: number;
  /** When this process first observed the epoch, in milliseconds. */
  readonly sinceMs: number;
}

/** Log event for a change of the epoch or of whether the replica has settled in it. */
export interface EpochChange {
  readonly event: 'store-epoch' | 'store-epoch-settled';
  readonly fields: {
    readonly epoch: number;
    readonly revision: number;
    /** Position of the replica before the new epoch; omitted when the replica has settled. */
    readonly before?: StorePosition;
    /**
     * Number of records of earlier epochs that the store does not confirm and that the replica
     * retains until it settles.
     */
    readonly kept?: number;
    /** Time from the first observation of the epoch until the replica settled, in milliseconds. */
    readonly afterMs?: number;
  };
}

/** Detects new epochs of the store from the position of the replica. */
export class ReplicaEpochTracker {
  private known: KnownEpoch = { epoch: NO_EPOCH, sinceMs: -Infinity };
  private previousPosition: StorePosition;
  private wasSettled = true;

  constructor(
    private readonly records: ReplicatedRecords,
    private readonly clock: Clock,
  ) {
    this.previousPosition = records.currentTo;
  }

  /** The newest epoch that this process has observed. */
  get newest(): KnownEpoch {
    return this.known;
  }

  /**
   * Compares the replica with its last known state; returns the change to log, or undefined if
   * there is none.
   */
  detectChange(): EpochChange | undefined {
    const before = this.previousPosition;
    const { epoch, revision } = this.records.currentTo;
    this.previousPosition = this.records.currentTo;
    if (epoch > this.known.epoch) {
      this.known = { epoch, sinceMs: this.clock.now() };
      this.wasSettled = this.records.isSettled;
      const kept = this.records.countRetained();
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
