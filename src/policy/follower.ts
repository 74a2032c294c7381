/**
 * Follows the policy in the platform's key-value service.
 *
 * A few elected readers per zone watch the head key. All other processes receive changes from
 * their peers and poll the head key at a long, jittered interval as a fallback.
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

/** Options of the policy follower. */
export interface PolicyFollowerOptions {
  /** Number of processes per zone that watch the head key. Default 2. */
  readonly readersPerZone: number;
  /** Long-poll timeout of one watch call, in milliseconds. Default 10,000. */
  readonly watchMs: number;
  /** Poll interval of processes that are not readers, in milliseconds. Default 30,000. */
  readonly pollMs: number;
  /**
   * Initial backoff after a failed call, in milliseconds; doubles up to `pollMs`. Also the poll
   * interval while no policy is stored. Default 500.
   */
  readonly retryMs: number;
}

/** Default options of the policy follower. */
export const DEFAULT_FOLLOWER_OPTIONS: PolicyFollowerOptions = {
  readersPerZone: 2,
  watchMs: 10_000,
  pollMs: 30_000,
  retryMs: 500,
};

const JITTER_FRACTION = 0.3;

/** Dependencies of a policy follower. */
export interface PolicyFollowerDependencies {
  readonly client: KeyValueClient;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly identity: ProcessIdentity;
  readonly options: PolicyFollowerOptions;
  /** Returns the policy generation in force in this process. */
  readonly currentGeneration: () => number;
  /** Called with each update to a newer generation. */
  readonly onUpdate: (update: PolicyUpdate) => void;
}

/** Keeps this process's policy up to date with the key-value service. */
export class PolicyFollower {
  private machines: readonly Machine[] = [];
  private headRevision = 0;
  private consecutiveFailures = 0;
  private isStopped = false;
  private timer: TimerHandle;

  constructor(private readonly dependencies: PolicyFollowerDependencies) {}

  /** Reads the policy immediately and follows it until `stop` is called. */
  start(): void {
    void this.refresh();
  }

  /** Stops following; the result of a pending call is ignored. */
  stop(): void {
    this.isStopped = true;
    this.dependencies.clock.clearTimeout(this.timer);
  }

  /** Updates the machine list, from which each zone's readers are elected. */
  setMachines(machines: readonly Machine[]): void {
    const wasReader = this.isReader();
    this.machines = machines;
    if (!wasReader && this.isReader() && this.timer !== undefined) {
      this.scheduleNext();
    }
  }

  /** Whether this process watches the head key; without a machine list, every process polls. */
  isReader(): boolean {
    const { identity, options } = this.dependencies;
    const names = this.machines
      .filter((machine) => machine.zone === identity.zone && machine.state === 'live')
      .map((machine) => machine.name);
    return pickByRendezvous(identity.zone, names, options.readersPerZone).includes(identity.name);
  }

  private async refresh(): Promise<void> {
    const hasSucceeded =
      this.isReader() && this.headRevision > 0 ? await this.watchHead() : await this.readHead();
    if (!this.isStopped) {
      this.consecutiveFailures = hasSucceeded ? 0 : this.consecutiveFailures + 1;
      this.scheduleNext();
    }
  }

  private scheduleNext(): void {
    const { clock, random, options } = this.dependencies;
    const delayMs = this.nextDelayMs();
    const jittered = withJitter(random, Math.min(options.pollMs, delayMs), JITTER_FRACTION);
    clock.clearTimeout(this.timer);
    this.timer = clock.setTimeout(() => {
      this.timer = undefined;
      void this.refresh();
    }, jittered);
  }

  private nextDelayMs(): number {
    const { options } = this.dependencies;
    if (this.consecutiveFailures > 0) {
      return options.retryMs * 2 ** Math.min(this.consecutiveFailures - 1, 10);
    }
    if (this.headRevision === 0) {
      return options.retryMs;
    }
    return this.isReader() ? 1 : options.pollMs;
  }

  private async watchHead(): Promise<boolean> {
    const { client, options } = this.dependencies;
    const entry = await client.watch(POLICY_HEAD_KEY, this.headRevision, options.watchMs);
    return entry.ok ? this.applyHead(entry.val?.value, entry.val?.revision ?? 0) : false;
  }

  private async readHead(): Promise<boolean> {
    const entry = await this.dependencies.client.get(POLICY_HEAD_KEY);
    return entry.ok ? this.applyHead(entry.val?.value, entry.val?.revision ?? 0) : false;
  }

  private async applyHead(value: unknown, revision: number): Promise<boolean> {
    const head = parseHead(value);
    if (head.generation > this.dependencies.currentGeneration()) {
      const update =
        updateFromHead(head, this.dependencies.currentGeneration()) ??
        (await this.readFullUpdate());
      if (update === undefined) {
        return false;
      }
      if (!this.isStopped) {
        this.dependencies.onUpdate(update);
      }
    }
    this.headRevision = revision;
    return true;
  }

  private async readFullUpdate(): Promise<PolicyUpdate | undefined> {
    const stored = await readStoredPolicy(this.dependencies.client);
    return stored.ok && stored.val.head.generation > 0 ? fullUpdateOf(stored.val) : undefined;
  }
}
