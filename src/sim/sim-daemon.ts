/** What simulated entries and agents share: platform, policy, list, tick. */
import type { AgentCore } from '../agent/agent-core.js';
import type { AgentEffect } from '../agent/agent-events.js';
import type { EntryCore } from '../entry/entry-core.js';
import type { EntryEffect } from '../entry/entry-events.js';
import type { Machine, ProcessIdentity } from '../membership/machine.js';
import { PolicyFollower } from '../policy/follower.js';
import type { PolicyFollowerOptions } from '../policy/follower.js';
import type { PolicyReplica, PolicyUpdate } from '../policy/replica.js';
import { SeededRandom, withJitter } from '../random.js';
import type { RandomSource } from '../random.js';
import type { Observations } from './observations.js';
import type { SimNetwork } from './sim-network.js';
import { PLATFORM_ADDRESS, SimKeyValueClient } from './sim-platform.js';
import type { SimPlatform } from './sim-platform.js';
import { SimProcess } from './sim-process.js';
import type { VirtualClock } from './virtual-clock.js';

/** Ways for a test to break the code under test, so that the checks are seen to fail. */
export interface SimHooks {
  onAgentCore?(core: AgentCore): void;
  onEntryCore?(core: EntryCore): void;
  changeAgentEffects?(effects: AgentEffect[], core: AgentCore): AgentEffect[];
  changeEntryEffects?(effects: EntryEffect[], core: EntryCore): EntryEffect[];
  onAgentReport?(effect: AgentEffect, name: string): void;
  onEntryReport?(effect: EntryEffect, name: string): void;
}

/** What a simulated daemon is made from. */
export interface SimDaemonParts {
  readonly clock: VirtualClock;
  readonly network: SimNetwork;
  readonly platform: SimPlatform;
  readonly observations: Observations;
  readonly random: RandomSource;
  readonly machine: Machine;
  readonly followerOptions: PolicyFollowerOptions;
  readonly hooks: SimHooks;
}

const TICK_MS = 50;
const LIST_POLL_MS = 2_000;
const POLL_JITTER = 0.3;
const PLATFORM_TIMEOUT_MS = 2_000;
const SEED_RANGE = 2 ** 31;

/** What simulated entries and agents share. */
export abstract class SimDaemon extends SimProcess {
  protected fleet: readonly Machine[] = [];
  protected keyValue!: SimKeyValueClient;
  protected random!: RandomSource;
  private follower: PolicyFollower | undefined;
  private shownGeneration = 0;

  constructor(protected readonly parts: SimDaemonParts) {
    super(parts.clock, parts.machine);
  }

  /** Who and where the current start of the process is. */
  get identity(): ProcessIdentity {
    const { name, region, zone, place } = this.machine;
    return { name, region, zone, place, incarnation: this.incarnation };
  }

  /** Generation in force in the process; 0 while it is down. */
  get generation(): number {
    return this.isAlive ? this.replica.generation : 0;
  }

  protected override onStart(): void {
    const { platform, random } = this.parts;
    const startCount = this.startCount;
    this.shownGeneration = 0;
    this.fleet = [];
    this.random = new SeededRandom(Math.floor(random.next() * SEED_RANGE));
    const caller = {
      address: this.machine,
      deliver: (callback: () => void) => this.deliver(startCount, callback),
    };
    this.keyValue = new SimKeyValueClient(platform, caller, PLATFORM_TIMEOUT_MS);
    this.createCore();
    this.startFollower();
    this.scheduleTick(startCount);
    this.pollList(startCount);
  }

  /** Records the generation when it changed. */
  protected noteGeneration(): void {
    const { generation } = this.replica;
    if (generation !== this.shownGeneration) {
      this.shownGeneration = generation;
      const atMs = this.clock.now();
      const process = this.machine.name;
      const { incarnation } = this;
      this.parts.observations.generations.push({ process, incarnation, generation, atMs });
      this.parts.observations.log(atMs, `${incarnation} has generation ${generation}`);
    }
  }

  protected abstract createCore(): void;
  protected abstract get replica(): PolicyReplica;
  protected abstract onFleetChange(): void;
  protected abstract onPolicyRead(update: PolicyUpdate): void;
  protected abstract onTick(): void;

  private startFollower(): void {
    this.follower?.stop();
    this.follower = new PolicyFollower({
      client: this.keyValue,
      clock: this.createProcessClock(),
      random: this.random,
      identity: this.identity,
      options: this.parts.followerOptions,
      currentGeneration: () => this.replica.generation,
      onUpdate: (update) => this.onPolicyRead(update),
    });
    this.follower.start();
  }

  private scheduleTick(startCount: number): void {
    this.clock.setTimeout(() => {
      if (this.isAlive && startCount === this.startCount) {
        if (!this.isFrozen) {
          this.onTick();
        }
        this.scheduleTick(startCount);
      }
    }, TICK_MS);
  }

  private pollList(startCount: number): void {
    const { network, platform } = this.parts;
    network.transmit(this.machine, PLATFORM_ADDRESS, () => {
      const machines = platform.listMachines();
      network.transmit(PLATFORM_ADDRESS, this.machine, () =>
        this.deliver(startCount, () => {
          this.fleet = machines;
          this.follower?.setMachines(machines);
          this.onFleetChange();
        }),
      );
    });
    this.clock.setTimeout(
      () => {
        if (this.isAlive && startCount === this.startCount) {
          this.pollList(startCount);
        }
      },
      withJitter(this.random, LIST_POLL_MS, POLL_JITTER),
    );
  }
}
