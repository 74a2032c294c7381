/**
 * Charges requests to their tenants: asks the holders of the tenant's pools, here or at other gateways, one after the
 * other. What a pool grants is spent at once; what comes too late is given back.
 */
import type { Clock, TimerHandle } from '../../clock.js';
import type { RandomSource } from '../../random.js';
import type { TenantQuota } from '../../routing/configuration.js';
import { QuotaBucket } from './quota-bucket.js';
import { OpenCharge } from './open-charge.js';
import type { Charge, ChargeResult } from './open-charge.js';
import type { AskedCost, QuotaGrant, QuotaPools, RefusedGrant } from './quota-pools.js';
import type { QuotaRights } from './quota-rights.js';
import { poolTerms, reserveTerms } from './quota-terms.js';
import type { QuotaTolerance } from './quota-terms.js';

/** What charges need from their surroundings. */
export interface QuotaChargesPorts {
  /** The quota of a tenant in the configuration in force; undefined for one that has none. */
  quotaOf(tenant: string): TenantQuota | undefined;
  /** Asks another gateway; false if there is no connection to it. */
  sendAsk(holder: string, ask: QuotaAsk): boolean;
  /** Gives back what another gateway granted. */
  sendBack(holder: string, ask: Pick<QuotaAsk, 'id' | 'tenant'>): void;
  /** How far a holder is, in any unit; the nearest are asked first. */
  distanceOf(holder: string): number;
}

/** What a gateway asks a holder of a tenant's pool. */
export interface QuotaAsk extends AskedCost {
  /** Number that the answer names. */
  readonly id: number;
  readonly tenant: string;
}

/** Time for a holder's answer, in milliseconds: some round trips between regions, and a busy holder's turn. */
export const ASK_TIMEOUT_MS = 80;
/**
 * Delay of a timer from which this process itself stood still, in milliseconds: answers that came meanwhile are read
 * only after it, so that the holder's silence says nothing.
 */
const STALL_MS = 40;
/** Time for which a holder that did not answer is passed over, in milliseconds; one that restarts is away for about as long. */
const SILENT_PAUSE_MS = 500;
/**
 * Longest time for which a pool that was found empty is not asked again, in milliseconds: ten asks a second at most of each
 * gateway and pool, however far a tenant is over its limit.
 */
const EMPTY_PAUSE_MS = 100;
/** Time from the start of the process in which holders may not be known or connected yet, in milliseconds: some tries to connect. */
const YOUNG_MS = 3_000;
/**
 * The pause until they are asked again meanwhile, and how long a request waits for that, in milliseconds: a gateway that
 * has just started would refuse tenants below their limits.
 */
const YOUNG_RETRY_MS = 50;
const YOUNG_PATIENCE_MS = 400;

/** A pool that was found empty. */
interface EmptyPool {
  /** Until when it is not asked again, in milliseconds. */
  readonly untilMs: number;
  readonly grant: RefusedGrant;
}

interface PendingAsk {
  readonly holder: string;
  readonly ask: QuotaAsk;
  timer: TimerHandle;
  readonly onAnswer: (grant: QuotaGrant | undefined) => void;
}

/** Charges requests to their tenants. */
export class QuotaCharges {
  private readonly pending = new Map<number, PendingAsk>();
  private readonly empty = new Map<string, EmptyPool>();
  private readonly silentUntilMs = new Map<string, number>();
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

  /** Tokens (or requests) let pass here since the start, by tenant. */
  get use(): ReadonlyMap<string, number> {
    return this.used;
  }

  /** Charges `cost` to a tenant; `onResult` is called once, maybe before this returns. */
  charge(tenant: string, cost: number, onResult: (result: ChargeResult) => void): Charge {
    const beganAtMs = this.clock.now();
    let isCancelled = false;
    let current: Charge | undefined;
    const begin = () => {
      current = this.chargeOnce(tenant, cost, (result) => {
        if (this.isTooYoung(result, beganAtMs)) {
          this.clock.setTimeout(() => !isCancelled && begin(), YOUNG_RETRY_MS);
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

  /** A holder answered. */
  receive(id: number, grant: QuotaGrant): void {
    const asked = this.pending.get(id);
    if (asked !== undefined) {
      this.pending.delete(id);
      this.clock.clearTimeout(asked.timer);
      this.noteAnswer(asked.holder, asked.ask, grant);
      asked.onAnswer(grant);
    }
  }

  /** Rights may have changed: reserves begin anew, with what has flowed in since. */
  review(): void {
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
    const { capacity } = poolTerms(quota, this.tolerance, pools);
    // What would take more than half of a pool is put together from several, so that it need not wait for a full one.
    const parts = Math.min(pools, Math.max(1, Math.ceil(cost / (capacity / 2))));
    const charge = new OpenCharge(this.inOrder(tenant), parts, cost, {
      ask: (holder, id, asked, onAnswer) => this.ask(holder, { id, tenant, ...asked }, onAnswer),
      nextId: () => (this.lastId += 1),
      after: (delayMs, callback) => void this.clock.setTimeout(callback, delayMs),
      giveBack: (holder, id) => this.giveBack(holder, id, tenant),
      takeReserve: () => this.takeReserve(tenant, quota, cost),
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

  /** Whether nobody could be asked since this process has only just started. */
  private isTooYoung(result: ChargeResult, beganAtMs: number): boolean {
    const nowMs = this.clock.now();
    const isYoung = nowMs - this.startedAtMs < YOUNG_MS && nowMs - beganAtMs < YOUNG_PATIENCE_MS;
    return isYoung && !result.isGranted && result.refused === 0;
  }

  private inOrder(tenant: string): string[] {
    const holders = this.rights.holdersOf(tenant);
    const first = Math.floor(this.random.next() * holders.length);
    return [...holders.slice(first), ...holders.slice(0, first)].sort(
      (left, right) => this.ports.distanceOf(left) - this.ports.distanceOf(right),
    );
  }

  /** Asks one holder; `onAnswer` is called once, with undefined where it was not reached or did not answer. */
  private ask(
    holder: string,
    ask: QuotaAsk,
    onAnswer: (grant: QuotaGrant | undefined) => void,
  ): void {
    const { id, tenant } = ask;
    const nowMs = this.clock.now();
    if (holder === this.self) {
      onAnswer(this.pools.ask(tenant, ask, grantName(this.self, id), nowMs));
      return;
    }
    const empty = this.empty.get(emptyKey(holder, ask));
    if (empty !== undefined && nowMs < empty.untilMs) {
      onAnswer(empty.grant);
      return;
    }
    const isSilent = nowMs < (this.silentUntilMs.get(holder) ?? -Infinity);
    if (isSilent || !this.ports.sendAsk(holder, ask)) {
      onAnswer(undefined);
      return;
    }
    this.pending.set(id, { holder, ask, timer: this.startTimer(id), onAnswer });
  }

  private startTimer(id: number): TimerHandle {
    const dueAtMs = this.clock.now() + ASK_TIMEOUT_MS;
    const timeOut = () => this.timeOut(id, this.clock.now() - dueAtMs);
    return this.clock.setTimeout(timeOut, ASK_TIMEOUT_MS);
  }

  private timeOut(id: number, lateMs: number): void {
    const asked = this.pending.get(id)!;
    if (lateMs > STALL_MS) {
      asked.timer = this.startTimer(id);
      return;
    }
    this.pending.delete(id);
    this.silentUntilMs.set(asked.holder, this.clock.now() + SILENT_PAUSE_MS);
    // The ask may still arrive, and be granted.
    this.ports.sendBack(asked.holder, asked.ask);
    asked.onAnswer(undefined);
  }

  private noteAnswer(holder: string, ask: QuotaAsk, grant: QuotaGrant): void {
    const key = emptyKey(holder, ask);
    if (grant.isGranted) {
      this.empty.delete(key);
      return;
    }
    const untilMs = this.clock.now() + Math.min(EMPTY_PAUSE_MS, grant.emptyForMs);
    this.empty.set(key, { untilMs, grant });
  }

  private giveBack(holder: string, id: number, tenant: string): void {
    if (holder === this.self) {
      this.pools.giveBack(tenant, grantName(this.self, id), this.clock.now());
    } else {
      this.ports.sendBack(holder, { id, tenant });
    }
  }

  private takeReserve(tenant: string, quota: TenantQuota, cost: number): boolean {
    const nowMs = this.clock.now();
    const reserve = this.rights.reserve(nowMs);
    if (reserve === undefined) {
      return false;
    }
    const key = `${tenant} ${quota.unit}`;
    const bucket = this.reserves.get(key) ?? new QuotaBucket(reserve.sinceMs);
    this.reserves.set(key, bucket);
    this.lastId += 1;
    const terms = reserveTerms(quota, this.tolerance, reserve.gateways);
    return bucket.take(grantName(this.self, this.lastId), cost, terms, nowMs);
  }
}

/** Name of a grant at its holder. */
export function grantName(asker: string, id: number): string {
  return `${asker} ${id}`;
}

/** A pool may refuse at once and still grant what flows in. */
function emptyKey(holder: string, { tenant, mayWait }: QuotaAsk): string {
  return `${holder} ${tenant} ${mayWait}`;
}
