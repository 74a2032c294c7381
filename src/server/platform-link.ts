/** A daemon's dealings with the platform: its place in the list of machines, the fleet, the policy. */
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

/** What a platform link is made from. */
export interface PlatformLinkParts {
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

/** A daemon's dealings with the platform. */
export class PlatformLink {
  private readonly follower: PolicyFollower;
  private timer: TimerHandle;
  private isStopped = false;
  private self: Machine | undefined;
  private isAnnounced = false;

  constructor(private readonly parts: PlatformLinkParts) {
    this.follower = new PolicyFollower({
      client: parts.keyValue,
      clock: parts.clock,
      random: parts.random,
      identity: parts.identity,
      options: parts.followerOptions,
      currentGeneration: parts.currentGeneration,
      onUpdate: parts.onPolicy,
    });
  }

  /** Enters this machine in the list and follows list and policy until `stop`. */
  start(self: Machine): void {
    this.self = self;
    this.follower.start();
    void this.poll();
  }

  /** Shows this machine as leaving. */
  async announceLeaving(): Promise<void> {
    if (this.self !== undefined) {
      this.self = { ...this.self, state: 'leaving' };
      await this.parts.liveList.announce(this.self);
    }
  }

  /** Stops following. */
  stop(): void {
    this.isStopped = true;
    this.parts.clock.clearTimeout(this.timer);
    this.follower.stop();
  }

  private async poll(): Promise<void> {
    if (!this.isAnnounced && this.self !== undefined) {
      const announced = await this.parts.liveList.announce(this.self);
      this.isAnnounced = announced.ok;
    }
    const fleet = await this.parts.liveList.list();
    if (this.isStopped) {
      return;
    }
    if (fleet.ok) {
      this.follower.setFleet(fleet.val);
      this.parts.onFleet(fleet.val);
    }
    const delayMs = withJitter(this.parts.random, this.parts.liveListPollMs, POLL_JITTER);
    this.timer = this.parts.clock.setTimeout(() => void this.poll(), delayMs);
  }
}
