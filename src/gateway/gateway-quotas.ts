/** Joins tenants' quotas to a gateway: the record of members, its peers, the store, the log. */
import type { Clock } from '../clock.js';
import type {
  PeerBeat,
  PeerHello,
  PeerMessage,
  PeerQuotaAnswer,
  PeerQuotaAsk,
  PeerQuotaReturn,
} from '../cluster/peer-messages.js';
import { positionOf } from '../cluster/store-position.js';
import type { StorePosition } from '../cluster/store-position.js';
import type { RandomSource } from '../random.js';
import type { WeirvaleError } from '../request/errors.js';
import type { TenantQuota } from '../routing/configuration.js';
import type { Places } from '../routing/places.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import type { GatewayAdapter } from './gateway-adapter.js';
import type { GatewaySettings } from './gateway-settings.js';
import { grantName, QuotaCharges } from './quotas/quota-charges.js';
import type { Charge, ChargeResult } from './quotas/open-charge.js';
import type { QuotaMember, QuotaMembersRecord } from './quotas/quota-members.js';
import { encodeQuotaMembers } from './quotas/quota-members-format.js';
import { QuotaMembersWriter } from './quotas/quota-members-writer.js';
import type { HeardMember } from './quotas/quota-members-writer.js';
import { QuotaPools } from './quotas/quota-pools.js';
import { QuotaRights } from './quotas/quota-rights.js';
import type { BucketTerms } from './quotas/quota-terms.js';

/** What a gateway's quotas are made from. */
export interface GatewayQuotasParts {
  readonly settings: GatewaySettings;
  /** Differs after each start of the process. */
  readonly incarnation: string;
  /** When this process was started, in milliseconds: its predecessor had ended by then. */
  readonly startedAtMs: number;
  readonly places: Places;
  readonly adapter: Pick<GatewayAdapter, 'writeOwnRecord'>;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: DecisionLog;
  /** The quota of a tenant in the configuration in force; undefined for one that has none. */
  quotaOf(tenant: string): TenantQuota | undefined;
  /** Says something to the gateway at that address; false if no connection to it stands. */
  sendToPeer(address: string, message: PeerMessage): boolean;
  /** Other gateways are at these addresses. */
  learnPeers(addresses: readonly string[]): void;
  /** How old the newest word of the store is, in milliseconds; undefined before the first. */
  storeAgeMs(): number | undefined;
  /** Names of all tenants of the configuration in force. */
  tenants(): readonly string[];
  /** The time of day, in milliseconds. */
  timeOfDayMs(): number;
}

const MS_PER_S = 1_000;
/** Ticks between two looks at what is to be written. */
const LOOK_TICKS = 3;
/** A gateway's own pool costs no message, one in its zone the shortest way. */
const DISTANCES = { 'same-zone': 1, 'same-region': 2, 'other-region': 3 } as const;

/** A gateway's part in tenants' quotas. */
export class GatewayQuotas {
  private readonly rights: QuotaRights;
  private readonly pools: QuotaPools;
  private readonly charges: QuotaCharges;
  private readonly writer: QuotaMembersWriter;
  private readonly heard = new Map<string, HeardMember>();
  private hadRights = false;
  private ticks = 0;

  constructor(private readonly parts: GatewayQuotasParts) {
    const { settings, clock, places } = parts;
    const { name, zone } = settings.process;
    const tolerance = {
      overShare: settings.limits.quotaOver,
      slack: settings.limits.quotaSlack,
      windowMs: settings.limits.quotaWindowS * MS_PER_S,
    };
    this.rights = new QuotaRights(
      name,
      parts.startedAtMs,
      () => this.review(),
      () => this.pools.credit(parts.tenants(), clock.now()),
    );
    this.pools = new QuotaPools(tolerance, {
      quotaOf: (tenant) => parts.quotaOf(tenant),
      heldSinceMs: (tenant) => this.rights.heldSinceMs(tenant, clock.now()),
      countPools: () => this.rights.pools,
      onDry: (tenant, isDry, level, terms) => this.noteDry(tenant, isDry, level, terms),
    });
    this.charges = new QuotaCharges(
      name,
      tolerance,
      this.rights,
      this.pools,
      {
        quotaOf: (tenant) => parts.quotaOf(tenant),
        sendAsk: (holder, ask) => this.sendTo(holder, { kind: 'quota-ask', ...ask }),
        sendBack: (holder, { id, tenant }) =>
          void this.sendTo(holder, { kind: 'quota-return', id, tenant }),
        distanceOf: (holder) => this.distanceOf(holder),
      },
      clock,
      parts.random,
    );
    this.writer = new QuotaMembersWriter(
      { name, zone, region: places.regionOf(zone) ?? '', address: settings.listen.peers },
      {
        write: (change, expected) =>
          parts.adapter.writeOwnRecord('quota-members', encodeQuotaMembers(change), expected),
        onWritten: (record, failure) => this.noteWritten(record, failure),
        heard: () => [...this.heard.values()],
        record: () => this.rights.record,
        storeAgeMs: () => parts.storeAgeMs(),
        timeOfDayMs: () => parts.timeOfDayMs(),
      },
      clock,
    );
  }

  /** The store's position of the record that this gateway follows; revision 0 for none. */
  get position(): StorePosition {
    return positionOf(this.rights.record);
  }

  /** Time since this process was started, in milliseconds. */
  get ageMs(): number {
    return this.parts.clock.now() - this.parts.startedAtMs;
  }

  /** Tokens (or requests) let pass here since the start, by tenant. */
  get use(): ReadonlyMap<string, number> {
    return this.charges.use;
  }

  /** What is in the pools that this gateway holds, by tenant. */
  get levels(): ReadonlyMap<string, number> {
    return this.pools.levels(this.parts.clock.now());
  }

  /** Charges `cost` to a tenant; `onResult` is called once, maybe before this returns. */
  charge(tenant: string, cost: number, onResult: (result: ChargeResult) => void): Charge {
    return this.charges.charge(tenant, cost, onResult);
  }

  /** Name of the one gateway that holds what `key` names and is not divided; undefined while that is not known. */
  soleHolderOf(key: string): string | undefined {
    return this.rights.soleHolderOf(key);
  }

  /** Since when this gateway alone holds what `key` names, in milliseconds; undefined if it does not. */
  soleSinceMs(key: string): number | undefined {
    return this.rights.soleSinceMs(key, this.parts.clock.now());
  }

  /** Takes in the store's record of members. */
  takeRecord(record: QuotaMembersRecord): void {
    if (!this.rights.take(record, this.parts.clock.now())) {
      return;
    }
    const { members, settled, epoch, revision, sequence, credits, isLost } = this.rights.record;
    this.parts.learnPeers((members ?? []).map(({ address }) => address));
    this.noteContact();
    this.parts.log.write('quota-members', 'state', {
      members: members?.length,
      settled: settled.length,
      epoch,
      revision,
      sequence,
      credits,
      isLost,
    });
  }

  /** A peer shows that it lives, and which record it follows. */
  hearBeat({ name, address, zone = '' }: PeerHello, { quotaPosition, ageMs }: PeerBeat): void {
    const region = this.parts.places.regionOf(zone) ?? '';
    const heardAtMs = this.parts.clock.now();
    const startedAtMs = heardAtMs - ageMs;
    const follows = quotaPosition;
    this.heard.set(name, { name, zone, region, address, heardAtMs, startedAtMs, follows });
  }

  /** Answers a peer that asks for a charge. */
  answer({ incarnation }: PeerHello, ask: PeerQuotaAsk): PeerQuotaAnswer {
    const nowMs = this.parts.clock.now();
    const grant = this.pools.ask(ask.tenant, ask, grantName(incarnation, ask.id), nowMs);
    return { kind: 'quota-answer', id: ask.id, grant };
  }

  /** A holder answered. */
  receiveAnswer({ id, grant }: PeerQuotaAnswer): void {
    this.charges.receive(id, grant);
  }

  /** A peer gives back what it was granted. */
  takeBack({ incarnation }: PeerHello, { id, tenant }: PeerQuotaReturn): void {
    this.pools.giveBack(tenant, grantName(incarnation, id), this.parts.clock.now());
  }

  /** Looks at who is in contact and at what is to be written; to be called each tick. */
  tick(): void {
    this.ticks += 1;
    this.noteContact();
    if (this.ticks % LOOK_TICKS === 0) {
      this.writer.tick();
    }
  }

  /** Nothing is written any more. */
  stop(): void {
    this.writer.stop();
  }

  private noteContact(): void {
    const nowMs = this.parts.clock.now();
    const storeAgeMs = this.parts.storeAgeMs() ?? Infinity;
    this.rights.noteContact(Math.max(nowMs - storeAgeMs, this.mostHeardAtMs(nowMs)), nowMs);
    const hasRights = !this.rights.hasLapsed(nowMs);
    if (hasRights !== this.hadRights) {
      this.hadRights = hasRights;
      this.review();
      this.parts.log.write(hasRights ? 'quota-rights-held' : 'quota-rights-lapsed', 'state', {
        ...this.position,
        storeAgeMs: Number.isFinite(storeAgeMs) ? storeAgeMs : undefined,
      });
    }
  }

  /** When a majority of the members, this one included, had been heard last, in milliseconds. */
  private mostHeardAtMs(nowMs: number): number {
    const { members = [] } = this.rights.record;
    const heardAtMs = members
      .map(({ name }) =>
        name === this.name ? nowMs : (this.heard.get(name)?.heardAtMs ?? -Infinity),
      )
      .sort((left, right) => right - left);
    return heardAtMs[Math.floor(members.length / 2)] ?? -Infinity;
  }

  private get name(): string {
    return this.parts.settings.process.name;
  }

  private review(): void {
    this.pools.review();
    this.charges.review();
  }

  /** Says something to the holder of that name; false if no connection to it stands. */
  sendTo(holder: string, message: PeerMessage): boolean {
    return this.parts.sendToPeer(this.memberNamed(holder)?.address ?? '', message);
  }

  /** A member as it was heard last, or as the record has it. */
  private memberNamed(name: string): QuotaMember | undefined {
    const { members = [] } = this.rights.record;
    return this.heard.get(name) ?? members.find((member) => member.name === name);
  }

  private distanceOf(holder: string): number {
    if (holder === this.name) {
      return 0;
    }
    const zone = this.memberNamed(holder)?.zone ?? '';
    return DISTANCES[this.parts.places.distance(this.parts.settings.process.zone, zone)];
  }

  private noteWritten(record: QuotaMembersRecord, failure: WeirvaleError | undefined): void {
    const event = failure === undefined ? 'quota-members-written' : 'quota-members-not-written';
    this.parts.log.write(event, 'state', {
      members: record.members?.length,
      settled: record.settled.length,
      epoch: record.epoch,
      revision: record.revision,
      sequence: record.sequence,
      reason: failure?.message,
    });
    if (failure === undefined) {
      this.takeRecord(record);
    }
  }

  private noteDry(tenant: string, isDry: boolean, level: number, terms: BucketTerms): void {
    this.parts.log.write(isDry ? 'quota-pool-dry' : 'quota-pool-refilled', 'state', {
      tenant,
      level,
      capacity: terms.capacity,
      ratePerS: terms.perMs * MS_PER_S,
    });
  }
}
