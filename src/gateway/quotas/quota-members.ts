/**
 * Assignment of tenants' quota pools to gateways, derived from one membership record in the cluster
 * store.
 *
 * The record lists the current members and the last settled membership (`settled`), which every
 * gateway with earlier rights had applied unless it timed out. While the two differ, a gateway has
 * only the rights that both give it, so that the former holder of a pool has stopped serving it
 * before the next one starts.
 */
import { NO_POSITION } from '../../cluster/store-position.js';
import type { StorePosition } from '../../cluster/store-position.js';
import { pickByRendezvous } from '../../membership/rendezvous.js';
import { MAX_POOLS } from './quota-budget.js';

/** A gateway that may hold quota rights. */
export interface QuotaMember {
  /** Process name; stable across restarts. */
  readonly name: string;
  readonly zone: string;
  /** Region of the zone; empty if the deployment defines none. */
  readonly region: string;
  /** Peer address, IP:PORT. */
  readonly address: string;
}

/** The membership record in the store. Revision 0 means that the store holds none. */
export interface QuotaMembersRecord extends StorePosition {
  /** Undefined if there is no readable record. */
  readonly members: readonly QuotaMember[] | undefined;
  /**
   * The last membership that every gateway with earlier rights had applied, unless it timed out.
   */
  readonly settled: readonly QuotaMember[];
  /**
   * Incremented by every write, also after the store lost the previous one: the lower number is the
   * older record.
   */
  readonly sequence: number;
  /**
   * Number of credits issued since the first record; a credit tops up the pools after a restart of
   * the whole fleet.
   */
  readonly credits: number;
  /** Wall-clock time of the last credit, in milliseconds; 0 before the first. */
  readonly creditedAtMs: number;
  /**
   * Whether the store's copy is deleted, older or unreadable. The other fields then hold the last
   * known record, at the position of the store's copy.
   */
  readonly isLost?: boolean;
}

/** Content of the next record to be written. */
export type QuotaMembersChange = Required<
  Pick<QuotaMembersRecord, 'settled' | 'sequence' | 'credits' | 'creditedAtMs'>
> & { readonly members: readonly QuotaMember[] };

/** Placeholder while no record is known. */
export const NO_QUOTA_MEMBERS: QuotaMembersRecord = {
  members: undefined,
  settled: [],
  ...NO_POSITION,
  sequence: 0,
  credits: 0,
  creditedAtMs: 0,
};

/** Whether the current members are the settled membership. */
export function isSettled({ members, settled }: QuotaMembersRecord): boolean {
  return members !== undefined && sortedNamesKey(members) === sortedNamesKey(settled);
}

/** Whether both records give every gateway the same rights. */
export function haveSameRights(left: QuotaMembersRecord, right: QuotaMembersRecord): boolean {
  const areSameMembers = sortedNamesKey(left.members ?? []) === sortedNamesKey(right.members ?? []);
  return areSameMembers && sortedNamesKey(left.settled) === sortedNamesKey(right.settled);
}

function sortedNamesKey(members: readonly QuotaMember[]): string {
  return members
    .map(({ name }) => name)
    .sort()
    .join(' ');
}

/** Assignment of tenants' pools to holders under one membership record. */
export class HolderAssignment {
  private readonly holdersByTenant = new Map<string, readonly string[]>();
  private readonly soleHolderByKey = new Map<string, string | undefined>();

  constructor(readonly record: QuotaMembersRecord) {}

  /** Returns the names of the gateways that hold a tenant's pools; empty if none are known. */
  holdersOf(tenant: string): readonly string[] {
    let holders = this.holdersByTenant.get(tenant);
    if (holders === undefined) {
      const { members = [], settled } = this.record;
      const before = new Set(pickHolders(tenant, settled));
      holders = pickHolders(tenant, members).filter((name) => before.has(name));
      this.holdersByTenant.set(tenant, holders);
    }
    return holders;
  }

  /**
   * Returns the single holder of the undivided resource `key`; undefined until `members` and
   * `settled` agree on it.
   */
  soleHolderOf(key: string): string | undefined {
    if (!this.soleHolderByKey.has(key)) {
      const { members = [], settled } = this.record;
      const holder = pickByRendezvous(key, listNames(members), 1)[0];
      const isSettled = holder === pickByRendezvous(key, listNames(settled), 1)[0];
      this.soleHolderByKey.set(key, isSettled ? holder : undefined);
    }
    return this.soleHolderByKey.get(key);
  }

  /** Number of pools that each tenant's quota is divided into; at least 1. */
  get poolCount(): number {
    const { members = [], settled } = this.record;
    return Math.max(1, Math.min(MAX_POOLS, Math.max(members.length, settled.length)));
  }

  /** Returns the number of gateways that share the reserves; 0 if `name` has no share. */
  countReserveHolders(name: string): number {
    const { members = [], settled } = this.record;
    const isMember = [members, settled].every((list) =>
      list.some((member) => member.name === name),
    );
    return isMember ? Math.max(members.length, settled.length) : 0;
  }
}

function listNames(members: readonly QuotaMember[]): string[] {
  return members.map(({ name }) => name);
}

/**
 * Picks the holders of a tenant's pools by rendezvous hashing, spread over as many regions, then
 * zones, as possible.
 */
function pickHolders(tenant: string, members: readonly QuotaMember[]): string[] {
  const byName = new Map(members.map((member) => [member.name, member]));
  const names = [...byName.keys()];
  const ranked = pickByRendezvous(`quota/${tenant}`, names, names.length);
  const picked: QuotaMember[] = [];
  const pick = (isSeparate: (member: QuotaMember, other: QuotaMember) => boolean) => {
    for (const name of ranked) {
      const member = byName.get(name)!;
      const isNew = !picked.includes(member);
      const isFree = picked.length < MAX_POOLS;
      if (isFree && isNew && picked.every((other) => isSeparate(member, other))) {
        picked.push(member);
      }
    }
  };
  pick((member, other) => member.region !== other.region);
  pick((member, other) => member.zone !== other.zone);
  pick(() => true);
  return picked.map(({ name }) => name);
}
