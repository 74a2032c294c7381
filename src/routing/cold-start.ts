/**
 * Cold starts of backends: how many requests a second a cold one may be sent, and when one must be
 * assumed cold. Pure functions and state, without I/O; callers pass the time. Gateways and slot
 * agents apply them independently.
 */
import type { Service } from './configuration.js';

/** The cold-start settings of a service. */
export type ColdStartService = Pick<Service, 'coldStartMs' | 'coldRequestsPerS' | 'isEngine'>;

/** Limits over all processes, in requests in any one second. */
export interface ColdStartLimits {
  /** Factor on the configured rate of a cold backend. */
  readonly coldOver: number;
  /** Requests allowed in addition. */
  readonly coldSlack: number;
}

/** Limits for one backend of a service with cold starts, in requests in any one second. */
export interface ColdStartBound {
  /** Time for which a backend is cold after its start, in milliseconds. */
  readonly coldStartMs: number;
  /** Limit over all processes for a cold backend. */
  readonly total: number;
  /** Share of `total` that its slot agent may grant. */
  readonly granted: number;
  /** Share of `total` for all gateways without a connection to its agent together. */
  readonly ungranted: number;
  /**
   * Limit on slots granted by the agent or taken without a grant at a warm backend, which may
   * restart and be cold before the agent detects it.
   */
  readonly warm: number;
  /**
   * Number of starts at a warm backend from which free slots may no longer be taken without a
   * grant.
   */
  readonly taken: number;
}

/** Maximum share of the total that agents grant; less where the configured cold rate is lower. */
const GRANTED_SHARE = 0.55;
/** Requests left out of both shares, reserved for a gateway that the others have not discovered. */
const RESERVED_REQUESTS = 2;
/**
 * Share of the total at which a warm backend gets no more requests. With a total of 26 this allows
 * 19 in a second, where 200 requests a second over 27 backends average 7 each, and 16 in bursts.
 */
const WARM_SHARE = 0.75;
/**
 * Share from which slots are only granted: slots that gateways take before they learn of this
 * restriction are not yet counted.
 */
const GRANTS_ONLY_SHARE = 0.5;

/** Returns the limits of a service; undefined where it has no cold starts or no limit for them. */
export function coldStartBound(
  { coldRequestsPerS, coldStartMs, isEngine }: ColdStartService,
  { coldOver, coldSlack }: ColdStartLimits,
): ColdStartBound | undefined {
  if (coldRequestsPerS <= 0 || coldStartMs <= 0) {
    return undefined;
  }
  const total = Math.floor(coldRequestsPerS * coldOver + coldSlack);
  const granted = isEngine ? grantedLimit(coldRequestsPerS, total) : 0;
  return {
    coldStartMs,
    total,
    granted,
    ungranted: Math.max(0, total - granted - RESERVED_REQUESTS),
    warm: Math.max(granted, Math.floor(total * WARM_SHARE)),
    taken: Math.floor(total * GRANTS_ONLY_SHARE),
  };
}

/** Returns at least one, so that no backend is left idle. */
function grantedLimit(coldRequestsPerS: number, total: number): number {
  const part = Math.floor(Math.min(coldRequestsPerS, total * GRANTED_SHARE));
  return Math.max(Math.min(1, total), part);
}

/** Why a backend is assumed cold. */
export type ColdReason =
  /** Reported by its announcement, or by a gateway that read the announcement. */
  | 'announced'
  /** A new incarnation announced itself. */
  | 'new-incarnation'
  /** It was unreachable, unavailable or not announced, and may have restarted. */
  | 'was-gone'
  /** Its agent reported it as cold, and the connection to the agent was lost. */
  | 'agent-lost'
  /** Its zone was evacuated and has been returned to use. */
  | 'zone-returned'
  /** This process has just started and has no earlier state. */
  | 'not-known';

/** A period during which a backend is assumed cold. */
export interface ColdPeriod {
  readonly reason: ColdReason;
  readonly sinceMs: number;
  readonly untilMs: number;
}

/** Tracks whether a backend is, or must be assumed, cold. */
export class ColdStartTracker {
  private announced: ColdPeriod | undefined;
  private suspected: { readonly reason: ColdReason; readonly sinceMs: number } | undefined;
  /** Time of the last warm announcement that ended an announced cold period, in milliseconds. */
  private announcedWarmAtMs = -Infinity;

  /** Applies an announcement; its age is unknown, so the remaining time counts from now. */
  noteAnnouncement(remainingColdMs: number, nowMs: number): void {
    if (remainingColdMs > 0) {
      this.noteReportedCold(remainingColdMs, nowMs);
    } else if (this.announced !== undefined) {
      this.announced = undefined;
      this.suspected = undefined;
      this.announcedWarmAtMs = nowMs;
    }
  }

  /**
   * Applies the first announcement that a process reads after its start. It describes the backend
   * as of its last change, so one without remaining cold time is warm. If it were assumed cold, a
   * whole fleet whose agents restarted would grant nothing for a second and a half, and little for
   * three.
   */
  noteInitialAnnouncement(remainingColdMs: number, nowMs: number): void {
    if (this.suspected?.reason === 'not-known') {
      this.suspected = undefined;
    }
    this.noteAnnouncement(remainingColdMs, nowMs);
  }

  /** Applies a reported remaining cold time; the latest end of all reports counts. */
  noteReportedCold(remainingColdMs: number, nowMs: number): void {
    const untilMs = nowMs + remainingColdMs;
    if (untilMs > (this.announced?.untilMs ?? -Infinity)) {
      const sinceMs = this.announced?.sinceMs ?? nowMs;
      this.announced = { reason: 'announced', sinceMs, untilMs };
    }
  }

  /**
   * Ends the announced period: whoever counted the remaining time since an earlier reading of the
   * announcement considers the backend warm.
   */
  endAnnounced(nowMs: number): void {
    if (this.announced !== undefined && this.announced.untilMs > nowMs) {
      this.announced = { ...this.announced, untilMs: nowMs };
    }
  }

  /** Returns the announced remaining time, in milliseconds; 0 if there is none. */
  announcedLeftMs(nowMs: number): number {
    return Math.max(0, (this.announced?.untilMs ?? nowMs) - nowMs);
  }

  /** Handles a new incarnation: announcements of the previous one no longer apply. */
  noteNewIncarnation(nowMs: number): void {
    this.announced = undefined;
    this.assumeCold('new-incarnation', nowMs);
  }

  /** Assumes that the backend started at `nowMs`. */
  assumeCold(reason: ColdReason, nowMs: number): void {
    if (this.announced !== undefined && this.announced.untilMs <= nowMs) {
      this.announced = undefined;
    }
    this.suspected = { reason, sinceMs: nowMs };
  }

  /**
   * Returns the cold period that ends last; undefined while the backend is warm.
   *
   * @param zoneReturnedAtMs - when this process learned that the zone was returned to use;
   * undefined if it was not
   */
  currentPeriod(
    coldStartMs: number,
    zoneReturnedAtMs: number | undefined,
    nowMs: number,
  ): ColdPeriod | undefined {
    const finding = this.currentFinding(coldStartMs, zoneReturnedAtMs, nowMs);
    return latestOf([this.announced, finding], nowMs);
  }

  /** Like `currentPeriod`, but without what is only known from announcements and reports. */
  currentFinding(
    coldStartMs: number,
    zoneReturnedAtMs: number | undefined,
    nowMs: number,
  ): ColdPeriod | undefined {
    const assumed = this.assumedPeriod(coldStartMs);
    return latestOf([assumed, this.zoneReturnPeriod(coldStartMs, zoneReturnedAtMs)], nowMs);
  }

  private assumedPeriod(coldStartMs: number): ColdPeriod | undefined {
    const { suspected } = this;
    return suspected && { ...suspected, untilMs: suspected.sinceMs + coldStartMs };
  }

  private zoneReturnPeriod(
    coldStartMs: number,
    sinceMs: number | undefined,
  ): ColdPeriod | undefined {
    return sinceMs === undefined || sinceMs <= this.announcedWarmAtMs
      ? undefined
      : { reason: 'zone-returned', sinceMs, untilMs: sinceMs + coldStartMs };
  }
}

/** Returns the period that ends last; undefined if all have ended. */
function latestOf(
  periods: ReadonlyArray<ColdPeriod | undefined>,
  nowMs: number,
): ColdPeriod | undefined {
  let latest: ColdPeriod | undefined;
  for (const period of periods) {
    if (period !== undefined && period.untilMs > (latest?.untilMs ?? nowMs)) {
      latest = period;
    }
  }
  return latest;
}

/**
 * Returns one gateway's share of a limit that gateways divide without coordination: they get one
 * each in rank order, round robin. A list with more gateways than there are only makes the share
 * smaller, so the shares sum to at most `total` whenever each gateway's list contains all others.
 */
export function shareByRank(total: number, rank: number, gateways: number): number {
  return Math.max(0, Math.ceil((total - rank) / Math.max(1, gateways)));
}
