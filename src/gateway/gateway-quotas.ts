/** Connects tenant quotas with a gateway's peers, store and log. */
import type { Clock } from '../clock.js';
import type {
  PeerHeartbeat,
  PeerHello,
  PeerMessage,
  PeerQuotaResponse,
  PeerQuotaRequest,
  PeerQuotaReturn,
} from '../cluster/peer-messages.js';
import { positionOf } from '../cluster/store-position.js';
import type { StorePosition } from '../cluster/store-position.js';
import type { RandomSource } from '../random.js';
import type { WeirvaleError } from '../request/errors.js';
import type { TenantQuota } from '../routing/configuration.js';
import type { ZoneTopology } from '../routing/zone-topology.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import type { GatewayAdapter } from './gateway-adapter.js';
import type { GatewaySettings } from './gateway-settings.js';
import { grantKey, QuotaCharges } from './quotas/quota-charges.js';
import type { Charge, ChargeResult } from './quotas/pending-charge.js';
import type { QuotaMember, QuotaMembersRecord } from './quotas/quota-members.js';
import { encodeQuotaMembers } from './quotas/quota-members-format.js';
import { QuotaMembersWriter } from './quotas/quota-members-writer.js';
import type { MemberStatus } from './quotas/quota-members-writer.js';
import { QuotaPools } from './quotas/quota-pools.js';
import { QuotaRights } from './quotas/quota-rights.js';
import type { BucketConfig } from './quotas/quota-budget.js';

/** Dependencies of `GatewayQuotas`. */
export interface GatewayQuotasDependencies {
  readonly settings: GatewaySettings;
  /** Unique for each start of the process. */
  readonly incarnation: string;
  /**
   * Start of this process, in milliseconds; the previous process of the same name had ended by
   * then.
   */
  readonly startedAtMs: number;
  readonly places: ZoneTopology;
  readonly adapter: Pick<GatewayAdapter, 'writeOwnRecord'>;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: DecisionLog;
  /** A tenant's quota in the active configuration; undefined if it has none. */
  quotaOf(tenant: string): TenantQuota | undefined;
  /** Sends a message to the gateway at `address`; returns false if there is no connection to it. */
  sendToPeer(address: string, message: PeerMessage): boolean;
  /** Called with the addresses of other gateways. */
  addPeers(addresses: readonly string[]): void;
  /** Age of the view of the store, in milliseconds; undefined before the first confirmation. */
  storeAgeMs(): number | undefined;
  /** Names of all tenants in the active configuration. */
  tenants(): readonly string[];
  /** Wall-clock time, in milliseconds. */
  timeOfDayMs(): number;
}

const MS_PER_S = 1_000;
/** Ticks between two checks whether the membership record must be written. */
const MEMBERS_CHECK_TICKS = 3;
/**
 * Order of preference of pool holders, lowest first; this gateway itself ranks 0, as its pools need
 * no message.
 */
const DISTANCE_RANKS = { 'same-zone': 1, 'same-region': 2, 'other-region': 3 } as const;

/** Charges requests to tenant quotas and holds this gateway's share of the quota pools. */
export class GatewayQuotas {
  private readonly rights: QuotaRights;
  private readonly pools: QuotaPools;
  private readonly charges: QuotaCharges;
  private readonly writer: QuotaMembersWriter;
  private readonly peersByName = new Map<string, MemberStatus>();
  private hadRights = false;
  private ticks = 0;

  constructor(private readonly dependencies: GatewayQuotasDependencies) {
    const { settings, clock, places } = dependencies;
    const { name, zone } = settings.process;
    const tolerance = {
      overShare: settings.limits.quotaOver,
      slack: settings.limits.quotaSlack,
      windowMs: settings.limits.quotaWindowS * MS_PER_S,
    };
    this.rights = new QuotaRights(
      name,
      dependencies.startedAtMs,
      () => this.handleRightsChange(),
      () => this.pools.credit(dependencies.tenants(), clock.now()),
    );
    this.pools = new QuotaPools(tolerance, {
      quotaOf: (tenant) => dependencies.quotaOf(tenant),
      heldSinceMs: (tenant) => this.rights.heldSinceMs(tenant, clock.now()),
      countPools: () => this.rights.pools,
      onExhaustedChange: (tenant, isExhausted, level, config) =>
        this.logPoolState(tenant, isExhausted, level, config),
    });
    this.charges = new QuotaCharges(
      name,
      tolerance,
      this.rights,
      this.pools,
      {
        quotaOf: (tenant) => dependencies.quotaOf(tenant),
        sendRequest: (holder, request) => this.sendTo(holder, { kind: 'quota-ask', ...request }),
        sendRefund: (holder, { id, tenant }) =>
          void this.sendTo(holder, { kind: 'quota-return', id, tenant }),
        distanceOf: (holder) => this.distanceOf(holder),
      },
      clock,
      dependencies.random,
    );
    this.writer = new QuotaMembersWriter(
      { name, zone, region: places.regionOf(zone) ?? '', address: settings.listen.peers },
      {
        write: (change, expected) =>
          dependencies.adapter.writeOwnRecord(
            'quota-members',
            encodeQuotaMembers(change),
            expected,
          ),
        onWritten: (record, failure) => this.handleWritten(record, failure),
        knownPeers: () => [...this.peersByName.values()],
        record: () => this.rights.record,
        storeAgeMs: () => dependencies.storeAgeMs(),
        timeOfDayMs: () => dependencies.timeOfDayMs(),
      },
      clock,
    );
  }

  /** Store position of the applied membership record; revision 0 if there is none. */
  get position(): StorePosition {
    return positionOf(this.rights.record);
  }

  /** Time since the start of this process, in milliseconds. */
  get ageMs(): number {
    return this.dependencies.clock.now() - this.dependencies.startedAtMs;
  }

  /** Tokens (or requests) that this gateway has charged since its start, by tenant. */
  get usageByTenant(): ReadonlyMap<string, number> {
    return this.charges.usage;
  }

  /** Fill levels of the quota pools that this gateway holds, by tenant. */
  get levelsByTenant(): ReadonlyMap<string, number> {
    return this.pools.levels(this.dependencies.clock.now());
  }

  /** Charges `cost` to a tenant; `onResult` is called once, possibly before this returns. */
  charge(tenant: string, cost: number, onResult: (result: ChargeResult) => void): Charge {
    return this.charges.charge(tenant, cost, onResult);
  }

  /** Name of the only gateway that holds the undivided resource `key`; undefined while unknown. */
  soleHolderOf(key: string): string | undefined {
    return this.rights.soleHolderOf(key);
  }

  /** When this gateway became the only holder of `key`, in milliseconds; undefined if it is not. */
  soleSinceMs(key: string): number | undefined {
    return this.rights.soleSinceMs(key, this.dependencies.clock.now());
  }

  /** Applies the membership record of the store. */
  applyRecord(record: QuotaMembersRecord): void {
    if (!this.rights.take(record, this.dependencies.clock.now())) {
      return;
    }
    const { members, settled, epoch, revision, sequence, credits, isLost } = this.rights.record;
    this.dependencies.addPeers((members ?? []).map(({ address }) => address));
    this.renewRightsLease();
    this.dependencies.log.write('quota-members', 'state', {
      members: members?.length,
      settled: settled.length,
      epoch,
      revision,
      sequence,
      credits,
      isLost,
    });
  }

  /** Processes a peer's heartbeat, which names the membership record that the peer has applied. */
  receiveHeartbeat(
    { name, address, zone = '' }: PeerHello,
    { quotaPosition, ageMs }: PeerHeartbeat,
  ): void {
    const region = this.dependencies.places.regionOf(zone) ?? '';
    const heardAtMs = this.dependencies.clock.now();
    const startedAtMs = heardAtMs - ageMs;
    const follows = quotaPosition;
    this.peersByName.set(name, { name, zone, region, address, heardAtMs, startedAtMs, follows });
  }

  /** Returns the response to a peer's request for a grant from a pool of this gateway. */
  answerPeer({ incarnation }: PeerHello, request: PeerQuotaRequest): PeerQuotaResponse {
    const nowMs = this.dependencies.clock.now();
    const grant = this.pools.acquire(
      request.tenant,
      request,
      grantKey(incarnation, request.id),
      nowMs,
    );
    return { kind: 'quota-answer', id: request.id, grant };
  }

  /** Processes a pool holder's response to a grant request. */
  receiveAnswer({ id, grant }: PeerQuotaResponse): void {
    this.charges.receive(id, grant);
  }

  /** Returns a peer's unused grant to its pool. */
  takeBack({ incarnation }: PeerHello, { id, tenant }: PeerQuotaReturn): void {
    this.pools.refund(tenant, grantKey(incarnation, id), this.dependencies.clock.now());
  }

  /**
   * Renews the lease on the quota rights and writes the membership record if due; called on each
   * tick.
   */
  tick(): void {
    this.ticks += 1;
    this.renewRightsLease();
    if (this.ticks % MEMBERS_CHECK_TICKS === 0) {
      this.writer.tick();
    }
  }

  /** Stops writing the membership record. */
  stop(): void {
    this.writer.stop();
  }

  private renewRightsLease(): void {
    const nowMs = this.dependencies.clock.now();
    const storeAgeMs = this.dependencies.storeAgeMs() ?? Infinity;
    this.rights.renewLease(Math.max(nowMs - storeAgeMs, this.majorityHeardAtMs(nowMs)), nowMs);
    const hasRights = !this.rights.isLeaseExpired(nowMs);
    if (hasRights !== this.hadRights) {
      this.hadRights = hasRights;
      this.handleRightsChange();
      this.dependencies.log.write(
        hasRights ? 'quota-rights-held' : 'quota-rights-lapsed',
        'state',
        {
          ...this.position,
          storeAgeMs: Number.isFinite(storeAgeMs) ? storeAgeMs : undefined,
        },
      );
    }
  }

  /**
   * Time of the last contact with a majority of the members, including this one, in milliseconds.
   */
  private majorityHeardAtMs(nowMs: number): number {
    const { members = [] } = this.rights.record;
    const heardAtMs = members
      .map(({ name }) =>
        name === this.name ? nowMs : (this.peersByName.get(name)?.heardAtMs ?? -Infinity),
      )
      .sort((left, right) => right - left);
    return heardAtMs[Math.floor(members.length / 2)] ?? -Infinity;
  }

  private get name(): string {
    return this.dependencies.settings.process.name;
  }

  private handleRightsChange(): void {
    this.pools.dropLostPools();
    this.charges.resetReserves();
  }

  /** Sends a message to the named holder; returns false if there is no connection to it. */
  sendTo(holder: string, message: PeerMessage): boolean {
    return this.dependencies.sendToPeer(this.findMember(holder)?.address ?? '', message);
  }

  /** A member as of its last heartbeat, or else as in the membership record. */
  private findMember(name: string): QuotaMember | undefined {
    const { members = [] } = this.rights.record;
    return this.peersByName.get(name) ?? members.find((member) => member.name === name);
  }

  private distanceOf(holder: string): number {
    if (holder === this.name) {
      return 0;
    }
    const zone = this.findMember(holder)?.zone ?? '';
    return DISTANCE_RANKS[
      this.dependencies.places.distance(this.dependencies.settings.process.zone, zone)
    ];
  }

  private handleWritten(record: QuotaMembersRecord, failure: WeirvaleError | undefined): void {
    const event = failure === undefined ? 'quota-members-written' : 'quota-members-not-written';
    this.dependencies.log.write(event, 'state', {
      members: record.members?.length,
      settled: record.settled.length,
      epoch: record.epoch,
      revision: record.revision,
      sequence: record.sequence,
      reason: failure?.message,
    });
    if (failure === undefined) {
      this.applyRecord(record);
    }
  }

  private logPoolState(
    tenant: string,
    isExhausted: boolean,
    level: number,
    config: BucketConfig,
  ): void {
    this.dependencies.log.write(isExhausted ? 'quota-pool-dry' : 'quota-pool-refilled', 'state', {
      tenant,
      level,
      capacity: config.capacity,
      ratePerS: config.refillPerMs * MS_PER_S,
    });
  }
}
