/** Definitions of a gateway's counters, gauges and histograms. */
import { Counter, Gauge, Histogram, Registry } from 'prom-client';

import { registerGauges } from './gateway-gauges.js';
import type { GatewaySnapshot } from './gateway-snapshot.js';
import type { AcceptedRequest } from '../attempt/accepted-request.js';
import type { RequestEnd } from '../attempt/request-model.js';

const MS_PER_S = 1_000;
const LOOKUP_BUCKETS_S = [0.001, 0.003, 0.01, 0.03, 0.1, 0.3];
const LATENCY_BUCKETS_S = [0.01, 0.03, 0.1, 0.2, 0.4, 0.6, 1, 2, 4, 8, 16];

/** What the metrics need of a request. */
export interface MeasuredRequest extends Pick<AcceptedRequest, 'service'> {
  readonly route: Pick<AcceptedRequest['route'], 'name'>;
}

/** What the metrics need of the end of a request. */
export type EndForMetrics = Omit<RequestEnd, 'stage'>;

/** The metrics registry of a gateway and its instruments. */
export class MetricInstruments {
  readonly registry = new Registry();
  readonly requests = new Counter({
    name: 'weirvale_requests_total',
    help: 'Requests that ended, by route, status and reason',
    labelNames: ['route', 'status', 'reason'],
    registers: [this.registry],
  });
  readonly requestsUnanswered = new Counter({
    name: 'weirvale_requests_unanswered_total',
    help: 'Requests that were read whole and ended without a complete response, by cause and stage',
    labelNames: ['cause', 'stage'],
    registers: [this.registry],
  });
  readonly attempts = new Counter({
    name: 'weirvale_attempts_total',
    help: 'Sends to back ends, by service',
    labelNames: ['service'],
    registers: [this.registry],
  });
  /** Attempts that were given up because the network path to the backend was lost. */
  readonly requestsMoved = new Counter({
    name: 'weirvale_requests_moved_total',
    help: 'Requests that left a back end whose path was found lost, by service',
    labelNames: ['service'],
    registers: [this.registry],
  });
  readonly sends = new Counter({
    name: 'weirvale_sends_by_distance_total',
    help: 'Sends to back ends, by how far they are',
    labelNames: ['distance'],
    registers: [this.registry],
  });
  readonly bytes = new Counter({
    name: 'weirvale_body_bytes_by_distance_total',
    help: 'Bytes of bodies to and from back ends, by how far they are',
    labelNames: ['distance'],
    registers: [this.registry],
  });
  readonly connections = new Counter({
    name: 'weirvale_backend_connections_total',
    help: 'Connections to back ends that were opened, by reason',
    labelNames: ['reason'],
    registers: [this.registry],
  });
  /** Retries that the retry budget denied. */
  readonly repeatsDenied = new Counter({
    name: 'weirvale_repeats_denied_total',
    help: 'Repeats that the retry budget did not allow, by service',
    labelNames: ['service'],
    registers: [this.registry],
  });
  /** Requests for which operator rules exclude ready backends of their service. */
  readonly requestsKept = new Counter({
    name: 'weirvale_requests_kept_total',
    help: 'Requests that operators kept from some back ends of their service, by reason',
    labelNames: ['reason'],
    registers: [this.registry],
  });
  /** Attempts that were running when their backend's process ended. */
  readonly crashes = new Counter({
    name: 'weirvale_backend_crashes_total',
    help: 'Runs of this gateway that were at work when their back end ended, by what showed that',
    labelNames: ['evidence'],
    registers: [this.registry],
  });
  /** Selections that skipped a backend with a free slot because of its cold-start rate limit. */
  readonly startsHeld = new Counter({
    name: 'weirvale_starts_held_back_total',
    help: 'Choices that passed over a back end with a free slot for the rate of its starts, by service',
    labelNames: ['service'],
    registers: [this.registry],
  });
  readonly reservedHeaders = new Counter({
    name: 'weirvale_reserved_headers_total',
    help: 'Headers that only a gateway may set and that callers sent; they were dropped',
    labelNames: ['header'],
    registers: [this.registry],
  });
  readonly callerConnectionsClosed = new Counter({
    name: 'weirvale_caller_connections_closed_total',
    help: 'Connections of callers that were closed for what they sent, by cause',
    labelNames: ['cause'],
    registers: [this.registry],
  });
  readonly waitSeconds = new Histogram({
    name: 'weirvale_wait_seconds',
    help: 'Time from arrival to the first back end',
    buckets: LATENCY_BUCKETS_S,
    registers: [this.registry],
  });
  readonly firstByteSeconds = new Histogram({
    name: 'weirvale_first_byte_seconds',
    help: 'Time from arrival to the first byte of the answer',
    buckets: LATENCY_BUCKETS_S,
    registers: [this.registry],
  });
  readonly acceptBacklogSeconds = new Histogram({
    name: 'weirvale_accept_backlog_seconds',
    help: 'Periods in which connections of callers waited to be accepted',
    buckets: LATENCY_BUCKETS_S,
    registers: [this.registry],
  });
  readonly totalSeconds = new Histogram({
    name: 'weirvale_total_seconds',
    help: 'Time from arrival to the end of the answer',
    buckets: LATENCY_BUCKETS_S,
    registers: [this.registry],
  });
  readonly storeReachable = new Gauge({
    name: 'weirvale_store_reachable',
    help: '1 while the store answers',
    registers: [this.registry],
  });
  readonly configurationVersion = new Gauge({
    name: 'weirvale_configuration_version',
    help: 'Version of the configuration in force',
    registers: [this.registry],
  });
  readonly storeCalls = new Counter({
    name: 'weirvale_store_calls_total',
    help: 'Calls of the store, by kind and result',
    labelNames: ['call', 'result'],
    registers: [this.registry],
  });
  /** Backend records that are invalid or announce an outdated incarnation. */
  readonly recordsRefused = new Counter({
    name: 'weirvale_backend_records_refused_total',
    help: 'Records under the names of back ends that name none to use',
    registers: [this.registry],
  });
  /** Invalid response header fields in which backends report their condition. */
  readonly statementsUnreadable = new Counter({
    name: 'weirvale_statements_unreadable_total',
    help: 'Fields of answers by which back ends speak of themselves and that could not be read',
    labelNames: ['field'],
    registers: [this.registry],
  });
  readonly processIdentifications = new Counter({
    name: 'weirvale_process_identifications_total',
    help: 'Queries for the process at the address of an engine, by who answered (agent, engine, none)',
    labelNames: ['source'],
    registers: [this.registry],
  });
  readonly streamResumptions = new Counter({
    name: 'weirvale_stream_resumptions_total',
    help: 'Streams that callers resumed, by how their version became known, or why they were refused',
    labelNames: ['outcome'],
    registers: [this.registry],
  });
  readonly streamLookupSeconds = new Histogram({
    name: 'weirvale_stream_lookup_seconds',
    help: 'Time until the version of a resumed stream was known or given up',
    buckets: LOOKUP_BUCKETS_S,
    registers: [this.registry],
  });
  /** Exceptions in the processing of single requests. */
  readonly requestFaults = new Counter({
    name: 'weirvale_request_faults_total',
    help: 'Exceptions that ended the processing of a request',
    registers: [this.registry],
  });
  readonly linesDropped = new Counter({
    name: 'weirvale_log_lines_dropped_total',
    help: 'Log lines that were dropped to bound their volume',
    registers: [this.registry],
  });

  constructor(readSnapshot: () => GatewaySnapshot) {
    registerGauges(this.registry, readSnapshot);
  }

  /** Records how a request ended. */
  recordEnd(request: MeasuredRequest, end: EndForMetrics): void {
    const { status, reason, attempts } = end;
    this.requests.inc({ route: request.route.name, status: `${status}`, reason });
    this.attempts.inc({ service: request.service }, attempts);
    const moved = end.tries.filter(({ outcome }) => outcome === 'path-lost').length;
    if (moved > 0) {
      this.requestsMoved.inc({ service: request.service }, moved);
    }
    for (const { distance, bytes } of end.tries) {
      this.sends.inc({ distance });
      this.bytes.inc({ distance }, bytes);
    }
    this.waitSeconds.observe(end.waitedMs / MS_PER_S);
    if (end.firstByteMs !== undefined) {
      this.firstByteSeconds.observe(end.firstByteMs / MS_PER_S);
    }
    this.totalSeconds.observe(end.totalMs / MS_PER_S);
  }
}
