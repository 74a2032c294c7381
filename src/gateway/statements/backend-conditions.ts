/** What is believed of all back ends by what they say of themselves. */
import { BackendCondition } from './backend-condition.js';
import type { HeardStatement, ToldCondition } from './backend-condition.js';

/** Where a belief comes from. */
export type ConditionSource =
  /** An answer to a request of this gateway. */
  | 'answer'
  /** Another gateway. */
  | 'peer';

/** Who hears of changes. */
export interface BackendConditionsPorts {
  onChange(backendId: string, condition: BackendCondition, source: ConditionSource): void;
}

/** Time without news after which what a back end said is forgotten, in milliseconds; it may be long gone. */
const REMEMBER_MS = 600_000;

interface Entry {
  readonly condition: BackendCondition;
  changedAtMs: number;
}

/** The conditions of all back ends, by their lives. */
export class BackendConditions {
  private readonly entries = new Map<string, Entry>();

  constructor(private readonly ports: BackendConditionsPorts) {}

  /** The condition of a life, whether it is known yet or not. */
  of(backendId: string, nowMs: number): BackendCondition {
    return this.entryOf(backendId, nowMs).condition;
  }

  /** Takes in the head of an answer. */
  hear(backendId: string, heard: HeardStatement, nowMs: number): void {
    const entry = this.entryOf(backendId, nowMs);
    if (entry.condition.hear(heard, nowMs)) {
      this.noteChange(backendId, entry, 'answer', nowMs);
    }
  }

  /** Takes in what another gateway believes. */
  merge(told: readonly ToldCondition[], nowMs: number): void {
    for (const one of told) {
      const entry = this.entryOf(one.backendId, nowMs);
      if (entry.condition.merge(one, nowMs)) {
        this.noteChange(one.backendId, entry, 'peer', nowMs);
      }
    }
  }

  /** All that others should know. */
  tell(nowMs: number): ToldCondition[] {
    return [...this.entries].flatMap(
      ([backendId, { condition }]) => condition.tell(backendId, nowMs) ?? [],
    );
  }

  /** Forgets lives of which nothing new was heard for long, those in `known` excepted. */
  forgetOld(known: (backendId: string) => boolean, nowMs: number): void {
    for (const [backendId, { changedAtMs }] of this.entries) {
      if (nowMs - changedAtMs > REMEMBER_MS && !known(backendId)) {
        this.entries.delete(backendId);
      }
    }
  }

  private noteChange(
    backendId: string,
    entry: Entry,
    source: ConditionSource,
    nowMs: number,
  ): void {
    entry.changedAtMs = nowMs;
    this.ports.onChange(backendId, entry.condition, source);
  }

  private entryOf(backendId: string, nowMs: number): Entry {
    const known = this.entries.get(backendId);
    if (known !== undefined) {
      return known;
    }
    const created = { condition: new BackendCondition(), changedAtMs: nowMs };
    this.entries.set(backendId, created);
    return created;
  }
}
