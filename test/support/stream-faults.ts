/** Callers and random faults, sequential and overlapping, in a fleet that serves streams. */
import { randomInteger, SeededRandom } from '../../src/random.js';
import type { RandomSource } from '../../src/random.js';
import { EVENTS, StreamFleet } from './stream-fleet.js';
import type { BackendLife, StreamFleetOptions } from './stream-fleet.js';
import { SimulatedReply, ZONES } from './stream-gateway.js';
import type { GatewayMachine } from './stream-gateway.js';

/** Options of a run. */
export interface StreamRunOptions extends StreamFleetOptions {
  /** Time during which faults occur, in milliseconds. */
  readonly lengthMs: number;
  /** Faults to draw from; if omitted, all but those that must be named. */
  readonly faults?: readonly StreamFaultName[];
  /** Share of callers that cut their first connection. Default a third. */
  readonly cutShare?: number;
  /** Bounds of the time between two faults, in milliseconds. */
  readonly faultGapMs?: readonly [number, number];
  /** Deadline of each caller, in milliseconds. Default 4,000, the timeout of the route. */
  readonly deadlineMs?: number;
  /** Maximum number of requests of a caller. Default 6. */
  readonly maxAttempts?: number;
}

/** Result of a run. */
export interface StreamFaultRun {
  readonly streams: number;
  /** Requests that resume a stream and got a response, and those that continued it. */
  readonly resumed: number;
  readonly continued: number;
  /**
   * Streams that were resumed while two backends of their version or more were ready, and those of
   * them that went on.
   */
  readonly servable: number;
  readonly servableContinued: number;
  /** Callers that hold events of several versions. */
  readonly mixed: readonly string[];
  /** Callers with a missing or repeated event. */
  readonly gaps: readonly string[];
  readonly story: readonly string[];
}

const STREAM_INTERVAL_MS = 40;
const SETTLE_MS = 1_500;
const DEADLINE_MS = 4_000;
const MAX_ATTEMPTS = 6;
const RECONNECT_MS = 5;
const UNREACHABLE_RETRY_MS = 200;
const PATIENCE_MS = 2_000;
const MIN_FAULT_GAP_MS = 100;
const MAX_FAULT_GAP_MS = 900;
const REPLACE_INTERVAL_MS = 60;
const REPLACE_DRAIN_MS = 100;
const REPLACE_END_MS = 1_600;
const MIN_SERVING = 2;

type Fault = (fleet: StreamFleet, random: RandomSource) => string;

const FAULTS = {
  crashBackend(fleet, random) {
    const life = pick(random, fleet.lives);
    const { host, backend } = life;
    fleet.crashBackend(life, randomInteger(random, 100, 3_600));
    if (random.next() < 0.3) {
      fleet.loseAgent(host);
    }
    const version = random.next() < 0.3 ? pick(random, ['v1', 'v2', 'v3']) : backend.version;
    fleet.clock.setTimeout(
      () => fleet.startBackend(host, version, backend.service),
      randomInteger(random, 100, 2_000),
    );
    return `crash ${backend.id}, back at ${version}`;
  },
  drainBackend(fleet, random) {
    const life = pick(random, fleet.lives);
    fleet.drainBackend(life);
    fleet.clock.setTimeout(
      () => {
        if (fleet.lives.includes(life)) {
          fleet.crashBackend(life, 50);
          fleet.startBackend(life.host, pick(random, ['v1', 'v2', 'v3']), life.backend.service);
        }
      },
      randomInteger(random, 200, 2_000),
    );
    return `drain ${life.backend.id}`;
  },
  reuseAddress(fleet, random) {
    const life = pick(random, fleet.lives);
    const service = life.backend.service === 's' ? 't' : 's';
    fleet.crashBackend(life, randomInteger(random, 500, 3_600));
    fleet.startBackend(life.host, pick(random, ['v1', 'v2']), service);
    return `the address of ${life.backend.id} goes to service ${service}`;
  },
  changeRoute(fleet, random) {
    const share = pick(random, [0, 0, 0.3, 1]);
    fleet.changeRoute([
      { service: 's', weight: 1 - share },
      { service: 't', weight: share },
    ]);
    return `${share} of the route to t`;
  },
  killGateway(fleet, random) {
    const machine = pick(random, fleet.machines);
    machine.kill(randomInteger(random, 200, 1_000));
    return `kill ${machine.address}`;
  },
  killZone(fleet, random) {
    const zone = pick(random, ZONES);
    const inZone = fleet.machines.filter((machine) => machine.zone === zone);
    inZone.forEach((machine) => machine.kill(randomInteger(random, 300, 800)));
    return `kill the gateways of ${zone}`;
  },
  killAllGateways(fleet, random) {
    fleet.machines.forEach((machine) => machine.kill(randomInteger(random, 300, 800)));
    return 'kill all gateways';
  },
  pauseGateway(fleet, random) {
    const machine = pick(random, fleet.machines);
    machine.pause(randomInteger(random, 200, 2_500));
    return `pause ${machine.address}`;
  },
  cutGateway(fleet, random) {
    const machine = pick(random, fleet.machines);
    const direction = pick(random, ['out', 'in', 'both'] as const);
    const others = fleet.machines.filter((other) => other !== machine);
    const cuts = others.flatMap(({ address }) => [
      ...(direction === 'in' ? [] : [`${machine.address}>${address}`]),
      ...(direction === 'out' ? [] : [`${address}>${machine.address}`]),
    ]);
    cuts.forEach((cut) => fleet.cuts.add(cut));
    fleet.clock.setTimeout(
      () => cuts.forEach((cut) => fleet.cuts.delete(cut)),
      randomInteger(random, 500, 4_000),
    );
    return `cut ${machine.address} from its peers, ${direction}`;
  },
  cutFromStore(fleet, random) {
    const machine = pick(random, fleet.machines);
    machine.isCutFromStore = true;
    fleet.clock.setTimeout(
      () => (machine.isCutFromStore = false),
      randomInteger(random, 500, 6_000),
    );
    return `cut ${machine.address} from the store`;
  },
  stopStore(fleet, random) {
    fleet.isStoreDown = true;
    fleet.clock.setTimeout(() => (fleet.isStoreDown = false), randomInteger(random, 500, 5_000));
    return 'stop the store';
  },
} satisfies Readonly<Record<string, Fault>>;

/** Faults that are drawn only where they are named. */
const NAMED_FAULTS = {
  restartUnannounced(fleet, random) {
    const life = pick(random, fleet.lives);
    const version = pick(random, ['v1', 'v2', 'v3']);
    const downMs = randomInteger(random, 50, 600);
    fleet.restartUnannounced(life, version, {
      downMs,
      announceMs: randomInteger(random, 0, 4_000),
    });
    return `restart ${life.backend.id} unannounced with ${version}`;
  },
  replaceAllAndKill(fleet, random) {
    return replaceAndKill(fleet, random, 1);
  },
  replaceAtOnceAndKill(fleet, random) {
    const version = `v${Math.round(fleet.clock.now())}`;
    fleet.machines.forEach((machine) => machine.kill(randomInteger(random, 100, 1_500)));
    for (const life of [...fleet.lives]) {
      startReplacement(fleet, life, version);
      fleet.crashBackend(life, 0);
      fleet.removeAgent(life.host);
    }
    return `kill all gateways and replace all backends by ${version}`;
  },
  replaceHalfAndKill(fleet, random) {
    return replaceAndKill(fleet, random, 0.5);
  },
} satisfies Readonly<Record<string, Fault>>;

const ALL_FAULTS = { ...FAULTS, ...NAMED_FAULTS };

/** Name of a fault. */
export type StreamFaultName = keyof typeof ALL_FAULTS;

/**
 * Replaces backends in turn by ones of a newer version on other machines, the new one first; their
 * agents end with them. Kills all gateways around the end of the last old one.
 */
function replaceAndKill(fleet: StreamFleet, random: RandomSource, share: number): string {
  const old = fleet.lives.slice(0, Math.ceil(fleet.lives.length * share));
  const version = `v${Math.round(fleet.clock.now())}`;
  old.forEach((life, index) =>
    fleet.clock.setTimeout(() => replaceBackend(fleet, life, version), index * REPLACE_INTERVAL_MS),
  );
  const lagMs = randomInteger(random, -1_000, 500);
  const lastEndMs = (old.length - 1) * REPLACE_INTERVAL_MS + REPLACE_END_MS;
  fleet.clock.setTimeout(
    () => fleet.machines.forEach((machine) => machine.kill(randomInteger(random, 100, 1_500))),
    lastEndMs + lagMs,
  );
  return `replace ${old.length} by ${version}, kill all gateways ${lagMs} ms after the last`;
}

function replaceBackend(fleet: StreamFleet, life: BackendLife, version: string): void {
  const { host } = life;
  startReplacement(fleet, life, version);
  fleet.clock.setTimeout(() => fleet.drainBackend(life), REPLACE_DRAIN_MS);
  fleet.clock.setTimeout(() => {
    if (fleet.lives.includes(life)) {
      fleet.crashBackend(life, 0);
      fleet.removeAgent(host);
    }
  }, REPLACE_END_MS);
}

/** Starts a backend of another version on a machine that had none. */
function startReplacement(fleet: StreamFleet, { backend }: BackendLife, version: string): void {
  const machines = fleet.lives.map(({ host }) => Number(host.slice(1)));
  fleet.startBackend(`b${Math.max(...machines) + 1}`, version, backend.service);
}

/** Runs a fleet with callers and faults. */
export async function runStreamFaults(options: StreamRunOptions): Promise<StreamFaultRun> {
  const fleet = new StreamFleet(options);
  const random = new SeededRandom(options.seed + 1_000);
  const faultRandom = new SeededRandom(options.seed + 2_000);
  const { deadlineMs = DEADLINE_MS } = options;
  const callers: SimulatedCaller[] = [];
  const story: string[] = [];
  await fleet.advance(SETTLE_MS);
  const stopAtMs = fleet.clock.now() + options.lengthMs;
  fleet.scheduleEvery(STREAM_INTERVAL_MS, () => {
    if (fleet.clock.now() < stopAtMs) {
      const caller = new SimulatedCaller(fleet, random, callers.length, {
        cutShare: options.cutShare ?? 1 / 3,
        deadlineMs,
        maxAttempts: options.maxAttempts ?? MAX_ATTEMPTS,
      });
      callers.push(caller);
      caller.send();
    }
  });
  const { faultGapMs = [MIN_FAULT_GAP_MS, MAX_FAULT_GAP_MS] } = options;
  const names = options.faults ?? (Object.keys(FAULTS) as StreamFaultName[]);
  while (fleet.clock.now() < stopAtMs) {
    await fleet.advance(randomInteger(faultRandom, ...faultGapMs));
    if (names.length === 0) {
      continue;
    }
    const fault = ALL_FAULTS[pick(faultRandom, names)] as Fault;
    story.push(`${Math.round(fleet.clock.now())} ${fault(fleet, faultRandom)}`);
  }
  await fleet.advance(deadlineMs);
  const servable = callers.filter(({ isServable }) => isServable);
  return {
    streams: callers.length,
    resumed: callers.reduce((sum, { resumed }) => sum + resumed, 0),
    continued: callers.reduce((sum, { continued }) => sum + continued, 0),
    servable: servable.length,
    servableContinued: servable.filter(({ continued }) => continued > 0).length,
    mixed: callers.filter(({ versions }) => versions.size > 1).map((caller) => caller.describe()),
    gaps: callers.filter(({ hasGap }) => hasGap).map((caller) => caller.describe()),
    story,
  };
}

interface CallerOptions {
  /** Share of callers that cut their first connection. */
  readonly cutShare: number;
  readonly deadlineMs: number;
  readonly maxAttempts: number;
}

/** A caller that resumes its stream at other gateways until its deadline. */
class SimulatedCaller {
  readonly versions = new Set<string>();
  hasGap = false;
  resumed = 0;
  continued = 0;
  /** Whether too few backends of its version were ready during a request that resumes it. */
  private wasUnservable = false;
  private readonly deadlineAtMs: number;
  private readonly cutAfter: number;
  private readonly history: string[] = [];
  private attempts = 0;
  private lastEvent = 0;
  private firstRequest: string | undefined;
  private machine: GatewayMachine;

  constructor(
    private readonly fleet: StreamFleet,
    private readonly random: RandomSource,
    private readonly index: number,
    private readonly options: CallerOptions,
  ) {
    this.deadlineAtMs = fleet.clock.now() + options.deadlineMs;
    this.machine = pick(random, fleet.machines);
    this.cutAfter =
      random.next() < options.cutShare ? randomInteger(random, 1, EVENTS - 1) : Infinity;
  }

  /** Whether it resumed its stream, while two backends of its version or more were ready. */
  get isServable(): boolean {
    return this.resumed > 0 && !this.wasUnservable;
  }

  describe(): string {
    return `c${this.index} ${[...this.versions].join('+')}: ${this.history.join(', ')}`;
  }

  send(): void {
    const { fleet } = this;
    const leftMs = this.deadlineAtMs - fleet.clock.now();
    if (leftMs <= 0 || this.attempts >= this.options.maxAttempts) {
      return;
    }
    const id = `c${this.index}-${this.attempts}`;
    const isResumption = this.lastEvent > 0;
    const { couldServe } = this;
    let events = 0;
    const reply: SimulatedReply = new SimulatedReply(
      fleet.clock,
      (number, version) => {
        events += 1;
        this.firstRequest ??= id;
        this.hasGap ||= number !== this.lastEvent + 1;
        this.lastEvent = number;
        this.versions.add(version);
        if (this.attempts === 1 && events >= this.cutAfter) {
          reply.leave();
        }
      },
      (isComplete, retryAfterMs) => {
        this.note(id, reply.status, events);
        const hasAnswer = isResumption && reply.status > 0;
        this.wasUnservable ||= hasAnswer && !(couldServe && this.couldServe);
        this.resumed += hasAnswer ? 1 : 0;
        // Nothing is left to send to a caller that missed only the end.
        this.continued += hasAnswer && (events > 0 || isComplete) ? 1 : 0;
        if (isComplete) {
          this.hasGap ||= this.lastEvent !== EVENTS;
        } else {
          this.resend(RECONNECT_MS + retryAfterMs);
        }
      },
    );
    const headers = {
      id,
      deadline: `${Math.floor(leftMs)}`,
      ...(isResumption ? { 'last-event': `${this.lastEvent}`, resumes: this.firstRequest! } : {}),
    };
    if (!this.machine.receive(headers, reply)) {
      this.resend(UNREACHABLE_RETRY_MS);
      return;
    }
    this.attempts += 1;
    this.leaveIfSilent(reply, () => events);
  }

  private get couldServe(): boolean {
    return [...this.versions].some((version) => this.fleet.countReady(version) >= MIN_SERVING);
  }

  private resend(delayMs: number): void {
    this.machine = pick(this.random, this.fleet.machines);
    this.fleet.clock.setTimeout(() => this.send(), delayMs);
  }

  private leaveIfSilent(reply: SimulatedReply, countEvents: () => number): void {
    const before = countEvents();
    this.fleet.clock.setTimeout(() => {
      if (countEvents() === before) {
        reply.leave();
      } else {
        this.leaveIfSilent(reply, countEvents);
      }
    }, PATIENCE_MS);
  }

  private note(id: string, status: number, events: number): void {
    const atMs = Math.round(this.fleet.clock.now());
    const versions = [...this.versions].join('+');
    this.history.push(`${atMs} ${id} at ${this.machine.address}: ${status}, ${events} ${versions}`);
  }
}

function pick<Item>(random: RandomSource, items: readonly Item[]): Item {
  return items[randomInteger(random, 0, items.length - 1)]!;
}
