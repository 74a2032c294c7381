/** Registers a daemon with the platform, polls the list of machines and follows the policy. */
import type { Clock, TimerHandle } from '../clock.js';
import type { Machine, ProcessIdentity } from '../membership/machine.js';
import type { LiveListClient } from '../key-value/http-live-list.js';
import type { KeyValueClient } from '../key-value/key-value.js';
import { PolicyFollower } from '../policy/follower.js';
import type { PolicyFollowerOptions } from '../policy/follower.js';
import type { PolicyUpdate } from '../policy/replica.js';
import { withJitter } from '../random.js';
import type { RandomSource } from '../random.js';

const POLL_JITTER = 0.3;

/** Dependencies of a `PlatformClient`. */
export interface PlatformClientDependencies {
  readonly keyValue: KeyValueClient;
  readonly liveList: LiveListClient;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly identity: ProcessIdentity;
  readonly followerOptions: PolicyFollowerOptions;
  readonly liveListPollMs: number;
  readonly currentGeneration: () => number;
  readonly onFleet: (machines: readonly Machine[]) => void;
  readonly onPolicy: (update: PolicyUpdate) => void;
}

/** Registers a daemon with the platform; reports each read machine list and each newer policy. */
export class PlatformClient {
  private readonly policyFollower: PolicyFollower;
  private pollTimer: TimerHandle;
  private isStopped = false;
  private self: Machine | undefined;
  private isAnnounced = false;

  constructor(private readonly dependencies: PlatformClientDependencies) {
    this.policyFollower = new PolicyFollower({
      client: dependencies.keyValue,
      clock: dependencies.clock,
      random: dependencies.random,
      identity: dependencies.identity,
      options: dependencies.followerOptions,
      currentGeneration: dependencies.currentGeneration,
      onUpdate: dependencies.onPolicy,
    });
  }

  /** Registers `self` in the list of machines, and follows the list and the policy until `stop`. */
  start(self: Machine): void {
    this.self = self;
    this.policyFollower.start();
    void this.poll();
  }

  /** Sets the state of this machine in the list to `leaving`. */
  async announceLeaving(): Promise<void> {
    if (this.self !== undefined) {
      this.self = { ...this.self, state: 'leaving' };
      await this.dependencies.liveList.announce(this.self);
    }
  }

  /** Stops polling and following the policy. */
  stop(): void {
    this.isStopped = true;
    this.dependencies.clock.clearTimeout(this.pollTimer);
    this.policyFollower.stop();
  }

  private async poll(): Promise<void> {
    if (!this.isAnnounced && this.self !== undefined) {
      const announced = await this.dependencies.liveList.announce(this.self);
      this.isAnnounced = announced.ok;
    }
    const fleet = await this.dependencies.liveList.list();
    if (this.isStopped) {
      return;
    }
    if (fleet.ok) {
      this.policyFollower.setMachines(fleet.val);
      this.dependencies.onFleet(fleet.val);
    }
    const delayMs = withJitter(
      this.dependencies.random,
      this.dependencies.liveListPollMs,
      POLL_JITTER,
    );
    this.pollTimer = this.dependencies.clock.setTimeout(() => void this.poll(), delayMs);
  }
}
