/**
 * Simulates gateways' quotas on a virtual clock, with crashes, pauses, partitions and store
 * outages.
 */
import type { Clock } from '../../src/clock.js';
import type { PeerHello, PeerMessage } from '../../src/cluster/peer-messages.js';
import { NO_PROGRESS } from '../../src/cluster/replicated-records.js';
import { StoreConflictError, StoreUnavailableError } from '../../src/cluster/cluster-store.js';
import { GatewayQuotas } from '../../src/gateway/gateway-quotas.js';
import { GatewayConditions } from '../../src/gateway/gateway-conditions.js';
import type { GatewayMetrics } from '../../src/gateway/metrics/gateway-metrics.js';
import type { GatewaySettings } from '../../src/gateway/gateway-settings.js';
import type { QuotaMembersRecord } from '../../src/gateway/quotas/quota-members.js';
import { decodeQuotaMembers } from '../../src/gateway/quotas/quota-members-format.js';
import { NO_QUOTA_MEMBERS } from '../../src/gateway/quotas/quota-members.js';
import type { QuotaRights } from '../../src/gateway/quotas/quota-rights.js';
import { maxPerWindow } from '../../src/gateway/quotas/quota-budget.js';
import { err, ok } from '../../src/result.js';
import type { RandomSource } from '../../src/random.js';
import { SeededRandom } from '../../src/random.js';
import type { TenantQuota } from '../../src/routing/configuration.js';
import { ZoneTopology } from '../../src/routing/zone-topology.js';
import type { DecisionLog } from '../../src/telemetry/decision-log.js';
import { HeapClock } from './heap-clock.js';
import { positionAt } from './store-positions.js';
import { isNoPosition, isSamePosition } from '../../src/cluster/store-position.js';
import type { StorePosition } from '../../src/cluster/store-position.js';

/** Faults injected into the quotas, which the checks of the fleet must detect. */
export interface QuotaFleetFault {
  /** Pools are full from the start of their process. */
  readonly startsFull?: boolean;
  /** A quota request that times out counts as granted. */
  readonly treatsTimeoutAsGrant?: boolean;
  /** Each pool is sized as one of two, whatever the number of pools. */
  readonly assumesTwoPools?: boolean;
  /** A gateway uses the rights of a new record before the other gateways have applied it. */
  readonly ignoresSettled?: boolean;
  /** Every restart of the fleet is credited, whatever the time since the last credit. */
  readonly creditsEachTime?: boolean;
  /** An older record, which the store returns after a restore from a backup, is applied. */
  readonly ignoresSequence?: boolean;
  /** Retries of a request are not charged. */
  readonly ignoresRetries?: boolean;
}

/** Options of a fleet. */
export interface QuotaFleetOptions {
  readonly seed: number;
  readonly gateways: number;
  readonly fault?: QuotaFleetFault;
}

const OVER = 0.1;
const SLACK = 14_000;
const WINDOW_S = 8;
const TOLERANCE = { overShare: OVER, slack: SLACK, windowMs: WINDOW_S * 1_000 };
const TICK_MS = 100;
const HEARTBEAT_TICKS = 4;
const STEP_MS = 5;
const MAX_DELAY_MS = 8;
/** Time until a starting process is connected to its peers, in milliseconds. */
const CONNECT_DELAY_MS = 60;
/** Initial quota of each tenant. */
export const FLEET_QUOTA: TenantQuota = {
  ratePerS: 20_000,
  burst: 20_000,
  unit: 'tokens',
  plainTokens: 1,
};
const SIZES = [500, 2_500];

const NO_RIGHTS: { readonly rights?: QuotaRights } = {};

/** Returns the private rights of a gateway's quotas. */
function rightsOf(quotas: GatewayQuotas): { readonly rights?: QuotaRights } {
  return quotas as unknown as { readonly rights: QuotaRights };
}

type TakeRecord = [record: QuotaMembersRecord, nowMs: number];

/** One process (incarnation) of a gateway. */
export class FleetProcess {
  isAlive = true;
  pausedUntilMs = 0;
  readonly quotas: GatewayQuotas;
  readonly statements: GatewayConditions;
  readonly hello: PeerHello;

  constructor(
    readonly gateway: FleetGateway,
    private readonly fleet: QuotaFleet,
    number: number,
  ) {
    const { name, zone } = gateway;
    const startedAtMs = fleet.clock.now();
    this.hello = {
      kind: 'hello',
      role: 'gateway',
      name,
      incarnation: `${name}.${number}`,
      address: name,
      zone,
    };
    this.quotas = new GatewayQuotas({
      settings: settingsOf(name, zone),
      incarnation: this.hello.incarnation,
      startedAtMs,
      places: fleet.places,
      adapter: { writeOwnRecord: (_name, text, expected) => fleet.write(this, text, expected) },
      clock: this.clock(),
      random: fleet.random,
      log: { write: () => undefined } as unknown as DecisionLog,
      quotaOf: (tenant) => fleet.quotas.get(tenant),
      sendToPeer: (address, message) => this.send(address, message),
      addPeers: () => undefined,
      storeAgeMs: () => this.storeAgeMs,
      tenants: () => [...fleet.quotas.keys()],
      timeOfDayMs: () => fleet.readTimeOfDayMs(),
    });
    this.statements = new GatewayConditions({
      settings: settingsOf(name, zone),
      clock: this.clock(),
      random: fleet.random,
      log: { write: () => undefined } as unknown as DecisionLog,
      metrics: { record: () => undefined } as unknown as GatewayMetrics,
      holders: () => this.quotas,
      countGateways: () => fleet.gateways.length,
      broadcastToPeers: (conditions) => this.broadcast({ kind: 'conditions', conditions }),
      onChange: () => fleet.onConditionChange?.(this),
      isKnown: () => true,
    });
    this.injectFault(fleet.fault);
    // Peers send their known conditions on each new connection.
    fleet.clock.setTimeout(
      () => this.runWhenActive(() => this.receiveInitialState()),
      CONNECT_DELAY_MS,
    );
  }

  get storeAgeMs(): number | undefined {
    const atMs = this.gateway.storeContactAtMs;
    return this.isAlive && atMs !== undefined ? this.fleet.clock.now() - atMs : undefined;
  }

  /** Runs `action` once the process is not paused, if it is still alive. */
  runWhenActive(action: () => void): void {
    const waitMs = this.pausedUntilMs - this.fleet.clock.now();
    if (waitMs > 0) {
      this.fleet.clock.setTimeout(() => this.runWhenActive(action), waitMs);
    } else if (this.isAlive) {
      action();
    }
  }

  private receiveInitialState(): void {
    for (const { process } of this.fleet.gateways) {
      process?.runWhenActive(() => {
        const conditions = process.statements.tell();
        process.send(this.gateway.name, { kind: 'conditions', conditions });
      });
    }
  }

  private broadcast(message: PeerMessage): void {
    this.fleet.gateways
      .filter((gateway) => gateway !== this.gateway)
      .forEach(({ name }) => this.send(name, message));
  }

  send(address: string, message: PeerMessage): boolean {
    const target = this.fleet.gateways.find(({ name }) => name === address);
    if (target?.process === undefined) {
      return false;
    }
    this.fleet.deliver(this, target, (peer) => this.deliverTo(peer, message));
    return true;
  }

  private deliverTo(peer: FleetProcess, message: PeerMessage): void {
    if (message.kind === 'quota-ask') {
      const response = peer.quotas.answerPeer(this.hello, message);
      this.fleet.deliver(peer, this.gateway, (requester) => {
        if (requester === this) {
          requester.quotas.receiveAnswer(response);
        }
      });
    } else if (message.kind === 'quota-return') {
      peer.quotas.takeBack(this.hello, message);
    } else if (message.kind === 'conditions') {
      peer.statements.hearPeer(message.conditions);
    } else if (message.kind === 'send-right-return') {
      peer.statements.takeBack(this.hello, message);
    } else if (message.kind === 'send-right-ask') {
      peer.statements.answerPeer(this.hello, message, (response) =>
        this.fleet.deliver(peer, this.gateway, (requester) => {
          if (requester === this) {
            requester.statements.receiveAnswer(response);
          }
        }),
      );
    }
  }

  private clock(): Clock {
    const { clock } = this.fleet;
    return {
      now: () => clock.now(),
      setTimeout: (callback, delayMs) => {
        const handle = { isCleared: false };
        clock.setTimeout(() => this.runWhenActive(() => handle.isCleared || callback()), delayMs);
        return handle;
      },
      clearTimeout: (handle) => {
        if (handle !== undefined) {
          (handle as { isCleared: boolean }).isCleared = true;
        }
      },
    };
  }

  /** Patches private members of the quotas to inject `fault`. */
  private injectFault(fault: QuotaFleetFault): void {
    const { startsFull, treatsTimeoutAsGrant, assumesTwoPools, ignoresSettled } = fault;
    const internals = this.quotas as unknown as {
      rights: { freeSinceMs: number; pools: number; take(...args: TakeRecord): boolean };
      charges: { timeOut(id: number): void; receive(id: number, grant: object): void };
    };
    if (startsFull === true) {
      Object.defineProperty(internals.rights, 'freeSinceMs', { get: () => -1e6 });
    }
    if (assumesTwoPools === true) {
      Object.defineProperty(internals.rights, 'pools', { get: () => 2 });
    }
    if (ignoresSettled === true) {
      const take = internals.rights.take.bind(internals.rights);
      internals.rights.take = (record, nowMs) =>
        take({ ...record, settled: record.members ?? record.settled }, nowMs);
    }
    if (treatsTimeoutAsGrant === true) {
      internals.charges.timeOut = (id) =>
        internals.charges.receive(id, { isGranted: true, afterMs: 0 });
    }
  }
}

/** A gateway's host, on which its process starts and restarts. */
export class FleetGateway {
  process: FleetProcess | undefined;
  /** Whether it is partitioned from other gateways and the store. */
  isPartitioned = false;
  /** Partition side: gateways of different sides cannot exchange messages; all reach the store. */
  partitionSide = 0;
  storeContactAtMs: number | undefined;
  private starts = 0;

  constructor(
    readonly name: string,
    readonly zone: string,
    private readonly fleet: QuotaFleet,
  ) {}

  start(): void {
    this.starts += 1;
    this.process = new FleetProcess(this, this.fleet, this.starts);
    this.storeContactAtMs = undefined;
  }

  /** Ends the process, and starts another one `downMs` later. */
  kill(downMs: number): void {
    if (this.process !== undefined) {
      this.process.isAlive = false;
      this.process = undefined;
      this.fleet.clock.setTimeout(() => this.start(), downMs);
    }
  }

  pause(forMs: number): void {
    if (this.process !== undefined) {
      this.process.pausedUntilMs = this.fleet.clock.now() + forMs;
    }
  }
}

/** A fleet of gateways under load of one tenant above and one below its quota. */
export class QuotaFleet {
  readonly clock = new HeapClock();
  readonly random: RandomSource;
  readonly gateways: FleetGateway[];
  readonly fault: QuotaFleetFault;
  readonly places = new ZoneTopology(new Map([0, 1, 2].map((zone) => [`z${zone}`, 'r'])));
  readonly quotas = new Map([
    ['greedy', FLEET_QUOTA],
    ['calm', FLEET_QUOTA],
  ]);
  isStoreUp = true;
  /** Called when a process changes its view of what may be sent to a backend. */
  onConditionChange: ((process: FleetProcess) => void) | undefined;
  /** Wall-clock time at the start of the virtual clock, in milliseconds. */
  timeOfDayMs = 1e12;
  /** Share of requests that are retried once. */
  retryShare = 0;
  /** Share of messages between gateways that are lost. */
  lossShare = 0;
  readonly asked = { greedy: 0, calm: 0 };
  readonly refused = { greedy: 0, calm: 0 };
  /**
   * Largest share of a tenant's pools held at one time; above 1 means that a pool had two holders.
   */
  maxHeldShare = 0;
  private readonly ran: Array<{ readonly atMs: number; readonly cost: number }> = [];
  private record: QuotaMembersRecord = NO_QUOTA_MEMBERS;
  private revision = 0;
  private epoch = 1;
  /** Every record that the store ever held, with the time of its write. */
  private readonly recordHistory: Array<{
    readonly record: QuotaMembersRecord;
    readonly atMs: number;
  }> = [];
  private hasPromises = false;

  constructor({ seed, gateways, fault = {} }: QuotaFleetOptions) {
    this.random = new SeededRandom(seed);
    this.fault = fault;
    this.gateways = Array.from(
      { length: gateways },
      (_none, index) => new FleetGateway(`g${index}`, `z${index % 3}`, this),
    );
    this.gateways.forEach((gateway) => gateway.start());
    this.every(TICK_MS, () => this.tick());
  }

  /** Returns the wall-clock time that every gateway reads, in milliseconds. */
  readTimeOfDayMs(): number {
    // Advances by a day on each read, so that no credit is ever rejected as too early.
    this.timeOfDayMs += this.fault.creditsEachTime === true ? 86_400_000 : 0;
    return this.clock.now() + this.timeOfDayMs;
  }

  /** The membership record in the store. */
  get members(): QuotaMembersRecord {
    return this.record;
  }

  /** Calls `act` every `periodMs`. */
  every(periodMs: number, act: () => void): void {
    this.clock.setTimeout(() => {
      act();
      this.every(periodMs, act);
    }, periodMs);
  }

  /** Adds and starts a gateway. */
  addGateway(): void {
    const index = this.gateways.length;
    const added = new FleetGateway(`g${index}`, `z${index % 3}`, this);
    this.gateways.push(added);
    added.start();
  }

  /** Starts the load of both tenants, in multiples of their rates. */
  startLoad(greedy = 5, calm = 0.6): void {
    const mean = SIZES.reduce((sum, size) => sum + size, 0) / SIZES.length;
    const perStep = (times: number) => (FLEET_QUOTA.ratePerS * times * STEP_MS) / 1_000 / mean;
    this.every(STEP_MS, () => {
      this.issueDueRequests('greedy', perStep(greedy));
      this.issueDueRequests('calm', perStep(calm));
    });
  }

  /** Advances the virtual clock by `forMs`. */
  async run(forMs: number): Promise<void> {
    const untilMs = this.clock.now() + forMs;
    while (this.clock.step(untilMs)) {
      if (this.hasPromises) {
        this.hasPromises = false;
        await new Promise((resolve) => setImmediate(resolve));
      }
    }
  }

  /** Returns the greedy tenant's usage in its worst window, as a share of the window limit. */
  worstShare(quota: TenantQuota = FLEET_QUOTA): number {
    let first = 0;
    let sum = 0;
    let worst = 0;
    for (const { atMs, cost } of this.ran) {
      sum += cost;
      while (this.ran[first]!.atMs < atMs - TOLERANCE.windowMs) {
        sum -= this.ran[first]!.cost;
        first += 1;
      }
      worst = Math.max(worst, sum);
    }
    return worst / maxPerWindow(quota, TOLERANCE);
  }

  /** Returns the tokens of the greedy tenant that were executed since `fromMs`. */
  ranSince(fromMs: number): number {
    return this.ran.reduce((sum, { atMs, cost }) => sum + (atMs >= fromMs ? cost : 0), 0);
  }

  /**
   * Delivers to a gateway's process after a random delay, unless the message is lost or the path
   * partitioned.
   */
  deliver(from: FleetProcess, to: FleetGateway, handle: (peer: FleetProcess) => void): void {
    if (this.random.next() < this.lossShare) {
      return;
    }
    const delayMs = 1 + Math.floor(this.random.next() * MAX_DELAY_MS);
    this.clock.setTimeout(() => {
      const isSeparated =
        from.gateway.isPartitioned ||
        to.isPartitioned ||
        from.gateway.partitionSide !== to.partitionSide;
      const isBlocked = from.gateway !== to && isSeparated;
      const target = to.process;
      if (!isBlocked && target !== undefined) {
        target.runWhenActive(() => handle(target));
      }
    }, delayMs);
  }

  /** Writes the membership record by compare-and-swap on its position. */
  write(writer: FleetProcess, text: string, expected: StorePosition) {
    this.hasPromises = true;
    if (!this.isStoreUp || writer.gateway.isPartitioned) {
      return Promise.resolve(err(new StoreUnavailableError('down')));
    }
    const isFirst = isNoPosition(expected) && isNoPosition(this.record);
    if (!isFirst && !isSamePosition(expected, this.record)) {
      return Promise.resolve(err(new StoreConflictError('changed')));
    }
    this.revision += 1;
    const position = positionAt(this.revision, this.epoch);
    this.setRecord(decodeQuotaMembers(text, position));
    return Promise.resolve(ok(position));
  }

  /** Restores the store from a backup taken `backupAgeMs` ago. */
  restoreStore(backupAgeMs: number): void {
    const backupAtMs = this.clock.now() - backupAgeMs;
    const { record } = this.recordHistory.filter(({ atMs }) => atMs <= backupAtMs).at(-1) ?? {
      record: NO_QUOTA_MEMBERS,
    };
    this.epoch += 1;
    this.revision = record.revision;
    this.setRecord({ ...record, epoch: this.epoch });
  }

  private get visibleRecord(): QuotaMembersRecord {
    const sequence = Number.MAX_SAFE_INTEGER;
    return this.fault.ignoresSequence === true ? { ...this.record, sequence } : this.record;
  }

  private setRecord(record: QuotaMembersRecord): void {
    this.record = record;
    this.recordHistory.push({ record, atMs: this.clock.now() });
  }

  /** Replaces the record by an unreadable one. */
  corruptRecord(): void {
    this.revision += 1;
    this.setRecord({ ...NO_QUOTA_MEMBERS, ...positionAt(this.revision, this.epoch) });
  }

  private sampleHeldPools(): void {
    const nowMs = this.clock.now();
    const held = this.gateways.reduce((sum, { process }) => {
      const { rights } = process === undefined ? NO_RIGHTS : rightsOf(process.quotas);
      return sum + (rights?.heldSinceMs('greedy', nowMs) === undefined ? 0 : 1 / rights.pools);
    }, 0);
    this.maxHeldShare = Math.max(this.maxHeldShare, held);
  }

  private tick(): void {
    this.sampleHeldPools();
    const isHeartbeatDue = Math.round(this.clock.now() / TICK_MS) % HEARTBEAT_TICKS === 0;
    for (const gateway of this.gateways) {
      const { process } = gateway;
      if (process === undefined) {
        continue;
      }
      if (this.isStoreUp && !gateway.isPartitioned) {
        gateway.storeContactAtMs = this.clock.now();
        process.runWhenActive(
          () => this.recordHistory.length > 0 && process.quotas.applyRecord(this.visibleRecord),
        );
      }
      process.runWhenActive(() => process.quotas.tick());
      process.runWhenActive(() => process.statements.tick());
      if (isHeartbeatDue) {
        process.runWhenActive(() => this.sendHeartbeat(process));
      }
    }
  }

  private sendHeartbeat(process: FleetProcess): void {
    const base = { kind: 'beat', reach: NO_PROGRESS, isReading: true } as const;
    const { position: quotaPosition, ageMs } = process.quotas;
    for (const other of this.gateways) {
      if (other !== process.gateway) {
        const heartbeat = { ...base, quotaPosition, ageMs };
        this.deliver(process, other, (peer) =>
          peer.quotas.receiveHeartbeat(process.hello, heartbeat),
        );
      }
    }
  }

  private issueDueRequests(tenant: 'greedy' | 'calm', count: number): void {
    for (let due = count; due > 0; due -= 1) {
      const gateway = this.gateways[Math.floor(this.random.next() * this.gateways.length)]!;
      const cost = SIZES[Math.floor(this.random.next() * SIZES.length)]!;
      if (this.random.next() < due && gateway.process !== undefined) {
        this.issueRequest(tenant, cost, gateway.process);
      }
    }
  }

  private issueRequest(tenant: 'greedy' | 'calm', cost: number, process: FleetProcess): void {
    this.asked[tenant] += 1;
    process.runWhenActive(() => {
      process.quotas.charge(tenant, cost, (result) => {
        this.refused[tenant] += result.isGranted ? 0 : 1;
        if (result.isGranted && process.isAlive && tenant === 'greedy') {
          this.runOnce(cost, process);
        }
      });
    });
  }

  private runOnce(cost: number, process: FleetProcess): void {
    this.ran.push({ atMs: this.clock.now(), cost });
    if (this.random.next() >= this.retryShare) {
      return;
    }
    if (this.fault.ignoresRetries === true) {
      this.ran.push({ atMs: this.clock.now(), cost });
      return;
    }
    process.quotas.charge('greedy', cost, ({ isGranted }) => {
      if (isGranted) {
        this.ran.push({ atMs: this.clock.now(), cost });
      }
    });
  }
}

function settingsOf(name: string, zone: string): GatewaySettings {
  return {
    process: { name, zone },
    listen: { peers: name },
    limits: { quotaOver: OVER, quotaSlack: SLACK, quotaWindowS: WINDOW_S },
  } as GatewaySettings;
}
