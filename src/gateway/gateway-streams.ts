/**
 * Keeps streams at the software version that began them over several requests of their caller.
 *
 * Before the first event of a resumable stream is sent to its caller, its origin is sent to a few
 * other processes, so that any gateway can continue the stream although this one is lost.
 */
import { splitAddress } from '../address.js';
import type { Clock } from '../clock.js';
import type { OpenPeer } from '../cluster/peer-mesh.js';
import type { PeerMessage } from '../cluster/peer-messages.js';
import type { Backend } from '../routing/backend.js';
import { softwareVersionOf } from '../streams/software-version.js';
import type { SoftwareVersion } from '../streams/software-version.js';
import type {
  HoldStreamOrigin,
  StreamOrigin,
  StreamOriginAnswer,
  StreamOriginQuery,
  StreamOriginReport,
} from '../streams/stream-origin.js';
import { StreamOriginTable } from '../streams/stream-origin-table.js';
import type { StreamKey } from '../streams/stream-key.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import type { AcceptedRequest } from './attempt/accepted-request.js';
import type { BackendDirectory } from './dispatch/backend-directory.js';
import type { StreamOriginExchange } from './links/gateway-peers.js';
import type { SlotAgentLinks } from './links/slot-agent-links.js';
import type { GatewayMetrics } from './metrics/gateway-metrics.js';
import { OriginHolderRanking } from './streams/origin-holders.js';
import type { OriginHolder } from './streams/origin-holders.js';
import { OriginQueries } from './streams/origin-queries.js';
import type { SendQuery } from './streams/origin-queries.js';
import { maxStreamAgeMs } from './streams/stream-lifetime.js';
import { StreamResumptions } from './streams/stream-resumption.js';
import type { OriginSource, Resolution } from './streams/stream-resumption.js';
import { VersionHistory } from './streams/version-history.js';

/** The other gateways, as far as `GatewayStreams` needs them. */
export interface StreamPeers {
  /** Increases whenever `openPeers` changes. */
  readonly peerGeneration: number;
  readonly openPeers: readonly OpenPeer[];
  /** Number of known gateways, including this one. */
  readonly size: number;
  /** Whether the view of the store is stale. */
  readonly isKnowledgeOld: boolean;
  isPeerHeard(address: string): boolean;
  sendTo(address: string, message: PeerMessage): boolean;
}

/** Dependencies of `GatewayStreams`. */
export interface GatewayStreamsDependencies {
  /** Zone of this gateway. */
  readonly zone: string;
  readonly directory: Pick<BackendDirectory, 'list'>;
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly metrics: GatewayMetrics;
  peers(): StreamPeers;
  agents(): Pick<SlotAgentLinks, 'generation' | 'connectedAgents' | 'sendToHost'>;
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
/** Gateways in other zones that hold an origin besides the one that began the stream. */
const GATEWAY_COPIES = 2;
/** Slot agents that hold an origin, and those that do where too few gateways are connected. */
const AGENT_COPIES = 1;
const AGENT_COPIES_WITHOUT_GATEWAYS = 2;
/** Processes of each kind that are asked for an origin, from the first of their ranking. */
const HOLDERS_ASKED = 4;
/** Time for which a backend that is no longer listed may still serve, in milliseconds. */
const UNLISTED_LIFE_MS = 30_000;
const MAX_REQUEST_ID_LENGTH = 128;
/** Visible ASCII without separators of header lists. */
const REQUEST_ID = /^[!-+\--:<-~]+$/;
/** Selects the processes that are asked if the caller named no stream. */
const ANY_HOLDERS = '' as StreamKey;

/** Records and finds the origins of streams. */
export class GatewayStreams implements StreamOriginExchange {
  private readonly table = new StreamOriginTable();
  private readonly history = new VersionHistory();
  private readonly queries: OriginQueries;
  private readonly resumptions: StreamResumptions;
  private readonly gatewayRanking: OriginHolderRanking;
  private readonly agentRanking: OriginHolderRanking;

  constructor(private readonly dependencies: GatewayStreamsDependencies) {
    const { clock, peers, agents } = dependencies;
    this.queries = new OriginQueries(clock);
    this.gatewayRanking = new OriginHolderRanking({
      get generation() {
        return peers().peerGeneration;
      },
      list: () => peers().openPeers,
    });
    this.agentRanking = new OriginHolderRanking({
      get generation() {
        return agents().generation;
      },
      list: () => agents().connectedAgents.map(({ host, zone }) => ({ address: host, zone })),
    });
    this.resumptions = new StreamResumptions(
      {
        table: this.table,
        history: this.history,
        queries: this.queries,
        holdersOf: (key) => this.sendersToHolders(key ?? ANY_HOLDERS),
        otherGateways: (key) => this.sendersToOtherGateways(key),
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

  /** Observes which versions exist; to be called periodically once the records are known. */
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
    this.table.evictExpired(this.dependencies.clock.now());
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
    this.copyToHolders(report, splitAddress(address).host);
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
      maxAgeMs: maxStreamAgeMs(route),
      resumableForMs: request.resumableForMs,
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
    this.copyToHolders(report, '');
  }

  private copyToHolders(origin: StreamOriginReport, servingHost: string): void {
    const { zone, peers, agents } = this.dependencies;
    const message: HoldStreamOrigin = { kind: 'stream-began', origin };
    const gateways = this.gatewayRanking
      .rank(origin.key)
      .filter(({ address }) => peers().isPeerHeard(address));
    const inOtherZones = gateways.filter((gateway) => gateway.zone !== zone);
    const gatewayCopies = sendCopies(
      [...inOtherZones, ...gateways.filter((gateway) => gateway.zone === zone)],
      GATEWAY_COPIES,
      ({ address }) => peers().sendTo(address, message),
    );
    // The machine that serves the stream may be lost together with this gateway.
    const elsewhere = this.agentRanking
      .rank(origin.key)
      .filter(({ address }) => address !== servingHost);
    sendCopies(
      elsewhere,
      gatewayCopies < GATEWAY_COPIES ? AGENT_COPIES_WITHOUT_GATEWAYS : AGENT_COPIES,
      ({ address }) => agents().sendToHost(address, message),
    );
  }

  private sendersToHolders(key: StreamKey): SendQuery[] {
    const { peers, agents } = this.dependencies;
    const gateways = this.gatewayRanking.rank(key).slice(0, HOLDERS_ASKED);
    const slotAgents = this.agentRanking.rank(key).slice(0, HOLDERS_ASKED);
    return [
      ...gateways.map(
        ({ address }): SendQuery =>
          (query) =>
            peers().sendTo(address, query),
      ),
      ...slotAgents.map(
        ({ address }): SendQuery =>
          (query) =>
            agents().sendToHost(address, query),
      ),
    ];
  }

  /** Returns senders to the gateways that `sendersToHolders` leaves out. */
  private sendersToOtherGateways(key: StreamKey): SendQuery[] {
    const { peers } = this.dependencies;
    const asked = this.gatewayRanking.rank(key).slice(0, HOLDERS_ASKED);
    const askedAddresses = new Set(asked.map(({ address }) => address));
    return peers()
      .openPeers.filter(({ address }) => !askedAddresses.has(address))
      .map(
        ({ address }): SendQuery =>
          (query) =>
            peers().sendTo(address, query),
      );
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

/** Sends to holders in order until `count` of them are connected; returns how many were. */
function sendCopies(
  holders: readonly OriginHolder[],
  count: number,
  send: (holder: OriginHolder) => boolean,
): number {
  let sent = 0;
  for (const holder of holders) {
    if (sent >= count) {
      break;
    }
    sent += send(holder) ? 1 : 0;
  }
  return sent;
}

function isRequestId(text: string): boolean {
  return text.length <= MAX_REQUEST_ID_LENGTH && REQUEST_ID.test(text);
}
