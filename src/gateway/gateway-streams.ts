/**
 * Keeps streams at the software version that began them over several requests of their caller.
 *
 * Before the first event of a resumable stream is sent to its caller, its origin is sent to a few
 * other processes, so that any gateway can continue the stream although this one is lost.
 */
import { splitAddress } from '../address.js';
import type { Clock } from '../clock.js';
import type { Backend } from '../routing/backend.js';
import { softwareVersionOf } from '../streams/software-version.js';
import type { SoftwareVersion } from '../streams/software-version.js';
import type {
  StreamOrigin,
  StreamOriginAnswer,
  StreamOriginQuery,
  StreamOriginReport,
} from '../streams/stream-origin.js';
import { StreamOriginTable } from '../streams/stream-origin-table.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import type { AcceptedRequest } from './attempt/accepted-request.js';
import type { BackendDirectory } from './dispatch/backend-directory.js';
import type { StreamOriginExchange } from './links/gateway-peers.js';
import type { GatewayMetrics } from './metrics/gateway-metrics.js';
import { OriginQueries } from './streams/origin-queries.js';
import { OriginReplication } from './streams/origin-replication.js';
import type { OriginReplicationPorts } from './streams/origin-replication.js';
import { maxStreamAgeMs } from './streams/stream-lifetime.js';
import { StreamResumptions } from './streams/stream-resumption.js';
import type { OriginSource, Resolution } from './streams/stream-resumption.js';
import { VersionHistory } from './streams/version-history.js';

/** Dependencies of `GatewayStreams`. */
export interface GatewayStreamsDependencies extends OriginReplicationPorts {
  readonly directory: Pick<BackendDirectory, 'list'>;
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly metrics: GatewayMetrics;
}

/** How a stream that its caller resumes is handled. */
export type ResumptionDecision =
  /** The request with the service and version at which it continues. */
  | { readonly kind: 'continue'; readonly request: AcceptedRequest }
  | {
      readonly kind: 'refuse';
      readonly reason: 'stream-unknown' | 'stream-unavailable' | 'malformed-resumption';
    };

/** Outcome of a resumption in the log and the metrics. */
type ResumptionOutcome = OriginSource | 'unknown' | 'malformed' | 'service-left';

const REFUSED_OUTCOMES: ReadonlySet<ResumptionOutcome> = new Set([
  'unknown',
  'malformed',
  'service-left',
]);
const MS_PER_S = 1_000;
/** Time for which a backend that is no longer listed may still serve, in milliseconds. */
const UNLISTED_LIFE_MS = 30_000;
const MAX_REQUEST_ID_LENGTH = 128;
/** Visible ASCII without separators of header lists. */
const REQUEST_ID = /^[!-+\--:<-~]+$/;

/** Records and finds the origins of streams. */
export class GatewayStreams implements StreamOriginExchange {
  private readonly table = new StreamOriginTable();
  private readonly history = new VersionHistory();
  private readonly queries: OriginQueries;
  private readonly resumptions: StreamResumptions;
  private readonly replication: OriginReplication;

  constructor(private readonly dependencies: GatewayStreamsDependencies) {
    const { clock, peers } = dependencies;
    this.queries = new OriginQueries(clock);
    this.replication = new OriginReplication(dependencies);
    this.resumptions = new StreamResumptions(
      {
        table: this.table,
        history: this.history,
        queries: this.queries,
        holdersOf: ({ key, services }) => this.replication.sendersToHolders(services, key),
        otherGateways: (key) => this.replication.sendersToOtherGateways(key),
        countGateways: () => peers().size,
        isKnowledgeOld: () => peers().isKnowledgeOld,
      },
      clock,
    );
  }

  /** Number of origins that this gateway holds. */
  get heldOrigins(): number {
    return this.table.size;
  }

  /**
   * Observes which versions exist and which slot agents can hold origins; to be called periodically
   * once the records are known.
   */
  observeBackends(): void {
    this.observeVersions();
    const nowMs = this.dependencies.clock.now();
    const moved = this.replication.replaceAgents((key) => this.table.report(key, nowMs));
    if (moved > 0) {
      this.dependencies.log.write('stream-origins-moved', 'state', {
        moved,
        held: this.table.size,
      });
    }
  }

  /** Observes which versions exist. */
  observeVersions(): void {
    const nowMs = this.dependencies.clock.now();
    const existing = this.dependencies.directory
      .list()
      .filter(({ unlistedAtMs }) => nowMs - (unlistedAtMs ?? nowMs) <= UNLISTED_LIFE_MS)
      .map(({ backend }) => ({ service: backend.service, version: softwareVersionOf(backend) }));
    this.history.observe(existing, nowMs);
  }

  /** Drops expired origins; to be called periodically. */
  removeExpired(): void {
    const nowMs = this.dependencies.clock.now();
    this.table.evictExpired(nowMs);
    this.replication.removeExpired((key) => this.table.find(key, nowMs) !== undefined);
  }

  /** Records that a stream begins at a backend; called before its first event is sent. */
  recordBegin(
    { streamKey, resumableForMs }: AcceptedRequest,
    { service, address }: Backend,
    version: SoftwareVersion,
  ): void {
    if (streamKey === undefined) {
      return;
    }
    const report = { key: streamKey, service, version, ageMs: 0, expiresInMs: resumableForMs };
    this.hold(report);
    // A process that restarted unannounced has a version that `observeVersions` does not list.
    this.history.observe([report], this.dependencies.clock.now());
    this.replication.replicate(report, splitAddress(address).host);
  }

  /**
   * Decides how a request that resumes a stream is handled; `onDecision` is called once, possibly
   * synchronously.
   */
  resume(request: AcceptedRequest, onDecision: (decision: ResumptionDecision) => void): void {
    const { resumedRequestId, route } = request;
    if (resumedRequestId !== undefined && !isRequestId(resumedRequestId)) {
      this.report(request, 'malformed');
      onDecision({ kind: 'refuse', reason: 'malformed-resumption' });
      return;
    }
    const services = route.services.filter(({ weight }) => weight > 0);
    const startedAtMs = this.dependencies.clock.now();
    const stream = {
      key: resumedRequestId === undefined ? undefined : request.streamKey,
      services: services.map(({ service }) => service),
      maxAgeMs: maxStreamAgeMs(route, resumedRequestId !== undefined),
    };
    this.resumptions.resolve(stream, (resolution) => {
      const lookupMs = this.dependencies.clock.now() - startedAtMs;
      onDecision(this.decide(request, stream.services, resolution, lookupMs));
    });
  }

  hold(origin: StreamOriginReport): void {
    this.table.hold(origin, this.dependencies.clock.now());
  }

  answer({ id, key, service }: StreamOriginQuery): StreamOriginAnswer {
    const nowMs = this.dependencies.clock.now();
    return {
      kind: 'stream-answer',
      id,
      origin: key && this.table.report(key, nowMs),
      soleVersion: service === undefined ? undefined : this.history.soleVersion(service, nowMs),
    };
  }

  receiveAnswer(answer: StreamOriginAnswer): void {
    this.queries.receive(answer);
  }

  private decide(
    request: AcceptedRequest,
    services: readonly string[],
    resolution: Resolution,
    lookupMs: number,
  ): ResumptionDecision {
    if (resolution.kind === 'unknown') {
      const { asked, answered } = resolution;
      this.report(request, 'unknown', { asked, answered, lookupMs });
      return { kind: 'refuse', reason: 'stream-unknown' };
    }
    const { origin, source, ageMs } = resolution;
    const { service, version } = origin;
    const fields = { service, version, ageMs, lookupMs };
    if (!services.includes(service)) {
      this.report(request, 'service-left', fields);
      return { kind: 'refuse', reason: 'stream-unavailable' };
    }
    this.report(request, source, fields);
    this.keepOrigin(request, origin, ageMs ?? 0);
    return { kind: 'continue', request: { ...request, service, resumedVersion: version } };
  }

  /** Extends the time for which the origin is held, since the caller may return once more. */
  private keepOrigin(
    { streamKey, resumedRequestId, resumableForMs }: AcceptedRequest,
    { service, version }: StreamOrigin,
    ageMs: number,
  ): void {
    if (streamKey === undefined || resumedRequestId === undefined) {
      return;
    }
    const report = { key: streamKey, service, version, ageMs, expiresInMs: resumableForMs };
    this.hold(report);
    this.replication.replicate(report, undefined);
  }

  private report(
    { requestId, resumedRequestId, lastEventId, route, tenant }: AcceptedRequest,
    outcome: ResumptionOutcome,
    fields: Readonly<Record<string, unknown>> = {},
  ): void {
    const { log, metrics } = this.dependencies;
    metrics.record(({ streamResumptions }) => streamResumptions.inc({ outcome }));
    const { lookupMs } = fields;
    if (typeof lookupMs === 'number') {
      metrics.record(({ streamLookupSeconds }) => streamLookupSeconds.observe(lookupMs / MS_PER_S));
    }
    log.write('stream-resumed', REFUSED_OUTCOMES.has(outcome) ? 'failure' : 'success', {
      request: requestId,
      resumes: resumedRequestId,
      afterEvent: lastEventId,
      route: route.name,
      tenant,
      outcome,
      ...fields,
    });
  }
}

function isRequestId(text: string): boolean {
  return text.length <= MAX_REQUEST_ID_LENGTH && REQUEST_ID.test(text);
}
