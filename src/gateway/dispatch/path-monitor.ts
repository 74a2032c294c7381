/**
 * Detects cut network paths from a gateway to backends, without I/O.
 *
 * The result applies to this gateway only, since others may still reach the backend. Silence counts
 * only while data from other machines arrives: a gateway whose own process was paused received
 * nothing from any of them.
 */
import type { BackendDirectory } from './backend-directory.js';
import type { KnownBackend } from './known-backend.js';
import type { EndedSuspicion, SuspicionCause } from './path-state.js';

/** Callbacks for state changes of paths. */
export interface PathMonitorPorts {
  /** Called when a path becomes suspect. */
  onSuspected(known: KnownBackend, cause: SuspicionCause, silentMs: number): void;
  /** Called when the suspicion of a path ended. */
  onRecovered(known: KnownBackend, ended: EndedSuspicion): void;
}

/**
 * Silence thresholds, in milliseconds. Each agent checks every 300 whether it has sent anything
 * within the last 300, so up to 600 may pass between two messages on a healthy path.
 */
export interface PathMonitorOptions {
  /**
   * Silence after which a path is suspect once its agent connection timed out. Default 1,000: at
   * least one message is certainly missing.
   */
  readonly silenceMs: number;
  /**
   * Silence that suffices where an engine of the same zone has become suspect. Default 800: the
   * longest interval on a healthy path plus two ticks.
   */
  readonly zoneSilenceMs: number;
  /**
   * Silence that suffices where a connection has also hung. Default 650: the longest interval on a
   * healthy path plus the network latency.
   */
  readonly hungConnectionSilenceMs: number;
  /**
   * Maximum silence of another path that counts as receiving data. Default 650, as for
   * `hungConnectionSilenceMs`.
   */
  readonly otherPathsMaxSilenceMs: number;
}

/** Default silence thresholds. */
export const DEFAULT_PATH_MONITOR_OPTIONS: PathMonitorOptions = {
  silenceMs: 1_000,
  zoneSilenceMs: 800,
  hungConnectionSilenceMs: 650,
  otherPathsMaxSilenceMs: 650,
};

/**
 * Minimum number of engines with an agent in a zone whose loss makes the whole zone suspect: a
 * single one may have a fault of its own.
 */
const MIN_ZONE_ENGINES = 2;

/** Monitors a gateway's paths to backends. */
export class PathMonitor {
  constructor(
    private readonly directory: BackendDirectory,
    private readonly ports: PathMonitorPorts,
    private readonly options: PathMonitorOptions = DEFAULT_PATH_MONITOR_OPTIONS,
  ) {}

  /** Returns the number of suspect paths. */
  countSuspect(): number {
    return this.directory.list().filter(isSuspect).length;
  }

  /** Evaluates every path. Must be called at short intervals. */
  checkPaths(nowMs: number): void {
    const all = this.directory.list().filter(({ isCurrent }) => isCurrent);
    const changedServices = new Set<string>();
    this.reportRecovered(all, changedServices, nowMs);
    const lost = this.findLost(all, nowMs);
    for (const [known, cause] of lost) {
      known.path.suspect(cause, nowMs);
      this.ports.onSuspected(known, cause, known.path.silentMs(nowMs));
      changedServices.add(known.backend.service);
    }
    for (const service of changedServices) {
      this.directory.updateSubset(service);
    }
    // Notified only after all lost paths are marked, so that moved requests avoid every one of
    // them.
    for (const known of lost.keys()) {
      known.path.notifyLost();
    }
  }

  private reportRecovered(
    all: readonly KnownBackend[],
    changedServices: Set<string>,
    nowMs: number,
  ): void {
    for (const known of all) {
      const { path, backend } = known;
      const { suspected } = path;
      const isSuspectedByZone = suspected !== undefined && !isAgentTrafficExpected(known);
      if (isSuspectedByZone && isZoneActiveSince(all, backend.zone, suspected.sinceMs)) {
        path.endSuspicion(nowMs);
      }
      const ended = path.takeEndedSuspicion();
      if (ended !== undefined && !path.isSuspect) {
        this.ports.onRecovered(known, ended);
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
      if (cause !== undefined && this.areOtherPathsActive(all, known, nowMs)) {
        lost.set(known, cause);
      }
    }
    for (const zone of new Set([...lost.keys()].map(({ backend }) => backend.zone))) {
      this.addSilentZoneMembers(
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
    const hasHung = path.hasHungConnection && isAgentTrafficExpected(known);
    return hasHung && silentMs >= this.options.hungConnectionSilenceMs
      ? 'connection-hung'
      : undefined;
  }

  private areOtherPathsActive(all: readonly KnownBackend[], known: KnownBackend, nowMs: number) {
    return all.some(
      ({ path }) =>
        path !== known.path &&
        path.heardAtMs !== undefined &&
        path.silentMs(nowMs) <= this.options.otherPathsMaxSilenceMs,
    );
  }

  /**
   * Once one engine of a zone is lost, adds those of the zone from which nothing was received
   * either; if all with an agent are lost, adds those without an agent as well.
   */
  private addSilentZoneMembers(
    zoneMembers: readonly KnownBackend[],
    lost: Map<KnownBackend, SuspicionCause>,
    nowMs: number,
  ): void {
    const withAgent = zoneMembers.filter(isAgentTrafficExpected);
    for (const known of withAgent) {
      const isSilent = known.path.silentMs(nowMs) >= this.options.zoneSilenceMs;
      if (!known.path.isSuspect && !lost.has(known) && isSilent) {
        lost.set(known, 'zone-silent');
      }
    }
    const isWholeZoneLost = withAgent.every((known) => known.path.isSuspect || lost.has(known));
    if (withAgent.length < MIN_ZONE_ENGINES || !isWholeZoneLost) {
      return;
    }
    for (const known of zoneMembers) {
      if (!known.path.isSuspect && !lost.has(known)) {
        lost.set(known, 'zone-silent');
      }
    }
  }
}

/** Whether its agent would be sending messages if the path were up. */
function isAgentTrafficExpected({ agent, path }: KnownBackend): boolean {
  return agent !== undefined || path.isAgentSilent;
}

function isSuspect({ isCurrent, path }: KnownBackend): boolean {
  return isCurrent && path.isSuspect;
}

function isZoneActiveSince(all: readonly KnownBackend[], zone: string, sinceMs: number): boolean {
  return all.some(
    ({ backend, path }) => backend.zone === zone && (path.heardAtMs ?? -Infinity) > sinceMs,
  );
}
