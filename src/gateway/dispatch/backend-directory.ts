/** The back ends that a gateway knows, by service, and which of the engines it works with. */
import type { Backend } from '../../routing/backend.js';
import { pairShare } from '../../pair-share.js';
import { distanceFrom, regionNameOf } from '../../routing/standpoint.js';
import { chooseEngines, DEFAULT_ENGINE_SUBSET_OPTIONS } from './engine-subset.js';
import type { EngineSubsetOptions, SubsetOwner } from './engine-subset.js';
import { KnownBackend } from './known-backend.js';
import { isFar, reachOf, UNKNOWN_REACH } from './near-first.js';
import type { ServiceReach } from './near-first.js';

/** What a directory needs from its surroundings. */
export interface BackendDirectoryPorts {
  /** Whether a service's back ends are engines, which serve in batches. */
  isEngine(service: string): boolean;
  /** Whether operators ordered that a zone gets nothing; missing where no orders are known. */
  isEvacuated?(zone: string): boolean;
  /** Whether the gateway's region has back ends of a service that may be waited for changed. */
  onReach?(service: string, hasNear: boolean): void;
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

const NOTHING: ReadonlySet<string> = new Set();

/** The back ends that a gateway knows. */
export class BackendDirectory {
  private readonly backends = new Map<string, KnownBackend>();
  private byService = new Map<string, KnownBackend[]>();
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
      ({ backend }) => this.ports.isEvacuated?.(backend.zone) !== true,
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
    return pairShare(this.owner.name, backendId);
  }

  /** Back ends of a service that are listed as taking requests, those in `excluded` left out. */
  countReady(service: string, excluded: ReadonlySet<string> = NOTHING): number {
    return this.ofService(service).filter(
      ({ backend, isReady }) => isReady && !excluded.has(backend.id),
    ).length;
  }

  /**
   * Expected time to the first event at a usual back end, in milliseconds: the median of the ready ones. By
   * the fastest one requests counted as in time that any other back end answers late.
   */
  expectedFirstMs(service: string, promptTokens: number): number {
    const expected = this.ofService(service)
      .filter(({ isReady, speed }) => isReady && speed.isKnown)
      .map(({ speed, roundTrip }) => speed.expectedFirstMs(promptTokens) + roundTrip.ms)
      .sort((left, right) => left - right);
    return expected[Math.floor((expected.length - 1) / 2)] ?? 0;
  }

  /** Mean expected time of a whole answer among the ready back ends, in milliseconds. */
  expectedWholeMs(service: string, units: number): number {
    const learned = this.ofService(service).flatMap(({ isReady, msPerUnit }) =>
      isReady && msPerUnit !== undefined ? [msPerUnit] : [],
    );
    const sum = learned.reduce((total, msPerUnit) => total + msPerUnit, 0);
    return learned.length === 0 ? 0 : (sum / learned.length) * units;
  }

  /** Takes in a back end's newest announcement; undefined when it left the list. */
  update(backendId: string, backend: Backend | undefined, nowMs: number): void {
    const known = this.backends.get(backendId);
    if (backend === undefined) {
      if (known !== undefined) {
        known.unlistedAtMs ??= nowMs;
      }
      this.forgetOld(nowMs);
    } else if (known === undefined) {
      const distance = distanceFrom(this.owner, backend.zone);
      this.backends.set(backendId, new KnownBackend(backend, nowMs, distance));
    } else {
      known.backend = backend;
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

  /** Chooses anew which engines of a service this gateway works with. */
  assign(service: string): void {
    if (!this.ports.isEngine(service)) {
      return;
    }
    const ready = this.ofService(service).filter(({ isReady }) => isReady);
    // Those of the own region are worked with also while they are lost, so that their return is heard.
    const { isNearLost } = this.reachOf(service);
    const eligible = isNearLost ? ready.filter(isFar) : ready;
    const chosen = chooseEngines(
      eligible.map(({ backend }) => backend),
      this.owner,
      this.options.subset,
    );
    for (const known of ready) {
      const isKeptNear = isNearLost && !isFar(known);
      known.isAssigned = isKeptNear || chosen.has(known.backend.id);
    }
  }

  /** Of several incarnations announced at one address only the latest can be there. */
  private markReplaced(address: string): void {
    const there = this.list().filter((known) => known.backend.address === address);
    const latest = Math.max(
      ...there.filter((known) => !known.hasEnded).map((known) => known.backend.revision),
    );
    for (const known of there) {
      known.isReplaced = known.hasEnded || known.backend.revision < latest;
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
      }
    }
  }
}
