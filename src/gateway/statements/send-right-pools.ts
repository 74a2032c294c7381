/**
 * Token buckets of send rights for backends with a stated limit. For each such backend a single
 * gateway issues the rights, so that all issued rights add up to the limit.
 *
 * A send right allows one request. While none is available, right requests are queued by urgency.
 */
import type { Clock, TimerHandle } from '../../clock.js';

/** Priority of the request that needs a right. */
export interface RequestPriority {
  readonly tier: number;
  readonly rankInTier: number;
}

/** A gateway's request for one send right. */
export interface RightRequest {
  /** Unique ID of the right request. */
  readonly name: string;
  /** Priority among the queued right requests. */
  readonly place: RequestPriority;
  /** Called exactly once, possibly before `acquire` returns. */
  respond(isGranted: boolean): void;
}

/** Dependencies of the pools. */
export interface SendRightPoolsPorts {
  /** Returns the rate for the backend in requests per second; undefined for no limit. */
  limitOf(backendId: string): number | undefined;
  /**
   * Returns since when this gateway has been the sole issuer of the backend's rights, in
   * milliseconds; undefined if it is not.
   */
  heldSinceMs(backendId: string): number | undefined;
}

/**
 * Maximum time that a right request is queued, in milliseconds; after that the requester may have
 * found another backend.
 */
export const MAX_QUEUE_WAIT_MS = 150;
/** Burst size: the rights that accrue in this time, in milliseconds, and at least one. */
const BURST_WINDOW_MS = 200;
/**
 * Time within which a right may be returned, in milliseconds; after that it has been used or lost.
 */
const RETURN_WINDOW_MS = 1_000;
const MS_PER_S = 1_000;

interface QueuedRightRequest extends RightRequest {
  readonly expiresAtMs: number;
}

/** The send rights of one backend. */
class SendRightPool {
  readonly queue: QueuedRightRequest[] = [];
  timer: TimerHandle | undefined;
  /** Issue times of the rights that may still be returned. */
  private readonly issuedAtMs = new Map<string, number>();
  private available = 0;

  constructor(private refilledAtMs: number) {}

  /** Issues one right if available. */
  tryIssue(name: string, limitPerS: number, nowMs: number): boolean {
    this.refill(limitPerS, nowMs);
    if (this.available < 1) {
      return false;
    }
    this.available -= 1;
    this.issuedAtMs.set(name, nowMs);
    return true;
  }

  /** Returns an unused right to the pool. */
  returnRight(name: string, nowMs: number): void {
    const rightIssuedAtMs = this.issuedAtMs.get(name) ?? -Infinity;
    if (this.issuedAtMs.delete(name) && nowMs - rightIssuedAtMs <= RETURN_WINDOW_MS) {
      this.available += 1;
    }
  }

  /** Returns the time until a right is available, in milliseconds. */
  msUntilAvailable(limitPerS: number, nowMs: number): number {
    this.refill(limitPerS, nowMs);
    return Math.max(0, ((1 - this.available) / limitPerS) * MS_PER_S);
  }

  private refill(limitPerS: number, nowMs: number): void {
    const capacity = Math.max(1, (limitPerS * BURST_WINDOW_MS) / MS_PER_S);
    const elapsedMs = Math.max(0, nowMs - this.refilledAtMs);
    this.available = Math.min(capacity, this.available + (limitPerS * elapsedMs) / MS_PER_S);
    this.refilledAtMs = Math.max(nowMs, this.refilledAtMs);
    for (const [name, rightIssuedAtMs] of this.issuedAtMs) {
      if (nowMs - rightIssuedAtMs <= RETURN_WINDOW_MS) {
        return;
      }
      this.issuedAtMs.delete(name);
    }
  }
}

/** The send rights that this gateway issues. */
export class SendRightPools {
  private readonly pools = new Map<string, SendRightPool>();

  constructor(
    private readonly ports: SendRightPoolsPorts,
    private readonly clock: Clock,
  ) {}

  /** Requests a right to send one request to the backend. */
  acquire(backendId: string, request: RightRequest): void {
    const nowMs = this.clock.now();
    const pool = this.getOrCreatePool(backendId, nowMs);
    if (pool === undefined) {
      request.respond(false);
      return;
    }
    pool.queue.push({ ...request, expiresAtMs: nowMs + MAX_QUEUE_WAIT_MS });
    this.issueQueued(backendId, pool);
  }

  /** Returns an issued but unused right to its pool. */
  returnRight(backendId: string, name: string): void {
    const pool = this.pools.get(backendId);
    if (pool !== undefined) {
      pool.returnRight(name, this.clock.now());
      this.issueQueued(backendId, pool);
    }
  }

  /** Re-evaluates all pools after limits or issuers may have changed; call periodically. */
  issueAll(): void {
    for (const [backendId, pool] of this.pools) {
      const isHeld = this.ports.heldSinceMs(backendId) !== undefined;
      if (isHeld && this.ports.limitOf(backendId) !== undefined) {
        this.issueQueued(backendId, pool);
      } else {
        this.closePool(backendId, pool, isHeld);
      }
    }
  }

  private getOrCreatePool(backendId: string, nowMs: number): SendRightPool | undefined {
    const sinceMs = this.ports.heldSinceMs(backendId);
    if (sinceMs === undefined) {
      return undefined;
    }
    const known = this.pools.get(backendId);
    if (known !== undefined) {
      return known;
    }
    // Starts empty: the previous issuer may have issued everything that accrued until now.
    const created = new SendRightPool(Math.max(sinceMs, nowMs));
    this.pools.set(backendId, created);
    return created;
  }

  /**
   * Removes a pool that is no longer needed or moved to another gateway; responds to its queued
   * requests with `isGranted`.
   */
  private closePool(backendId: string, pool: SendRightPool, isGranted: boolean): void {
    this.pools.delete(backendId);
    this.clock.clearTimeout(pool.timer);
    pool.queue.splice(0).forEach((request) => request.respond(isGranted));
  }

  private issueQueued(backendId: string, pool: SendRightPool): void {
    const limitPerS = this.ports.limitOf(backendId);
    if (limitPerS === undefined) {
      this.closePool(backendId, pool, true);
      return;
    }
    const nowMs = this.clock.now();
    pool.queue.sort(compareRequests);
    while (pool.queue.length > 0 && pool.tryIssue(pool.queue[0]!.name, limitPerS, nowMs)) {
      pool.queue.shift()!.respond(true);
    }
    this.denyExpired(pool, nowMs);
    this.scheduleIssue(backendId, pool, limitPerS, nowMs);
  }

  private denyExpired(pool: SendRightPool, nowMs: number): void {
    const expired = pool.queue.filter(({ expiresAtMs }) => expiresAtMs <= nowMs);
    expired.forEach((request) => {
      pool.queue.splice(pool.queue.indexOf(request), 1);
      request.respond(false);
    });
  }

  private scheduleIssue(
    backendId: string,
    pool: SendRightPool,
    limitPerS: number,
    nowMs: number,
  ): void {
    this.clock.clearTimeout(pool.timer);
    pool.timer = undefined;
    if (pool.queue.length === 0) {
      return;
    }
    const firstExpiryMs = Math.min(...pool.queue.map(({ expiresAtMs }) => expiresAtMs)) - nowMs;
    const delayMs = Math.min(firstExpiryMs, pool.msUntilAvailable(limitPerS, nowMs));
    pool.timer = this.clock.setTimeout(() => this.issueQueued(backendId, pool), Math.ceil(delayMs));
  }
}

function compareRequests(left: QueuedRightRequest, right: QueuedRightRequest): number {
  return (
    left.place.tier - right.place.tier ||
    left.place.rankInTier - right.place.rankInTier ||
    left.expiresAtMs - right.expiresAtMs
  );
}
