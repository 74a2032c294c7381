/** Plays an experiment with one seed on the virtual clock. */
import { createHash } from 'node:crypto';
import { SeededRandom } from '../random.js';
import type { RandomSource } from '../random.js';
import { DEFAULT_CALLER_LIMITS } from '../routing/configuration.js';
import type { Route, Tenant } from '../routing/configuration.js';
import { RoutingTable } from '../routing/routing-table.js';
import type { GatewayTimeoutOptions } from '../slot-agent/gateway-account.js';
import { VirtualClock } from '../sim/virtual-clock.js';
import type { Experiment, ModelFault, ModelRoute } from './experiment.js';
import { buildFleet, ENGINE_SERVICE, zoneOf } from './model-fleet.js';
import type { ModelBackend } from './model-fleet.js';
import { MODEL_KEY, ModelCaller } from './model-caller.js';
import type { CallerOutcome, RequestSize } from './model-caller.js';
import { ModelGateway } from './model-gateway.js';
import { addOutcome, emptyRow } from './model-value.js';
import type { ValueRow } from './model-value.js';

/** One second of a run. */
export interface SecondRow {
  /** Slots at work at its end, and slots of engines that are up. */
  readonly atWork: number;
  readonly slots: number;
}

/** What one run gave. */
export interface ExperimentRun {
  readonly seed: number;
  readonly total: ValueRow;
  readonly routes: readonly ValueRow[];
  readonly seconds: readonly SecondRow[];
  /** Hash of every outcome in order: the same seed gives the same one. */
  readonly digest: string;
}

const MS_PER_S = 1_000;
/** Time before the callers begin, in which connections come up. */
const LEAD_MS = 500;
/** Time between a gateway's loss of power and its next start is the fault's; then it must load. */
const START_MS = 350;
/** Far apart, so that the sources of a run do not meet those of the next seeds. */
const FAULT_SEED = 1_000_003;
const TRAFFIC_SEED = 2_000_003;
/** Sizes are cut at so many times their mean. */
const MAX_SIZE_FACTOR = 10;

/** Mechanisms that a run may change, so that a test shows what they are worth. */
export interface ExperimentVariant {
  /** When agents give gateways up; default: as agents do. */
  readonly gatewaySilence?: GatewayTimeoutOptions;
}

/** Plays an experiment. */
export async function runExperiment(
  experiment: Experiment,
  seed: number,
  variant: ExperimentVariant = {},
): Promise<ExperimentRun> {
  return new ExperimentWorld(experiment, seed, variant).run();
}

/** The processes of one run. */
class ExperimentWorld {
  private readonly clock = new VirtualClock();
  /** What processes and callers draw; traffic and faults have sources of their own, so that policies meet the same. */
  private readonly random: RandomSource;
  private readonly faultRandom: RandomSource;
  private readonly backends: ReadonlyMap<string, ModelBackend>;
  private readonly gateways: Array<ModelGateway | undefined> = [];
  private readonly table: RoutingTable;
  private readonly total = emptyRow('all');
  private readonly rows: Map<string, ValueRow>;
  private readonly seconds: SecondRow[] = [];
  private readonly hash = createHash('sha256');

  constructor(
    private readonly experiment: Experiment,
    private readonly seed: number,
    { gatewaySilence }: ExperimentVariant,
  ) {
    this.random = new SeededRandom(seed);
    this.faultRandom = new SeededRandom(seed + FAULT_SEED);
    this.backends = buildFleet(experiment, this.clock, this.faultRandom, gatewaySilence);
    this.table = routingTable(experiment);
    this.rows = new Map(experiment.routes.map(({ name }) => [name, emptyRow(name)]));
    for (let index = 0; index < experiment.fleet.gateways; index += 1) {
      this.gateways.push(this.startGateway(index));
    }
  }

  async run(): Promise<ExperimentRun> {
    const { routes, faults, durationS } = this.experiment;
    const { seed, total, seconds, hash } = this;
    routes.forEach((route, index) => {
      const random = new SeededRandom(seed + TRAFFIC_SEED * (index + 1));
      this.clock.setTimeout(() => this.callNext(route, random), LEAD_MS);
    });
    for (const fault of faults) {
      this.clock.setTimeout(() => this.strike(fault), LEAD_MS + fault.atS * MS_PER_S);
    }
    for (let second = 1; second <= durationS; second += 1) {
      this.clock.setTimeout(() => this.noteSecond(), LEAD_MS + second * MS_PER_S);
    }
    const longestMs = Math.max(...routes.map(({ deadlineMs }) => deadlineMs));
    await this.clock.runUntil(LEAD_MS + durationS * MS_PER_S + longestMs + 1);
    return { seed, total, routes: [...this.rows.values()], seconds, digest: hash.digest('hex') };
  }

  private startGateway(index: number): ModelGateway {
    const { fleet, options } = this.experiment;
    const { clock, random, backends, table } = this;
    return new ModelGateway({
      name: `gateway-${index}.${this.clock.now()}`,
      zone: zoneOf(index, fleet.zones),
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
    return (this.clock.now() - LEAD_MS) / MS_PER_S;
  }

  /** Callers of one kind come at random moments, more often in a burst. */
  private callNext(route: ModelRoute, random: RandomSource): void {
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
        this.call(route, drawSize(route, random));
        this.callNext(route, random);
      },
      -Math.log(1 - random.next()) / perMs,
    );
  }

  private call(route: ModelRoute, size: RequestSize): void {
    const { clock, random } = this;
    const caller = new ModelCaller(route, size, {
      clock,
      random,
      pickGateway: () => this.pickGateway(),
      onEnd: (outcome) => this.noteOutcome(outcome),
    });
    caller.begin();
  }

  private pickGateway(): ModelGateway | undefined {
    const up = this.gateways.filter((gateway) => gateway !== undefined);
    return up[Math.floor(this.random.next() * up.length)];
  }

  private noteOutcome(outcome: CallerOutcome): void {
    const { route, isServed, isInTime, refusals, heldMs, arrivedAtMs } = outcome;
    addOutcome(this.total, outcome);
    addOutcome(this.rows.get(route.name)!, outcome);
    const fields = [route.name, arrivedAtMs, isServed, isInTime, refusals, heldMs];
    this.hash.update(`${fields.join()};`);
  }

  private noteSecond(): void {
    const up = [...this.backends.values()].filter(({ engine }) => engine.isUp);
    this.seconds.push({
      atWork: up.reduce((sum, { engine }) => sum + engine.atWork, 0),
      slots: up.length * this.experiment.fleet.slots,
    });
  }

  private strike(fault: ModelFault): void {
    if (fault.kind === 'gateway-power') {
      this.cutPower(fault);
      return;
    }
    const struck = this.draw([...this.backends.values()], fault.count);
    for (const { engine } of struck) {
      if (fault.kind === 'engine-crash') {
        engine.crash();
      } else if (fault.kind === 'engine-slow') {
        engine.slowFactor = fault.factor;
      } else {
        engine.failureShare = fault.share;
      }
    }
    this.clock.setTimeout(() => {
      for (const { engine } of struck) {
        engine.slowFactor = 1;
        engine.failureShare = 0;
        engine.restart();
      }
    }, fault.forS * MS_PER_S);
  }

  private cutPower({ count, forS }: ModelFault): void {
    for (const index of this.draw([...this.gateways.keys()], count)) {
      this.gateways[index]?.losePower();
      this.gateways[index] = undefined;
      this.clock.setTimeout(
        () => (this.gateways[index] = this.startGateway(index)),
        forS * MS_PER_S + START_MS,
      );
    }
  }

  private draw<Item>(items: readonly Item[], count: number): Item[] {
    const left = [...items];
    return Array.from({ length: Math.min(count, left.length) }, () => {
      const index = Math.floor(this.faultRandom.next() * left.length);
      return left.splice(index, 1)[0]!;
    });
  }
}

const ONE_TENANT: Tenant = {
  name: 'one',
  apiKeys: [MODEL_KEY],
  priority: 1,
  quota: undefined,
  allowedRegions: undefined,
};

function routingTable({ routes, fleet, hasOneTier }: Experiment): RoutingTable {
  return new RoutingTable({
    version: 1,
    routes: routes.map(routeOf),
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
    tenants: hasOneTier ? [ONE_TENANT] : [],
    limits: DEFAULT_CALLER_LIMITS,
  });
}

function routeOf({ name, deadlineMs, targetMs, maxPauseMs, priority }: ModelRoute): Route {
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

/** Sizes follow a log-normal distribution, deadlines an even one. */
function drawSize(route: ModelRoute, random: RandomSource): RequestSize {
  const { promptTokens, events, deadlineMs, deadlineSpread } = route;
  const draw = (mean: number, spread: number) => {
    const factor = Math.exp(spread * normal(random) - (spread * spread) / 2);
    return Math.max(1, Math.round(mean * Math.min(factor, MAX_SIZE_FACTOR)));
  };
  return {
    promptTokens: draw(promptTokens, route.spread),
    events: draw(events, route.eventSpread ?? route.spread),
    deadlineMs: deadlineMs * (1 - deadlineSpread * random.next()),
  };
}

/** A draw of the standard normal distribution (Box and Muller). */
function normal(random: RandomSource): number {
  return Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());
}
