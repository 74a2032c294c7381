/**
 * Decides which of a gateway's paths to back ends are believed to be cut, without I/O.
 *
 * The belief is this gateway's alone: others may reach what it does not. Silence counts only while other
 * machines are heard, since a gateway that stood still itself heard nobody.
 */
import type { BackendDirectory } from './backend-directory.js';
import type { KnownBackend } from './known-backend.js';
import type { EndedSuspicion, SuspicionCause } from './path-state.js';

/** Who hears of changes. */
export interface PathWatchPorts {
  /** A path is believed to be cut. */
  onSuspected(known: KnownBackend, cause: SuspicionCause, silentMs: number): void;
  /** Something was heard on a path that was believed to be cut. */
  onRegained(known: KnownBackend, ended: EndedSuspicion): void;
}

/**
 * Bounds of silence, in milliseconds. Agents look each 300 whether they have said anything in the last 300, so
 * that 600 may pass between two words on a sound path.
 */
export interface PathWatchOptions {
  /** Silence after which the path to an agent that fell silent is suspect. Default 1,000: a word missed for certain. */
  readonly silenceMs: number;
  /**
   * Silence that is enough where an engine of the same zone has become suspect. Default 800: the longest
   * pause on a sound path, and two ticks.
   */
  readonly zoneSilenceMs: number;
  /** Silence that is enough where a connection hung as well. Default 650: that pause, and its way. */
  readonly hungSilenceMs: number;
  /** Others count as heard up to this age of their last word. Default 650, as above. */
  readonly othersHeardMs: number;
}

/** Defaults of silence. */
export const DEFAULT_PATH_WATCH_OPTIONS: PathWatchOptions = {
  silenceMs: 1_000,
  zoneSilenceMs: 800,
  hungSilenceMs: 650,
  othersHeardMs: 650,
};

/** Fewest engines of a zone whose silence speaks for the zone: a single one may be alone in its fault. */
const MIN_ZONE_WITNESSES = 2;

/** What a gateway believes of its paths. */
export class PathWatch {
  constructor(
    private readonly directory: BackendDirectory,
    private readonly ports: PathWatchPorts,
    private readonly options: PathWatchOptions = DEFAULT_PATH_WATCH_OPTIONS,
  ) {}

  /** Paths that are believed to be cut. */
  countSuspect(): number {
    return this.directory.list().filter(isSuspect).length;
  }

  /** Looks at every path; to be called at short intervals. */
  review(nowMs: number): void {
    const all = this.directory.list().filter(({ isCurrent }) => isCurrent);
    const changedServices = new Set<string>();
    this.noteRegained(all, changedServices, nowMs);
    const lost = this.findLost(all, nowMs);
    for (const [known, cause] of lost) {
      known.path.suspect(cause, nowMs);
      this.ports.onSuspected(known, cause, known.path.silentMs(nowMs));
      changedServices.add(known.backend.service);
    }
    for (const service of changedServices) {
      this.directory.assign(service);
    }
    // Only now: what moves on must not come to another path that is lost with this one.
    for (const known of lost.keys()) {
      known.path.tellLost();
    }
  }

  private noteRegained(
    all: readonly KnownBackend[],
    changedServices: Set<string>,
    nowMs: number,
  ): void {
    for (const known of all) {
      const { path, backend } = known;
      const { suspected } = path;
      const isByZone = suspected !== undefined && !isExpectedToSpeak(known);
      if (isByZone && isZoneHeardSince(all, backend.zone, suspected.sinceMs)) {
        path.endSuspicion(nowMs);
      }
      const ended = path.takeEndedSuspicion();
      if (ended !== undefined && !path.isSuspect) {
        this.ports.onRegained(known, ended);
        changedServices.add(backend.service);
      }
    }
  }

  private findLost(
    all: readonly KnownBackend[],
    nowMs: number,
  ): ReadonlyMap<KnownBackend, SuspicionCause> {
    const lost = new Map<KnownBackend, SuspicionCause>();
    for (const known of all) {
      const cause = this.causeOf(known, nowMs);
      if (cause !== undefined && this.areOthersHeard(all, known, nowMs)) {
        lost.set(known, cause);
      }
    }
    for (const zone of new Set([...lost.keys()].map(({ backend }) => backend.zone))) {
      this.addSilentMates(
        all.filter(({ backend }) => backend.zone === zone),
        lost,
        nowMs,
      );
    }
    return lost;
  }

  private causeOf(known: KnownBackend, nowMs: number): SuspicionCause | undefined {
    const { path } = known;
    const silentMs = path.silentMs(nowMs);
    if (path.isSuspect) {
      return undefined;
    }
    if (path.isAgentSilent && silentMs >= this.options.silenceMs) {
      return 'agent-silent';
    }
    const hasHung = path.hasHungConnection && isExpectedToSpeak(known);
    return hasHung && silentMs >= this.options.hungSilenceMs ? 'connection-hung' : undefined;
  }

  private areOthersHeard(all: readonly KnownBackend[], known: KnownBackend, nowMs: number) {
    return all.some(
      ({ path }) =>
        path !== known.path &&
        path.heardAtMs !== undefined &&
        path.silentMs(nowMs) <= this.options.othersHeardMs,
    );
  }

  /** The first engine of a zone that is found lost speaks for those of which nothing was heard since. */
  private addSilentMates(
    zone: readonly KnownBackend[],
    lost: Map<KnownBackend, SuspicionCause>,
    nowMs: number,
  ): void {
    const witnesses = zone.filter(isExpectedToSpeak);
    for (const known of witnesses) {
      const isSilent = known.path.silentMs(nowMs) >= this.options.zoneSilenceMs;
      if (!known.path.isSuspect && !lost.has(known) && isSilent) {
        lost.set(known, 'zone-silent');
      }
    }
    const isWholeZoneLost = witnesses.every((known) => known.path.isSuspect || lost.has(known));
    if (witnesses.length < MIN_ZONE_WITNESSES || !isWholeZoneLost) {
      return;
    }
    for (const known of zone) {
      if (!known.path.isSuspect && !lost.has(known)) {
        lost.set(known, 'zone-silent');
      }
    }
  }
}

/** Whether its agent would be heard if the path stood. */
function isExpectedToSpeak({ agent, path }: KnownBackend): boolean {
  return agent !== undefined || path.isAgentSilent;
}

function isSuspect({ isCurrent, path }: KnownBackend): boolean {
  return isCurrent && path.isSuspect;
}

function isZoneHeardSince(all: readonly KnownBackend[], zone: string, sinceMs: number): boolean {
  return all.some(
    ({ backend, path }) => backend.zone === zone && (path.heardAtMs ?? -Infinity) > sinceMs,
  );
}
