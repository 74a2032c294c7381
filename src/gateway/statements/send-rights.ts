/**
 * Send rights held by this gateway for backends with a stated limit: requested one at a time and
 * returned soon if unused.
 */
import type { Clock, TimerHandle } from '../../clock.js';
import type { RandomSource } from '../../random.js';
import { FallbackShare } from './fallback-share.js';
import { MAX_QUEUE_WAIT_MS } from './send-right-pools.js';
import type { RightRequest, RequestPriority } from './send-right-pools.js';

/** A request for one send right, as sent to another gateway. */
export interface SendRightRequest {
  /** Correlates the response. */
  readonly id: number;
  readonly backendId: string;
  /** Priority among the right requests queued at the issuer. */
  readonly place: RequestPriority;
}

/** Dependencies of the send rights. */
export interface SendRightsPorts {
  /** Returns the rate for the backend in requests per second; undefined for no limit. */
  limitOf(backendId: string): number | undefined;
  /** Returns the gateway that issues the backend's rights; undefined while unknown. */
  issuerOf(backendId: string): string | undefined;
  /** Requests a right from this gateway's own pools. */
  acquireLocally(backendId: string, request: RightRequest): void;
  /** Sends a right request to another gateway; returns false without a connection to it. */
  sendRightRequest(issuer: string, request: SendRightRequest): boolean;
  /** Returns a right that was, or may have been, issued and not used. */
  returnRight(issuer: string, request: Pick<SendRightRequest, 'id' | 'backendId'>): void;
  /** Returns the number of known gateways, including this one. */
  countGateways(): number;
  /** Called when a requested right arrives. */
  onRightReceived(backendId: string): void;
}

/** Time that an unused right is held, in milliseconds; other gateways may need it. */
const UNUSED_RIGHT_TTL_MS = 300;
/**
 * Response timeout beyond the queue wait at the issuer, in milliseconds: covers a round trip
 * between distant regions and a busy event loop turn.
 */
const RESPONSE_MARGIN_MS = 250;
/** Time for which an issuer that did not respond is skipped, in milliseconds. */
const UNRESPONSIVE_SKIP_MS = 500;
/**
 * Backoff after a denied right request, in milliseconds; short, since the request was already
 * queued at the issuer.
 */
const DENIAL_BACKOFF_MS = 20;

interface HeldRight {
  readonly id: number;
  /** Undefined for a right from the fallback share. */
  readonly issuer: string | undefined;
  timer: TimerHandle | undefined;
}

interface PendingRightRequest {
  readonly backendId: string;
  readonly issuer: string;
  timer: TimerHandle;
}

/** Held and requested rights of one backend. */
interface BackendRights {
  readonly held: HeldRight[];
  pendingId: number | undefined;
  backoffUntilMs: number;
  readonly fallbackShare: FallbackShare;
}

/** The send rights held by this gateway. */
export class SendRights {
  private readonly backends = new Map<string, BackendRights>();
  private readonly pending = new Map<number, PendingRightRequest>();
  private readonly skipIssuerUntilMs = new Map<string, number>();
  private lastId = 0;
  /**
   * Suppresses `onRightReceived` during a request: the caller itself checks whether a right arrived
   * synchronously.
   */
  private isRequesting = false;

  constructor(
    private readonly self: string,
    private readonly ports: SendRightsPorts,
    private readonly clock: Clock,
    private readonly random: RandomSource,
  ) {}

  /** Whether a request may be sent to the backend now. */
  mayBegin(backendId: string): boolean {
    const isUnlimited = this.ports.limitOf(backendId) === undefined;
    return isUnlimited || (this.backends.get(backendId)?.held.length ?? 0) > 0;
  }

  /**
   * Requests a right for the backend unless one is held or already requested, or one was denied
   * just before.
   */
  want(backendId: string, place: RequestPriority): void {
    const limitPerS = this.ports.limitOf(backendId);
    const rights = this.getOrCreateRights(backendId);
    const nowMs = this.clock.now();
    const isBusy = rights.pendingId !== undefined || nowMs < rights.backoffUntilMs;
    if (limitPerS === undefined || rights.held.length > 0 || isBusy) {
      return;
    }
    this.isRequesting = true;
    if (
      !this.requestFromIssuer(backendId, rights, place, nowMs) &&
      this.tryTakeFallback(rights, limitPerS, nowMs)
    ) {
      this.storeRight(backendId, rights, {
        id: this.nextId(),
        issuer: undefined,
        timer: undefined,
      });
    }
    this.isRequesting = false;
  }

  /** Consumes a right for a request that is being sent. */
  use(backendId: string): void {
    const right = this.backends.get(backendId)?.held.shift();
    this.clock.clearTimeout(right?.timer);
  }

  /** Handles the response of an issuer. */
  receiveResponse(id: number, isGranted: boolean): void {
    const pendingRequest = this.pending.get(id);
    if (pendingRequest === undefined) {
      return;
    }
    this.pending.delete(id);
    this.clock.clearTimeout(pendingRequest.timer);
    this.handleResponse(
      pendingRequest.backendId,
      { id, issuer: pendingRequest.issuer, timer: undefined },
      isGranted,
    );
  }

  /** Removes state of backends that no longer have a limit. */
  evictUnlimited(): void {
    for (const [backendId, { held, pendingId }] of this.backends) {
      const isUnlimited = this.ports.limitOf(backendId) === undefined;
      if (isUnlimited && held.length === 0 && pendingId === undefined) {
        this.backends.delete(backendId);
      }
    }
  }

  /** Requests a right from the issuer; returns false if no issuer can be reached. */
  private requestFromIssuer(
    backendId: string,
    rights: BackendRights,
    place: RequestPriority,
    nowMs: number,
  ): boolean {
    const issuer = this.ports.issuerOf(backendId);
    if (issuer === undefined || nowMs < (this.skipIssuerUntilMs.get(issuer) ?? -Infinity)) {
      return false;
    }
    const id = this.nextId();
    if (issuer === this.self) {
      rights.pendingId = id;
      const right = { id, issuer, timer: undefined };
      const respond = (isGranted: boolean) => this.handleResponse(backendId, right, isGranted);
      this.ports.acquireLocally(backendId, {
        name: rightRequestName(this.self, id),
        place,
        respond,
      });
      return true;
    }
    if (!this.ports.sendRightRequest(issuer, { id, backendId, place })) {
      return false;
    }
    rights.pendingId = id;
    const timer = this.clock.setTimeout(
      () => this.handleTimeout(id),
      MAX_QUEUE_WAIT_MS + RESPONSE_MARGIN_MS,
    );
    this.pending.set(id, { backendId, issuer, timer });
    return true;
  }

  private handleTimeout(id: number): void {
    const { backendId, issuer } = this.pending.get(id)!;
    this.pending.delete(id);
    this.getOrCreateRights(backendId).pendingId = undefined;
    this.skipIssuerUntilMs.set(issuer, this.clock.now() + UNRESPONSIVE_SKIP_MS);
    // The right request may still arrive and be granted.
    this.ports.returnRight(issuer, { id, backendId });
  }

  private handleResponse(backendId: string, right: HeldRight, isGranted: boolean): void {
    const rights = this.getOrCreateRights(backendId);
    rights.pendingId = undefined;
    if (!isGranted) {
      rights.backoffUntilMs = this.clock.now() + DENIAL_BACKOFF_MS;
      return;
    }
    this.storeRight(backendId, rights, right);
    if (!this.isRequesting) {
      this.ports.onRightReceived(backendId);
    }
  }

  private storeRight(backendId: string, rights: BackendRights, right: HeldRight): void {
    right.timer = this.clock.setTimeout(
      () => this.releaseUnused(backendId, rights, right),
      UNUSED_RIGHT_TTL_MS,
    );
    rights.held.push(right);
  }

  private releaseUnused(backendId: string, { held }: BackendRights, right: HeldRight): void {
    held.splice(held.indexOf(right), 1);
    if (right.issuer !== undefined) {
      this.ports.returnRight(right.issuer, { id: right.id, backendId });
    }
  }

  private tryTakeFallback(
    { fallbackShare }: BackendRights,
    limitPerS: number,
    nowMs: number,
  ): boolean {
    return fallbackShare.tryTake(limitPerS, this.ports.countGateways(), nowMs);
  }

  private getOrCreateRights(backendId: string): BackendRights {
    const known = this.backends.get(backendId);
    if (known !== undefined) {
      return known;
    }
    const created: BackendRights = {
      held: [],
      pendingId: undefined,
      backoffUntilMs: -Infinity,
      fallbackShare: new FallbackShare(this.random.next()),
    };
    this.backends.set(backendId, created);
    return created;
  }

  private nextId(): number {
    this.lastId += 1;
    return this.lastId;
  }
}

/** Returns the unique ID of a right request at its issuer. */
export function rightRequestName(requester: string, id: number): string {
  return `${requester} ${id}`;
}
