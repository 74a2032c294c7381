/** Whether the engine beside an agent is, or may be, cold, and the bound of its service. */
import { ColdPeriod, coldStartBound } from '../routing/cold-start.js';
import type { ColdStartBound, ColdStartLimits, Coldness } from '../routing/cold-start.js';
import { isSamePosition } from '../cluster/store-position.js';
import type { StorePosition } from '../cluster/store-position.js';
import type { Backend } from '../routing/backend.js';
import type { Service } from '../routing/configuration.js';
import type { ColdStartHello } from './slot-messages.js';
import type { StartRules } from './start-limiter.js';

/** What the agent's own replica says of the engine. */
export interface EngineRecords {
  readonly service: Service | undefined;
  readonly backend: Backend | undefined;
  /** When this process learned that the engine's zone is in use again; undefined if it never was not. */
  readonly zoneReturnedAtMs: number | undefined;
}

/** What an agent believes of its engine's starts. */
export class EngineColdness {
  private readonly period = new ColdPeriod();
  private announcement: Backend | undefined;
  private isGone = false;
  /** What a gateway said of the service; used while the agent's own replica does not know it. */
  private heardBound: ColdStartBound | undefined;

  constructor(
    private readonly records: () => EngineRecords,
    private readonly limits: ColdStartLimits,
    startedAtMs: number,
  ) {
    this.period.suspect('not-known', startedAtMs);
  }

  /** The replica has news. */
  noteRecords(nowMs: number): void {
    const { backend } = this.records();
    if (backend === undefined || this.isAnnounced(backend)) {
      return;
    }
    const earlier = this.announcement;
    this.announcement = backend;
    if (earlier === undefined) {
      this.period.noteFirstAnnounced(backend.remainingColdMs, nowMs);
      return;
    }
    if (backend.id !== earlier.id) {
      this.period.noteIncarnation(nowMs);
    }
    this.period.noteAnnounced(backend.remainingColdMs, nowMs);
  }

  private isAnnounced(backend: Backend): boolean {
    return this.announcement !== undefined && isSamePosition(backend, this.announcement);
  }

  /** Looks at the engine found it gone, or there: one that was gone may have been started anew. */
  noteGone(isGone: boolean, nowMs: number): void {
    if (this.isGone && !isGone) {
      this.period.suspect('was-gone', nowMs);
    }
    this.isGone = isGone;
  }

  /** A gateway takes the engine for cold. */
  noteTold(coldMs: number | undefined, nowMs: number): void {
    if (coldMs !== undefined) {
      this.period.tell(coldMs, nowMs);
    }
  }

  /** A gateway said what the service bears. */
  noteService(hello: ColdStartHello | undefined): void {
    if (hello !== undefined) {
      this.heardBound = coldStartBound({ ...hello, isEngine: true }, this.limits);
    }
  }

  /** The bound of the service; undefined where it has none, or nobody said so yet. */
  get bound(): ColdStartBound | undefined {
    const { service } = this.records();
    return service === undefined ? this.heardBound : coldStartBound(service, this.limits);
  }

  /** How the engine may be given requests now; undefined where any number will do. */
  rules(nowMs: number): StartRules | undefined {
    const { bound } = this;
    return bound && { bound, isCold: this.coldness(nowMs) !== undefined };
  }

  /** Why the engine is taken for cold; undefined while it is not. */
  coldness(nowMs: number): Coldness | undefined {
    const { bound } = this;
    return bound && this.period.coldness(bound.coldStartMs, this.records().zoneReturnedAtMs, nowMs);
  }

  /** Position in the store of the announcement that the engine is known by; undefined while none is. */
  get position(): StorePosition | undefined {
    return this.announcement;
  }
}
