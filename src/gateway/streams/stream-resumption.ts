/** Determines the version at which a stream that its caller resumes must continue, without I/O. */
import type { Clock } from '../../clock.js';
import { TokenBucket } from '../../token-bucket.js';
import type { SoleVersion, StreamOrigin } from '../../streams/stream-origin.js';
import type { StreamKey } from '../../streams/stream-key.js';
import type { StreamOriginTable } from '../../streams/stream-origin-table.js';
import type { OriginQueries, QueryResult, SendQuery } from './origin-queries.js';
import type { VersionHistory } from './version-history.js';

/** How the origin of a stream became known. */
export type OriginSource =
  /** Held by this gateway. */
  | 'own'
  /** Held by another process. */
  | 'replica'
  /** The service had only one version for as long as the stream can exist. */
  | 'sole-version';

/** A stream that its caller resumes. */
export interface ResumedStream {
  /** Undefined if the caller did not name the request that received the first event. */
  readonly key: StreamKey | undefined;
  /** The services that the route sends requests to. */
  readonly services: readonly string[];
  /** Longest time since the stream began, in milliseconds. */
  readonly maxAgeMs: number;
}

/** Result of a resolution; `unknown` if the origin cannot be determined. */
export type Resolution =
  | {
      readonly kind: 'known';
      readonly origin: StreamOrigin;
      readonly source: OriginSource;
      /** Time since the stream began, in milliseconds; undefined if unknown. */
      readonly ageMs: number | undefined;
    }
  | { readonly kind: 'unknown'; readonly asked: number; readonly answered: number };

/** Dependencies of `StreamResumptions`. */
export interface StreamResumptionPorts {
  readonly table: StreamOriginTable;
  readonly history: VersionHistory;
  readonly queries: OriginQueries;
  /** Senders to the processes that should hold the origin; without a key, to any processes. */
  holdersOf(stream: Pick<ResumedStream, 'key' | 'services'>): readonly SendQuery[];
  /** Senders to all other gateways. */
  otherGateways(key: StreamKey): readonly SendQuery[];
  /** Number of known gateways, including this one. */
  countGateways(): number;
  /** Whether this gateway's view of the store is stale, so that it may lack backends. */
  isKnowledgeOld(): boolean;
}

/** Queries in progress beyond which no further ones are sent. */
const MAX_QUERIES = 256;
/** Queries to all gateways per second; a caller may name streams that never existed. */
const FLEET_QUERIES_PER_S = 10;

/** Resolves the origins of resumed streams. */
export class StreamResumptions {
  private readonly fleetQueries: TokenBucket;

  constructor(
    private readonly ports: StreamResumptionPorts,
    private readonly clock: Clock,
  ) {
    this.fleetQueries = new TokenBucket(FLEET_QUERIES_PER_S, FLEET_QUERIES_PER_S, clock);
  }

  /** Determines the origin of a stream; `onResult` is called once, possibly synchronously. */
  resolve(stream: ResumedStream, onResult: (resolution: Resolution) => void): void {
    const own = stream.key && this.ports.table.find(stream.key, this.clock.now());
    if (own !== undefined) {
      const ageMs = this.clock.now() - own.begunAtMs;
      onResult({ kind: 'known', origin: own, source: 'own', ageMs });
      return;
    }
    const isKnownWithoutKey = stream.key === undefined && this.soleOrigin(stream, []) !== undefined;
    if (isKnownWithoutKey || this.ports.queries.size >= MAX_QUERIES) {
      onResult(this.resolveBySoleVersion(stream, []));
      return;
    }
    const question = { key: stream.key, service: onlyServiceOf(stream) };
    this.ports.queries.ask(question, this.ports.holdersOf(stream), (result) => {
      this.evaluateHolders(stream, result, onResult);
    });
  }

  private evaluateHolders(
    stream: ResumedStream,
    result: QueryResult,
    onResult: (resolution: Resolution) => void,
  ): void {
    const resolution = this.evaluate(stream, result);
    if (resolution.kind === 'known' || stream.key === undefined || !this.fleetQueries.take()) {
      onResult(resolution);
      return;
    }
    // Both holders may have restarted while the gateway that began the stream still runs.
    const question = { key: stream.key, service: onlyServiceOf(stream) };
    this.ports.queries.ask(question, this.ports.otherGateways(stream.key), (others) => {
      const soleVersions = [...result.soleVersions, ...others.soleVersions];
      const answered = result.answered + others.answered;
      const asked = result.asked + others.asked;
      onResult(this.evaluate(stream, { origin: others.origin, soleVersions, answered, asked }));
    });
  }

  private evaluate(stream: ResumedStream, result: QueryResult): Resolution {
    const { origin, soleVersions, asked, answered } = result;
    if (origin !== undefined) {
      this.ports.table.hold(origin, this.clock.now());
      return { kind: 'known', origin, source: 'replica', ageMs: origin.ageMs };
    }
    const service = onlyServiceOf(stream);
    for (const soleVersion of service === undefined ? [] : soleVersions) {
      this.ports.history.adopt(service!, soleVersion, this.clock.now());
    }
    const resolution = this.resolveBySoleVersion(stream, soleVersions);
    return resolution.kind === 'known' ? resolution : { kind: 'unknown', asked, answered };
  }

  private resolveBySoleVersion(
    stream: ResumedStream,
    soleVersions: readonly SoleVersion[],
  ): Resolution {
    const origin = this.soleOrigin(stream, soleVersions);
    return origin === undefined
      ? { kind: 'unknown', asked: 0, answered: 0 }
      : { kind: 'known', origin, source: 'sole-version', ageMs: undefined };
  }

  /**
   * Returns the origin if the route has one service and that had one version for as long as the
   * stream can exist, according to this gateway and to all that answered.
   */
  private soleOrigin(
    stream: ResumedStream,
    others: readonly SoleVersion[],
  ): StreamOrigin | undefined {
    const { ports } = this;
    const service = onlyServiceOf(stream);
    if (service === undefined) {
      return undefined;
    }
    const sole = ports.history.soleVersion(service, this.clock.now());
    if (sole === undefined) {
      return undefined;
    }
    const isSole = ({ version, otherVersionAgeMs = Infinity }: SoleVersion) =>
      version === sole.version && otherVersionAgeMs >= stream.maxAgeMs;
    const isConfirmed = !ports.isKnowledgeOld() || ports.countGateways() === 1 || others.length > 0;
    return sole.coveredMs >= stream.maxAgeMs && others.every(isSole) && isConfirmed
      ? { service, version: sole.version }
      : undefined;
  }
}

function onlyServiceOf({ services }: ResumedStream): string | undefined {
  return services.length === 1 ? services[0] : undefined;
}
