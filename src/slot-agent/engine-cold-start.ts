/**
 * Tracks whether an agent's engine is, or may be, cold (recently started, so that it can handle
 * only a limited rate of new requests), and the start rate limits of its service.
 */
import { ColdStartTracker, coldStartBound } from '../routing/cold-start.js';
import type { ColdStartBound, ColdStartLimits, ColdPeriod } from '../routing/cold-start.js';
import { isLater, isSamePosition, positionOf } from '../cluster/store-position.js';
import type { StorePosition } from '../cluster/store-position.js';
import type { Backend } from '../routing/backend.js';
import type { Service } from '../routing/configuration.js';
import type { AnnouncedColdTime, ColdStartSettings, SlotDemand } from './slot-messages.js';
import type { StartRules } from './start-limiter.js';

/** Records about the engine in the agent's own replica of the store. */
export interface EngineRecords {
  readonly service: Service | undefined;
  readonly backend: Backend | undefined;
  /**
   * When this process learned that the evacuation of the engine's zone ended; undefined while the
   * zone is evacuated and if it never was.
   */
  readonly zoneReturnedAtMs: number | undefined;
}

/** Cold-start state of one engine as its agent estimates it. */
export class EngineColdStart {
  private readonly coldPeriod = new ColdStartTracker();
  private announcement: Backend | undefined;
  /** Position of the latest announcement whose remaining cold time was counted. */
  private countedAnnouncement: StorePosition | undefined;
  private isUnreachable = false;
  /** Start time of the process that became unreachable; undefined if another may have followed. */
  private unreachableStartMs: number | undefined;
  /** Bound from a gateway's hello; used while the agent's own replica does not hold the service. */
  private gatewayBound: ColdStartBound | undefined;

  constructor(
    private readonly records: () => EngineRecords,
    private readonly limits: ColdStartLimits,
    startedAtMs: number,
  ) {
    this.coldPeriod.assumeCold('not-known', startedAtMs);
  }

  /** Applies the engine's current announcement in the replica if it has changed. */
  updateFromRecords(nowMs: number): void {
    const { backend } = this.records();
    if (backend === undefined || this.isLatestAnnouncement(backend)) {
      return;
    }
    const earlier = this.announcement;
    this.announcement = backend;
    this.noteCounted(backend);
    if (earlier === undefined) {
      this.coldPeriod.noteInitialAnnouncement(backend.remainingColdMs, nowMs);
      return;
    }
    if (backend.id !== earlier.id) {
      this.coldPeriod.noteNewIncarnation(nowMs);
    }
    this.coldPeriod.noteAnnouncement(backend.remainingColdMs, nowMs);
  }

  private isLatestAnnouncement(backend: Backend): boolean {
    return this.announcement !== undefined && isSamePosition(backend, this.announcement);
  }

  /**
   * Records whether probes reach the engine; one that becomes reachable again may have been
   * restarted, unless its process reports the same start time as before.
   *
   * @param processStartMs - start time that its process reported last; undefined if it reported
   * none, or if nothing listens at its address
   */
  setUnreachable(isUnreachable: boolean, nowMs: number, processStartMs?: number): void {
    const isSameProcess =
      processStartMs !== undefined && processStartMs === this.unreachableStartMs;
    if (isUnreachable) {
      const isKnown = !this.isUnreachable || isSameProcess;
      this.unreachableStartMs = isKnown ? processStartMs : undefined;
    } else if (this.isUnreachable && !isSameProcess) {
      this.coldPeriod.assumeCold('was-gone', nowMs);
    }
    this.isUnreachable = isUnreachable;
  }

  /** Extends the cold period to what a gateway reports with its demand. */
  applyDemand({ coldMs, announcedCold }: SlotDemand, nowMs: number): void {
    if (coldMs !== undefined) {
      this.coldPeriod.noteReportedCold(coldMs, nowMs);
    }
    if (announcedCold !== undefined) {
      this.countAnnouncement(announcedCold, nowMs);
    }
  }

  /**
   * Counts an announcement that a gateway has read. Each is counted once: a gateway that restarts
   * reads an old one again and cannot tell its age.
   */
  private countAnnouncement(announced: AnnouncedColdTime, nowMs: number): void {
    if (this.noteCounted(announced)) {
      this.coldPeriod.noteReportedCold(announced.remainingMs, nowMs);
    }
  }

  /** Returns whether the announcement is later than all that were counted before. */
  private noteCounted(announcement: StorePosition): boolean {
    const { countedAnnouncement: counted } = this;
    if (counted !== undefined && !isLater(announcement, counted)) {
      return false;
    }
    this.countedAnnouncement = positionOf(announcement);
    return true;
  }

  /** Stores the cold-start settings of the service from a gateway's hello. */
  applyHello(hello: ColdStartSettings | undefined): void {
    if (hello !== undefined) {
      this.gatewayBound = coldStartBound({ ...hello, isEngine: true }, this.limits);
    }
  }

  /** Start rate bound of the service; undefined if it has none or none is known yet. */
  get bound(): ColdStartBound | undefined {
    const { service } = this.records();
    return service === undefined ? this.gatewayBound : coldStartBound(service, this.limits);
  }

  /** Limits on starting requests at the engine now; undefined if the rate is unlimited. */
  startRules(nowMs: number): StartRules | undefined {
    const { bound } = this;
    const { countedAnnouncement } = this;
    return bound && { bound, isCold: this.coldState(nowMs) !== undefined, countedAnnouncement };
  }

  /** Why and until when the engine is considered cold; undefined while it is warm. */
  coldState(nowMs: number): ColdPeriod | undefined {
    const { bound } = this;
    return (
      bound &&
      this.coldPeriod.currentPeriod(bound.coldStartMs, this.records().zoneReturnedAtMs, nowMs)
    );
  }

  /** Store position of the engine's current announcement; undefined while there is none. */
  get announcementPosition(): StorePosition | undefined {
    return this.announcement;
  }
}
