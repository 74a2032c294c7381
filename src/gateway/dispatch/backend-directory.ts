/** The backends known to a gateway, indexed by service, and the engine subset that it uses. */
import { isLater, laterPosition, NO_POSITION } from '../../cluster/store-position.js';
import type { StorePosition } from '../../cluster/store-position.js';
import { restrictionOf } from '../../routing/backend-restriction.js';
import type {
  AllowedRegions,
  OperatorRules,
  RestrictionReason,
} from '../../routing/backend-restriction.js';
import type { Backend } from '../../routing/backend.js';
import { pairHash } from '../../pair-hash.js';
import { distanceFrom, regionNameOf } from '../../routing/locality.js';
import type { BackendCondition } from '../statements/backend-condition.js';
import { selectSubset, DEFAULT_ENGINE_SUBSET_OPTIONS } from './engine-subset.js';
import type { EngineSubsetOptions, SubsetOwner } from './engine-subset.js';
import { addEnginesOfNamedRegions } from './named-region-engines.js';
import type { NamedRegions } from './named-region-engines.js';
import { unconstrained } from './dispatch-request.js';
import type { PlacementConstraints } from './dispatch-request.js';
import { KnownBackend } from './known-backend.js';
import { restrictionForRequest } from './request-restriction.js';
import {
  isRemoteRegion,
  regionAvailabilityOf,
  DEFAULT_REGION_AVAILABILITY,
} from './region-fallback.js';
import type { RegionAvailability } from './region-fallback.js';

/** Dependencies of a directory. */
export interface BackendDirectoryPorts extends OperatorRules {
  /** Whether the service's backends are engines, which process requests in batches. */
  isEngine(service: string): boolean;
  /**
   * Home regions in which the gateway needs engines; absent where allowed regions are not
   * supported.
   */
  namedRegions?(): NamedRegions;
  /** Called when the local region loses or regains its usable backends of a service. */
  onLocalAvailability?(service: string, hasLocalBackends: boolean): void;
  /**
   * Whether the configuration in force defines the service; absent where every service counts as
   * defined.
   */
  isServiceConfigured?(service: string): boolean;
  /**
   * Statements of the backend incarnation with this id, possibly received before its announcement;
   * absent where statements are not tracked.
   */
  conditionOf?(backendId: string): BackendCondition;
  /**
   * Called when the backend was replaced: another incarnation answered at its address, or a later
   * one was announced there.
   */
  onReplaced?(backendId: string): void;
}

/** Options of a directory. */
export interface BackendDirectoryOptions {
  /** How long an unlisted backend is retained, in milliseconds. Default 30,000. */
  readonly unlistedRetentionMs: number;
  readonly subset: EngineSubsetOptions;
}

/** Default options of a directory. */
export const DEFAULT_BACKEND_DIRECTORY_OPTIONS: BackendDirectoryOptions = {
  unlistedRetentionMs: 30_000,
  subset: DEFAULT_ENGINE_SUBSET_OPTIONS,
};

/** Tracks the backends known to a gateway. */
export class BackendDirectory {
  private readonly backends = new Map<string, KnownBackend>();
  private byService = new Map<string, KnownBackend[]>();
  /**
   * Hash of this gateway and each backend. Cached, since hashing costs more than the rest of a
   * capacity check.
   */
  private readonly shareHashes = new Map<string, number>();
  private hasInitialListing = false;
  private readonly regionAvailabilities = new Map<string, RegionAvailability>();

  constructor(
    private readonly owner: SubsetOwner,
    private readonly ports: BackendDirectoryPorts,
    private readonly options: BackendDirectoryOptions = DEFAULT_BACKEND_DIRECTORY_OPTIONS,
  ) {}

  list(): KnownBackend[] {
    return [...this.backends.values()];
  }

  ofService(service: string): readonly KnownBackend[] {
    return this.byService.get(service) ?? [];
  }

  find(backendId: string): KnownBackend | undefined {
    return this.backends.get(backendId);
  }

  /** Returns the region of this gateway. */
  get region(): string {
    return regionNameOf(this.owner, this.owner.zone);
  }

  /** Returns the availability of the service's backends by region, as of the last update. */
  regionAvailability(service: string): RegionAvailability {
    return this.regionAvailabilities.get(service) ?? DEFAULT_REGION_AVAILABILITY;
  }

  /**
   * Recomputes the availability of the service by region. Where the whole local region is lost, the
   * subset is extended with engines of other regions.
   */
  updateRegionAvailability(service: string): void {
    const before = this.regionAvailability(service);
    const usable = this.ofService(service).filter(
      ({ backend }) => !this.ports.isEvacuated(backend.zone),
    );
    const availability = regionAvailabilityOf(usable);
    this.regionAvailabilities.set(service, availability);
    if (availability.isLocalRegionLost !== before.isLocalRegionLost) {
      this.ports.onLocalAvailability?.(service, !availability.isLocalRegionLost);
      this.updateSubset(service);
    }
  }

  /**
   * Returns a hash in [0, 1) of this gateway and the backend, by which gateways divide its slots
   * without coordination.
   */
  shareHash(backendId: string): number {
    const cached = this.shareHashes.get(backendId);
    if (cached !== undefined) {
      return cached;
    }
    const hash = pairHash(this.owner.name, backendId);
    this.shareHashes.set(backendId, hash);
    return hash;
  }

  /** Returns the backends that are ready and permitted for the request. */
  permitted(request: PlacementConstraints): KnownBackend[] {
    return this.ofService(request.service).filter(
      (known) => known.isReady && restrictionForRequest(known, request, this.ports) === undefined,
    );
  }

  /** Returns the reasons why operators exclude some of the service's ready backends. */
  restrictions(service: string, allowedRegions: AllowedRegions): Set<RestrictionReason> {
    const reasons = new Set<RestrictionReason>();
    for (const { backend, isReady } of this.ofService(service)) {
      const reason = isReady ? restrictionOf(backend, allowedRegions, this.ports) : undefined;
      if (reason !== undefined) {
        reasons.add(reason);
      }
    }
    return reasons;
  }

  /**
   * Returns the time until the backoff of the first permitted backend ends, in milliseconds; 0
   * where at least one is not in backoff.
   */
  restLeftMs(request: PlacementConstraints, nowMs: number): number {
    const backoffsLeftMs = this.permitted(request).map(({ condition }) =>
      Math.max(0, condition.backoffUntilMs - nowMs),
    );
    return backoffsLeftMs.length === 0 ? 0 : Math.min(...backoffsLeftMs);
  }

  /** Returns the total number of slots of the service's permitted backends. */
  countSlots(service: string): number {
    const permitted = this.permitted(unconstrained(service));
    return permitted.reduce((sum, { backend }) => sum + backend.slots, 0);
  }

  /**
   * Whether every ready backend that the request could otherwise use is excluded by zone
   * evacuations alone.
   */
  isEvacuated(request: PlacementConstraints): boolean {
    const { ports } = this;
    const withoutEvacuations: OperatorRules = {
      isEvacuated: () => false,
      regionOf: (zone) => ports.regionOf(zone),
      versionUse: (backend) => ports.versionUse(backend),
    };
    let isAnyEvacuated = false;
    for (const known of this.ofService(request.service)) {
      const reason = restrictionForRequest(known, request, withoutEvacuations);
      if (!known.isReady || reason !== undefined) {
        continue;
      }
      if (!ports.isEvacuated(known.backend.zone)) {
        return false;
      }
      isAnyEvacuated = true;
    }
    return isAnyEvacuated;
  }

  /** Returns every service with a known backend. */
  get services(): string[] {
    return [...this.byService.keys()];
  }

  /**
   * Returns the expected time to the first event at a typical backend, in milliseconds: the median
   * over the permitted ones. With the time of the fastest one, requests would count as in time to
   * which most other backends respond late.
   */
  expectedFirstEventMs(request: PlacementConstraints, promptTokens: number): number {
    const expected = this.permitted(request)
      .filter(({ speed }) => speed.isKnown)
      .map(({ speed, roundTrip }) => speed.expectedFirstEventMs(promptTokens) + roundTrip.ms)
      .sort((left, right) => left - right);
    return expected[Math.floor((expected.length - 1) / 2)] ?? 0;
  }

  /**
   * Returns the mean expected time for a whole response over the permitted backends, in
   * milliseconds.
   */
  expectedAnswerMs(request: PlacementConstraints, units: number): number {
    const expected = this.permitted(request).flatMap(({ msPerUnit, roundTrip }) =>
      msPerUnit === undefined ? [] : [msPerUnit * units + roundTrip.ms],
    );
    const sum = expected.reduce((total, wholeMs) => total + wholeMs, 0);
    return expected.length === 0 ? 0 : sum / expected.length;
  }

  /**
   * Marks the end of the initial listing. Backends announced later have just started and count as
   * cold; earlier ones, most of which have long been running, are cold only if they were announced
   * with remaining cold time.
   */
  endInitialListing(): void {
    this.hasInitialListing = true;
  }

  /**
   * Applies a backend's newest announcement; undefined when it was removed from the list.
   *
   * @param isWithdrawn - whether its record still exists but describes no usable backend
   */
  update(
    backendId: string,
    backend: Backend | undefined,
    nowMs: number,
    isWithdrawn = false,
  ): void {
    const known = this.backends.get(backendId);
    if (backend === undefined) {
      if (known !== undefined) {
        known.isWithdrawn = isWithdrawn;
        known.unlistedAtMs ??= nowMs;
      }
      this.evictUnlisted(nowMs);
    } else if (known === undefined) {
      const distance = distanceFrom(this.owner, backend.zone);
      const condition = this.ports.conditionOf?.(backendId);
      const created = new KnownBackend(backend, nowMs, distance, condition);
      this.backends.set(backendId, created);
      if (this.hasInitialListing) {
        created.cold.noteNewIncarnation(nowMs);
      }
      created.cold.noteAnnouncement(backend.remainingColdMs, nowMs);
    } else {
      if (known.unlistedAtMs !== undefined && !known.isSameProcessWhenRelisted) {
        known.cold.assumeCold('was-gone', nowMs);
      }
      known.cold.noteAnnouncement(backend.remainingColdMs, nowMs);
      known.applyAnnouncement(backend);
      known.isWithdrawn = false;
      known.unlistedAtMs = undefined;
    }
    if (backend !== undefined) {
      this.markReplaced(backend.address);
    }
    this.rebuildIndex();
    const service = backend?.service ?? known?.backend.service;
    if (service !== undefined) {
      this.updateSubset(service);
      this.updateRegionAvailability(service);
    }
  }

  /** Marks a backend as ended after another incarnation answered at its address. */
  noteMisdirected(backendId: string): void {
    const known = this.backends.get(backendId);
    if (known !== undefined) {
      known.hasEnded = true;
      this.markReplaced(known.backend.address);
      this.updateSubset(known.backend.service);
    }
  }

  /**
   * Reselects the engine subset of this gateway for a service. Engines in evacuated zones are left
   * out, so that others take their places.
   */
  updateSubset(service: string): void {
    if (!this.ports.isEngine(service)) {
      return;
    }
    const listed = this.ofService(service).filter(({ isReady }) => isReady);
    const reachable = listed.filter(({ path }) => !path.isSuspect);
    // Suspect engines keep their place and are still probed; others fill in for them meanwhile.
    const ready = reachable.length > 0 ? reachable : listed;
    // Local engines stay in the subset while the region is lost, so that their recovery is
    // detected.
    const { isLocalRegionLost } = this.regionAvailability(service);
    const eligible = isLocalRegionLost ? ready.filter(isRemoteRegion) : ready;
    const engines = eligible
      .map(({ backend }) => backend)
      .filter(({ zone }) => !this.ports.isEvacuated(zone));
    const chosen = selectSubset(engines, this.owner, this.options.subset);
    const homes = this.ports.namedRegions?.();
    if (homes !== undefined) {
      addEnginesOfNamedRegions(chosen, engines, this.owner.name, homes);
    }
    for (const known of ready) {
      const isRetainedLocal = isLocalRegionLost && !isRemoteRegion(known);
      known.isInSubset = isRetainedLocal || chosen.has(known.backend.id);
    }
  }

  /**
   * Reselects the subset after an operator change. Engines that return to it get time for their
   * agents to connect.
   */
  updateSubsetAfterOperatorChange(service: string, nowMs: number): void {
    const outside = this.ofService(service).filter(({ isInSubset }) => !isInSubset);
    this.updateSubset(service);
    for (const known of outside) {
      if (known.isInSubset && known.agent === undefined) {
        known.startAgentWait(nowMs);
      }
    }
  }

  /** Reevaluates which backends are replaced after the set of configured services changed. */
  recheckReplaced(): void {
    const addresses = new Set(this.list().map(({ backend }) => backend.address));
    addresses.forEach((address) => this.markReplaced(address));
  }

  /**
   * Marks incarnations at an address as replaced that have ended or were announced before the
   * latest one that has not. An announcement for a service that is not configured does not affect
   * the others.
   */
  private markReplaced(address: string): void {
    const sameAddress = this.list().filter(
      ({ backend }) =>
        backend.address === address && this.ports.isServiceConfigured?.(backend.service) !== false,
    );
    const latest = sameAddress
      .filter((known) => !known.hasEnded)
      .reduce<StorePosition>(
        (position, { backend }) => laterPosition(position, backend),
        NO_POSITION,
      );
    for (const known of sameAddress) {
      const wasReplaced = known.isReplaced;
      known.isReplaced = known.hasEnded || isLater(latest, known.backend);
      if (known.isReplaced && !wasReplaced) {
        this.ports.onReplaced?.(known.backend.id);
      }
    }
  }

  private rebuildIndex(): void {
    this.byService = new Map();
    for (const known of this.backends.values()) {
      const { service } = known.backend;
      const ofService = this.byService.get(service) ?? [];
      ofService.push(known);
      this.byService.set(service, ofService);
    }
  }

  private evictUnlisted(nowMs: number): void {
    for (const [id, known] of this.backends) {
      const isExpired =
        known.unlistedAtMs !== undefined &&
        nowMs - known.unlistedAtMs > this.options.unlistedRetentionMs;
      if (isExpired && known.outstanding === 0) {
        this.backends.delete(id);
        this.shareHashes.delete(id);
      }
    }
  }
}
