/**
 * What a gateway may begin on its own at back ends of services with slow starts.
 *
 * Where an agent is connected, a back end that is (or may be) cold is used by grants alone: the agent counts
 * them. Where none is, all gateways together keep to the part of the bound that agents leave, each to its
 * share of it.
 */
import { GRANT_LIFE_MS } from '../../slot-agent/start-limiter.js';
import { StartWindow } from '../../slot-agent/start-window.js';
import type { ColdStartBound, Coldness } from '../../routing/cold-start.js';
import type { KnownBackend } from './known-backend.js';

/** What the limits ask of their surroundings. */
export interface ColdStartPorts {
  /** The bound of a service; undefined where its back ends bear any rate. */
  boundOf(service: string): ColdStartBound | undefined;
  /** When this process learned that a zone is in use again; undefined if it never was not. */
  returnedAtMs(zone: string): number | undefined;
  /** This gateway's part of `total` at a back end whose agent it does not hear. */
  share(backendId: string, total: number, nowMs: number): number;
  /** A back end with a free slot was passed over for the rate of its starts. */
  onHeld(known: KnownBackend): void;
  /** A back end is taken for cold, or no longer. */
  onChange(known: KnownBackend, coldness: Coldness | undefined): void;
}

/** What an agent is told beside the requests that wait. */
export interface ColdNote {
  /** The gateway's clock, which the agent names with each grant. */
  readonly atMs?: number;
  /** How much longer the gateway takes the back end for cold, in milliseconds. */
  readonly coldMs?: number;
}

/** What a busy gateway gets of an agent's grants, in equal shares: gateways are not equally busy. */
const BUSY_GATEWAY_SHARE = 1.25;
const MS_PER_S = 1_000;

const NO_PORTS: ColdStartPorts = {
  boundOf: () => undefined,
  returnedAtMs: () => undefined,
  share: () => 0,
  onHeld: () => undefined,
  onChange: () => undefined,
};

/** What a gateway may begin on its own. */
export class ColdStarts {
  private readonly ownStarts = new WeakMap<KnownBackend, StartWindow>();
  private readonly coldBackends = new Set<KnownBackend>();

  constructor(private readonly ports: ColdStartPorts = NO_PORTS) {}

  /** Why a back end is taken for cold; undefined while it is not. */
  coldness(known: KnownBackend, nowMs: number): Coldness | undefined {
    const { service, zone } = known.backend;
    const bound = this.ports.boundOf(service);
    return bound === undefined
      ? undefined
      : known.cold.coldness(bound.coldStartMs, this.ports.returnedAtMs(zone), nowMs);
  }

  /** Whether a request that is sent now meets a cold back end, as this gateway or its agent believes. */
  isCold(known: KnownBackend, nowMs: number): boolean {
    const isToldCold = this.isBounded(known) && known.agent?.grantsOnly === 'cold';
    return isToldCold || this.coldness(known, nowMs) !== undefined;
  }

  private isBounded({ backend }: KnownBackend): boolean {
    return this.ports.boundOf(backend.service) !== undefined;
  }

  /** Whether a request may begin there without a grant. */
  mayStart(known: KnownBackend, nowMs: number): boolean {
    const bound = this.ports.boundOf(known.backend.service);
    if (bound === undefined) {
      return true;
    }
    const mayStart = this.isWithin(bound, known, nowMs);
    if (!mayStart) {
      this.ports.onHeld(known);
    }
    return mayStart;
  }

  private isWithin(bound: ColdStartBound, known: KnownBackend, nowMs: number): boolean {
    const isCold = this.coldness(known, nowMs) !== undefined;
    if (known.agent !== undefined) {
      return !isCold && known.agent.grantsOnly === undefined;
    }
    return !isCold || this.hasShareLeft(bound, known, nowMs);
  }

  private hasShareLeft({ ungranted }: ColdStartBound, known: KnownBackend, nowMs: number): boolean {
    const share = this.ports.share(known.backend.id, ungranted, nowMs);
    return share > 0 && (this.ownStarts.get(known)?.count(nowMs) ?? 0) < share;
  }

  /** A request begins without a grant. */
  noteStart(known: KnownBackend, nowMs: number): void {
    if (known.agent !== undefined || !this.isBounded(known)) {
      return;
    }
    const starts = this.ownStarts.get(known) ?? new StartWindow();
    this.ownStarts.set(known, starts);
    starts.add(nowMs, nowMs);
  }

  /**
   * Whether a grant that rests on this gateway's word of `heardAtMs` is too old to be used. Only where the rate
   * of starts has a bound: elsewhere demands name no time, so that the word may be old and the grant is not.
   */
  isStale(known: KnownBackend, heardAtMs: number | undefined, nowMs: number): boolean {
    return heardAtMs !== undefined && nowMs - heardAtMs > GRANT_LIFE_MS && this.isBounded(known);
  }

  /** What the agent beside a back end is told with each demand. */
  noteFor(known: KnownBackend, nowMs: number): ColdNote {
    if (!this.isBounded(known)) {
      return {};
    }
    const coldness = this.coldness(known, nowMs);
    // What rests on the agent's own word, or on its silence, is no news to it: told back, it would never end.
    const isNews = coldness !== undefined && coldness.reason !== 'agent-lost';
    return { atMs: nowMs, ...(isNews && { coldMs: coldness.untilMs - nowMs }) };
  }

  /**
   * Requests in a millisecond that this gateway may expect to begin while every back end is cold, where
   * `gateways` share them; undefined while some is warm.
   */
  supplyPerMs(
    backends: readonly KnownBackend[],
    gateways: number,
    nowMs: number,
  ): number | undefined {
    const usable = backends.filter(
      ({ isReady, availability }) => isReady && availability !== 'closed',
    );
    if (usable.length === 0 || !usable.every((known) => this.isCold(known, nowMs))) {
      return undefined;
    }
    const perS = usable.map((known) => this.startsPerS(known, gateways, nowMs));
    const sum = perS.reduce((total, starts) => total + starts, 0);
    // A gateway that has just started has no part yet, but agents that will grant within a moment.
    return sum === 0 ? undefined : sum / MS_PER_S;
  }

  private startsPerS(known: KnownBackend, gateways: number, nowMs: number): number {
    const { backend, agent } = known;
    const { granted, ungranted } = this.ports.boundOf(backend.service)!;
    return agent === undefined
      ? this.ports.share(backend.id, ungranted, nowMs)
      : (granted * BUSY_GATEWAY_SHARE) / Math.max(1, gateways);
  }

  /** Tells of back ends that are taken for cold since the last call, or no longer; to be called now and then. */
  review(backends: readonly KnownBackend[], nowMs: number): void {
    const isListed = new Set(backends);
    for (const known of [...this.coldBackends].filter((one) => !isListed.has(one))) {
      this.coldBackends.delete(known);
    }
    for (const known of backends) {
      const coldness = known.isCurrent ? this.coldness(known, nowMs) : undefined;
      if ((coldness !== undefined) === this.coldBackends.has(known)) {
        continue;
      }
      if (coldness === undefined) {
        this.coldBackends.delete(known);
      } else {
        this.coldBackends.add(known);
      }
      this.ports.onChange(known, coldness);
    }
  }
}
