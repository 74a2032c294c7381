/** Platform client, policy follower, machine list and ticks of simulated entries and agents. */
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

/**
 * Hooks with which a test injects defects into the code under test, to verify that the checks
 * detect them.
 */
export interface SimHooks {
  onAgentCore?(core: AgentCore): void;
  onEntryCore?(core: EntryCore): void;
  transformAgentEffects?(effects: AgentEffect[], core: AgentCore): AgentEffect[];
  transformEntryEffects?(effects: EntryEffect[], core: EntryCore): EntryEffect[];
  /** Observes the effects of an agent that the simulation does not apply, such as measurements. */
  onAgentEffect?(effect: AgentEffect, name: string): void;
  /** Observes every effect of an entry. */
  onEntryEffect?(effect: EntryEffect, name: string): void;
}

/** Dependencies of a simulated daemon. */
export interface SimDaemonContext {
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

/** Base class of simulated entries and agents. */
export abstract class SimDaemon extends SimProcess {
  protected fleet: readonly Machine[] = [];
  protected keyValue!: SimKeyValueClient;
  protected random!: RandomSource;
  private follower: PolicyFollower | undefined;
  private recordedGeneration = 0;

  constructor(protected readonly context: SimDaemonContext) {
    super(context.clock, context.machine);
  }

  /** Identity of the process in its current incarnation. */
  get identity(): ProcessIdentity {
    const { name, region, zone, place } = this.machine;
    return { name, region, zone, place, incarnation: this.incarnation };
  }

  /** Policy generation that is active in the process; 0 while it is down. */
  get generation(): number {
    return this.isAlive ? this.replica.generation : 0;
  }

  protected override onStart(): void {
    const { platform, random } = this.context;
    const startCount = this.startCount;
    this.recordedGeneration = 0;
    this.fleet = [];
    this.random = new SeededRandom(Math.floor(random.next() * SEED_RANGE));
    const clientContext = {
      address: this.machine,
      deliver: (callback: () => void) => this.deliver(startCount, callback),
    };
    this.keyValue = new SimKeyValueClient(platform, clientContext, PLATFORM_TIMEOUT_MS);
    this.createCore();
    this.startFollower();
    this.scheduleTick(startCount);
    this.pollMachineList(startCount);
  }

  /** Records the policy generation when it has changed. */
  protected recordGeneration(): void {
    const { generation } = this.replica;
    if (generation !== this.recordedGeneration) {
      this.recordedGeneration = generation;
      const atMs = this.clock.now();
      const process = this.machine.name;
      const { incarnation } = this;
      this.context.observations.generationChanges.push({ process, incarnation, generation, atMs });
      this.context.observations.log(atMs, `${incarnation} has generation ${generation}`);
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
      options: this.context.followerOptions,
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

  private pollMachineList(startCount: number): void {
    const { network, platform } = this.context;
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
          this.pollMachineList(startCount);
        }
      },
      withJitter(this.random, LIST_POLL_MS, POLL_JITTER),
    );
  }
}
