/**
 * Simulated fleet of gateways that replicate the store's records, on a virtual clock. It runs the
 * real follower, reader selection, record exchange and peer mesh over a virtual network, injects
 * faults of the store, of network paths and of processes, and checks continuously whether each
 * change is in force on each gateway in time.
 */
import type { StoreRecord } from '../../src/cluster/replicated-records.js';
import { NO_EPOCH, NO_POSITION } from '../../src/cluster/store-position.js';
import type { Clock } from '../../src/clock.js';
import { GatewayCluster } from '../../src/gateway/gateway-cluster.js';
import type { GatewayClusterDependencies } from '../../src/gateway/gateway-cluster.js';
import { PEER_TICK_MS } from '../../src/gateway/links/heartbeat-intervals.js';
import { SeededRandom } from '../../src/random.js';
import type { RandomSource } from '../../src/random.js';
import { HeapClock } from './heap-clock.js';
import type { NetworkHost } from './virtual-network.js';
import { VirtualNetwork } from './virtual-network.js';
import { STORE_ADDRESS, VirtualStore } from './virtual-store.js';
import type { StoreMode } from './virtual-store.js';

/** Options of a fleet. */
export interface StoreFleetOptions {
  readonly seed: number;
  readonly gateways: number;
  /** Whether the store reports epochs. Default false. */
  readonly reportsEpochs?: boolean;
  /** See `VirtualNetwork`. Default true. */
  readonly needsAcknowledgement?: boolean;
  /** Injects a fault into each process when it starts. */
  readonly injectFault?: (cluster: GatewayCluster) => void;
}

/** Which peers a machine is cut off from. */
export type CutScope = 'all' | 'store' | 'peers';
/** Direction of the cut traffic, seen from the machine. */
export type CutDirection = 'both' | 'out' | 'in';

/** A configuration version that the store acknowledged. */
export interface FleetChange {
  readonly version: number;
  readonly atMs: number;
}

/** An order of operators to evacuate the zone, or the end of the evacuation. */
export interface EvacuationOrder {
  readonly number: number;
  readonly isOrdered: boolean;
  readonly atMs: number;
}

/** A backend that was marked as draining. */
export interface BackendDeparture {
  readonly backend: string;
  readonly atMs: number;
}

/** A gateway that did not apply a change within the time limit. */
export interface LateGateway {
  readonly gateway: string;
  readonly change: FleetChange;
  readonly atMs: number;
}

/** A fault of the store. */
interface StoreFault {
  readonly untilMs: number;
  /** Whether the fault affects all gateways: the store is down, slow or loses responses. */
  readonly affectsAll: boolean;
}

const STORE_TIMEOUT_MS = 1_500;
const CHECK_INTERVAL_MS = 50;
const PEERS_PORT = 1;
/** Keys of the configuration, and of the evacuation order, which is removed and written again. */
const CONFIGURATION_KEY = 'op/config';
const EVACUATION_KEY = 'op/evacuate/z';
/** Prefix of the keys that backends register with. */
const BACKEND_PREFIX = 'servers/';
/** Maximum delay until owners rewrite the records that a restored store lacks. */
const MAX_REWRITE_DELAY_MS = 500;

/** Record that a backend writes about itself. */
interface BackendRecord {
  readonly sequence: number;
  readonly state: 'ready' | 'draining';
}

/**
 * Returns the version number that the owner wrote into a record: the version of a configuration, or
 * the sequence of a backend's record. An evacuation order has a higher one than its removal.
 */
function ownerVersionOf({ key, value }: StoreRecord): number | undefined {
  if (key === EVACUATION_KEY) {
    return value === undefined ? 0 : 1;
  }
  if (value === undefined) {
    return undefined;
  }
  if (key === CONFIGURATION_KEY) {
    return Number(value);
  }
  return key.startsWith(BACKEND_PREFIX) ? (JSON.parse(value) as BackendRecord).sequence : undefined;
}

function compareByOwner(left: StoreRecord, right: StoreRecord): number | undefined {
  const [leftVersion, rightVersion] = [ownerVersionOf(left), ownerVersionOf(right)];
  return leftVersion === undefined || rightVersion === undefined
    ? undefined
    : leftVersion - rightVersion;
}

/** A machine and the successive gateway processes that run on it. */
export class FleetMachine implements NetworkHost {
  cluster: GatewayCluster | undefined;
  /** Configuration version in force on the gateway; 0 for none. */
  version = 0;
  /** Whether the gateway treats the zone as evacuated. */
  isEvacuated = false;
  /** Whether each known backend is draining, by id. */
  readonly draining = new Map<string, boolean>();
  /** End of the last kill, pause or complete partition of the machine, in milliseconds. */
  disruptedUntilMs = 0;
  /**
   * Until when the machine has no path to the store, or is refused by it; likewise for paths to
   * other gateways.
   */
  storeUnreachableUntilMs = 0;
  private peersUnreachableUntilMs = 0;
  private readonly cuts = new Set<{ readonly scope: CutScope; readonly direction: CutDirection }>();
  private starts = 0;
  private pausedUntilMs = 0;
  private host: NetworkHost | undefined;

  constructor(
    readonly index: number,
    private readonly fleet: StoreFleet,
  ) {}

  get address(): string {
    return `m${this.index}`;
  }

  /** Until when the machine can reach neither the store nor a peer, in milliseconds. */
  get isolatedUntilMs(): number {
    return Math.min(this.storeUnreachableUntilMs, this.peersUnreachableUntilMs);
  }

  runWhenActive(action: () => void): void {
    this.runInStart(this.starts, action);
  }

  /**
   * Runs `action` in the process with the start number `start`: after any pause, and not at all
   * once that process has ended.
   */
  private runInStart(start: number, action: () => void): void {
    const waitMs = this.pausedUntilMs - this.fleet.clock.now();
    if (start !== this.starts) {
      return;
    }
    if (waitMs > 0) {
      this.fleet.clock.setTimeout(() => this.runInStart(start, action), waitMs);
    } else {
      action();
    }
  }

  start(): void {
    this.starts += 1;
    const start = this.starts;
    this.version = 0;
    this.isEvacuated = false;
    this.draining.clear();
    const host: NetworkHost = {
      address: this.address,
      runWhenActive: (action) => this.runInStart(start, action),
    };
    const cluster = new GatewayCluster(this.fleet.dependenciesOf(this, host, start));
    this.cluster = cluster;
    this.host = host;
    this.fleet.injectFault?.(cluster);
    cluster.start();
    const tick = () => {
      cluster.tick();
      this.fleet.clock.setTimeout(() => this.runInStart(start, tick), PEER_TICK_MS);
    };
    this.fleet.clock.setTimeout(() => this.runInStart(start, tick), this.index % PEER_TICK_MS);
  }

  /** Kills the process and starts it again after `downMs`. */
  kill(downMs: number): void {
    const nowMs = this.fleet.clock.now();
    if (this.cluster === undefined) {
      return;
    }
    this.recordDisruption(nowMs + downMs);
    this.fleet.network.endProcess(this.host!);
    this.cluster = undefined;
    this.starts += 1;
    this.fleet.clock.setTimeout(() => this.start(), downMs);
  }

  /** Suspends the process. */
  pause(forMs: number): void {
    this.pausedUntilMs = this.fleet.clock.now() + forMs;
    this.recordDisruption(this.pausedUntilMs);
  }

  /** Cuts network paths of the machine. */
  cut(scope: CutScope, direction: CutDirection, forMs: number): void {
    const cut = { scope, direction };
    this.cuts.add(cut);
    const untilMs = this.fleet.clock.now() + forMs;
    this.fleet.recordFault(untilMs);
    if (scope === 'all') {
      this.recordDisruption(untilMs);
    } else if (scope === 'store') {
      this.storeUnreachableUntilMs = Math.max(this.storeUnreachableUntilMs, untilMs);
    } else {
      this.peersUnreachableUntilMs = Math.max(this.peersUnreachableUntilMs, untilMs);
    }
    this.fleet.clock.setTimeout(() => this.cuts.delete(cut), forMs);
  }

  /** Whether traffic to (`out`) or from (`in`) the machine `other` is cut. */
  isCut(other: string, requested: 'out' | 'in'): boolean {
    return [...this.cuts].some(({ scope, direction }) => {
      const matchesScope = scope === 'all' || (scope === 'store') === (other === STORE_ADDRESS);
      return matchesScope && (direction === 'both' || direction === requested);
    });
  }

  applyRecords(records: readonly StoreRecord[]): void {
    for (const { key, value } of records) {
      if (key === EVACUATION_KEY) {
        this.isEvacuated = value !== undefined;
      }
      if (key.startsWith(BACKEND_PREFIX)) {
        this.applyBackendRecord(key.slice(BACKEND_PREFIX.length), value);
      }
      if (key === CONFIGURATION_KEY && value !== undefined && Number(value) > this.version) {
        this.version = Number(value);
      }
    }
  }

  private applyBackendRecord(id: string, value: string | undefined): void {
    if (value === undefined) {
      this.draining.delete(id);
    } else {
      const isDraining = (JSON.parse(value) as BackendRecord).state === 'draining';
      if (!isDraining && this.draining.get(id) === true) {
        this.fleet.revertedToReady.push(
          `${this.address}: ${id} ready again at ${this.fleet.clock.now()} ms`,
        );
      }
      this.draining.set(id, isDraining);
    }
  }

  private recordDisruption(untilMs: number): void {
    this.fleet.recordFault(untilMs);
    this.disruptedUntilMs = Math.max(this.disruptedUntilMs, untilMs);
  }
}

/** A fleet of gateways and their store. */
export class StoreFleet {
  readonly clock = new HeapClock();
  readonly network = new VirtualNetwork(this.clock);
  readonly random: RandomSource;
  readonly store: VirtualStore;
  readonly machines: readonly FleetMachine[];
  readonly changes: FleetChange[] = [];
  readonly evacuationOrders: EvacuationOrder[] = [];
  readonly departures: BackendDeparture[] = [];
  private readonly backends = new Map<string, BackendRecord>();
  /**
   * Gateways that treated a draining backend as ready for too long, once per gateway and backend.
   */
  readonly lateForDepartures: string[] = [];
  /** Gateways that treated a backend as ready again after they knew that it drains. */
  readonly revertedToReady: string[] = [];
  /** Whether a gateway that does not know yet that a backend drains is late. */
  isLateForDeparture: (
    machine: FleetMachine,
    departure: BackendDeparture,
    nowMs: number,
  ) => boolean = () => false;
  /** Gateways that applied an evacuation order, or its end, too late. */
  readonly lateForEvacuations: string[] = [];
  /** Whether a gateway that has not applied an evacuation order, or its end, is late. */
  isLateForEvacuation: (machine: FleetMachine, order: EvacuationOrder, nowMs: number) => boolean =
    () => false;
  /** Gateways that applied a change too late, once per gateway and change. */
  readonly lateGateways: LateGateway[] = [];
  readonly injectFault: StoreFleetOptions['injectFault'];
  /** Whether a gateway that has not applied a change is late. By default none is. */
  isLate: (machine: FleetMachine, change: FleetChange, nowMs: number) => boolean = () => false;
  /** Called for each log line of a gateway. */
  onLogLine: ((machine: FleetMachine, event: string, fields: object) => void) | undefined;
  private readonly storeFaults: StoreFault[] = [];
  private readonly reported = new Set<string>();
  private faultUntilMs = -Infinity;

  constructor(options: StoreFleetOptions) {
    this.random = scenarioRandom(options.seed);
    this.injectFault = options.injectFault;
    this.network.needsAcknowledgement = options.needsAcknowledgement ?? true;
    this.store = new VirtualStore(this.clock, this.network, this.random);
    this.store.epoch = options.reportsEpochs === true ? 1 : NO_EPOCH;
    this.machines = Array.from(
      { length: options.gateways },
      (_none, index) => new FleetMachine(index, this),
    );
    this.network.isOpen = (from, to) => !this.isCut(from, to);
    this.changeConfiguration();
    this.machines.forEach((machine) => machine.start());
    this.scheduleEvery(CHECK_INTERVAL_MS, () => this.checkMachines());
  }

  /** Advances the clock by `forMs`. */
  async run(forMs: number): Promise<void> {
    const untilMs = this.clock.now() + forMs;
    while (this.clock.step(untilMs)) {
      await new Promise((resolve) => setImmediate(resolve));
    }
  }

  /** Calls `act` every `periodMs`. */
  scheduleEvery(periodMs: number, act: () => void): void {
    this.clock.setTimeout(() => {
      act();
      this.scheduleEvery(periodMs, act);
    }, periodMs);
  }

  /** Calls `act` at `atMs`. */
  scheduleAt(atMs: number, act: () => void): void {
    this.clock.setTimeout(act, atMs - this.clock.now());
  }

  /** Writes a new configuration version to the store. */
  changeConfiguration(): FleetChange {
    const change = { version: this.changes.length + 1, atMs: this.clock.now() };
    this.store.put(CONFIGURATION_KEY, String(change.version));
    this.changes.push(change);
    return change;
  }

  /** Writes the order of operators to evacuate the zone, or removes it. */
  orderEvacuation(isOrdered: boolean): void {
    const number = this.evacuationOrders.length + 1;
    this.evacuationOrders.push({ number, isOrdered, atMs: this.clock.now() });
    this.writeEvacuation(isOrdered);
  }

  private writeEvacuation(isOrdered: boolean): void {
    if (isOrdered) {
      this.store.put(EVACUATION_KEY, '{}');
    } else {
      this.store.remove(EVACUATION_KEY);
    }
  }

  /** Registers a backend as ready. */
  announceBackend(backend: string): void {
    this.writeBackend(backend, { sequence: 1, state: 'ready' });
  }

  /** Marks a backend as draining. */
  drainBackend(backend: string): void {
    const sequence = (this.backends.get(backend)?.sequence ?? 0) + 1;
    this.writeBackend(backend, { sequence, state: 'draining' });
    this.departures.push({ backend, atMs: this.clock.now() });
  }

  private writeBackend(backend: string, record: BackendRecord): void {
    this.backends.set(backend, record);
    this.store.put(`${BACKEND_PREFIX}${backend}`, JSON.stringify(record));
  }

  /**
   * Takes the store down for `downMs` and restores it from a backup made `backupAgeMs` before. The
   * owners of lost records write them again soon after.
   */
  restoreStore(downMs: number, backupAgeMs: number, mode: StoreMode = 'resets'): void {
    const backupAtMs = this.clock.now() - backupAgeMs;
    this.setStoreFault(mode, downMs);
    this.scheduleAt(this.clock.now() + downMs, () => {
      this.store.restore(backupAtMs);
      this.scheduleAt(this.clock.now() + this.random.next() * MAX_REWRITE_DELAY_MS, () =>
        this.rewriteLostRecords(),
      );
    });
  }

  private rewriteLostRecords(): void {
    const newest = String(this.changes.length);
    if (this.store.read(CONFIGURATION_KEY) !== newest) {
      this.store.put(CONFIGURATION_KEY, newest);
    }
    const isOrdered = this.evacuationOrders.at(-1)?.isOrdered === true;
    if (isOrdered !== (this.store.read(EVACUATION_KEY) !== undefined)) {
      this.writeEvacuation(isOrdered);
    }
    for (const [backend, record] of this.backends) {
      const key = `${BACKEND_PREFIX}${backend}`;
      if (this.store.read(key) !== JSON.stringify(record)) {
        this.store.put(key, JSON.stringify(record));
      }
    }
  }

  /** Puts the store into a failure mode for all gateways. */
  setStoreFault(mode: StoreMode, forMs: number): void {
    this.recordStoreFault(forMs, true);
    this.store.mode = mode;
    this.clock.setTimeout(() => (this.store.mode = 'answers'), forMs);
  }

  /** Adds latency to the responses of the store. */
  slowStore(extraLatencyMs: number, forMs: number): void {
    this.recordStoreFault(forMs, true);
    this.store.extraLatencyMs = extraLatencyMs;
    this.clock.setTimeout(() => (this.store.extraLatencyMs = 0), forMs);
  }

  /** Drops a fraction of the store's responses. */
  loseResponses(lossRate: number, forMs: number): void {
    this.recordStoreFault(forMs, true);
    this.store.lossRate = lossRate;
    this.clock.setTimeout(() => (this.store.lossRate = 0), forMs);
  }

  /** Puts the store into a failure mode for some machines. */
  setStoreFaultFor(machines: readonly FleetMachine[], mode: StoreMode, forMs: number): void {
    this.recordStoreFault(forMs, false);
    for (const machine of machines) {
      const { address } = machine;
      const untilMs = this.clock.now() + forMs;
      machine.storeUnreachableUntilMs = Math.max(machine.storeUnreachableUntilMs, untilMs);
      this.store.machineModes.set(address, mode);
      this.clock.setTimeout(() => this.store.machineModes.delete(address), forMs);
    }
  }

  /**
   * Withholds changes from watches for `afterMs`, then drops the history and cancels the watches.
   */
  dropStoreHistory(afterMs: number): void {
    this.recordStoreFault(afterMs, false);
    this.store.isWithholdingChanges = true;
    this.clock.setTimeout(() => {
      this.store.isWithholdingChanges = false;
      this.store.dropHistory();
    }, afterMs);
  }

  /**
   * Earliest time from which some gateway has a path to the store after its own last fault, in
   * milliseconds.
   */
  get storePathSinceMs(): number {
    const sinceMs = this.machines.map(({ storeUnreachableUntilMs, disruptedUntilMs }) =>
      Math.max(storeUnreachableUntilMs, disruptedUntilMs),
    );
    return Math.min(...sinceMs);
  }

  /** Records that some part of the fleet has a fault until `untilMs`. */
  recordFault(untilMs: number): void {
    this.faultUntilMs = Math.max(this.faultUntilMs, untilMs);
  }

  /** Whether any part of the fleet had a fault at some time since `sinceMs`. */
  hadFault(sinceMs: number): boolean {
    return this.faultUntilMs >= sinceMs;
  }

  /** Whether the store had a fault at some time since `sinceMs`. */
  hadStoreFault(sinceMs: number): boolean {
    return this.storeFaults.some(({ untilMs }) => untilMs >= sinceMs);
  }

  /**
   * End of the last fault of the store that affects all gateways, or of the last one that affects
   * some, in milliseconds.
   */
  storeFaultUntilMs(affectsAll: boolean): number {
    const ends = this.storeFaults
      .filter((fault) => fault.affectsAll === affectsAll)
      .map(({ untilMs }) => untilMs);
    return Math.max(-Infinity, ...ends);
  }

  /** Dependencies of a gateway process. */
  dependenciesOf(
    machine: FleetMachine,
    host: NetworkHost,
    start: number,
  ): GatewayClusterDependencies {
    const { address } = machine;
    const peers = `${address}:${PEERS_PORT}`;
    const dependencies = {
      settings: {
        process: { name: address, zone: 'z' },
        places: { zones: new Map() },
        listen: { peers },
        cluster: { seeds: [0, 1, 2].map((index) => `m${index}:${PEERS_PORT}`) },
      },
      incarnation: `${address}.${start}`,
      store: this.store.clientFor(host, STORE_TIMEOUT_MS),
      quotas: { ageMs: 0, position: NO_POSITION, receiveHeartbeat: () => undefined },
      rollouts: { peerReports: () => undefined, applyPeerReports: () => undefined },
      crashes: { snapshot: () => [], merge: () => [] },
      statements: { tell: () => [], hearPeer: () => undefined },
      clock: this.clockFor(host),
      random: this.random,
      network: this.network.createPeerNetwork(host),
      log: {
        write: (event: string, _priority: string, fields: object) =>
          this.onLogLine?.(machine, event, fields),
      },
      metrics: { record: () => undefined },
      compareByOwner,
      onRecords: (records: readonly StoreRecord[]) => machine.applyRecords(records),
    };
    return dependencies as unknown as GatewayClusterDependencies;
  }

  private clockFor(host: NetworkHost): Clock {
    return {
      now: () => this.clock.now(),
      setTimeout: (callback, delayMs) => {
        const handle = { isCleared: false };
        this.clock.setTimeout(
          () => host.runWhenActive(() => handle.isCleared || callback()),
          delayMs,
        );
        return handle;
      },
      clearTimeout: (handle) => {
        if (handle !== undefined) {
          (handle as { isCleared: boolean }).isCleared = true;
        }
      },
    };
  }

  private isCut(from: string, to: string): boolean {
    const [sender, receiver] = [this.machineAt(from), this.machineAt(to)];
    return sender?.isCut(to, 'out') === true || receiver?.isCut(from, 'in') === true;
  }

  private machineAt(address: string): FleetMachine | undefined {
    return address === STORE_ADDRESS ? undefined : this.machines[Number(address.slice(1))];
  }

  private recordStoreFault(forMs: number, affectsAll: boolean): void {
    const untilMs = this.clock.now() + forMs;
    this.storeFaults.push({ untilMs, affectsAll });
    this.recordFault(untilMs);
  }

  private checkMachines(): void {
    const nowMs = this.clock.now();
    for (const machine of this.machines) {
      const change = this.changes.find(({ version }) => version > machine.version);
      const reportKey = `${machine.index}/${change?.version}`;
      if (
        change !== undefined &&
        machine.cluster !== undefined &&
        !this.reported.has(reportKey) &&
        this.isLate(machine, change, nowMs)
      ) {
        this.reported.add(reportKey);
        this.lateGateways.push({ gateway: machine.address, change, atMs: nowMs });
      }
      this.checkEvacuation(machine, nowMs);
      this.departures.forEach((departure) => this.checkDeparture(machine, departure, nowMs));
    }
  }

  private checkDeparture(machine: FleetMachine, departure: BackendDeparture, nowMs: number): void {
    const reportKey = `${machine.index}/departure ${departure.backend}`;
    if (
      machine.cluster !== undefined &&
      machine.draining.get(departure.backend) === false &&
      !this.reported.has(reportKey) &&
      this.isLateForDeparture(machine, departure, nowMs)
    ) {
      this.reported.add(reportKey);
      this.lateForDepartures.push(
        `${machine.address}: ${departure.backend} marked as draining at ${departure.atMs} ms, not applied`,
      );
    }
  }

  private checkEvacuation(machine: FleetMachine, nowMs: number): void {
    const order = this.evacuationOrders.at(-1);
    const reportKey = `${machine.index}/order ${order?.number}`;
    if (
      order !== undefined &&
      machine.cluster !== undefined &&
      machine.isEvacuated !== order.isOrdered &&
      !this.reported.has(reportKey) &&
      this.isLateForEvacuation(machine, order, nowMs)
    ) {
      this.reported.add(reportKey);
      const what = order.isOrdered ? 'evacuation ordered' : 'evacuation ended';
      this.lateForEvacuations.push(
        `${machine.address}: ${what} at ${order.atMs} ms, not applied by ${nowMs} ms`,
      );
    }
  }
}

const DISCARDED_DRAWS = 20;

/** Random source of a scenario. Skips the first draws, which are similar for neighbouring seeds. */
export function scenarioRandom(seed: number): RandomSource {
  const random = new SeededRandom(seed);
  for (let draw = 0; draw < DISCARDED_DRAWS; draw += 1) {
    random.next();
  }
  return random;
}
