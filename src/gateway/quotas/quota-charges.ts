/**
 * Charges requests to their tenants' quotas: requests grants from the holders of the tenant's
 * pools, local or at other gateways, in turn. A grant is spent at once; one that arrives too late
 * is refunded.
 */
import type { Clock, TimerHandle } from '../../clock.js';
import type { RandomSource } from '../../random.js';
import type { TenantQuota } from '../../routing/configuration.js';
import { QuotaBucket } from './quota-bucket.js';
import { PendingCharge } from './pending-charge.js';
import type { Charge, ChargeResult } from './pending-charge.js';
import type { RequestedCost, QuotaDecision, QuotaPools, QuotaRefusal } from './quota-pools.js';
import type { QuotaRights } from './quota-rights.js';
import { poolConfig, reserveConfig } from './quota-budget.js';
import type { QuotaTolerance } from './quota-budget.js';

/** Dependencies of the charges. */
export interface QuotaChargesPorts {
  /** Returns the tenant's quota in the current configuration; undefined if it has none. */
  quotaOf(tenant: string): TenantQuota | undefined;
  /** Sends a quota request to another gateway; false if it is not connected. */
  sendRequest(holder: string, request: QuotaRequest): boolean;
  /** Refunds a grant of another gateway. */
  sendRefund(holder: string, request: Pick<QuotaRequest, 'id' | 'tenant'>): void;
  /** Returns a relative distance to a holder; the nearest are tried first. */
  distanceOf(holder: string): number;
}

/** A quota request to the holder of a tenant's pool; sent as `quota-ask`. */
export interface QuotaRequest extends RequestedCost {
  /** Correlates the response with the request. */
  readonly id: number;
  readonly tenant: string;
}

/**
 * Timeout of a quota request, in milliseconds: a few round trips between regions plus a busy
 * holder's event-loop turn.
 */
export const HOLDER_TIMEOUT_MS = 80;
/**
 * Timer lateness above which this process's own event loop is considered stalled, in milliseconds:
 * responses that arrived during the stall are read only after the timer has fired, so that such a
 * timeout does not prove that the holder is unresponsive.
 */
const LOOP_STALL_MS = 40;
/**
 * Time for which an unresponsive holder is skipped, in milliseconds; a restart takes about as long.
 */
const UNRESPONSIVE_BACKOFF_MS = 500;
/**
 * Longest time for which a refusal of a pool is cached, in milliseconds: limits each gateway to
 * about ten requests a second to a pool that stays empty, however far the tenant is over its limit.
 */
const MAX_REFUSAL_CACHE_MS = 100;
/**
 * Time after the process start in which holders may be unknown or not connected, in milliseconds: a
 * few connection attempts.
 */
const STARTUP_MS = 3_000;
/**
 * Retry interval of a charge in that time and the longest wait of a request for it, in
 * milliseconds: without retries a gateway that has just started would refuse tenants below their
 * limits.
 */
const STARTUP_RETRY_MS = 50;
const STARTUP_MAX_WAIT_MS = 400;

/** A refusal, reused instead of sending the holder another request. */
interface CachedRefusal {
  /** When the entry expires, in milliseconds. */
  readonly untilMs: number;
  readonly refusal: QuotaRefusal;
}

interface PendingRequest {
  readonly holder: string;
  readonly request: QuotaRequest;
  timer: TimerHandle;
  readonly onDecision: (decision: QuotaDecision | undefined) => void;
}

/** Charges requests to their tenants' quotas. */
export class QuotaCharges {
  private readonly pending = new Map<number, PendingRequest>();
  private readonly cachedRefusals = new Map<string, CachedRefusal>();
  private readonly skippedUntilMs = new Map<string, number>();
  private readonly reserves = new Map<string, QuotaBucket>();
  private readonly used = new Map<string, number>();
  private readonly startedAtMs: number;
  private lastId = 0;

  constructor(
    private readonly self: string,
    private readonly tolerance: QuotaTolerance,
    private readonly rights: QuotaRights,
    private readonly pools: QuotaPools,
    private readonly ports: QuotaChargesPorts,
    private readonly clock: Clock,
    private readonly random: RandomSource,
  ) {
    this.startedAtMs = clock.now();
  }

  /** Tokens (or requests) admitted by this process since its start, by tenant. */
  get usage(): ReadonlyMap<string, number> {
    return this.used;
  }

  /** Charges `cost` to a tenant; `onResult` is called once, possibly before this returns. */
  charge(tenant: string, cost: number, onResult: (result: ChargeResult) => void): Charge {
    const beganAtMs = this.clock.now();
    let isCancelled = false;
    let current: Charge | undefined;
    const begin = () => {
      current = this.chargeOnce(tenant, cost, (result) => {
        if (this.isStartupFailure(result, beganAtMs)) {
          this.clock.setTimeout(() => !isCancelled && begin(), STARTUP_RETRY_MS);
        } else {
          onResult(result);
        }
      });
    };
    begin();
    return {
      cancel: () => {
        isCancelled = true;
        current?.cancel();
      },
    };
  }

  /** Handles a holder's response to a quota request. */
  receive(id: number, decision: QuotaDecision): void {
    const pending = this.pending.get(id);
    if (pending !== undefined) {
      this.pending.delete(id);
      this.clock.clearTimeout(pending.timer);
      this.updateRefusalCache(pending.holder, pending.request, decision);
      pending.onDecision(decision);
    }
  }

  /**
   * Resets the reserves after a change of rights; each starts empty and counts its refill since the
   * change.
   */
  resetReserves(): void {
    this.reserves.clear();
  }

  private chargeOnce(
    tenant: string,
    cost: number,
    onResult: (result: ChargeResult) => void,
  ): Charge {
    const quota = this.ports.quotaOf(tenant);
    if (quota === undefined) {
      onResult({ isGranted: true, giveBack: () => undefined });
      return { cancel: () => undefined };
    }
    const { pools } = this.rights;
    const { capacity } = poolConfig(quota, this.tolerance, pools);
    // A cost above half of a pool's capacity is split among several pools, so that it need not wait
    // for a full one.
    const parts = Math.min(pools, Math.max(1, Math.ceil(cost / (capacity / 2))));
    const charge = new PendingCharge(this.orderHolders(tenant), parts, cost, {
      requestGrant: (holder, id, requested, onDecision) =>
        this.requestGrant(holder, { id, tenant, ...requested }, onDecision),
      nextId: () => (this.lastId += 1),
      schedule: (delayMs, callback) => void this.clock.setTimeout(callback, delayMs),
      refund: (holder, id) => this.refund(holder, id, tenant),
      drawReserve: () => this.drawReserve(tenant, quota, cost),
      onResult: (result) => {
        if (result.isGranted) {
          this.used.set(tenant, (this.used.get(tenant) ?? 0) + cost);
        }
        onResult(result);
      },
    });
    charge.proceed();
    return charge;
  }

  /** Whether no holder could be reached because this process has only just started. */
  private isStartupFailure(result: ChargeResult, beganAtMs: number): boolean {
    const nowMs = this.clock.now();
    const isStartingUp =
      nowMs - this.startedAtMs < STARTUP_MS && nowMs - beganAtMs < STARTUP_MAX_WAIT_MS;
    return isStartingUp && !result.isGranted && result.refused === 0;
  }

  private orderHolders(tenant: string): string[] {
    const holders = this.rights.holdersOf(tenant);
    const first = Math.floor(this.random.next() * holders.length);
    return [...holders.slice(first), ...holders.slice(0, first)].sort(
      (left, right) => this.ports.distanceOf(left) - this.ports.distanceOf(right),
    );
  }

  /**
   * Requests a grant; `onDecision` is called once, with undefined if the holder is unreachable or
   * times out.
   */
  private requestGrant(
    holder: string,
    request: QuotaRequest,
    onDecision: (decision: QuotaDecision | undefined) => void,
  ): void {
    const { id, tenant } = request;
    const nowMs = this.clock.now();
    if (holder === this.self) {
      onDecision(this.pools.acquire(tenant, request, grantKey(this.self, id), nowMs));
      return;
    }
    const cached = this.cachedRefusals.get(refusalKey(holder, request));
    if (cached !== undefined && nowMs < cached.untilMs) {
      onDecision(cached.refusal);
      return;
    }
    const isSkipped = nowMs < (this.skippedUntilMs.get(holder) ?? -Infinity);
    if (isSkipped || !this.ports.sendRequest(holder, request)) {
      onDecision(undefined);
      return;
    }
    this.pending.set(id, { holder, request, timer: this.startTimer(id), onDecision });
  }

  private startTimer(id: number): TimerHandle {
    const dueAtMs = this.clock.now() + HOLDER_TIMEOUT_MS;
    const timeOut = () => this.timeOut(id, this.clock.now() - dueAtMs);
    return this.clock.setTimeout(timeOut, HOLDER_TIMEOUT_MS);
  }

  private timeOut(id: number, lateMs: number): void {
    const pending = this.pending.get(id)!;
    if (lateMs > LOOP_STALL_MS) {
      pending.timer = this.startTimer(id);
      return;
    }
    this.pending.delete(id);
    this.skippedUntilMs.set(pending.holder, this.clock.now() + UNRESPONSIVE_BACKOFF_MS);
    // The request may still arrive and be granted: refund it.
    this.ports.sendRefund(pending.holder, pending.request);
    pending.onDecision(undefined);
  }

  private updateRefusalCache(holder: string, request: QuotaRequest, decision: QuotaDecision): void {
    const key = refusalKey(holder, request);
    if (decision.isGranted) {
      this.cachedRefusals.delete(key);
      return;
    }
    const untilMs = this.clock.now() + Math.min(MAX_REFUSAL_CACHE_MS, decision.emptyForMs);
    this.cachedRefusals.set(key, { untilMs, refusal: decision });
  }

  private refund(holder: string, id: number, tenant: string): void {
    if (holder === this.self) {
      this.pools.refund(tenant, grantKey(this.self, id), this.clock.now());
    } else {
      this.ports.sendRefund(holder, { id, tenant });
    }
  }

  private drawReserve(tenant: string, quota: TenantQuota, cost: number): boolean {
    const nowMs = this.clock.now();
    const reserve = this.rights.reserve(nowMs);
    if (reserve === undefined) {
      return false;
    }
    const key = `${tenant} ${quota.unit}`;
    const bucket = this.reserves.get(key) ?? new QuotaBucket(reserve.sinceMs);
    this.reserves.set(key, bucket);
    this.lastId += 1;
    const config = reserveConfig(quota, this.tolerance, reserve.gateways);
    return bucket.take(grantKey(this.self, this.lastId), cost, config, nowMs);
  }
}

/** Returns the key under which a holder stores a grant. */
export function grantKey(requester: string, id: number): string {
  return `${requester} ${id}`;
}

/**
 * Includes `mayWait`, since a pool that refuses an immediate grant may still issue an advance
 * grant.
 */
function refusalKey(holder: string, { tenant, mayWait }: QuotaRequest): string {
  return `${holder} ${tenant} ${mayWait}`;
}
