/** The back ends that a gateway knows, by service, and which of the engines it works with. */
import { isLater, laterOf, NO_POSITION } from '../../cluster/store-position.js';
import type { StorePosition } from '../../cluster/store-position.js';
import { restrictionOf } from '../../routing/backend-restriction.js';
import type {
  AllowedRegions,
  OperatorRules,
  RestrictionReason,
} from '../../routing/backend-restriction.js';
import type { Backend } from '../../routing/backend.js';
import { pairShare } from '../../pair-share.js';
import { distanceFrom, regionNameOf } from '../../routing/standpoint.js';
import type { BackendCondition } from '../statements/backend-condition.js';
import { chooseEngines, DEFAULT_ENGINE_SUBSET_OPTIONS } from './engine-subset.js';
import type { EngineSubsetOptions, SubsetOwner } from './engine-subset.js';
import { addHomeEngines } from './home-engines.js';
import type { HomeRegions } from './home-engines.js';
import { KnownBackend } from './known-backend.js';
import { isFar, reachOf, UNKNOWN_REACH } from './near-first.js';
import type { ServiceReach } from './near-first.js';

/** What a directory needs from its surroundings. */
export interface BackendDirectoryPorts extends OperatorRules {
  /** Whether a service's back ends are engines, which serve in batches. */
  isEngine(service: string): boolean;
  /** Regions that the gateway needs engines of; missing where none are known. */
  homeRegions?(): HomeRegions;
  /** Whether the gateway's region has back ends of a service that may be waited for changed. */
  onReach?(service: string, hasNear: boolean): void;
  /** Whether the configuration in force names a service; missing where any is. */
  isNamed?(service: string): boolean;
  /** What the life of that name said of itself, maybe before it was announced; missing where nobody hears that. */
  conditionOf?(backendId: string): BackendCondition;
  /** Another process is at the address of a back end, which therefore has ended. */
  onReplaced?(backendId: string): void;
}

/** Bounds of a directory. */
export interface BackendDirectoryOptions {
  /** How long a back end that left the list is remembered, in milliseconds. Default 30,000. */
  readonly rememberMs: number;
  readonly subset: EngineSubsetOptions;
}

/** Defaults of a directory. */
export const DEFAULT_BACKEND_DIRECTORY_OPTIONS: BackendDirectoryOptions = {
  rememberMs: 30_000,
  subset: DEFAULT_ENGINE_SUBSET_OPTIONS,
};

/** The back ends that a gateway knows. */
export class BackendDirectory {
  private readonly backends = new Map<string, KnownBackend>();
  private byService = new Map<string, KnownBackend[]>();
  /** Draws are asked for at each look at a back end, and hashing two names takes longer than the look. */
  private readonly draws = new Map<string, number>();
  private hasListing = false;
  private readonly reaches = new Map<string, ServiceReach>();

  constructor(
    private readonly owner: SubsetOwner,
    private readonly ports: BackendDirectoryPorts,
    private readonly options: BackendDirectoryOptions = DEFAULT_BACKEND_DIRECTORY_OPTIONS,
  ) {}

  /** Every back end that is known. */
  list(): KnownBackend[] {
    return [...this.backends.values()];
  }

  /** Those of one service. */
  ofService(service: string): readonly KnownBackend[] {
    return this.byService.get(service) ?? [];
  }

  /** One back end. */
  find(backendId: string): KnownBackend | undefined {
    return this.backends.get(backendId);
  }

  /** The region that this gateway stands in. */
  get region(): string {
    return regionNameOf(this.owner, this.owner.zone);
  }

  /** How the back ends of a service lie to this gateway. */
  reachOf(service: string): ServiceReach {
    return this.reaches.get(service) ?? UNKNOWN_REACH;
  }

  /** Looks anew at how they lie; where all of the own region are lost, more of the others are worked with. */
  reviewReach(service: string): void {
    const before = this.reachOf(service);
    const usable = this.ofService(service).filter(
      ({ backend }) => !this.ports.isEvacuated(backend.zone),
    );
    const reach = reachOf(usable);
    this.reaches.set(service, reach);
    if (reach.isNearLost !== before.isNearLost) {
      this.ports.onReach?.(service, !reach.isNearLost);
      this.assign(service);
    }
  }

  /** A number in [0, 1) by which gateways that share a back end without a word take unlike parts. */
  shareDraw(backendId: string): number {
    const known = this.draws.get(backendId);
    if (known !== undefined) {
      return known;
    }
    const draw = pairShare(this.owner.name, backendId);
    this.draws.set(backendId, draw);
    return draw;
  }

  /** Back ends of a service that are listed as taking requests and that operators permit. */
  permitted(service: string, allowedRegions: AllowedRegions): KnownBackend[] {
    return this.ofService(service).filter(
      ({ backend, isReady }) =>
        isReady && restrictionOf(backend, allowedRegions, this.ports) === undefined,
    );
  }

  /** Why operators keep requests from some of the back ends that are listed as taking requests. */
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

  /** Time until the first of those back ends has rested, in milliseconds; 0 where one of them does not rest. */
  restLeftMs(service: string, allowedRegions: AllowedRegions, nowMs: number): number {
    const restsLeftMs = this.permitted(service, allowedRegions).map(({ condition }) =>
      Math.max(0, condition.restUntilMs - nowMs),
    );
    return restsLeftMs.length === 0 ? 0 : Math.min(...restsLeftMs);
  }

  /** Slots of those back ends of a service. */
  countSlots(service: string): number {
    return this.permitted(service, undefined).reduce((sum, { backend }) => sum + backend.slots, 0);
  }

  /** Whether evacuations alone keep a request from every back end that is listed as taking requests. */
  isEvacuated(service: string, allowedRegions: AllowedRegions): boolean {
    const { ports } = this;
    const withoutEvacuations: OperatorRules = {
      isEvacuated: () => false,
      regionOf: (zone) => ports.regionOf(zone),
      versionUse: (backend) => ports.versionUse(backend),
    };
    let isAnyEvacuated = false;
    for (const { backend, isReady } of this.ofService(service)) {
      if (!isReady || restrictionOf(backend, allowedRegions, withoutEvacuations) !== undefined) {
        continue;
      }
      if (!ports.isEvacuated(backend.zone)) {
        return false;
      }
      isAnyEvacuated = true;
    }
    return isAnyEvacuated;
  }

  /** Every service that back ends are known of. */
  get services(): string[] {
    return [...this.byService.keys()];
  }

  /**
   * Expected time to the first event at a usual back end, in milliseconds: the median of the permitted ones. By
   * the fastest one requests counted as in time that any other back end answers late.
   */
  expectedFirstMs(service: string, promptTokens: number, allowedRegions?: AllowedRegions): number {
    const expected = this.permitted(service, allowedRegions)
      .filter(({ speed }) => speed.isKnown)
      .map(({ speed, roundTrip }) => speed.expectedFirstMs(promptTokens) + roundTrip.ms)
      .sort((left, right) => left - right);
    return expected[Math.floor((expected.length - 1) / 2)] ?? 0;
  }

  /** Mean expected time of a whole answer among the permitted back ends, in milliseconds. */
  expectedWholeMs(service: string, units: number, allowedRegions?: AllowedRegions): number {
    const expected = this.permitted(service, allowedRegions).flatMap(({ msPerUnit, roundTrip }) =>
      msPerUnit === undefined ? [] : [msPerUnit * units + roundTrip.ms],
    );
    const sum = expected.reduce((total, wholeMs) => total + wholeMs, 0);
    return expected.length === 0 ? 0 : sum / expected.length;
  }

  /**
   * Everything that was announced before this process started is known. Back ends that come later have just
   * started; of the earlier ones their own word is believed, since most of them started long ago.
   */
  noteListed(): void {
    this.hasListing = true;
  }

  /**
   * Takes in a back end's newest announcement; undefined when it left the list.
   *
   * @param isWithdrawn - whether its record is there and names no back end that can be used
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
      this.forgetOld(nowMs);
    } else if (known === undefined) {
      const distance = distanceFrom(this.owner, backend.zone);
      const condition = this.ports.conditionOf?.(backendId);
      const created = new KnownBackend(backend, nowMs, distance, condition);
      this.backends.set(backendId, created);
      if (this.hasListing) {
        created.cold.noteIncarnation(nowMs);
      }
      created.cold.noteAnnounced(backend.remainingColdMs, nowMs);
    } else {
      if (known.unlistedAtMs !== undefined) {
        known.cold.suspect('was-gone', nowMs);
      }
      known.cold.noteAnnounced(backend.remainingColdMs, nowMs);
      known.backend = backend;
      known.isWithdrawn = false;
      known.unlistedAtMs = undefined;
    }
    if (backend !== undefined) {
      this.markReplaced(backend.address);
    }
    this.index();
    const service = backend?.service ?? known?.backend.service;
    if (service !== undefined) {
      this.assign(service);
      this.reviewReach(service);
    }
  }

  /** Another incarnation answered at the address of this one, which therefore has ended. */
  noteMisdirected(backendId: string): void {
    const known = this.backends.get(backendId);
    if (known !== undefined) {
      known.hasEnded = true;
      this.markReplaced(known.backend.address);
      this.assign(known.backend.service);
    }
  }

  /**
   * Chooses anew which engines of a service this gateway works with. Those of an evacuated zone are left out,
   * so that others take their places.
   */
  assign(service: string): void {
    if (!this.ports.isEngine(service)) {
      return;
    }
    const listed = this.ofService(service).filter(({ isReady }) => isReady);
    const reachable = listed.filter(({ path }) => !path.isSuspect);
    // Those that are out of reach keep their place and are looked for; others fill in for them meanwhile.
    const ready = reachable.length > 0 ? reachable : listed;
    // Those of the own region are worked with also while they are lost, so that their return is heard.
    const { isNearLost } = this.reachOf(service);
    const eligible = isNearLost ? ready.filter(isFar) : ready;
    const engines = eligible
      .map(({ backend }) => backend)
      .filter(({ zone }) => !this.ports.isEvacuated(zone));
    const chosen = chooseEngines(engines, this.owner, this.options.subset);
    const homes = this.ports.homeRegions?.();
    if (homes !== undefined) {
      addHomeEngines(chosen, engines, this.owner.name, homes);
    }
    for (const known of ready) {
      const isKeptNear = isNearLost && !isFar(known);
      known.isAssigned = isKeptNear || chosen.has(known.backend.id);
    }
  }

  /** The same after an order of the operators: agents that are worked with again get time to be connected. */
  assignAnew(service: string, nowMs: number): void {
    const left = this.ofService(service).filter(({ isAssigned }) => !isAssigned);
    this.assign(service);
    for (const known of left) {
      if (known.isAssigned && known.agent === undefined) {
        known.awaitAgent(nowMs);
      }
    }
  }

  /** The services that the configuration names changed. */
  reviewReplaced(): void {
    const addresses = new Set(this.list().map(({ backend }) => backend.address));
    addresses.forEach((address) => this.markReplaced(address));
  }

  /**
   * Of several lives announced at one address only the latest can be there. An announcement of a service that
   * nobody has configured says nothing of the others.
   */
  private markReplaced(address: string): void {
    const there = this.list().filter(
      ({ backend }) =>
        backend.address === address && this.ports.isNamed?.(backend.service) !== false,
    );
    const latest = there
      .filter((known) => !known.hasEnded)
      .reduce<StorePosition>((position, { backend }) => laterOf(position, backend), NO_POSITION);
    for (const known of there) {
      const wasReplaced = known.isReplaced;
      known.isReplaced = known.hasEnded || isLater(latest, known.backend);
      if (known.isReplaced && !wasReplaced) {
        this.ports.onReplaced?.(known.backend.id);
      }
    }
  }

  private index(): void {
    this.byService = new Map();
    for (const known of this.backends.values()) {
      const { service } = known.backend;
      const ofService = this.byService.get(service) ?? [];
      ofService.push(known);
      this.byService.set(service, ofService);
    }
  }

  private forgetOld(nowMs: number): void {
    for (const [id, known] of this.backends) {
      const isOld =
        known.unlistedAtMs !== undefined && nowMs - known.unlistedAtMs > this.options.rememberMs;
      if (isOld && known.outstanding === 0) {
        this.backends.delete(id);
        this.draws.delete(id);
      }
    }
  }
}
