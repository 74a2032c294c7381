/**
 * Tenants' quotas over all gateways, without a word needed from others.
 *
 * Each gateway keeps a bucket per tenant that its own use and the use its
 * peers report both drain. A peer that fell silent is taken to use an equal
 * share of the rate, so that gateways that cannot hear each other stay within
 * the limit together.
 */
import type { TenantQuota } from '../../routing/configuration.js';
import { RecentUse } from './recent-use.js';

/** Bounds of the quotas. */
export interface TokenQuotaOptions {
  /** Tokens above a tenant's rate and burst that the bound allows over all gateways. */
  readonly slackTokens: number;
  /** Share above a tenant's rate that the bound allows. */
  readonly overShare: number;
  /** Silence after which a peer counts as not heard, in milliseconds; some times the pause between its beats. */
  silenceMs(): number;
  /** Silence after which a peer is forgotten, in milliseconds. Default 20,000. */
  readonly forgetMs: number;
}

interface TenantBucket {
  level: number;
  filledAtMs: number;
}

interface PeerUse {
  heardAtMs: number;
  /** Tokens used since the peer started, by tenant. */
  readonly usedByTenant: Map<string, number>;
}

/**
 * Share of the slack that a bucket may hold beside the burst. All gateways may start again twice in a window,
 * each time with such a part, and hear of each other late: three parts, and the fourth for that.
 */
const SLACK_SHARE_IN_BUCKET = 0.25;
/** Share of the allowed surplus of rate that is used. */
const OVER_SHARE_USED = 0.5;
const MS_PER_S = 1_000;

/** Tenants' quotas of one gateway. */
export class TokenQuotas {
  private readonly buckets = new Map<string, TenantBucket>();
  private readonly ownUse = new Map<string, number>();
  private readonly tenantsWithNews = new Set<string>();
  private readonly peers = new Map<string, PeerUse>();
  /** What peers used lately of tenants that have no bucket here yet. */
  private readonly heardUse = new Map<string, RecentUse>();

  constructor(
    private readonly options: TokenQuotaOptions,
    private readonly startedAtMs: number,
  ) {}

  /** Takes `cost` tokens of a tenant; false when its quota is spent. */
  take(tenant: string, quota: TenantQuota, cost: number, nowMs: number): boolean {
    const bucket = this.fill(tenant, quota, nowMs);
    if (bucket.level <= 0) {
      return false;
    }
    bucket.level -= cost;
    this.tenantsWithNews.add(tenant);
    this.ownUse.set(tenant, (this.ownUse.get(tenant) ?? 0) + cost);
    return true;
  }

  /** Gives back what a request took that no back end ran. */
  giveBack(tenant: string, cost: number): void {
    const bucket = this.buckets.get(tenant);
    if (bucket !== undefined) {
      bucket.level += cost;
    }
    this.tenantsWithNews.add(tenant);
    this.ownUse.set(tenant, (this.ownUse.get(tenant) ?? 0) - cost);
  }

  /** Time until a tenant that was refused may spend again, in milliseconds. */
  waitMs(tenant: string, quota: TenantQuota): number {
    const level = this.buckets.get(tenant)?.level ?? 0;
    return quota.ratePerS <= 0 ? MS_PER_S : Math.max(0, (-level / quota.ratePerS) * MS_PER_S);
  }

  /** What is believed to be left to a tenant. */
  left(tenant: string): number {
    return this.buckets.get(tenant)?.level ?? 0;
  }

  /** Tokens used here since the start, by tenant; what peers are told. */
  use(): ReadonlyMap<string, number> {
    return this.ownUse;
  }

  /** Use since the start of the tenants that used more since this was asked last. */
  takeNews(): Map<string, number> {
    const news = new Map(
      [...this.tenantsWithNews].map((name) => [name, this.ownUse.get(name) ?? 0]),
    );
    this.tenantsWithNews.clear();
    return news;
  }

  /**
   * Takes in what a peer used since it started `ageMs` ago; tenants that are left out used no more. Of one
   * that is heard for the first time the use so far counts only if it started lately, and after this process:
   * an older one may have been heard before, and was forgotten in a long silence.
   */
  hear(peer: string, used: ReadonlyMap<string, number>, ageMs: number, nowMs: number): void {
    const known = this.peers.get(peer);
    if (known === undefined) {
      const isNew = ageMs < this.options.forgetMs && nowMs - ageMs >= this.startedAtMs;
      if (isNew) {
        used.forEach((tokens, tenant) => this.drain(tenant, tokens, nowMs));
      }
      this.peers.set(peer, { heardAtMs: nowMs, usedByTenant: new Map(used) });
      return;
    }
    known.heardAtMs = nowMs;
    for (const [tenant, tokens] of used) {
      this.drain(tenant, tokens - (known.usedByTenant.get(tenant) ?? 0), nowMs);
      known.usedByTenant.set(tenant, tokens);
    }
  }

  /** A peer stopped for good. */
  forget(peer: string): void {
    this.peers.delete(peer);
  }

  private drain(tenant: string, tokens: number, nowMs: number): void {
    const bucket = this.buckets.get(tenant);
    if (bucket === undefined) {
      const heard = this.heardUse.get(tenant) ?? new RecentUse();
      this.heardUse.set(tenant, heard);
      heard.add(tokens, nowMs);
    } else {
      bucket.level -= tokens;
    }
  }

  private fill(tenant: string, quota: TenantQuota, nowMs: number): TenantBucket {
    const rate = quota.ratePerS * (1 + this.options.overShare * OVER_SHARE_USED);
    const capacity = quota.burst + this.options.slackTokens * SLACK_SHARE_IN_BUCKET;
    const known = this.buckets.get(tenant);
    if (known === undefined) {
      const level = this.firstLevel(tenant, rate, capacity, nowMs);
      const bucket = { level, filledAtMs: nowMs };
      this.buckets.set(tenant, bucket);
      return bucket;
    }
    const elapsedMs = nowMs - known.filledAtMs;
    const share = this.heardShare(nowMs);
    known.level = Math.min(capacity, known.level + (rate * share * elapsedMs) / MS_PER_S);
    known.filledAtMs = nowMs;
    return known;
  }

  /**
   * What a bucket holds that is first needed now: as if it had been filled since this process started, and
   * drained by what peers told. A process that just started may follow one that had spent everything.
   */
  private firstLevel(tenant: string, rate: number, capacity: number, nowMs: number): number {
    const perMs = (rate * this.heardShare(nowMs)) / MS_PER_S;
    let level = this.startLevel;
    let filledAtMs = this.startedAtMs;
    for (const { atMs, tokens } of this.heardUse.get(tenant)?.steps(nowMs) ?? []) {
      level = Math.min(capacity, level + perMs * (atMs - filledAtMs)) - tokens;
      filledAtMs = atMs;
    }
    this.heardUse.delete(tenant);
    return Math.min(capacity, level + perMs * (nowMs - filledAtMs));
  }

  /** Tokens in a bucket at the start of the process: what went before is not known. */
  private get startLevel(): number {
    return this.options.slackTokens * SLACK_SHARE_IN_BUCKET;
  }

  /** Share of a tenant's rate that is not set aside for peers that fell silent. */
  private heardShare(nowMs: number): number {
    const gateways = this.peers.size + 1;
    const longestMs = this.options.silenceMs();
    let silent = 0;
    for (const [name, peer] of this.peers) {
      const silenceMs = nowMs - peer.heardAtMs;
      if (silenceMs > this.options.forgetMs) {
        this.peers.delete(name);
      } else if (silenceMs > longestMs) {
        silent += 1;
      }
    }
    return 1 - silent / gateways;
  }
}
