/** The conditions of all backends. */
import { BackendCondition } from './backend-condition.js';
import type { ReceivedStatement, ConditionSnapshot } from './backend-condition.js';

/** Origin of a condition change. */
export type ConditionSource =
  /** A response to a request of this gateway. */
  | 'answer'
  /** Another gateway. */
  | 'peer';

/** Callbacks of the condition tracking. */
export interface BackendConditionsPorts {
  onChange(backendId: string, condition: BackendCondition, source: ConditionSource): void;
}

/**
 * Time without a change after which a condition is evicted, in milliseconds; the instance may be
 * long gone.
 */
const CONDITION_TTL_MS = 600_000;

interface ConditionEntry {
  readonly condition: BackendCondition;
  changedAtMs: number;
}

/** Backend conditions by instance ID. */
export class BackendConditions {
  private readonly entries = new Map<string, ConditionEntry>();

  constructor(private readonly ports: BackendConditionsPorts) {}

  /** Returns the condition of a backend instance; creates it if missing. */
  getOrCreate(backendId: string, nowMs: number): BackendCondition {
    return this.getOrCreateEntry(backendId, nowMs).condition;
  }

  /** Applies the statement of a response. */
  applyStatement(backendId: string, received: ReceivedStatement, nowMs: number): void {
    const entry = this.getOrCreateEntry(backendId, nowMs);
    if (entry.condition.applyStatement(received, nowMs)) {
      this.recordChange(backendId, entry, 'answer', nowMs);
    }
  }

  /** Merges conditions sent by a peer. */
  merge(incoming: readonly ConditionSnapshot[], nowMs: number): void {
    for (const condition of incoming) {
      const entry = this.getOrCreateEntry(condition.backendId, nowMs);
      if (entry.condition.merge(condition, nowMs)) {
        this.recordChange(condition.backendId, entry, 'peer', nowMs);
      }
    }
  }

  /** Returns all conditions to send to a newly connected peer. */
  snapshots(nowMs: number): ConditionSnapshot[] {
    return [...this.entries].flatMap(
      ([backendId, { condition }]) => condition.snapshot(backendId, nowMs) ?? [],
    );
  }

  /**
   * Removes conditions that have not changed for a long time, except those of instances for which
   * `isKnown` returns true.
   */
  evictExpired(isKnown: (backendId: string) => boolean, nowMs: number): void {
    for (const [backendId, { changedAtMs }] of this.entries) {
      if (nowMs - changedAtMs > CONDITION_TTL_MS && !isKnown(backendId)) {
        this.entries.delete(backendId);
      }
    }
  }

  private recordChange(
    backendId: string,
    entry: ConditionEntry,
    source: ConditionSource,
    nowMs: number,
  ): void {
    entry.changedAtMs = nowMs;
    this.ports.onChange(backendId, entry.condition, source);
  }

  private getOrCreateEntry(backendId: string, nowMs: number): ConditionEntry {
    const known = this.entries.get(backendId);
    if (known !== undefined) {
      return known;
    }
    const created = { condition: new BackendCondition(), changedAtMs: nowMs };
    this.entries.set(backendId, created);
    return created;
  }
}
