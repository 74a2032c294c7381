/** Runs an experiment with one seed on the virtual clock. */
import { headerValue } from '../http/header-value.js';
import { createHash } from 'node:crypto';
import { SeededRandom } from '../random.js';
import type { RandomSource } from '../random.js';
import { DEFAULT_CALLER_LIMITS } from '../routing/configuration.js';
import type { Route, Tenant } from '../routing/configuration.js';
import { RoutingTable } from '../routing/routing-table.js';
import type { GatewayTimeoutOptions } from '../slot-agent/gateway-session.js';
import { VirtualClock } from '../sim/virtual-clock.js';
import type { Experiment, ExperimentFault, ExperimentRoute } from './experiment.js';
import { buildFleet, ENGINE_SERVICE, zoneForIndex } from './simulated-fleet.js';
import type { SimulatedBackend } from './simulated-fleet.js';
import { CALLER_API_KEY, SimulatedCaller } from './simulated-caller.js';
import type { CallerOutcome, RequestParameters } from './simulated-caller.js';
import { SimulatedGateway } from './simulated-gateway.js';
import { addOutcome, emptyTotals } from './outcome-totals.js';
import type { OutcomeTotals } from './outcome-totals.js';

/** Sample of the slot usage, taken once per second; printed as JSON. */
export interface SlotUsageSample {
  /** Occupied slots, and total slots of the engines that are up. */
  readonly atWork: number;
  readonly slots: number;
}

/** Result of one run; printed as JSON. */
export interface ExperimentResult {
  readonly seed: number;
  readonly total: OutcomeTotals;
  readonly routes: readonly OutcomeTotals[];
  readonly seconds: readonly SlotUsageSample[];
  /** Hash of all outcomes in order; equal for runs with the same seed. */
  readonly digest: string;
}

const MS_PER_S = 1_000;
/** Time before the first requests, in which gateways connect to agents. */
const WARM_UP_MS = 500;
/** Time that a gateway needs to start once its power is restored. */
const GATEWAY_START_MS = 350;
/** Large offsets: the random sources of a run must not coincide with those of nearby seeds. */
const FAULT_SEED_OFFSET = 1_000_003;
const TRAFFIC_SEED_OFFSET = 2_000_003;
/** Caps the size of a request at this multiple of the mean. */
const MAX_SIZE_FACTOR = 10;

/** Overrides of mechanisms, so that a test can measure their effect. */
export interface ExperimentVariant {
  /** Timeouts of agents for messages from gateways; defaults to those of real agents. */
  readonly gatewayTimeouts?: GatewayTimeoutOptions;
}

/** Runs an experiment with one seed. */
export async function runExperiment(
  experiment: Experiment,
  seed: number,
  variant: ExperimentVariant = {},
): Promise<ExperimentResult> {
  return new ExperimentRunner(experiment, seed, variant).run();
}

/** Simulated processes, traffic and faults of one run. */
class ExperimentRunner {
  private readonly clock = new VirtualClock();
  /**
   * Random source of processes and callers. Traffic and faults have sources of their own, so that
   * they are the same whatever the gateways decide.
   */
  private readonly random: RandomSource;
  private readonly faultRandom: RandomSource;
  private readonly backends: ReadonlyMap<string, SimulatedBackend>;
  private readonly gateways: Array<SimulatedGateway | undefined> = [];
  private readonly table: RoutingTable;
  private readonly total = emptyTotals('all');
  private readonly totalsByRoute: Map<string, OutcomeTotals>;
  private readonly seconds: SlotUsageSample[] = [];
  private readonly hash = createHash('sha256');

  constructor(
    private readonly experiment: Experiment,
    private readonly seed: number,
    { gatewayTimeouts }: ExperimentVariant,
  ) {
    this.random = new SeededRandom(seed);
    this.faultRandom = new SeededRandom(seed + FAULT_SEED_OFFSET);
    this.backends = buildFleet(experiment, this.clock, this.faultRandom, gatewayTimeouts);
    this.table = createRoutingTable(experiment);
    this.totalsByRoute = new Map(experiment.routes.map(({ name }) => [name, emptyTotals(name)]));
    for (let index = 0; index < experiment.fleet.gateways; index += 1) {
      this.gateways.push(this.startGateway(index));
    }
  }

  async run(): Promise<ExperimentResult> {
    const { routes, faults, durationS } = this.experiment;
    const { seed, total, seconds, hash } = this;
    routes.forEach((route, index) => {
      const random = new SeededRandom(seed + TRAFFIC_SEED_OFFSET * (index + 1));
      this.clock.setTimeout(() => this.scheduleNextRequest(route, random), WARM_UP_MS);
    });
    for (const fault of faults) {
      this.clock.setTimeout(() => this.injectFault(fault), WARM_UP_MS + fault.atS * MS_PER_S);
    }
    for (let second = 1; second <= durationS; second += 1) {
      this.clock.setTimeout(() => this.sampleSlotUsage(), WARM_UP_MS + second * MS_PER_S);
    }
    const longestMs = Math.max(...routes.map(({ deadlineMs }) => deadlineMs));
    await this.clock.runUntil(WARM_UP_MS + durationS * MS_PER_S + longestMs + 1);
    return {
      seed,
      total,
      routes: [...this.totalsByRoute.values()],
      seconds,
      digest: hash.digest('hex'),
    };
  }

  private startGateway(index: number): SimulatedGateway {
    const { fleet, options } = this.experiment;
    const { clock, random, backends, table } = this;
    return new SimulatedGateway({
      name: `gateway-${index}.${this.clock.now()}`,
      zone: zoneForIndex(index, fleet.zones),
      backends,
      table,
      tokensPerEvent: fleet.tokensPerEvent,
      linkMs: fleet.linkMs,
      options,
      clock,
      random,
      countGateways: () => this.gateways.length,
    });
  }

  private get elapsedS(): number {
    return (this.clock.now() - WARM_UP_MS) / MS_PER_S;
  }

  /** Schedules the next request of a route: a Poisson process, with a higher rate during bursts. */
  private scheduleNextRequest(route: ExperimentRoute, random: RandomSource): void {
    const { durationS, bursts } = this.experiment;
    const { elapsedS } = this;
    if (elapsedS > durationS) {
      return;
    }
    const factor = bursts
      .filter(({ atS, forS }) => elapsedS >= atS && elapsedS < atS + forS)
      .reduce((product, burst) => product * burst.factor, 1);
    const perMs = (route.perS * factor) / MS_PER_S;
    this.clock.setTimeout(
      () => {
        this.startCaller(route, drawParameters(route, random));
        this.scheduleNextRequest(route, random);
      },
      -Math.log(1 - random.next()) / perMs,
    );
  }

  private startCaller(route: ExperimentRoute, parameters: RequestParameters): void {
    const { clock, random } = this;
    const caller = new SimulatedCaller(route, parameters, {
      clock,
      random,
      pickGateway: () => this.pickGateway(),
      onEnd: (outcome) => this.recordOutcome(outcome),
    });
    caller.sendAttempt();
  }

  private pickGateway(): SimulatedGateway | undefined {
    const running = this.gateways.filter((gateway) => gateway !== undefined);
    return running[Math.floor(this.random.next() * running.length)];
  }

  private recordOutcome(outcome: CallerOutcome): void {
    const { route, isServed, isInTime, refusals, heldMs, arrivedAtMs } = outcome;
    addOutcome(this.total, outcome);
    addOutcome(this.totalsByRoute.get(route.name)!, outcome);
    const fields = [route.name, arrivedAtMs, isServed, isInTime, refusals, heldMs];
    this.hash.update(`${fields.join()};`);
  }

  private sampleSlotUsage(): void {
    const up = [...this.backends.values()].filter(({ engine }) => engine.isUp);
    this.seconds.push({
      atWork: up.reduce((sum, { engine }) => sum + engine.runningCount, 0),
      slots: up.length * this.experiment.fleet.slots,
    });
  }

  private injectFault(fault: ExperimentFault): void {
    if (fault.kind === 'gateway-power') {
      this.powerOffGateways(fault);
      return;
    }
    const affected = this.pickRandom([...this.backends.values()], fault.count);
    for (const { engine } of affected) {
      if (fault.kind === 'engine-crash') {
        engine.crash();
      } else if (fault.kind === 'engine-slow') {
        engine.slowFactor = fault.factor;
      } else {
        engine.failureShare = fault.share;
      }
    }
    this.clock.setTimeout(() => {
      for (const { engine } of affected) {
        engine.slowFactor = 1;
        engine.failureShare = 0;
        engine.restart();
      }
    }, fault.forS * MS_PER_S);
  }

  private powerOffGateways({ count, forS }: ExperimentFault): void {
    for (const index of this.pickRandom([...this.gateways.keys()], count)) {
      this.gateways[index]?.powerOff();
      this.gateways[index] = undefined;
      this.clock.setTimeout(
        () => (this.gateways[index] = this.startGateway(index)),
        forS * MS_PER_S + GATEWAY_START_MS,
      );
    }
  }

  private pickRandom<Item>(items: readonly Item[], count: number): Item[] {
    const remaining = [...items];
    return Array.from({ length: Math.min(count, remaining.length) }, () => {
      const index = Math.floor(this.faultRandom.next() * remaining.length);
      return remaining.splice(index, 1)[0]!;
    });
  }
}

const SINGLE_TENANT: Tenant = {
  name: headerValue('one'),
  apiKeys: [CALLER_API_KEY],
  priority: 1,
  quota: undefined,
  allowedRegions: undefined,
};

function createRoutingTable({ routes, fleet, hasOneTier }: Experiment): RoutingTable {
  return new RoutingTable({
    version: 1,
    routes: routes.map(toRoute),
    services: [
      {
        name: ENGINE_SERVICE,
        maxConnections: Infinity,
        isEngine: true,
        tokensPerEvent: fleet.tokensPerEvent,
        coldStartMs: 0,
        coldRequestsPerS: 0,
      },
    ],
    tenants: hasOneTier ? [SINGLE_TENANT] : [],
    limits: DEFAULT_CALLER_LIMITS,
  });
}

function toRoute({ name, deadlineMs, targetMs, maxPauseMs, priority }: ExperimentRoute): Route {
  return {
    name,
    host: 'model',
    pathPrefix: `/${name}/`,
    kind: 'stream',
    isResumable: false,
    timeoutMs: deadlineMs,
    targetLatencyMs: targetMs,
    maxPauseMs,
    maxAttempts: 1,
    priority,
    allowsAnonymous: true,
    allowedRegions: undefined,
    services: [{ service: ENGINE_SERVICE, weight: 1 }],
  };
}

/** Draws a request: log-normal sizes, and a deadline from a uniform distribution. */
function drawParameters(route: ExperimentRoute, random: RandomSource): RequestParameters {
  const { promptTokens, events, deadlineMs, deadlineSpread } = route;
  const draw = (mean: number, spread: number) => {
    const factor = Math.exp(spread * standardNormal(random) - (spread * spread) / 2);
    return Math.max(1, Math.round(mean * Math.min(factor, MAX_SIZE_FACTOR)));
  };
  return {
    promptTokens: draw(promptTokens, route.spread),
    events: draw(events, route.eventSpread ?? route.spread),
    deadlineMs: deadlineMs * (1 - deadlineSpread * random.next()),
  };
}

/** Draws from the standard normal distribution by the Box-Muller transform. */
function standardNormal(random: RandomSource): number {
  return Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());
}
