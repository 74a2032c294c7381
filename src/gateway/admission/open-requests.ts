/**
 * Knows the requests that were read whole and whose response has not left the process, and reports
 * each that ends without a whole response.
 */
import type { Clock } from '../../clock.js';
import type { HeaderValue } from '../../http/header-value.js';
import type { DecisionLog } from '../../telemetry/decision-log.js';
import type { AcceptedRequest } from '../attempt/accepted-request.js';
import type { CallerReply } from '../attempt/attempt.js';
import type { AttemptStage } from '../attempt/request-model.js';
import type { GatewayMetrics } from '../metrics/gateway-metrics.js';
import type { RawHeaders } from './caller-protocol.js';

/** What a request waits for; the names are part of the log format. */
export type RequestStage =
  /** The rest of its body, or the poll after which it is passed on. */
  | 'receiving'
  /** The confirmation of the configuration. */
  | 'confirming'
  /** The origin of the stream that it resumes. */
  | 'resuming'
  /** The charge to its tenant's quota. */
  | 'charging'
  | AttemptStage
  /** The delivery of its complete response. */
  | 'flushing';

/** Who ended a request that got no response; part of the log format. */
export type RequestEnder = 'caller' | 'backend' | 'deadline' | 'gateway';

/** Where ends without a response are reported. */
export interface OpenRequestsPorts {
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly metrics: GatewayMetrics;
  readonly configuration: { readonly ageMs: number | undefined };
}

/** Log fields of a request that ended without a response. */
export interface UnansweredFields {
  readonly stage: RequestStage;
  readonly endedBy: RequestEnder;
  /** Time since the configuration changed; omitted if that was long ago. */
  readonly configurationAgeMs: number | undefined;
}

/** Status of a request that got no response. */
export const NO_STATUS = 0;
/** Age up to which a configuration may be related to the end of a request, in milliseconds. */
const RECENT_CONFIGURATION_MS = 10_000;
const CALLER_LEFT = 'caller-left';
const PROCESS_END = 'process-end';
const ENDERS: Readonly<Record<string, RequestEnder>> = {
  [CALLER_LEFT]: 'caller',
  'backend-failed': 'backend',
  'backend-refused': 'backend',
  'timed-out': 'deadline',
  'not-started-in-time': 'deadline',
};

/** The requests of a gateway whose bodies were read whole and whose response is not flushed yet. */
export class OpenRequests {
  private readonly open = new Set<OpenRequest>();

  constructor(private readonly ports: OpenRequestsPorts) {}

  /** Returns a request whose body is still to be read. */
  create(requestId: HeaderValue | undefined): OpenRequest {
    return new OpenRequest(requestId, this.open, this.ports.clock.now(), this);
  }

  /** Counts a request that ended without a response and returns the fields of its log line. */
  count(stage: RequestStage, reason: string): UnansweredFields {
    const { metrics, configuration } = this.ports;
    metrics.record(({ requestsUnanswered }) => requestsUnanswered.inc({ cause: reason, stage }));
    const { ageMs = Infinity } = configuration;
    return {
      stage,
      endedBy: ENDERS[reason] ?? 'gateway',
      configurationAgeMs: ageMs <= RECENT_CONFIGURATION_MS ? ageMs : undefined,
    };
  }

  /** Reports a caller that disconnected before its request was passed on. */
  reportUnadmitted(request: OpenRequest): void {
    const stage: RequestStage = 'receiving';
    this.logEnd(request, CALLER_LEFT, { stage, endedBy: 'caller' });
  }

  /** Reports a request that ended before it was offered to backends, or with the process. */
  report(request: OpenRequest, reason: string): void {
    this.logEnd(request, reason, this.count(request.stage, reason));
  }

  /** Reports a complete response of which its caller did not get the whole. */
  reportUnfinished(request: OpenRequest, reason: string): void {
    this.ports.log.write('response-unfinished', 'failure', {
      request: request.requestId,
      ageMs: this.ports.clock.now() - request.arrivedAtMs,
      ...this.count('flushing', reason),
    });
  }

  /** Reports every request whose response is not flushed as ended with the process. */
  reportProcessEnd(): void {
    for (const request of [...this.open]) {
      request.handleProcessEnd();
    }
  }

  private logEnd(
    { requestId, arrivedAtMs, accepted }: OpenRequest,
    reason: string,
    fields: Partial<UnansweredFields>,
  ): void {
    const { clock, log, metrics } = this.ports;
    const route = accepted?.route.name;
    const labels = { route: route ?? '', status: `${NO_STATUS}`, reason };
    metrics.record(({ requests }) => requests.inc(labels));
    log.write('request-ended', 'failure', {
      request: requestId,
      route,
      tenant: accepted?.tenant,
      totalMs: clock.now() - arrivedAtMs,
      status: NO_STATUS,
      reason,
      tries: [],
      ...fields,
    });
  }
}

type OpenState = 'unread' | 'open' | 'responded' | 'closed';

/** One request of a caller. */
export class OpenRequest {
  /** The request as admitted; undefined before that. */
  accepted: AcceptedRequest | undefined;
  private state: OpenState = 'unread';
  private currentStage: () => RequestStage = () => 'receiving';

  constructor(
    readonly requestId: HeaderValue | undefined,
    private readonly open: Set<OpenRequest>,
    readonly arrivedAtMs: number,
    private readonly owner: OpenRequests,
  ) {}

  /** What the request waits for. */
  get stage(): RequestStage {
    return this.currentStage();
  }

  /** Notes that the body is complete. */
  begin(): void {
    this.state = 'open';
    this.open.add(this);
  }

  /** Sets what the request waits for from now on. */
  enter(stage: RequestStage | (() => RequestStage), accepted = this.accepted): void {
    this.currentStage = typeof stage === 'function' ? stage : () => stage;
    this.accepted = accepted;
  }

  /** Notes that nothing of the request is left to report. */
  close(): void {
    this.state = 'closed';
    this.open.delete(this);
  }

  /** Returns a reply that notes when the response of this request is complete. */
  track(reply: CallerReply): CallerReply {
    return new TrackedReply(reply, () => this.noteResponse());
  }

  /** Notes that the operating system has taken the whole response. */
  handleFlushed(): void {
    this.close();
  }

  /** Reports the disconnect of the caller, unless the request was reported before. */
  handleCallerDisconnect(): void {
    const { state } = this;
    if (state === 'unread') {
      this.close();
      this.owner.reportUnadmitted(this);
    } else {
      this.reportEnd(CALLER_LEFT);
    }
  }

  /** Reports the end of the process, unless the request was reported before. */
  handleProcessEnd(): void {
    this.reportEnd(PROCESS_END);
  }

  private reportEnd(reason: string): void {
    const { state } = this;
    this.close();
    if (state === 'open') {
      this.owner.report(this, reason);
    } else if (state === 'responded') {
      this.owner.reportUnfinished(this, reason);
    }
  }

  private noteResponse(): void {
    if (this.state !== 'closed') {
      this.state = 'responded';
    }
  }
}

/** Forwards a response and reports its completion. */
class TrackedReply implements CallerReply {
  constructor(
    private readonly reply: CallerReply,
    private readonly onComplete: () => void,
  ) {}

  start(status: number, headers: RawHeaders): void {
    this.reply.start(status, headers);
  }

  write(bytes: Buffer): boolean {
    return this.reply.write(bytes);
  }

  end(bytes?: Buffer): void {
    this.onComplete();
    this.reply.end(bytes);
  }

  abort(): void {
    this.reply.abort();
  }

  onceDrained(callback: () => void): void {
    this.reply.onceDrained(callback);
  }
}
