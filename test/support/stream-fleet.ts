/**
 * Simulated fleet of gateways, slot agents and backends of several software versions, on a virtual
 * clock. It runs the real request handling, stream origins and peer mesh over a virtual network;
 * callers resume streams that break off at other gateways.
 */
import { splitAddress } from '../../src/address.js';
import { headerValue } from '../../src/http/header-value.js';
import type { Clock } from '../../src/clock.js';
import type {
  AttemptHandle,
  AttemptHandlers,
  OutgoingAttempt,
} from '../../src/gateway/attempt/attempt.js';
import type { IdentifiedProcess } from '../../src/gateway/processes/process-identifier.js';
import { hashText } from '../../src/membership/rendezvous.js';
import { randomInteger, SeededRandom } from '../../src/random.js';
import type { RandomSource } from '../../src/random.js';
import type { Backend } from '../../src/routing/backend.js';
import { DEFAULT_CALLER_LIMITS } from '../../src/routing/configuration.js';
import type { RoutingConfiguration } from '../../src/routing/configuration.js';
import { softwareVersionOf } from '../../src/streams/software-version.js';
import { StreamOriginTable } from '../../src/streams/stream-origin-table.js';
import type { StreamOriginQuery, HoldStreamOrigin } from '../../src/streams/stream-origin.js';
import { routeOf } from './gateway-harness.js';
import { HeapClock } from './heap-clock.js';
import { GatewayMachine, LINK_MS, peerAddress, ZONES } from './stream-gateway.js';
import type { GatewayProcess } from './stream-gateway.js';
import { positionAt } from './store-positions.js';
import { VirtualNetwork } from './virtual-network.js';
import type { NetworkHost } from './virtual-network.js';

/** How the processes of streams are identified. */
export interface IdentificationOptions {
  /** Longest time until a query is answered, in milliseconds. */
  readonly maxMs: number;
  /** Share of the queries that nobody answers. */
  readonly unansweredShare: number;
}

/** Options of a fleet. */
export interface StreamFleetOptions {
  readonly seed: number;
  readonly gateways: number;
  readonly backends: number;
  /**
   * How gateways identify the processes that run streams; omitted for backends that neither announce
   * nor report when they started.
   */
  readonly identification?: IdentificationOptions;
  /** Injects a fault into each gateway process when it starts. */
  readonly injectFault?: (process: GatewayProcess) => void;
}

/** Number of events of a stream. */
export const EVENTS = 10;
const EVENT_INTERVAL_MS = 60;
const TICK_MS = 100;
const SLOTS = 8;
const STORE_LAG_MS = 40;
const TIMEOUT_MS = 4_000;
/** Share of the attempts that find an idle connection of an earlier one. */
const REUSE_SHARE = 0.8;
const ENGINE_SETTINGS = {
  maxConnections: 100,
  isEngine: true,
  tokensPerEvent: 0,
  coldStartMs: 0,
  coldRequestsPerS: 0,
};

/** One life of a backend. */
export interface BackendLife {
  readonly backend: Backend;
  readonly host: string;
  /** Version that the process runs; it is not announced after an unannounced restart. */
  readonly runningVersion: string;
  readonly bornAtMs: number;
  isRunning: boolean;
  readonly onCrash: Set<() => void>;
}

/** A slot agent, which holds origins on the machine of a backend. */
interface SimulatedAgent {
  readonly host: string;
  readonly zone: string;
  readonly table: StreamOriginTable;
}

/** The whole fleet. */
export class StreamFleet {
  readonly clock = new HeapClock();
  readonly network = new VirtualNetwork(this.clock);
  readonly random: RandomSource;
  private readonly processRandom: RandomSource;
  private readonly identification: IdentificationOptions | undefined;
  /** Processes that each gateway process has identified on its connections. */
  private readonly identifiedLives = new WeakMap<NetworkHost, WeakSet<BackendLife>>();
  readonly machines: readonly GatewayMachine[];
  readonly lives: BackendLife[] = [];
  readonly injectFault: StreamFleetOptions['injectFault'];
  readonly eventCounts = new Map<string, number>();
  /** Pairs of machines between which messages do not pass, as `from>to`. */
  readonly cuts = new Set<string>();
  isStoreDown = false;
  private readonly agents = new Map<string, SimulatedAgent>();
  private agentGeneration = 0;
  private readonly drainingIds = new Set<string>();
  private configuration: RoutingConfiguration;
  private revision = 0;

  constructor(options: StreamFleetOptions) {
    this.random = new SeededRandom(options.seed);
    this.processRandom = new SeededRandom(options.seed + 3_000);
    this.identification = options.identification;
    this.configuration = this.configurationOf(1, [{ service: 's', weight: 1 }]);
    this.injectFault = options.injectFault;
    this.network.isOpen = (from, to) => !this.cuts.has(`${from}>${to}`);
    this.machines = Array.from(
      { length: options.gateways },
      (_none, index) => new GatewayMachine(index, this),
    );
    for (let index = 0; index < options.backends; index += 1) {
      this.startBackend(`b${index}`, index % 2 === 0 ? 'v1' : 'v2');
    }
    this.machines.forEach((machine) => machine.start());
    this.scheduleEvery(TICK_MS, () => this.confirmKnowledge());
  }

  get seeds(): string[] {
    return this.machines.slice(0, 3).map(({ address }) => peerAddress(address));
  }

  async advance(forMs: number): Promise<void> {
    const untilMs = this.clock.now() + forMs;
    while (this.clock.step(untilMs)) {
      await new Promise((resolve) => setImmediate(resolve));
    }
  }

  scheduleEvery(periodMs: number, action: () => void): void {
    this.clock.setTimeout(() => {
      action();
      this.scheduleEvery(periodMs, action);
    }, periodMs);
  }

  countEvent(event: string): void {
    this.eventCounts.set(event, (this.eventCounts.get(event) ?? 0) + 1);
  }

  /** The clock of one process: its timers run late while it is paused, and not once it has ended. */
  processClock(host: NetworkHost): Clock {
    return {
      now: () => this.clock.now(),
      setTimeout: (callback, delayMs) =>
        this.clock.setTimeout(() => host.runWhenActive(callback), delayMs),
      clearTimeout: (handle) => handle !== undefined && this.clock.clearTimeout(handle),
    };
  }

  /** Starts a backend on a machine, at its address; announces it to the store. */
  startBackend(host: string, version: string, service = 's'): BackendLife {
    this.revision += 1;
    const index = Number(host.slice(1));
    const name = `${host}-${this.revision}`;
    const bornAtMs = this.clock.now();
    const reportsStartTime = this.identification !== undefined;
    const id = reportsStartTime ? `${name}@${bornAtMs}` : name;
    const zone = ZONES[index % ZONES.length]!;
    if (!this.agents.has(host)) {
      this.agents.set(host, { host, zone, table: new StreamOriginTable() });
      this.agentGeneration += 1;
    }
    const life: BackendLife = {
      host,
      runningVersion: version,
      bornAtMs,
      isRunning: true,
      onCrash: new Set(),
      backend: {
        id,
        name: headerValue(name),
        bornAtMs: reportsStartTime ? bornAtMs : undefined,
        service,
        address: `${host}:9`,
        zone,
        version,
        slots: SLOTS,
        state: 'ready',
        sequence: 1,
        remainingColdMs: 0,
        ...positionAt(this.revision),
      },
    };
    this.lives.push(life);
    this.tellGateways((process) => process.applyBackend(id, life.backend));
    return life;
  }

  /** Marks a backend as draining; it serves on. */
  drainBackend({ backend }: BackendLife): void {
    this.revision += 1;
    this.drainingIds.add(backend.id);
    const draining: Backend = { ...backend, state: 'draining', ...positionAt(this.revision) };
    this.tellGateways((process) => process.applyBackend(backend.id, draining));
  }

  /** Number of running backends of a version, as `service/version`, that are not draining. */
  countReady(version: string): number {
    return this.lives.filter(
      ({ backend, runningVersion, isRunning }) =>
        isRunning &&
        !this.drainingIds.has(backend.id) &&
        `${backend.service}/${runningVersion}` === version,
    ).length;
  }

  /** Ends a backend; its record lapses later. */
  crashBackend(life: BackendLife, lapseMs: number): void {
    life.isRunning = false;
    life.onCrash.forEach((onCrash) => onCrash());
    this.lives.splice(this.lives.indexOf(life), 1);
    this.clock.setTimeout(() => {
      this.tellGateways((process) => process.applyBackend(life.backend.id, undefined));
    }, lapseMs);
  }

  /**
   * Ends a backend's process and starts another one with `version` under its name, which announces
   * itself after `announceMs` only.
   */
  restartUnannounced(
    life: BackendLife,
    version: string,
    { downMs, announceMs }: { readonly downMs: number; readonly announceMs: number },
  ): void {
    life.isRunning = false;
    life.onCrash.forEach((onCrash) => onCrash());
    this.lives.splice(this.lives.indexOf(life), 1);
    this.clock.setTimeout(() => {
      const bornAtMs = this.clock.now();
      const next = { ...life, runningVersion: version, bornAtMs, isRunning: true };
      this.lives.push({ ...next, onCrash: new Set() });
      this.clock.setTimeout(() => this.announceRestart(life, version, bornAtMs), announceMs);
    }, downMs);
  }

  private announceRestart({ backend }: BackendLife, version: string, bornAtMs: number): void {
    const index = this.lives.findIndex(
      (life) => life.backend.id === backend.id && life.bornAtMs === bornAtMs,
    );
    if (index < 0) {
      return;
    }
    this.revision += 1;
    const id = `${backend.name}@${bornAtMs}`;
    const announced = { ...backend, id, bornAtMs, version, ...positionAt(this.revision) };
    const life = this.lives[index]!;
    this.lives[index] = Object.assign(life, { backend: announced });
    this.tellGateways((process) => {
      process.applyBackend(id, announced);
      process.applyBackend(backend.id, undefined);
    });
  }

  /** Loses the slot agent of a machine with all that it holds. */
  loseAgent(host: string): void {
    const agent = this.agents.get(host)!;
    this.agents.set(host, { ...agent, table: new StreamOriginTable() });
  }

  /** Ends the slot agent of a machine for good. */
  removeAgent(host: string): void {
    this.agents.delete(host);
    this.agentGeneration += 1;
  }

  changeRoute(services: RoutingConfiguration['routes'][number]['services']): void {
    this.configuration = this.configurationOf(this.configuration.version + 1, services);
    this.tellGateways((process) => process.applyConfiguration(this.configuration));
  }

  /** Gives a gateway that starts all records, from the store or else from another gateway. */
  sendListing(machine: GatewayMachine): void {
    const { process } = machine;
    this.clock.setTimeout(() => {
      if (process === undefined || machine.process !== process) {
        return;
      }
      if (!this.isStoreDown && !machine.isCutFromStore) {
        this.lives.forEach(({ backend }) => process.applyBackend(backend.id, backend));
        process.applyConfiguration(this.configuration);
        return;
      }
      const peer = this.machines.find(
        (other) => other !== machine && other.process?.configuration.table !== undefined,
      );
      if (peer === undefined) {
        this.sendListing(machine);
        return;
      }
      for (const { backend, unlistedAtMs } of peer.process!.directory.list()) {
        if (unlistedAtMs === undefined) {
          process.applyBackend(backend.id, backend);
        }
      }
      process.applyConfiguration(peer.process!.configuration.table!.configuration);
    }, STORE_LAG_MS);
  }

  agentsSeenBy(process: GatewayProcess, host: NetworkHost) {
    const { agents, agentGeneration: generation, clock } = this;
    const passes = (from: string, to: string) => !this.cuts.has(`${from}>${to}`);
    return {
      get generation() {
        const ids = process.directory.list().map(({ backend }) => backend.id);
        return hashText([generation, ...ids].join());
      },
      get connectedAgents() {
        return process.directory
          .list()
          .map((known) => ({ known, agent: agents.get(splitAddress(known.backend.address).host) }))
          .filter(({ known, agent }) => known.isCurrent && agent !== undefined)
          .map(({ known, agent }) => ({
            host: agent!.host,
            zone: agent!.zone,
            service: known.backend.service,
            version: softwareVersionOf(known.backend),
            isLeaving: !known.isReady,
          }));
      },
      sendToHost: (name: string, message: HoldStreamOrigin | StreamOriginQuery) => {
        const agent = agents.get(name);
        if (agent === undefined) {
          return false;
        }
        clock.setTimeout(() => {
          if (agents.get(name) !== agent || !passes(host.address, name)) {
            return;
          }
          if (message.kind === 'stream-began') {
            agent.table.hold(message.origin, clock.now());
            return;
          }
          const origin = message.key && agent.table.report(message.key, clock.now());
          clock.setTimeout(
            () =>
              host.runWhenActive(() =>
                process.streams.receiveAnswer({ kind: 'stream-answer', id: message.id, origin }),
              ),
            LINK_MS,
          );
        }, LINK_MS);
        return true;
      },
    };
  }

  /** Runs an attempt at the backend that it names. */
  run(host: NetworkHost, attempt: OutgoingAttempt, handlers: AttemptHandlers): AttemptHandle {
    let isCancelled = false;
    const notify = (action: () => void) =>
      this.clock.setTimeout(
        () => host.runWhenActive(() => void (isCancelled || action())),
        LINK_MS,
      );
    const [name, lastEventId, requestId] = attempt.headers;
    const headers = { 'request-id': requestId };
    this.clock.setTimeout(() => {
      const life = this.lives.find(
        ({ host: machine }) => `${machine}:9` === attempt.backend.address,
      );
      if (life === undefined || !life.isRunning) {
        notify(() =>
          handlers.onFailure({ mayHaveRun: false, isPortClosed: true, detail: 'refused' }),
        );
        return;
      }
      if (life.backend.name !== name) {
        notify(() => handlers.onHead({ status: 421, rawHeaders: [], headers }));
        return;
      }
      const onCrash = () =>
        notify(() =>
          handlers.onFailure({ mayHaveRun: true, isPortClosed: false, detail: 'crashed' }),
        );
      life.onCrash.add(onCrash);
      if (attempt.needsProcess === true) {
        this.identify(host, life, (process) => notify(() => handlers.onProcess?.(process)));
      }
      notify(() => handlers.onHead({ status: 200, rawHeaders: [], headers }));
      const makeEvent = (number: number) => {
        if (isCancelled || !life.isRunning) {
          return;
        }
        if (number > EVENTS) {
          life.onCrash.delete(onCrash);
          notify(() => handlers.onEnd());
          return;
        }
        const { service } = life.backend;
        const data = `${service}/${life.runningVersion}`;
        notify(() => handlers.onData(Buffer.from(`id: ${number}\ndata: ${data}\n\n`)));
        this.clock.setTimeout(() => makeEvent(number + 1), EVENT_INTERVAL_MS);
      };
      this.clock.setTimeout(() => makeEvent(Number(lastEventId) + 1), EVENT_INTERVAL_MS / 2);
    }, LINK_MS);
    return {
      cancel: () => void (isCancelled = true),
      discardForeignResponse: () => void (isCancelled = true),
      withdraw: () => false,
      pause: () => undefined,
      resume: () => undefined,
    };
  }

  /**
   * Identifies the process of a connection, unless the connection ends first; at once for one that
   * an earlier attempt identified.
   */
  private identify(
    host: NetworkHost,
    life: BackendLife,
    onResult: (process: IdentifiedProcess | undefined) => void,
  ): void {
    const { maxMs, unansweredShare } = this.identification!;
    const identified = this.identifiedLives.get(host) ?? new WeakSet();
    this.identifiedLives.set(host, identified);
    const process = { bornAtMs: life.bornAtMs, source: 'agent' } as const;
    if (identified.has(life) && this.processRandom.next() < REUSE_SHARE) {
      onResult(process);
      return;
    }
    const isAnswered = this.processRandom.next() >= unansweredShare;
    this.clock.setTimeout(
      () => {
        if (life.isRunning && isAnswered) {
          identified.add(life);
        }
        if (life.isRunning) {
          onResult(isAnswered ? process : undefined);
        }
      },
      randomInteger(this.processRandom, 1, maxMs),
    );
  }

  private tellGateways(tell: (process: GatewayProcess) => void): void {
    const lagMs = () => randomInteger(this.random, 2, STORE_LAG_MS);
    for (const machine of this.machines) {
      this.tellWhenReachable(machine, tell, lagMs());
    }
  }

  private tellWhenReachable(
    machine: GatewayMachine,
    tell: (process: GatewayProcess) => void,
    delayMs: number,
  ): void {
    const { process } = machine;
    this.clock.setTimeout(() => {
      if (process === undefined || machine.process !== process) {
        return;
      }
      if (this.isStoreDown || machine.isCutFromStore) {
        this.tellWhenReachable(machine, tell, TICK_MS);
      } else {
        tell(process);
      }
    }, delayMs);
  }

  private confirmKnowledge(): void {
    for (const { process, isCutFromStore } of this.machines) {
      if (!this.isStoreDown && !isCutFromStore) {
        process?.noteStoreHeard();
      }
    }
  }

  private configurationOf(
    version: number,
    services: RoutingConfiguration['routes'][number]['services'],
  ): RoutingConfiguration {
    const names = this.identification === undefined ? [] : ['s', 't'];
    const engines = names.map((name) => ({ name, ...ENGINE_SETTINGS }));
    return { ...configurationOf(version, services), services: engines };
  }
}

function configurationOf(
  version: number,
  services: RoutingConfiguration['routes'][number]['services'],
): RoutingConfiguration {
  const route = routeOf({
    kind: 'stream',
    isResumable: true,
    timeoutMs: TIMEOUT_MS,
    targetLatencyMs: 500,
    maxPauseMs: 300,
    maxAttempts: 3,
    services,
  });
  return {
    version,
    routes: [route],
    services: [],
    tenants: [],
    limits: DEFAULT_CALLER_LIMITS,
  };
}
