/**
 * Slow starts of back ends: how many requests a second a cold one is sent, and when one has to be taken for
 * cold. Pure; the time is passed in. Gateways and slot agents decide by the same functions, each for itself.
 */
import type { Service } from './configuration.js';

/** What a service says of the starts of its back ends. */
export type ColdStartService = Pick<Service, 'coldStartMs' | 'coldRequestsPerS' | 'isEngine'>;

/** Bounds over all machines, in requests of any one second. */
export interface ColdStartLimits {
  /** Times of the rate that a cold back end bears. */
  readonly coldOver: number;
  /** Requests beside that. */
  readonly coldSlack: number;
}

/** What a service with slow starts allows at one back end, in requests of any one second. */
export interface ColdStartBound {
  /** How long a back end is cold after its start, in milliseconds. */
  readonly coldStartMs: number;
  /** Of all machines together at a cold back end. */
  readonly total: number;
  /** Part of it that its slot agent grants. */
  readonly granted: number;
  /** Part of it that all gateways without a link to its agent send together. */
  readonly ungranted: number;
  /** Most that its agent grants or sees taken at a warm back end, which may turn cold without news. */
  readonly warm: number;
  /** Starts at a warm back end from which free slots are no longer taken without a grant. */
  readonly taken: number;
}

/** Share of the bound that agents grant, at most; less where back ends bear less. */
const GRANTED_SHARE = 0.55;
/** Requests that are kept from both parts, for a gateway that others never heard of. */
const MARGIN = 2;
/**
 * Share of the bound at which a warm back end gets no more. With a bound of 26 that is 19 in a second, where
 * 200 requests a second over 27 back ends come to 7, and to 16 in bursts.
 */
const WARM_SHARE = 0.75;
/** Share from which slots are only granted: what is taken on the way until gateways hear of it is not counted yet. */
const TAKEN_SHARE = 0.5;

/** The bound of a service; undefined where its back ends bear any rate. */
export function coldStartBound(
  { coldRequestsPerS, coldStartMs, isEngine }: ColdStartService,
  { coldOver, coldSlack }: ColdStartLimits,
): ColdStartBound | undefined {
  if (coldRequestsPerS <= 0 || coldStartMs <= 0) {
    return undefined;
  }
  const total = Math.floor(coldRequestsPerS * coldOver + coldSlack);
  const granted = isEngine ? grantedPart(coldRequestsPerS, total) : 0;
  return {
    coldStartMs,
    total,
    granted,
    ungranted: Math.max(0, total - granted - MARGIN),
    warm: Math.max(granted, Math.floor(total * WARM_SHARE)),
    taken: Math.floor(total * TAKEN_SHARE),
  };
}

/** At least one, so that no back end is left idle. */
function grantedPart(coldRequestsPerS: number, total: number): number {
  const part = Math.floor(Math.min(coldRequestsPerS, total * GRANTED_SHARE));
  return Math.max(Math.min(1, total), part);
}

/** Why a back end is taken for cold. */
export type ColdReason =
  /** Its announcement said so, or a gateway that read it. */
  | 'announced'
  /** Another incarnation announced itself. */
  | 'new-incarnation'
  /** It was gone, and is there again. */
  | 'was-gone'
  /** Its agent took it for cold, and its connection is lost. */
  | 'agent-lost'
  /** Its zone was evacuated, and is in use again. */
  | 'zone-returned'
  /** This process has just started and knows nothing of what went before. */
  | 'not-known';

/** That a back end is taken for cold. */
export interface Coldness {
  readonly reason: ColdReason;
  readonly sinceMs: number;
  readonly untilMs: number;
}

/** What is known of a back end's last start. */
export class ColdPeriod {
  private announced: Coldness | undefined;
  private suspected: { readonly reason: ColdReason; readonly sinceMs: number } | undefined;
  /** When an announcement said that it is warm after one had said that it is cold, in milliseconds. */
  private warmSinceMs = -Infinity;

  /** Takes in an announcement; its word is as old as the news of it, so the time counts from now. */
  noteAnnounced(remainingColdMs: number, nowMs: number): void {
    if (remainingColdMs > 0) {
      this.tell(remainingColdMs, nowMs);
    } else if (this.announced !== undefined) {
      this.announced = undefined;
      this.suspected = undefined;
      this.warmSinceMs = nowMs;
    }
  }

  /**
   * Takes in the first announcement that a process finds when it starts. It says how the back end was when it
   * changed last, so that one that says nothing of cold is warm: taken for cold, a whole fleet whose agents
   * were started anew would grant nothing for a second and a half, and little for three.
   */
  noteFirstAnnounced(remainingColdMs: number, nowMs: number): void {
    if (this.suspected?.reason === 'not-known') {
      this.suspected = undefined;
    }
    this.noteAnnounced(remainingColdMs, nowMs);
  }

  /** It was told to be cold for so long; the longest word counts. */
  tell(remainingColdMs: number, nowMs: number): void {
    const untilMs = nowMs + remainingColdMs;
    if (untilMs > (this.announced?.untilMs ?? -Infinity)) {
      const sinceMs = this.announced?.sinceMs ?? nowMs;
      this.announced = { reason: 'announced', sinceMs, untilMs };
    }
  }

  /** Another incarnation announced itself: what was said of the one before says nothing of it. */
  noteIncarnation(nowMs: number): void {
    this.announced = undefined;
    this.suspect('new-incarnation', nowMs);
  }

  /** It may have started just now. */
  suspect(reason: ColdReason, nowMs: number): void {
    if (this.announced !== undefined && this.announced.untilMs <= nowMs) {
      this.announced = undefined;
    }
    this.suspected = { reason, sinceMs: nowMs };
  }

  /**
   * Why it is to be taken for cold, and until when; undefined while it is not.
   *
   * @param zoneReturnedAtMs - when this process learned that its zone is in use again; undefined if it never was not
   */
  coldness(
    coldStartMs: number,
    zoneReturnedAtMs: number | undefined,
    nowMs: number,
  ): Coldness | undefined {
    const candidates = [
      this.announced,
      this.sinceSuspicion(coldStartMs),
      this.sinceReturn(coldStartMs, zoneReturnedAtMs),
    ];
    let latest: Coldness | undefined;
    for (const candidate of candidates) {
      if (candidate !== undefined && candidate.untilMs > (latest?.untilMs ?? nowMs)) {
        latest = candidate;
      }
    }
    return latest;
  }

  private sinceSuspicion(coldStartMs: number): Coldness | undefined {
    const { suspected } = this;
    return suspected && { ...suspected, untilMs: suspected.sinceMs + coldStartMs };
  }

  private sinceReturn(coldStartMs: number, sinceMs: number | undefined): Coldness | undefined {
    return sinceMs === undefined || sinceMs <= this.warmSinceMs
      ? undefined
      : { reason: 'zone-returned', sinceMs, untilMs: sinceMs + coldStartMs };
  }
}

/**
 * A gateway's part of a number that gateways share without a word: the first by rank get one each, then
 * again from the first. A view that holds more gateways than there are only makes the part smaller, so that
 * the parts sum up to `total` at most whenever each gateway's view holds all others.
 */
export function partByRank(total: number, rank: number, gateways: number): number {
  return Math.max(0, Math.ceil((total - rank) / Math.max(1, gateways)));
}
