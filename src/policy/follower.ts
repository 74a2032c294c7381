/**
 * Follows the policy in the platform's key-value service.
 *
 * A few readers in each zone keep a watch on the head; every other process hears
 * of changes from its peers and polls slowly, with jitter, as a floor.
 */
import type { Clock, TimerHandle } from '../clock.js';
import type { Machine, ProcessIdentity } from '../membership/machine.js';
import { pickByRendezvous } from '../membership/rendezvous.js';
import type { KeyValueClient } from '../key-value/key-value.js';
import { withJitter } from '../random.js';
import type { RandomSource } from '../random.js';
import {
  fullUpdateOf,
  parseHead,
  POLICY_HEAD_KEY,
  readStoredPolicy,
  updateFromHead,
} from './store.js';
import type { PolicyUpdate } from './replica.js';

/** Options of following the policy. */
export interface PolicyFollowerOptions {
  /** Readers in each zone that keep a watch. Default 2. */
  readonly readersPerZone: number;
  /** Longest time that one watch waits, in milliseconds. Default 10,000. */
  readonly watchMs: number;
  /** Time between two polls of a process that is no reader, in milliseconds. Default 30,000. */
  readonly pollMs: number;
  /** First pause after a failed call, in milliseconds; doubles up to `pollMs`. Default 500. */
  readonly retryMs: number;
}

/** Defaults of following the policy. */
export const DEFAULT_FOLLOWER_OPTIONS: PolicyFollowerOptions = {
  readersPerZone: 2,
  watchMs: 10_000,
  pollMs: 30_000,
  retryMs: 500,
};

const JITTER = 0.3;

/** What a follower is made from. */
export interface PolicyFollowerParts {
  readonly client: KeyValueClient;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly identity: ProcessIdentity;
  readonly options: PolicyFollowerOptions;
  /** Generation in force in this process. */
  readonly currentGeneration: () => number;
  /** Takes what was read. */
  readonly onUpdate: (update: PolicyUpdate) => void;
}

/** Follows the policy in the platform's key-value service. */
export class PolicyFollower {
  private fleet: readonly Machine[] = [];
  private headRevision = 0;
  private failures = 0;
  private isStopped = false;
  private timer: TimerHandle;

  constructor(private readonly parts: PolicyFollowerParts) {}

  /** Reads the policy now and follows it until `stop`. */
  start(): void {
    void this.step();
  }

  /** Stops following; a call under way has no effect any more. */
  stop(): void {
    this.isStopped = true;
    this.parts.clock.clearTimeout(this.timer);
  }

  /** Takes the live list, from which the readers of each zone follow. */
  setFleet(fleet: readonly Machine[]): void {
    const wasReader = this.isReader();
    this.fleet = fleet;
    if (!wasReader && this.isReader() && this.timer !== undefined) {
      this.scheduleNext();
    }
  }

  /** Whether this process keeps a watch; with no list known, everybody polls. */
  isReader(): boolean {
    const { identity, options } = this.parts;
    const names = this.fleet
      .filter((machine) => machine.zone === identity.zone && machine.state === 'live')
      .map((machine) => machine.name);
    return pickByRendezvous(identity.zone, names, options.readersPerZone).includes(identity.name);
  }

  private async step(): Promise<void> {
    const isOk =
      this.isReader() && this.headRevision > 0 ? await this.watchHead() : await this.readHead();
    if (!this.isStopped) {
      this.failures = isOk ? 0 : this.failures + 1;
      this.scheduleNext();
    }
  }

  private scheduleNext(): void {
    const { clock, random, options } = this.parts;
    const delayMs = this.nextDelayMs();
    const jittered = withJitter(random, Math.min(options.pollMs, delayMs), JITTER);
    clock.clearTimeout(this.timer);
    this.timer = clock.setTimeout(() => {
      this.timer = undefined;
      void this.step();
    }, jittered);
  }

  private nextDelayMs(): number {
    const { options } = this.parts;
    if (this.failures > 0) {
      return options.retryMs * 2 ** Math.min(this.failures - 1, 10);
    }
    if (this.headRevision === 0) {
      return options.retryMs;
    }
    return this.isReader() ? 1 : options.pollMs;
  }

  private async watchHead(): Promise<boolean> {
    const { client, options } = this.parts;
    const entry = await client.watch(POLICY_HEAD_KEY, this.headRevision, options.watchMs);
    return entry.ok ? this.takeHead(entry.val?.value, entry.val?.revision ?? 0) : false;
  }

  private async readHead(): Promise<boolean> {
    const entry = await this.parts.client.get(POLICY_HEAD_KEY);
    return entry.ok ? this.takeHead(entry.val?.value, entry.val?.revision ?? 0) : false;
  }

  private async takeHead(value: unknown, revision: number): Promise<boolean> {
    const head = parseHead(value);
    if (head.generation > this.parts.currentGeneration()) {
      const update =
        updateFromHead(head, this.parts.currentGeneration()) ?? (await this.readFull());
      if (update === undefined) {
        return false;
      }
      if (!this.isStopped) {
        this.parts.onUpdate(update);
      }
    }
    this.headRevision = revision;
    return true;
  }

  private async readFull(): Promise<PolicyUpdate | undefined> {
    const stored = await readStoredPolicy(this.parts.client);
    return stored.ok && stored.val.head.generation > 0 ? fullUpdateOf(stored.val) : undefined;
  }
}
