/** Selects the backend for a request among the permitted ones with a free slot. */
import { restrictionOf } from '../../routing/backend-restriction.js';
import type { OperatorRules } from '../../routing/backend-restriction.js';
import type { BackendDirectory } from './backend-directory.js';
import type { RouteAndTenant } from '../../routing/region-restrictions.js';
import {
  isOutsideAllowedRegions,
  isSameRouteAndTenant,
  requiresGrant,
} from './agent-region-check.js';
import { bindingCostMs, stallsOtherStreams } from './backend-cost.js';
import type { ColdStartLimiter } from './cold-start-limiter.js';
import type { DispatchRequest, PlacementConstraints } from './dispatch-request.js';
import { sendLimitPerS } from '../statements/send-limit.js';
import type { SendRights } from '../statements/send-rights.js';
import type { KnownBackend } from './known-backend.js';
import { hasWaitedForLocalRegion, isRemoteRegion, isUsableLocally } from './region-fallback.js';
import { selectReachable } from './path-filter.js';
import { isExpectedInTime } from './response-deadline.js';
import { restrictionForRequest } from './request-restriction.js';
import type { RequestRestrictionReason } from './request-restriction.js';
import { hasFreeCapacity } from './slot-capacity.js';
import { MeanSpeedCache } from './mean-speed.js';
import type { MeanSpeed } from './mean-speed.js';

/** Dependencies of the backend selection. */
export interface BackendPickerPorts extends OperatorRules {
  /** Whether the service's backends are engines, which process requests in batches. */
  isEngine(service: string): boolean;
  /** Number of known gateways, including this one. */
  countGateways(): number;
  /** Number of tokens that an engine of the service puts into one event. */
  tokensPerEvent(service: string): number;
  /** Version of the configuration in force; absent where allowed regions are not supported. */
  configurationVersion?(): number | undefined;
  /** Limits on starting requests at cold backends. */
  readonly coldStarts: ColdStartLimiter;
  /** Rights to send to backends that announce a rate limit; absent where no backend does. */
  readonly sendRights?: Pick<SendRights, 'mayBegin' | 'want' | 'use'>;
}

/** Options of the backend selection. */
export interface BackendPickerOptions {
  /**
   * Slots of an engine that all gateways together use while its agent is not connected, as a
   * fraction of its slots. Default 1.25, since load is spread unevenly over gateways.
   */
  readonly shareWithoutAgent: number;
  /**
   * How long an unlisted backend may still be used while no listed one is left, in milliseconds.
   * Default 1,500.
   */
  readonly unlistedGraceMs: number;
}

/**
 * Cost added to a cold backend, in milliseconds. Exceeds any other cost, so that warm backends are
 * used first.
 */
const COLD_BACKEND_COST_MS = 1_000_000_000;

/** Age of the last rate-limit statement after which a backend is probed, in milliseconds. */
const LIMIT_STALE_MS = 1_000;

/** Selects among the backends of a directory. */
export class BackendPicker {
  private readonly meanSpeeds = new MeanSpeedCache();

  constructor(
    private readonly directory: BackendDirectory,
    private readonly ports: BackendPickerPorts,
    private readonly options: BackendPickerOptions,
  ) {}

  /**
   * Returns the lowest-cost backend with a free slot for the request; undefined if there is none,
   * or if it is in another region and the request must still wait for the local one.
   */
  pick(request: DispatchRequest, nowMs: number): KnownBackend | undefined {
    const permitted = this.candidates(request, nowMs);
    const meanSpeed = this.meanSpeeds.of(request.service, permitted, nowMs);
    const hasProvenBackend = permitted.some((known) => !known.isOnTrial);
    let best: KnownBackend | undefined;
    let bestCost = Infinity;
    let hasLocalCapacity = false;
    for (const known of permitted) {
      if (
        !this.hasCapacity(known, nowMs) ||
        !isExpectedInTime(request, known, nowMs) ||
        this.stallsOtherStreams(request, known, known.occupied)
      ) {
        continue;
      }
      if (known.isOnTrial && !request.isRepeatable && hasProvenBackend) {
        continue;
      }
      hasLocalCapacity ||= !isRemoteRegion(known);
      const cost = this.costOf(request, known, meanSpeed, nowMs) + this.coldCost(known, nowMs);
      if (cost < bestCost) {
        best = known;
        bestCost = cost;
      }
    }
    const mayUseRemote = hasLocalCapacity || this.mayUseRemoteRegion(request, permitted, nowMs);
    return best !== undefined && isRemoteRegion(best) && !mayUseRemote ? undefined : best;
  }

  /** Whether a request that finds no free slot in the local region may go to another region now. */
  private mayUseRemoteRegion(
    request: DispatchRequest,
    permitted: readonly KnownBackend[],
    nowMs: number,
  ): boolean {
    const availability = this.directory.regionAvailability(request.service);
    return (
      hasWaitedForLocalRegion(request, availability, nowMs) || !permitted.some(isUsableLocally)
    );
  }

  /**
   * A version with a limited rollout share gets its share first, concentrated on as few backends as
   * can carry it, so that the version is observed under full load. A backend with a stale rate
   * limit is preferred in the same way.
   */
  private costOf(
    request: DispatchRequest,
    known: KnownBackend,
    meanSpeed: MeanSpeed,
    nowMs: number,
  ): number {
    const isPreferred =
      this.isLimitStale(known, nowMs) || this.ports.versionUse(known.backend) === 'limited';
    return isPreferred ? -known.occupied - 1 : bindingCostMs(request, known, meanSpeed, nowMs);
  }

  /**
   * Whether a backend that announced a rate limit has sent no statement for a while. It then gets
   * the next request for which a send right is held, since only a response can show that the limit
   * was lifted.
   */
  private isLimitStale({ condition }: KnownBackend, nowMs: number): boolean {
    return condition.limitPerS !== undefined && condition.limitAgeMs(nowMs) > LIMIT_STALE_MS;
  }

  private coldCost(known: KnownBackend, nowMs: number): number {
    return this.ports.coldStarts.isCold(known, nowMs) ? COLD_BACKEND_COST_MS : 0;
  }

  /**
   * Whether any backend of the service that operators permit for some request has a free slot; a
   * closed version still serves the streams that it began.
   */
  hasAnyCapacity(service: string, nowMs: number): boolean {
    return this.directory.ofService(service).some((known) => {
      const reason = restrictionOf(known.backend, undefined, this.ports);
      const isUsable = reason === undefined || reason === 'version-closed';
      return isUsable && this.hasCapacity(known, nowMs);
    });
  }

  /**
   * Whether a healthy backend that may serve the request and is not in `excluded` has a free slot.
   */
  hasCapacityFor(
    request: PlacementConstraints,
    excluded: ReadonlySet<string>,
    nowMs: number,
  ): boolean {
    return this.directory
      .ofService(request.service)
      .some(
        (known) =>
          !excluded.has(known.backend.id) &&
          known.isReady &&
          known.availability === 'open' &&
          !known.path.isSuspect &&
          !known.health.isEjected(nowMs) &&
          this.isPermitted(request, known) &&
          this.hasCapacity(known, nowMs),
      );
  }

  /**
   * Whether slots may be requested from the backend's agent: not while operators exclude the
   * backend or limit the rollout share of its version, nor during backoff, nor of a rate-limited
   * backend, whose slots also require a send right.
   */
  mayUseGrants(known: KnownBackend, nowMs: number): boolean {
    return (
      this.isUnrestricted(known) && this.isUnlimited(known) && !known.condition.isInBackoff(nowMs)
    );
  }

  /** Whether operators permit the backend without a limited rollout share. */
  private isUnrestricted({ backend }: KnownBackend): boolean {
    const isPermitted = restrictionOf(backend, undefined, this.ports) === undefined;
    return isPermitted && this.ports.versionUse(backend) === 'open';
  }

  /** Whether operators permit any backend that is ready or was unlisted recently. */
  hasCandidates(request: PlacementConstraints, nowMs: number): boolean {
    return this.directory
      .ofService(request.service)
      .some(
        (known) =>
          (known.isReady || this.wasRecentlyUnlisted(known, nowMs)) &&
          this.isPermitted(request, known),
      );
  }

  /**
   * Returns the first waiting request in queue order that may use a granted slot; undefined if
   * there is none. A backend on trial gets a repeatable request, else the last in order. A grant of
   * an agent with a newer configuration is valid only for requests with the route and tenant that
   * it was issued for.
   */
  pickForGrant(
    queue: readonly DispatchRequest[],
    known: KnownBackend,
    grantedTo: RouteAndTenant | undefined,
    nowMs: number,
  ): DispatchRequest | undefined {
    const needsSameRouteAndTenant = this.requiresGrant(known);
    const isEligible = (request: DispatchRequest) =>
      this.canUseGrant(request, known, nowMs) &&
      (!needsSameRouteAndTenant || isSameRouteAndTenant(request.homeOwner, grantedTo));
    if (!this.mayUseGrants(known, nowMs)) {
      return undefined;
    }
    if (!known.isOnTrial) {
      return queue.find(isEligible);
    }
    const repeatable = queue.find((request) => request.isRepeatable && isEligible(request));
    return repeatable ?? queue.filter(isEligible).at(-1);
  }

  /** Whether the request could use a slot granted by the agent of an unrestricted backend. */
  canUseGrant(request: DispatchRequest, known: KnownBackend, nowMs: number): boolean {
    const isExcluded = request.excluded.has(known.backend.id);
    const isUnconstrained =
      request.allowedRegions === undefined && request.requiredVersion === undefined;
    return (
      (isUnconstrained || this.isPermitted(request, known)) &&
      !isExcluded &&
      isExpectedInTime(request, known, nowMs) &&
      !this.stallsOtherStreams(request, known, known.occupied - 1)
    );
  }

  /** Whether operators permit the request to be sent to the backend. */
  isPermitted(request: PlacementConstraints, known: KnownBackend): boolean {
    return this.restriction(request, known) === undefined;
  }

  /**
   * Returns why operators exclude the backend for the request, according to this gateway or the
   * backend's agent.
   */
  restriction(
    request: PlacementConstraints,
    known: KnownBackend,
  ): RequestRestrictionReason | undefined {
    const reason = restrictionForRequest(known, request, this.ports);
    const isOutside = isOutsideAllowedRegions(known.agent?.homes, request.allowedRegions);
    return reason ?? (isOutside ? 'outside-home' : undefined);
  }

  private stallsOtherStreams(
    request: DispatchRequest,
    known: KnownBackend,
    others: number,
  ): boolean {
    const tokensPerEvent = this.ports.tokensPerEvent(request.service);
    return stallsOtherStreams(request, known.speed, others, tokensPerEvent);
  }

  /**
   * Returns the permitted backends that the request may be bound to: healthy ones of this gateway's
   * subset; if there are none, other healthy ones; if no ready one is healthy, all ready ones; if
   * none is ready, recently unlisted ones.
   */
  private candidates(request: DispatchRequest, nowMs: number): KnownBackend[] {
    const { service, allowedRegions, requiredVersion, excluded } = request;
    // Reads the regions once: they are computed at each access.
    const constraints = { service, allowedRegions, requiredVersion };
    const permitted = this.directory
      .ofService(service)
      .filter((known) => !excluded.has(known.backend.id) && this.isPermitted(constraints, known));
    const ready = permitted.filter((known) => known.isReady);
    if (ready.length === 0) {
      return permitted.filter((known) => this.wasRecentlyUnlisted(known, nowMs));
    }
    const healthy = ready.filter(
      (known) => known.availability !== 'closed' && !known.health.isEjected(nowMs),
    );
    const reachable = selectReachable(healthy, request.isRepeatable, nowMs);
    const inSubset = reachable.filter((known) => known.isInSubset);
    if (inSubset.length > 0) {
      return inSubset;
    }
    return reachable.length > 0 ? [...reachable] : ready;
  }

  private wasRecentlyUnlisted(known: KnownBackend, nowMs: number): boolean {
    const { unlistedAtMs } = known;
    const isRecent =
      unlistedAtMs !== undefined && nowMs - unlistedAtMs < this.options.unlistedGraceMs;
    return isRecent && !known.isDraining && !known.isReplaced && !known.isWithdrawn;
  }

  /** Whether the agent has a newer configuration, so that slots are available by grant only. */
  private requiresGrant({ agent }: KnownBackend): boolean {
    return requiresGrant(agent?.homes, this.ports.configurationVersion?.());
  }

  private hasCapacity(known: KnownBackend, nowMs: number): boolean {
    return this.mayBegin(known, nowMs) && this.hasFreeSlot(known, nowMs);
  }

  /** Whether a slot is free that may be taken without a grant. */
  private hasFreeSlot(known: KnownBackend, nowMs: number): boolean {
    if (this.requiresGrant(known)) {
      return false;
    }
    const inputs = {
      isEngine: this.ports.isEngine(known.backend.service),
      gateways: this.ports.countGateways(),
      shareWithoutAgent: this.options.shareWithoutAgent,
      shareHash: this.directory.shareHash(known.backend.id),
    };
    return hasFreeCapacity(known, inputs, nowMs) && this.ports.coldStarts.mayStart(known, nowMs);
  }

  /**
   * Whether the backend is not in backoff and, if it is rate-limited, a send right for it is held,
   * regardless of its free slots. For a grant `mayUseGrants` is checked instead when it arrives,
   * since the agent may have issued it before the backoff or rate limit was known.
   */
  mayBegin(known: KnownBackend, nowMs: number): boolean {
    const hasRight = this.ports.sendRights?.mayBegin(known.backend.id) ?? true;
    return hasRight && !known.condition.isInBackoff(nowMs);
  }

  /**
   * Whether the backend requires no send rights: it announces no rate limit and is not recovering
   * from a backoff.
   */
  private isUnlimited({ condition }: KnownBackend): boolean {
    return sendLimitPerS(condition) === undefined;
  }

  /** Requests send rights for waiting requests at rate-limited backends with a free slot. */
  requestSendRights(service: string, queue: readonly DispatchRequest[], nowMs: number): void {
    for (const known of this.directory.ofService(service)) {
      const isUsable = known.isReady && !known.condition.isInBackoff(nowMs);
      if (this.isUnlimited(known) || !isUsable || !this.hasFreeSlot(known, nowMs)) {
        continue;
      }
      const request = queue.find((one) => this.canUseGrant(one, known, nowMs));
      if (request !== undefined) {
        this.ports.sendRights?.want(known.backend.id, request);
      }
    }
  }
}
