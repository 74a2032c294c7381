/**
 * The software versions of each service that this gateway has known, and since when.
 *
 * If a service had one version for the whole time in which a stream can have begun, the stream's
 * version is known even if its origin is held by no process.
 */
import type { SoftwareVersion } from '../../streams/software-version.js';
import type { SoleVersion, StreamOrigin } from '../../streams/stream-origin.js';

/**
 * How long a version is remembered after its last backend was seen, in milliseconds; nothing is
 * claimed of any earlier time.
 */
const RETENTION_MS = 600_000;

interface ServiceHistory {
  /** When a backend of each version was last seen. */
  readonly lastSeenAtMs: Map<SoftwareVersion, number>;
  /** Start of the time for which the versions are known; undefined: since this gateway knows any. */
  knownSinceMs: number | undefined;
}

/** Version history by service. */
export class VersionHistory {
  private readonly services = new Map<string, ServiceHistory>();
  private observingSinceMs: number | undefined;

  /** Records the versions that exist now; to be called periodically once the records are known. */
  observe(existing: readonly StreamOrigin[], nowMs: number): void {
    this.observingSinceMs ??= nowMs;
    for (const { service, version } of existing) {
      this.historyOf(service).lastSeenAtMs.set(version, nowMs);
    }
    for (const { lastSeenAtMs } of this.services.values()) {
      for (const [version, atMs] of lastSeenAtMs) {
        if (nowMs - atMs > RETENTION_MS) {
          lastSeenAtMs.delete(version);
        }
      }
    }
  }

  /** Returns the newest version of a service and how long no other one existed, if that is known. */
  soleVersion(service: string, nowMs: number): SoleVersion | undefined {
    const history = this.services.get(service);
    if (history === undefined || this.observingSinceMs === undefined) {
      return undefined;
    }
    const newestFirst = [...history.lastSeenAtMs].sort(([, left], [, right]) => right - left);
    const [newest, previous] = newestFirst;
    if (newest === undefined) {
      return undefined;
    }
    const knownSinceMs = history.knownSinceMs ?? this.observingSinceMs;
    const soleSinceMs = Math.max(knownSinceMs, previous?.[1] ?? -Infinity);
    return {
      version: newest[0],
      coveredMs: Math.min(nowMs - soleSinceMs, RETENTION_MS),
      otherVersionAgeMs: previous && nowMs - previous[1],
    };
  }

  /** Extends the known time by what another gateway has seen before this one started. */
  adopt(service: string, { version, coveredMs }: SoleVersion, nowMs: number): void {
    if (this.soleVersion(service, nowMs)?.version !== version) {
      return;
    }
    const history = this.historyOf(service);
    const knownSinceMs = history.knownSinceMs ?? this.observingSinceMs ?? nowMs;
    history.knownSinceMs = Math.min(knownSinceMs, nowMs - coveredMs);
  }

  private historyOf(service: string): ServiceHistory {
    const known = this.services.get(service) ?? {
      lastSeenAtMs: new Map<SoftwareVersion, number>(),
      knownSinceMs: undefined,
    };
    this.services.set(service, known);
    return known;
  }
}
