/**
 * Limits the requests that a gateway starts without a grant at backends of services with slow
 * starts.
 *
 * While an agent is connected, a backend that is or may be cold is used by grants only, which the
 * agent counts. Without an agent, all gateways together stay within the part of the limit that
 * agents leave, each within its own share.
 */
import { isLater, positionOf } from '../../cluster/store-position.js';
import { GRANT_LIFETIME_MS } from '../../slot-agent/start-limiter.js';
import type { AnnouncedColdTime, SlotState } from '../../slot-agent/slot-messages.js';
import { StartWindow } from '../../slot-agent/start-window.js';
import type { ColdStartBound, ColdPeriod } from '../../routing/cold-start.js';
import type { KnownBackend } from './known-backend.js';

/** Dependencies of the limiter. */
export interface ColdStartPorts {
  /** Limit of a service; undefined where its backends accept any rate from their start. */
  startLimitOf(service: string): ColdStartBound | undefined;
  /**
   * When this process learned that an evacuated zone is back in use; undefined if it never was
   * evacuated.
   */
  returnedAtMs(zone: string): number | undefined;
  /** This gateway's share of `total` at a backend whose agent is not connected. */
  share(backendId: string, total: number, nowMs: number): number;
  /** Called when a backend with a free slot was skipped because of its start rate limit. */
  onStartDelayed(known: KnownBackend): void;
  /** Called when a backend becomes cold, or warm again. */
  onChange(known: KnownBackend, coldness: ColdPeriod | undefined): void;
}

/** Cold-start fields of a demand message. */
export interface ColdStartInfo {
  /** Clock of the gateway, which the agent returns with each grant. */
  readonly atMs?: number;
  /** Remaining time for which the backend is cold by the gateway's findings, in milliseconds. */
  readonly coldMs?: number;
  readonly announcedCold?: AnnouncedColdTime;
}

/**
 * Factor over an equal share of an agent's grants that a busy gateway may get, since load is spread
 * unevenly over gateways.
 */
const BUSY_GATEWAY_FACTOR = 1.25;
const MS_PER_S = 1_000;

const NO_PORTS: ColdStartPorts = {
  startLimitOf: () => undefined,
  returnedAtMs: () => undefined,
  share: () => 0,
  onStartDelayed: () => undefined,
  onChange: () => undefined,
};

/** Limits the requests that a gateway starts without a grant. */
export class ColdStartLimiter {
  private readonly ungrantedStarts = new WeakMap<KnownBackend, StartWindow>();
  private readonly coldBackends = new Set<KnownBackend>();

  constructor(private readonly ports: ColdStartPorts = NO_PORTS) {}

  /** Returns why and until when the backend counts as cold; undefined while it is warm. */
  coldness(known: KnownBackend, nowMs: number): ColdPeriod | undefined {
    const { service, zone } = known.backend;
    const bound = this.ports.startLimitOf(service);
    return bound === undefined
      ? undefined
      : known.cold.currentPeriod(bound.coldStartMs, this.ports.returnedAtMs(zone), nowMs);
  }

  /** Whether this gateway or the backend's agent considers the backend cold. */
  isCold(known: KnownBackend, nowMs: number): boolean {
    const isReportedCold = this.hasStartLimit(known) && known.agent?.grantsOnly === 'cold';
    return isReportedCold || this.coldness(known, nowMs) !== undefined;
  }

  private hasStartLimit({ backend }: KnownBackend): boolean {
    return this.ports.startLimitOf(backend.service) !== undefined;
  }

  /** Whether a request may start at the backend without a grant. */
  mayStart(known: KnownBackend, nowMs: number): boolean {
    const bound = this.ports.startLimitOf(known.backend.service);
    if (bound === undefined) {
      return true;
    }
    const mayStart = this.isWithinLimit(bound, known, nowMs);
    if (!mayStart) {
      this.ports.onStartDelayed(known);
    }
    return mayStart;
  }

  private isWithinLimit(bound: ColdStartBound, known: KnownBackend, nowMs: number): boolean {
    const isCold = this.coldness(known, nowMs) !== undefined;
    if (known.agent !== undefined) {
      return !isCold && known.agent.grantsOnly === undefined;
    }
    return !isCold || this.hasShareLeft(bound, known, nowMs);
  }

  private hasShareLeft({ ungranted }: ColdStartBound, known: KnownBackend, nowMs: number): boolean {
    const share = this.ports.share(known.backend.id, ungranted, nowMs);
    return share > 0 && (this.ungrantedStarts.get(known)?.count(nowMs) ?? 0) < share;
  }

  /** Records a request that starts without a grant; counted only while no agent is connected. */
  noteStart(known: KnownBackend, nowMs: number): void {
    if (known.agent !== undefined || !this.hasStartLimit(known)) {
      return;
    }
    const starts = this.ungrantedStarts.get(known) ?? new StartWindow();
    this.ungrantedStarts.set(known, starts);
    starts.add(nowMs, nowMs);
  }

  /**
   * Whether a grant is too old to be used: `heardAtMs` is the latest time of this gateway's clock
   * that the agent had received when it issued the grant. Applies only to services with a start
   * rate limit: elsewhere demands carry no time, so `heardAtMs` may be old while the grant is
   * recent.
   */
  isStaleGrant(known: KnownBackend, heardAtMs: number | undefined, nowMs: number): boolean {
    return (
      heardAtMs !== undefined && nowMs - heardAtMs > GRANT_LIFETIME_MS && this.hasStartLimit(known)
    );
  }

  /** Returns the cold-start fields of a demand to the backend's agent. */
  demandInfo(known: KnownBackend, nowMs: number): ColdStartInfo {
    if (!this.hasStartLimit(known)) {
      return {};
    }
    const { backend, cold } = known;
    const { coldStartMs } = this.ports.startLimitOf(backend.service)!;
    const finding = cold.currentFinding(coldStartMs, this.ports.returnedAtMs(backend.zone), nowMs);
    // A state that derives from the agent's own report or from losing its connection is not
    // reported back: the two sides would keep confirming each other and it would never end.
    const isOwnFinding = finding !== undefined && finding.reason !== 'agent-lost';
    const remainingMs = cold.announcedLeftMs(nowMs);
    return {
      atMs: nowMs,
      ...(isOwnFinding && { coldMs: finding.untilMs - nowMs }),
      ...(remainingMs > 0 && { announcedCold: { ...positionOf(backend), remainingMs } }),
    };
  }

  /**
   * Applies the cold-start fields of an agent's state. An agent that has counted the announcement
   * of the backend, or a later one, may have read it long before this process started; the period
   * that this process counts from its own reading ends with the agent's.
   */
  applyAgentState(known: KnownBackend, state: SlotState, nowMs: number): void {
    const { countedAnnouncement, grantsOnly } = state;
    const isWarm = countedAnnouncement !== undefined && grantsOnly !== 'cold';
    if (isWarm && !isLater(known.backend, countedAnnouncement)) {
      known.cold.endAnnounced(nowMs);
    }
  }

  /**
   * Returns the number of requests per millisecond that this gateway may expect to start while
   * every backend is cold, divided among `gateways`; undefined while some backend is warm.
   */
  expectedStartsPerMs(
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
    // A gateway that has just started has no share yet, but gets grants once agents are connected.
    return sum === 0 ? undefined : sum / MS_PER_S;
  }

  private startsPerS(known: KnownBackend, gateways: number, nowMs: number): number {
    const { backend, agent } = known;
    const { granted, ungranted } = this.ports.startLimitOf(backend.service)!;
    return agent === undefined
      ? this.ports.share(backend.id, ungranted, nowMs)
      : (granted * BUSY_GATEWAY_FACTOR) / Math.max(1, gateways);
  }

  /** Reports backends that became cold or warm since the last call. Must be called periodically. */
  reportChanges(backends: readonly KnownBackend[], nowMs: number): void {
    const listed = new Set(backends);
    for (const known of [...this.coldBackends].filter((one) => !listed.has(one))) {
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
