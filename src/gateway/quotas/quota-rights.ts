/**
 * The quota rights of this gateway: derived from the newest membership record, and valid only under
 * a lease.
 */
import { isLater, isNoPosition } from '../../cluster/store-position.js';
import { haveSameRights, NO_QUOTA_MEMBERS, HolderAssignment } from './quota-members.js';
import { MAX_ADVANCE_GRANT_MS } from './quota-pools.js';
import type { QuotaMembersRecord } from './quota-members.js';

/**
 * Duration of the lease on rights since the last contact with the store or a majority of members,
 * in milliseconds. Longer than the outages and partitions that gateways must tolerate; a gateway
 * removed from the members has stopped serving its pools after it, even if partitioned.
 */
export const RIGHTS_LEASE_MS = 60_000;

/** Quota rights of one gateway. */
export class QuotaRights {
  private assignment = new HolderAssignment(NO_QUOTA_MEMBERS);
  private renewedAtMs = -Infinity;
  private changedAtMs = Infinity;

  /**
   * `onChange` is called when rights may have been gained or lost, `onCredit` when the record adds
   * a credit.
   */
  constructor(
    private readonly self: string,
    private readonly startedAtMs: number,
    private readonly onChange: () => void,
    private readonly onCredit: () => void,
  ) {}

  /** The newest record applied. */
  get record(): QuotaMembersRecord {
    return this.assignment.record;
  }

  /** Applies a record from the store; returns whether it is newer than the current one. */
  take(record: QuotaMembersRecord, nowMs: number): boolean {
    if (!isNoPosition(record) && !isLater(record, this.record)) {
      return false;
    }
    if (record.members === undefined && isNoPosition(record) && this.record.members === undefined) {
      return false;
    }
    // A deleted, older or unreadable record revokes no rights: members use the last known one until
    // it is rewritten.
    const { epoch, revision } = record;
    const previous = this.record;
    const isLost = record.members === undefined || record.sequence < previous.sequence;
    const next = isLost ? { ...previous, epoch, revision, isLost } : record;
    this.assignment = new HolderAssignment(next);
    if (!haveSameRights(next, previous)) {
      this.changedAtMs = nowMs;
      this.onChange();
    }
    // A credit that is found at startup may already have been used by the previous process of this
    // name.
    if (previous.members !== undefined && next.credits > previous.credits) {
      this.onCredit();
    }
    return true;
  }

  /** Renews the lease as of `atMs`, the last contact with the store or a majority of members. */
  renewLease(atMs: number, nowMs: number): void {
    const hasLapsed = this.isLeaseExpired(nowMs);
    this.renewedAtMs = Math.max(this.renewedAtMs, atMs);
    if (hasLapsed) {
      // Other gateways may have held these rights since the lease expired.
      this.changedAtMs = nowMs;
      this.onChange();
    }
  }

  /** Whether the lease has expired: no contact for too long, or none yet since the start. */
  isLeaseExpired(nowMs: number): boolean {
    return nowMs - this.renewedAtMs > RIGHTS_LEASE_MS;
  }

  /** Returns the names of the gateways that hold a tenant's pools. */
  holdersOf(tenant: string): readonly string[] {
    return this.assignment.holdersOf(tenant);
  }

  /**
   * Returns the single holder of the undivided resource `key`; undefined while the assignment is
   * not settled.
   */
  soleHolderOf(key: string): string | undefined {
    return this.assignment.soleHolderOf(key);
  }

  /**
   * Returns when this gateway became the single holder of `key`, in milliseconds; undefined if it
   * is not.
   */
  soleSinceMs(key: string, nowMs: number): number | undefined {
    const isHeld = !this.isLeaseExpired(nowMs) && this.soleHolderOf(key) === this.self;
    return isHeld ? this.freeSinceMs : undefined;
  }

  /** Number of pools that each tenant's quota is divided into. */
  get pools(): number {
    return this.assignment.poolCount;
  }

  /**
   * Returns when this gateway became the only holder of its pool of the tenant, in milliseconds;
   * undefined if it has none.
   */
  heldSinceMs(tenant: string, nowMs: number): number | undefined {
    const isHeld = !this.isLeaseExpired(nowMs) && this.holdersOf(tenant).includes(this.self);
    return isHeld ? this.freeSinceMs : undefined;
  }

  /**
   * Start of the current rights, in milliseconds; at least `MAX_ADVANCE_GRANT_MS` after the start
   * of this process, since advance grants of the previous process of this name may be used shortly
   * after its end.
   */
  private get freeSinceMs(): number {
    return Math.max(this.changedAtMs, this.startedAtMs + MAX_ADVANCE_GRANT_MS);
  }

  /**
   * Returns how many gateways share the reserves and since when this one has its share; undefined
   * if it has none.
   */
  reserve(nowMs: number): { readonly gateways: number; readonly sinceMs: number } | undefined {
    const gateways = this.isLeaseExpired(nowMs)
      ? 0
      : this.assignment.countReserveHolders(this.self);
    return gateways === 0 ? undefined : { gateways, sinceMs: this.freeSinceMs };
  }
}
