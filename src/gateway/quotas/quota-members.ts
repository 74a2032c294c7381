/**
 * Which gateways hold rights to a tenant's quota: agreed on through one record of the cluster's store.
 *
 * The record names the members and those that it named when all had last followed it (`settled`). While the two
 * differ, a gateway has only the rights that it has under both: who loses a pool has stopped before another begins.
 */
import { NO_POSITION } from '../../cluster/store-position.js';
import type { StorePosition } from '../../cluster/store-position.js';
import { pickByRendezvous } from '../../membership/rendezvous.js';
import { MAX_POOLS } from './quota-terms.js';

/** A gateway that may hold rights. */
export interface QuotaMember {
  /** Name of the process; the same after each start. */
  readonly name: string;
  readonly zone: string;
  /** Region of the zone; empty where the deployment names none. */
  readonly region: string;
  /** Address that gateways reach it at, IP:PORT. */
  readonly address: string;
}

/** The store's record of members. Its position has revision 0 where there is none. */
export interface QuotaMembersRecord extends StorePosition {
  /** Undefined where there is none that can be read. */
  readonly members: readonly QuotaMember[] | undefined;
  /** The members when all of them had last followed the record. */
  readonly settled: readonly QuotaMember[];
  /** Rises by one with each write, also where the store lost the one before: a lower one is the older record. */
  readonly sequence: number;
  /** Credits that were given to a fleet that had started again as a whole, since the first record. */
  readonly credits: number;
  /** Time of day of the last of them, in milliseconds; 0 before the first. */
  readonly creditedAtMs: number;
  /**
   * Whether the store holds it no more, or holds an older one or something that cannot be read; what was last known
   * stands here, at the position of what the store holds.
   */
  readonly isLost?: boolean;
}

/** What is written as the next record. */
export type QuotaMembersChange = Required<
  Pick<QuotaMembersRecord, 'settled' | 'sequence' | 'credits' | 'creditedAtMs'>
> & { readonly members: readonly QuotaMember[] };

/** No record was seen. */
export const NO_QUOTA_MEMBERS: QuotaMembersRecord = {
  members: undefined,
  settled: [],
  ...NO_POSITION,
  sequence: 0,
  credits: 0,
  creditedAtMs: 0,
};

/** Whether all members have followed the record. */
export function isSettled({ members, settled }: QuotaMembersRecord): boolean {
  return members !== undefined && namesOf(members) === namesOf(settled);
}

/** Whether everybody has the same rights under both records. */
export function haveSameRights(left: QuotaMembersRecord, right: QuotaMembersRecord): boolean {
  const areSameMembers = namesOf(left.members ?? []) === namesOf(right.members ?? []);
  return areSameMembers && namesOf(left.settled) === namesOf(right.settled);
}

function namesOf(members: readonly QuotaMember[]): string {
  return members
    .map(({ name }) => name)
    .sort()
    .join(' ');
}

/** Who holds the pools of each tenant, under one record. */
export class QuotaHolders {
  private readonly holders = new Map<string, readonly string[]>();
  private readonly soleHolders = new Map<string, string | undefined>();

  constructor(readonly record: QuotaMembersRecord) {}

  /** Names of the gateways that hold a tenant's pools; empty if none are known. */
  holdersOf(tenant: string): readonly string[] {
    let known = this.holders.get(tenant);
    if (known === undefined) {
      const { members = [], settled } = this.record;
      const before = new Set(pickHolders(tenant, settled));
      known = pickHolders(tenant, members).filter((name) => before.has(name));
      this.holders.set(tenant, known);
    }
    return known;
  }

  /** Name of the one gateway that holds what `key` names and is not divided; undefined while that is not settled. */
  soleHolderOf(key: string): string | undefined {
    if (!this.soleHolders.has(key)) {
      const { members = [], settled } = this.record;
      const holder = pickByRendezvous(key, namesIn(members), 1)[0];
      const isSettled = holder === pickByRendezvous(key, namesIn(settled), 1)[0];
      this.soleHolders.set(key, isSettled ? holder : undefined);
    }
    return this.soleHolders.get(key);
  }

  /** Pools that each tenant's quota is divided among; at least 1. */
  get pools(): number {
    const { members = [], settled } = this.record;
    return Math.max(1, Math.min(MAX_POOLS, Math.max(members.length, settled.length)));
  }

  /** Gateways among which the reserves are divided; 0 if `name` has none. */
  countReserves(name: string): number {
    const { members = [], settled } = this.record;
    const isMember = [members, settled].every((list) =>
      list.some((member) => member.name === name),
    );
    return isMember ? Math.max(members.length, settled.length) : 0;
  }
}

function namesIn(members: readonly QuotaMember[]): string[] {
  return members.map(({ name }) => name);
}

/** The holders of a tenant's pools: as the hash ranks them, in as many regions and zones as can be had. */
function pickHolders(tenant: string, members: readonly QuotaMember[]): string[] {
  const byName = new Map(members.map((member) => [member.name, member]));
  const names = [...byName.keys()];
  const ranked = pickByRendezvous(`quota/${tenant}`, names, names.length);
  const picked: QuotaMember[] = [];
  const pick = (isApart: (member: QuotaMember, other: QuotaMember) => boolean) => {
    for (const name of ranked) {
      const member = byName.get(name)!;
      const isNew = !picked.includes(member);
      const isFree = picked.length < MAX_POOLS;
      if (isFree && isNew && picked.every((other) => isApart(member, other))) {
        picked.push(member);
      }
    }
  };
  pick((member, other) => member.region !== other.region);
  pick((member, other) => member.zone !== other.zone);
  pick(() => true);
  return picked.map(({ name }) => name);
}
