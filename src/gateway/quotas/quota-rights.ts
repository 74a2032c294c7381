/** Which rights to tenants' quotas this gateway holds now: by the newest record of members, while it is in contact. */
import { isLater, isNoPosition } from '../../cluster/store-position.js';
import { haveSameRights, NO_QUOTA_MEMBERS, QuotaHolders } from './quota-members.js';
import { MAX_AHEAD_MS } from './quota-pools.js';
import type { QuotaMembersRecord } from './quota-members.js';

/**
 * How long rights hold without word of the store or of most members, in milliseconds. Longer than the outages and cuts
 * that gateways are to bear; whoever is named a member no more has stopped after it, wherever it is.
 */
export const RIGHTS_HOLD_MS = 60_000;

/** The rights of one gateway. */
export class QuotaRights {
  private holders = new QuotaHolders(NO_QUOTA_MEMBERS);
  private contactAtMs = -Infinity;
  private changedAtMs = Infinity;

  /** `onChange`: rights may have come or gone. */
  constructor(
    private readonly self: string,
    private readonly startedAtMs: number,
    private readonly onChange: () => void,
    private readonly onCredit: () => void,
  ) {}

  /** The newest record that was seen. */
  get record(): QuotaMembersRecord {
    return this.holders.record;
  }

  /** Takes in a record of the store; says whether it is news. */
  take(record: QuotaMembersRecord, nowMs: number): boolean {
    if (!isNoPosition(record) && !isLater(record, this.record)) {
      return false;
    }
    if (record.members === undefined && isNoPosition(record) && this.record.members === undefined) {
      return false;
    }
    // A record that is gone, is older or cannot be read takes no rights: members keep to the last one until it is
    // written anew.
    const { epoch, revision } = record;
    const former = this.record;
    const isLost = record.members === undefined || record.sequence < former.sequence;
    const known = isLost ? { ...former, epoch, revision, isLost } : record;
    this.holders = new QuotaHolders(known);
    if (!haveSameRights(known, former)) {
      this.changedAtMs = nowMs;
      this.onChange();
    }
    // Whoever finds a credit at its start may follow a process that has used it.
    if (former.members !== undefined && known.credits > former.credits) {
      this.onCredit();
    }
    return true;
  }

  /** Word of the store, or of most members, came at `atMs`. */
  noteContact(atMs: number, nowMs: number): void {
    const hasLapsed = this.hasLapsed(nowMs);
    this.contactAtMs = Math.max(this.contactAtMs, atMs);
    if (hasLapsed) {
      // Others may have held these rights meanwhile.
      this.changedAtMs = nowMs;
      this.onChange();
    }
  }

  /** Whether rights rest, since this gateway was out of contact for too long or has only started. */
  hasLapsed(nowMs: number): boolean {
    return nowMs - this.contactAtMs > RIGHTS_HOLD_MS;
  }

  /** Names of the gateways that hold a tenant's pools. */
  holdersOf(tenant: string): readonly string[] {
    return this.holders.holdersOf(tenant);
  }

  /** Name of the one gateway that holds what `key` names and is not divided; undefined while that is not known. */
  soleHolderOf(key: string): string | undefined {
    return this.holders.soleHolderOf(key);
  }

  /** Since when this gateway alone holds what `key` names, in milliseconds; undefined if it does not. */
  soleSinceMs(key: string, nowMs: number): number | undefined {
    const isHeld = !this.hasLapsed(nowMs) && this.soleHolderOf(key) === this.self;
    return isHeld ? this.freeSinceMs : undefined;
  }

  /** Pools that each tenant's quota is divided among. */
  get pools(): number {
    return this.holders.pools;
  }

  /** Since when this gateway alone has the right to a pool of the tenant, in milliseconds; undefined if it has none. */
  heldSinceMs(tenant: string, nowMs: number): number | undefined {
    const isHeld = !this.hasLapsed(nowMs) && this.holdersOf(tenant).includes(this.self);
    return isHeld ? this.freeSinceMs : undefined;
  }

  /** What a former process of this name granted ahead may be used for a moment after its end. */
  private get freeSinceMs(): number {
    return Math.max(this.changedAtMs, this.startedAtMs + MAX_AHEAD_MS);
  }

  /** Gateways among which reserves are divided, and since when this one has its part; undefined if it has none. */
  reserve(nowMs: number): { readonly gateways: number; readonly sinceMs: number } | undefined {
    const gateways = this.hasLapsed(nowMs) ? 0 : this.holders.countReserves(this.self);
    return gateways === 0 ? undefined : { gateways, sinceMs: this.freeSinceMs };
  }
}
