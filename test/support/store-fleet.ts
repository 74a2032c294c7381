/**
 * Gateways that learn the store's records, on a virtual clock: the real follower, readers, exchange and mesh over a
 * virtual network, with troubles of the store, of paths and of processes; whether changes are in force in time is
 * looked at all the while.
 */
import type { StoreRecord } from '../../src/cluster/replicated-records.js';
import { NO_EPOCH, NO_POSITION } from '../../src/cluster/store-position.js';
import type { Clock } from '../../src/clock.js';
import { GatewayCluster } from '../../src/gateway/gateway-cluster.js';
import type { GatewayClusterParts } from '../../src/gateway/gateway-cluster.js';
import { PEER_TICK_MS } from '../../src/gateway/links/beat-times.js';
import { SeededRandom } from '../../src/random.js';
import type { RandomSource } from '../../src/random.js';
import { HeapClock } from './heap-clock.js';
import type { NetworkHost } from './virtual-network.js';
import { VirtualNetwork } from './virtual-network.js';
import { STORE_ADDRESS, VirtualStore } from './virtual-store.js';
import type { StoreTreatment } from './virtual-store.js';

/** Sizes of a fleet. */
export interface StoreFleetOptions {
  readonly seed: number;
  readonly gateways: number;
  /** Whether the store counts its epochs. Default false. */
  readonly countsEpochs?: boolean;
  /** See `VirtualNetwork`. Default true. */
  readonly needsAcknowledgement?: boolean;
  /** Breaks the parts of each process that starts. */
  readonly breakProcess?: (cluster: GatewayCluster) => void;
}

/** What a path of a machine is cut to. */
export type CutScope = 'all' | 'store' | 'peers';
/** Which way it is cut, seen from the machine. */
export type CutWay = 'both' | 'out' | 'in';

/** A change that the store acknowledged. */
export interface FleetChange {
  readonly version: number;
  readonly atMs: number;
}

/** An evacuation that operators ordered or took back. */
export interface FleetOrder {
  readonly number: number;
  readonly isOrdered: boolean;
  readonly atMs: number;
}

/** A back end that said it leaves. */
export interface FleetLeave {
  readonly backend: string;
  readonly atMs: number;
}

/** A gateway that did not know a change when it had to. */
export interface LateGateway {
  readonly gateway: string;
  readonly change: FleetChange;
  readonly atMs: number;
}

/** Trouble of the store, in milliseconds. */
interface StoreTrouble {
  readonly untilMs: number;
  /** Whether the store is down, slow or loses answers, for all. */
  readonly isWhole: boolean;
}

const STORE_TIMEOUT_MS = 1_500;
const LOOK_MS = 50;
const PEERS_PORT = 1;
/** The key that changes are written under, and one that comes and goes. */
const KEY = 'op/config';
const ORDER_KEY = 'op/evacuate/z';
/** Keys that back ends announce themselves under. */
const BACKEND_PREFIX = 'servers/';
/** Longest time until owners write again what a copy of the store lacks. */
const REWRITE_MS = 500;

/** What a back end says of itself. */
interface BackendEntry {
  readonly sequence: number;
  readonly state: 'ready' | 'draining';
}

/** The version of a change, the sequence of a back end's word; an order counts more than its end. */
function countOf({ key, value }: StoreRecord): number | undefined {
  if (key === ORDER_KEY) {
    return value === undefined ? 0 : 1;
  }
  if (value === undefined) {
    return undefined;
  }
  if (key === KEY) {
    return Number(value);
  }
  return key.startsWith(BACKEND_PREFIX) ? (JSON.parse(value) as BackendEntry).sequence : undefined;
}

function compareByOwner(left: StoreRecord, right: StoreRecord): number | undefined {
  const [leftCount, rightCount] = [countOf(left), countOf(right)];
  return leftCount === undefined || rightCount === undefined ? undefined : leftCount - rightCount;
}

/** A machine and the gateway that runs on it, start after start. */
export class FleetMachine implements NetworkHost {
  cluster: GatewayCluster | undefined;
  /** Version that the gateway has in force; 0 for none. */
  version = 0;
  /** Whether it knows the zone as evacuated. */
  isEvacuated = false;
  /** Whether back ends that it knows leave, by id. */
  readonly leaving = new Map<string, boolean>();
  /** Until when it was killed, paused or cut off from all, in milliseconds. */
  disturbedUntilMs = 0;
  /** Until when it has no path to the store, or is turned away, and to other gateways. */
  storeGoneUntilMs = 0;
  private peersGoneUntilMs = 0;
  private readonly cuts = new Set<{ readonly scope: CutScope; readonly way: CutWay }>();
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

  /** Until when it can learn from nobody, in milliseconds. */
  get isolatedUntilMs(): number {
    return Math.min(this.storeGoneUntilMs, this.peersGoneUntilMs);
  }

  act(action: () => void): void {
    this.actIn(this.starts, action);
  }

  /** Runs something in one start of the process. */
  private actIn(start: number, action: () => void): void {
    const waitMs = this.pausedUntilMs - this.fleet.clock.now();
    if (start !== this.starts) {
      return;
    }
    if (waitMs > 0) {
      this.fleet.clock.setTimeout(() => this.actIn(start, action), waitMs);
    } else {
      action();
    }
  }

  start(): void {
    this.starts += 1;
    const start = this.starts;
    this.version = 0;
    this.isEvacuated = false;
    this.leaving.clear();
    const host: NetworkHost = {
      address: this.address,
      act: (action) => this.actIn(start, action),
    };
    const cluster = new GatewayCluster(this.fleet.partsOf(this, host, start));
    this.cluster = cluster;
    this.host = host;
    this.fleet.breakProcess?.(cluster);
    cluster.start();
    const tick = () => {
      cluster.tick();
      this.fleet.clock.setTimeout(() => this.actIn(start, tick), PEER_TICK_MS);
    };
    this.fleet.clock.setTimeout(() => this.actIn(start, tick), this.index % PEER_TICK_MS);
  }

  /** The process is killed and starts anew after a while. */
  kill(awayMs: number): void {
    const nowMs = this.fleet.clock.now();
    if (this.cluster === undefined) {
      return;
    }
    this.disturb(nowMs + awayMs);
    this.fleet.network.endProcess(this.host!);
    this.cluster = undefined;
    this.starts += 1;
    this.fleet.clock.setTimeout(() => this.start(), awayMs);
  }

  /** The process stands still. */
  pause(forMs: number): void {
    this.pausedUntilMs = this.fleet.clock.now() + forMs;
    this.disturb(this.pausedUntilMs);
  }

  /** Paths of the machine are cut. */
  cut(scope: CutScope, way: CutWay, forMs: number): void {
    const cut = { scope, way };
    this.cuts.add(cut);
    const untilMs = this.fleet.clock.now() + forMs;
    this.fleet.noteTrouble(untilMs);
    if (scope === 'all') {
      this.disturb(untilMs);
    } else if (scope === 'store') {
      this.storeGoneUntilMs = Math.max(this.storeGoneUntilMs, untilMs);
    } else {
      this.peersGoneUntilMs = Math.max(this.peersGoneUntilMs, untilMs);
    }
    this.fleet.clock.setTimeout(() => this.cuts.delete(cut), forMs);
  }

  /** Whether a cut of this machine is in the way to or from `other`. */
  isCut(other: string, way: 'out' | 'in'): boolean {
    return [...this.cuts].some(({ scope, way: cutWay }) => {
      const isConcerned = scope === 'all' || (scope === 'store') === (other === STORE_ADDRESS);
      return isConcerned && (cutWay === 'both' || cutWay === way);
    });
  }

  take(records: readonly StoreRecord[]): void {
    for (const { key, value } of records) {
      if (key === ORDER_KEY) {
        this.isEvacuated = value !== undefined;
      }
      if (key.startsWith(BACKEND_PREFIX)) {
        this.takeBackend(key.slice(BACKEND_PREFIX.length), value);
      }
      if (key === KEY && value !== undefined && Number(value) > this.version) {
        this.version = Number(value);
      }
    }
  }

  private takeBackend(id: string, value: string | undefined): void {
    if (value === undefined) {
      this.leaving.delete(id);
    } else {
      const isLeaving = (JSON.parse(value) as BackendEntry).state === 'draining';
      if (!isLeaving && this.leaving.get(id) === true) {
        this.fleet.readyAgain.push(`${this.address}: ${id} at ${this.fleet.clock.now()}`);
      }
      this.leaving.set(id, isLeaving);
    }
  }

  private disturb(untilMs: number): void {
    this.fleet.noteTrouble(untilMs);
    this.disturbedUntilMs = Math.max(this.disturbedUntilMs, untilMs);
  }
}

/** A fleet of gateways before a store. */
export class StoreFleet {
  readonly clock = new HeapClock();
  readonly network = new VirtualNetwork(this.clock);
  readonly random: RandomSource;
  readonly store: VirtualStore;
  readonly machines: readonly FleetMachine[];
  readonly changes: FleetChange[] = [];
  readonly orders: FleetOrder[] = [];
  readonly leaves: FleetLeave[] = [];
  private readonly backends = new Map<string, BackendEntry>();
  /** Gateways that took a back end for ready that leaves, each once for each. */
  readonly lateForLeaves: string[] = [];
  /** Gateways that took a back end for ready that they had known to leave. */
  readonly readyAgain: string[] = [];
  /** When a gateway that does not know that a back end leaves is late. */
  isLateForLeave: (machine: FleetMachine, leave: FleetLeave, nowMs: number) => boolean = () =>
    false;
  /** Gateways that were late for an order, or for its end. */
  readonly lateForOrders: string[] = [];
  /** When a gateway that does not know whether the zone is evacuated is late. */
  isLateForOrder: (machine: FleetMachine, order: FleetOrder, nowMs: number) => boolean = () =>
    false;
  /** Gateways that were late, each once for each change. */
  readonly late: LateGateway[] = [];
  readonly breakProcess: StoreFleetOptions['breakProcess'];
  /** When a gateway that does not know a change is late; undefined for never. */
  isLate: (machine: FleetMachine, change: FleetChange, nowMs: number) => boolean = () => false;
  /** A gateway writes a line of its log. */
  onLine: ((machine: FleetMachine, event: string, fields: object) => void) | undefined;
  private readonly storeTroubles: StoreTrouble[] = [];
  private readonly noted = new Set<string>();
  private troubledUntilMs = -Infinity;

  constructor(options: StoreFleetOptions) {
    this.random = scenarioRandom(options.seed);
    this.breakProcess = options.breakProcess;
    this.network.needsAcknowledgement = options.needsAcknowledgement ?? true;
    this.store = new VirtualStore(this.clock, this.network, this.random);
    this.store.epoch = options.countsEpochs === true ? 1 : NO_EPOCH;
    this.machines = Array.from(
      { length: options.gateways },
      (_none, index) => new FleetMachine(index, this),
    );
    this.network.isOpen = (from, to) => !this.isCut(from, to);
    this.change();
    this.machines.forEach((machine) => machine.start());
    this.every(LOOK_MS, () => this.look());
  }

  /** Lets time pass. */
  async run(forMs: number): Promise<void> {
    const untilMs = this.clock.now() + forMs;
    while (this.clock.step(untilMs)) {
      await new Promise((resolve) => setImmediate(resolve));
    }
  }

  /** Calls `act` again and again. */
  every(periodMs: number, act: () => void): void {
    this.clock.setTimeout(() => {
      act();
      this.every(periodMs, act);
    }, periodMs);
  }

  /** Calls `act` at a moment. */
  at(atMs: number, act: () => void): void {
    this.clock.setTimeout(act, atMs - this.clock.now());
  }

  /** The store acknowledges a new version. */
  change(): FleetChange {
    const change = { version: this.changes.length + 1, atMs: this.clock.now() };
    this.store.put(KEY, String(change.version));
    this.changes.push(change);
    return change;
  }

  /** Operators evacuate the zone, or take it back. */
  order(isOrdered: boolean): void {
    const number = this.orders.length + 1;
    this.orders.push({ number, isOrdered, atMs: this.clock.now() });
    this.writeOrder(isOrdered);
  }

  private writeOrder(isOrdered: boolean): void {
    if (isOrdered) {
      this.store.put(ORDER_KEY, '{}');
    } else {
      this.store.remove(ORDER_KEY);
    }
  }

  /** A back end announces itself. */
  announce(backend: string): void {
    this.writeBackend(backend, { sequence: 1, state: 'ready' });
  }

  /** A back end says that it leaves. */
  leave(backend: string): void {
    const sequence = (this.backends.get(backend)?.sequence ?? 0) + 1;
    this.writeBackend(backend, { sequence, state: 'draining' });
    this.leaves.push({ backend, atMs: this.clock.now() });
  }

  private writeBackend(backend: string, entry: BackendEntry): void {
    this.backends.set(backend, entry);
    this.store.put(`${BACKEND_PREFIX}${backend}`, JSON.stringify(entry));
  }

  /**
   * The store is away and comes back with its state of `copyAgeMs` before it went; the owners of what is gone write it
   * again soon after.
   */
  restoreStore(awayMs: number, copyAgeMs: number, treatment: StoreTreatment = 'resets'): void {
    const copyAtMs = this.clock.now() - copyAgeMs;
    this.troubleStore(treatment, awayMs);
    this.at(this.clock.now() + awayMs, () => {
      this.store.restore(copyAtMs);
      this.at(this.clock.now() + this.random.next() * REWRITE_MS, () => this.rewrite());
    });
  }

  private rewrite(): void {
    const newest = String(this.changes.length);
    if (this.store.read(KEY) !== newest) {
      this.store.put(KEY, newest);
    }
    const isOrdered = this.orders.at(-1)?.isOrdered === true;
    if (isOrdered !== (this.store.read(ORDER_KEY) !== undefined)) {
      this.writeOrder(isOrdered);
    }
    for (const [backend, entry] of this.backends) {
      const key = `${BACKEND_PREFIX}${backend}`;
      if (this.store.read(key) !== JSON.stringify(entry)) {
        this.store.put(key, JSON.stringify(entry));
      }
    }
  }

  /** The store is in trouble for all. */
  troubleStore(treatment: StoreTreatment, forMs: number): void {
    this.noteStoreTrouble(forMs, true);
    this.store.treatment = treatment;
    this.clock.setTimeout(() => (this.store.treatment = 'answers'), forMs);
  }

  /** The store answers late. */
  slowStore(slowMs: number, forMs: number): void {
    this.noteStoreTrouble(forMs, true);
    this.store.slowMs = slowMs;
    this.clock.setTimeout(() => (this.store.slowMs = 0), forMs);
  }

  /** Answers of the store are lost. */
  loseAnswers(share: number, forMs: number): void {
    this.noteStoreTrouble(forMs, true);
    this.store.lossShare = share;
    this.clock.setTimeout(() => (this.store.lossShare = 0), forMs);
  }

  /** The store turns some machines away. */
  turnAway(machines: readonly FleetMachine[], treatment: StoreTreatment, forMs: number): void {
    this.noteStoreTrouble(forMs, false);
    for (const machine of machines) {
      const { address } = machine;
      const untilMs = this.clock.now() + forMs;
      machine.storeGoneUntilMs = Math.max(machine.storeGoneUntilMs, untilMs);
      this.store.turnedAway.set(address, treatment);
      this.clock.setTimeout(() => this.store.turnedAway.delete(address), forMs);
    }
  }

  /** Watches hear nothing for a while, then the history is dropped and they are cut. */
  forgetHistory(afterMs: number): void {
    this.noteStoreTrouble(afterMs, false);
    this.store.isWithholding = true;
    this.clock.setTimeout(() => {
      this.store.isWithholding = false;
      this.store.forgetHistory();
    }, afterMs);
  }

  /** When the first gateway has, or had, a path to the store after the last trouble of its own, in milliseconds. */
  get storePathSinceMs(): number {
    const sinceMs = this.machines.map(({ storeGoneUntilMs, disturbedUntilMs }) =>
      Math.max(storeGoneUntilMs, disturbedUntilMs),
    );
    return Math.min(...sinceMs);
  }

  /** Something in the fleet is in trouble until a moment. */
  noteTrouble(untilMs: number): void {
    this.troubledUntilMs = Math.max(this.troubledUntilMs, untilMs);
  }

  /** Whether anything was in trouble at some moment since `sinceMs`. */
  wasTroubled(sinceMs: number): boolean {
    return this.troubledUntilMs >= sinceMs;
  }

  /** Whether the store was in trouble at some moment since `sinceMs`. */
  wasStoreTroubled(sinceMs: number): boolean {
    return this.storeTroubles.some(({ untilMs }) => untilMs >= sinceMs);
  }

  /** When the last trouble of the store ends or ended, for all gateways or for some, in milliseconds. */
  storeTroubledUntilMs(isWhole: boolean): number {
    const ends = this.storeTroubles
      .filter((trouble) => trouble.isWhole === isWhole)
      .map(({ untilMs }) => untilMs);
    return Math.max(-Infinity, ...ends);
  }

  /** What a process is made from. */
  partsOf(machine: FleetMachine, host: NetworkHost, start: number): GatewayClusterParts {
    const { address } = machine;
    const peers = `${address}:${PEERS_PORT}`;
    const parts = {
      settings: {
        process: { name: address, zone: 'z' },
        places: { zones: new Map() },
        listen: { peers },
        cluster: { seeds: [0, 1, 2].map((index) => `m${index}:${PEERS_PORT}`) },
      },
      incarnation: `${address}.${start}`,
      store: this.store.of(host, STORE_TIMEOUT_MS),
      quotas: { ageMs: 0, position: NO_POSITION, hearBeat: () => undefined },
      rollouts: { tell: () => undefined, hear: () => undefined },
      crashes: { tell: () => [], hear: () => [] },
      statements: { tell: () => [], hearPeer: () => undefined },
      clock: this.clockOf(host),
      random: this.random,
      network: this.network.of(host),
      log: {
        write: (event: string, _priority: string, fields: object) =>
          this.onLine?.(machine, event, fields),
      },
      metrics: { record: () => undefined },
      compareByOwner,
      onRecords: (records: readonly StoreRecord[]) => machine.take(records),
    };
    return parts as unknown as GatewayClusterParts;
  }

  private clockOf(host: NetworkHost): Clock {
    return {
      now: () => this.clock.now(),
      setTimeout: (callback, delayMs) => {
        const handle = { isCleared: false };
        this.clock.setTimeout(() => host.act(() => handle.isCleared || callback()), delayMs);
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

  private noteStoreTrouble(forMs: number, isWhole: boolean): void {
    const untilMs = this.clock.now() + forMs;
    this.storeTroubles.push({ untilMs, isWhole });
    this.noteTrouble(untilMs);
  }

  private look(): void {
    const nowMs = this.clock.now();
    for (const machine of this.machines) {
      const change = this.changes.find(({ version }) => version > machine.version);
      const name = `${machine.index}/${change?.version}`;
      if (
        change !== undefined &&
        machine.cluster !== undefined &&
        !this.noted.has(name) &&
        this.isLate(machine, change, nowMs)
      ) {
        this.noted.add(name);
        this.late.push({ gateway: machine.address, change, atMs: nowMs });
      }
      this.lookForOrder(machine, nowMs);
      this.leaves.forEach((leave) => this.lookForLeave(machine, leave, nowMs));
    }
  }

  private lookForLeave(machine: FleetMachine, leave: FleetLeave, nowMs: number): void {
    const name = `${machine.index}/leave ${leave.backend}`;
    if (
      machine.cluster !== undefined &&
      machine.leaving.get(leave.backend) === false &&
      !this.noted.has(name) &&
      this.isLateForLeave(machine, leave, nowMs)
    ) {
      this.noted.add(name);
      this.lateForLeaves.push(`${machine.address}: ${leave.backend} left at ${leave.atMs}`);
    }
  }

  private lookForOrder(machine: FleetMachine, nowMs: number): void {
    const order = this.orders.at(-1);
    const name = `${machine.index}/order ${order?.number}`;
    if (
      order !== undefined &&
      machine.cluster !== undefined &&
      machine.isEvacuated !== order.isOrdered &&
      !this.noted.has(name) &&
      this.isLateForOrder(machine, order, nowMs)
    ) {
      this.noted.add(name);
      const what = order.isOrdered ? 'ordered' : 'taken back';
      this.lateForOrders.push(`${machine.address}: ${what} at ${order.atMs}, not by ${nowMs} ms`);
    }
  }
}

const DISCARDED_DRAWS = 20;

/** Draws for a scenario; the first of neighbouring seeds are much alike and are left out. */
export function scenarioRandom(seed: number): RandomSource {
  const random = new SeededRandom(seed);
  for (let draw = 0; draw < DISCARDED_DRAWS; draw += 1) {
    random.next();
  }
  return random;
}
