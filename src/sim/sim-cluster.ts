/** A simulated deployment: platform, backends, agents, entries, callers and operators. */
import type { Machine } from '../membership/machine.js';
import { DEFAULT_AGENT_OPTIONS, DEFAULT_ENTRY_OPTIONS } from '../options.js';
import type { EntryOptions } from '../options.js';
import { DEFAULT_FOLLOWER_OPTIONS } from '../policy/follower.js';
import { SeededRandom } from '../random.js';
import type { RandomSource } from '../random.js';
import type { Refusal } from '../request/refusal.js';
import { DEFAULT_KEY_VALUE_LIMITS } from '../standin/key-value-model.js';
import { createDeployment, createPolicy } from './deployment.js';
import type { BackendProfile, Deployment, DeploymentName } from './deployment.js';
import { Observations, PREEMPTION_WINDOW_MS } from './observations.js';
import type { CallerAttempt, ShedSnapshot } from './observations.js';
import { SimAgent } from './sim-agent.js';
import { SimBackend } from './sim-backend.js';
import { SimCallers } from './sim-callers.js';
import type { SimDaemonContext, SimHooks } from './sim-daemon.js';
import { SimEntry } from './sim-entry.js';
import { SimNetwork } from './sim-network.js';
import { SimOperator } from './sim-operator.js';
import { SimPlatform } from './sim-platform.js';
import { VirtualClock } from './virtual-clock.js';

/** Options of a simulated deployment. */
export interface SimClusterOptions {
  readonly deployment: DeploymentName;
  readonly seed: number;
  /** Offered load as a fraction of the capacity of the engines. */
  readonly load: number;
  readonly hooks?: SimHooks;
  readonly entryOptions?: Partial<EntryOptions>;
}

const MACHINE_LIST_LAG_MS = 2_000;
const SEED_STEP = 7_919;

/** Creates and connects the components of a simulated deployment. */
export class SimCluster {
  readonly clock = new VirtualClock();
  readonly random: RandomSource;
  readonly observations = new Observations();
  readonly deployment: Deployment;
  readonly network: SimNetwork;
  readonly platform: SimPlatform;
  readonly backends = new Map<string, SimBackend>();
  readonly agents = new Map<string, SimAgent>();
  readonly entries: SimEntry[] = [];
  readonly callers: SimCallers;
  readonly operator: SimOperator;

  constructor(readonly options: SimClusterOptions) {
    this.random = new SeededRandom(options.seed);
    this.deployment = createDeployment(
      options.deployment,
      new SeededRandom(options.seed + SEED_STEP),
    );
    this.network = new SimNetwork(this.clock, this.random, this.deployment.network);
    this.platform = new SimPlatform(
      this.clock,
      this.network,
      DEFAULT_KEY_VALUE_LIMITS,
      MACHINE_LIST_LAG_MS,
    );
    this.createAgents();
    this.createEntries();
    this.operator = new SimOperator(this);
    this.callers = new SimCallers(
      {
        clock: this.clock,
        network: this.network,
        random: new SeededRandom(options.seed + 2 * SEED_STEP),
        deployment: this.deployment,
        entries: this.entries,
        observations: this.observations,
        onRefused: (attempt, refusal) => this.recordShed(attempt, refusal),
      },
      options.load * estimateCapacityPerSecond(this.deployment),
    );
  }

  /**
   * Stores the initial policy, starts every process and advances the clock long enough for them to
   * connect.
   */
  async start(): Promise<void> {
    const SETTLE_MS = 4_000;
    await this.operator.installPolicy(createPolicy(this.deployment), 'first');
    for (const process of [...this.agents.values(), ...this.entries]) {
      this.platform.setMachine(process.machine);
    }
    this.platform.publishListNow();
    for (const process of [...this.agents.values(), ...this.entries]) {
      process.start();
    }
    await this.clock.runUntil(this.clock.now() + SETTLE_MS);
  }

  /** Restarts a process that has ended, as the platform does when it replaces a machine. */
  restart(process: SimAgent | SimEntry): void {
    const { name } = process.machine;
    const shutdown = this.observations.findActiveShutdown(name);
    if (shutdown !== undefined) {
      shutdown.restartedAtMs = this.clock.now();
    }
    this.platform.setMachine({ ...process.machine, state: 'live' });
    process.start();
  }

  /**
   * Returns the backends that a data class may use by the rules of the deployment, without regard
   * to the active policy.
   */
  permittedBackends(dataClass: string): BackendProfile[] {
    const { classes, places, backends } = this.deployment;
    const requestClass = classes.find((one) => one.dataClass === dataClass);
    const approved = new Set(places.filter((one) => one.isApproved).map((one) => one.name));
    return backends.filter(
      (backend) =>
        backend.model === requestClass?.model &&
        (!requestClass.needsApprovedPlace || approved.has(backend.place)),
    );
  }

  private createAgents(): void {
    for (const profile of this.deployment.backends) {
      const backend = new SimBackend(this.clock, profile, this.observations);
      const capacity = profile.engine?.capacity ?? 8;
      const options = { ...DEFAULT_AGENT_OPTIONS, capacity, maxPaused: capacity };
      const machine = this.createMachine(profile.name, 'agent', profile.place);
      this.backends.set(profile.name, backend);
      this.agents.set(profile.name, new SimAgent(this.createContext(machine), options, backend));
    }
  }

  private createEntries(): void {
    for (const { name, place } of this.deployment.entries) {
      const machine = this.createMachine(name, 'entry', place);
      const options = { ...DEFAULT_ENTRY_OPTIONS, ...this.options.entryOptions };
      this.entries.push(new SimEntry(this.createContext(machine), options, this.agents));
    }
  }

  private createMachine(name: string, role: Machine['role'], place: string): Machine {
    const { region } = this.deployment;
    return { name, role, region, zone: place, place, address: name, port: 1, state: 'live' };
  }

  private createContext(machine: Machine): SimDaemonContext {
    return {
      clock: this.clock,
      network: this.network,
      platform: this.platform,
      observations: this.observations,
      random: this.random,
      machine,
      followerOptions: DEFAULT_FOLLOWER_OPTIONS,
      hooks: this.options.hooks ?? {},
    };
  }

  /**
   * Records the lower-tier requests that run on permitted engines when a request is shed, and those
   * of them that still run after the preemption window.
   */
  private recordShed(attempt: CallerAttempt, refusal: Refusal): void {
    const isShed = refusal.reason === 'overloaded' || refusal.reason === 'deadline-infeasible';
    if (!isShed || refusal.ran !== 'no') {
      return;
    }
    const tierOfClass = new Map(this.deployment.classes.map((one) => [one.dataClass, one.tier]));
    const tierOf = (requestId: string) => {
      const dispatch = this.observations.findDispatch(requestId);
      return tierOfClass.get(dispatch?.dataClass ?? '') ?? 0;
    };
    const lowerTierRunning = this.permittedBackends(attempt.dataClass).flatMap((profile) =>
      this.backends
        .get(profile.name)!
        .runningIds()
        .map((requestId) => ({ engine: profile.name, requestId, tier: tierOf(requestId) }))
        .filter((running) => running.tier > attempt.tier),
    );
    const atMs = this.clock.now();
    const snapshot: ShedSnapshot = { attempt, atMs, lowerTierRunning, stillRunning: [] };
    this.observations.sheds.push(snapshot);
    this.clock.setTimeout(() => {
      snapshot.stillRunning = lowerTierRunning.filter(({ engine, requestId }) =>
        this.backends.get(engine)!.runningIds().includes(requestId),
      );
    }, PREEMPTION_WINDOW_MS);
  }
}

/**
 * Estimates how many requests per second the engines of a deployment can serve, accurately enough
 * to set the offered load.
 */
function estimateCapacityPerSecond(deployment: Deployment): number {
  const MS_PER_SECOND = 1_000;
  // Mean length of a fake response as a share of the output limit.
  const OUTPUT_SHARE = 0.65;
  // Slowdown of an engine that runs two requests at once.
  const BATCH_FACTOR = 1.03;
  const modelClasses = deployment.classes.filter((one) => one.promptTokens[1] > 0);
  const allShares = deployment.classes.reduce((sum, one) => sum + one.share, 0);
  const modelShares = modelClasses.reduce((sum, one) => sum + one.share, 0);
  let requestsPerMs = 0;
  for (const { engine } of deployment.backends) {
    if (engine === undefined) {
      continue;
    }
    const meanMs =
      modelClasses.reduce((sum, one) => {
        const prefillMs = mean(one.promptTokens) / engine.prefillTokensPerMs + engine.stepMs;
        const decodeMs = mean(one.outputTokens) * OUTPUT_SHARE * engine.stepMs;
        return sum + one.share * (prefillMs + decodeMs);
      }, 0) / modelShares;
    requestsPerMs += engine.capacity / (meanMs * BATCH_FACTOR);
  }
  return requestsPerMs * MS_PER_SECOND * (allShares / modelShares);
}

function mean([low, high]: readonly [number, number]): number {
  return (low + high) / 2;
}
