/** A gateway's requests on a virtual clock, from the received head, with a log of their ends. */
import type { Clock } from '../../src/clock.js';
import { ActiveConfiguration } from '../../src/gateway/active-configuration.js';
import type {
  ReceivedHead,
  RequestBodyHandlers,
} from '../../src/gateway/admission/caller-listener.js';
import type { CallerProtocol } from '../../src/gateway/admission/caller-protocol.js';
import { GatewayRequests } from '../../src/gateway/gateway-requests.js';
import type { GatewayRequestsDependencies } from '../../src/gateway/gateway-requests.js';
import type { ResumptionDecision } from '../../src/gateway/gateway-streams.js';
import type { GatewayMetrics } from '../../src/gateway/metrics/gateway-metrics.js';
import type { Charge, ChargeResult } from '../../src/gateway/quotas/pending-charge.js';
import { headerValue } from '../../src/http/header-value.js';
import { SeededRandom } from '../../src/random.js';
import type { Backend } from '../../src/routing/backend.js';
import { DEFAULT_CALLER_LIMITS } from '../../src/routing/configuration.js';
import type { Route, RoutingConfiguration, Service } from '../../src/routing/configuration.js';
import type { DecisionLog } from '../../src/telemetry/decision-log.js';
import { GatewayHarness, PLAIN_PROTOCOL, RecordedReply, routeOf } from './gateway-harness.js';

type Fields = Readonly<Record<string, unknown>>;

const API_KEY = 'key';
const TENANT = {
  name: headerValue('shop'),
  apiKeys: [API_KEY],
  priority: undefined,
  quota: { ratePerS: 100, burst: 100, unit: 'requests', plainTokens: 1 },
  allowedRegions: undefined,
} as const;

/** Returns a service with default values. */
export function serviceOf(name: string): Service {
  return {
    name,
    maxConnections: 64,
    isEngine: false,
    tokensPerEvent: 0,
    coldStartMs: 0,
    coldRequestsPerS: 0,
  };
}

/** Returns a configuration with one tenant, whose key every caller sends. */
export function configurationOf(
  version: number,
  changes: Partial<RoutingConfiguration> = {},
): RoutingConfiguration {
  return {
    version,
    routes: [routeOf()],
    services: [serviceOf('s')],
    tenants: [TENANT],
    limits: DEFAULT_CALLER_LIMITS,
    ...changes,
  };
}

/** Records log lines. */
class RecordedLog {
  private readonly lines: Array<{ readonly event: string; readonly fields: Fields }> = [];

  write(event: string, _priority: string, fields: Fields = {}): void {
    this.lines.push({ event, fields });
  }

  /** Fields of the lines of an event, in order. */
  fieldsOf(event: string): Fields[] {
    return this.lines.filter((line) => line.event === event).map(({ fields }) => fields);
  }
}

/** Records the response that a caller received, and when it ended. */
export class TimedReply extends RecordedReply {
  endedAtMs: number | undefined;

  constructor(private readonly clock: Pick<Clock, 'now'>) {
    super();
  }

  override end(bytes?: Buffer): void {
    super.end(bytes);
    this.endedAtMs ??= this.clock.now();
  }

  override abort(): void {
    super.abort();
    this.endedAtMs ??= this.clock.now();
  }
}

/** A caller of the gateway. */
export interface OpenCaller {
  readonly reply: TimedReply;
  readonly handlers: RequestBodyHandlers;
  leave(): void;
}

/** The requests of one gateway; backends, quotas and origins of streams are simulated. */
export class OpenGateway extends GatewayHarness {
  readonly log = new RecordedLog();
  /** Labels of the counted requests without a response, in order. */
  readonly counted: Array<Record<string, string>> = [];
  readonly configuration = new ActiveConfiguration(this.clock);
  readonly requests: GatewayRequests;
  isKnowledgeOld = false;
  /** Charges a request; by default at once. */
  chargeOnce = (onResult: (result: ChargeResult) => void): void =>
    onResult({ isGranted: true, giveBack: () => undefined });
  /** Looks up the origin of a resumed stream; by default without an outcome. */
  resumeOnce: (onDecision: (decision: ResumptionDecision) => void) => void = () => undefined;

  constructor(backends: readonly Backend[], ...routes: Route[]) {
    super(...backends);
    this.requests = new GatewayRequests(this.dependencies());
    const installed = routes.length === 0 ? [routeOf()] : routes;
    this.install(configurationOf(1, { routes: installed }));
  }

  /** Fields of the log lines of requests that ended without a response. */
  get unanswered(): Fields[] {
    return this.log.fieldsOf('request-ended').filter(({ status }) => status === 0);
  }

  /** Installs a configuration as a gateway does. */
  install(configuration: RoutingConfiguration): void {
    this.configuration.install(configuration);
    this.restrictions = this.configuration.regionRestrictions;
    this.configuredServices = new Set(configuration.services.map(({ name }) => name));
    this.engines = configuration.services.some(({ isEngine }) => isEngine);
    this.requests.applyConfiguration();
    this.configuredServices.forEach((name) => this.directory.updateSubset(name));
    this.directory.recheckReplaced();
    this.dispatcher.tick(this.clock.now());
    this.requests.withdrawUnsent();
  }

  /** Receives the head of a request. */
  receiveHead(path = '/a/', headers: ReceivedHead['headers'] = {}): OpenCaller {
    const reply = new TimedReply(this.clock);
    const head = { method: 'GET', path, host: 'a.example', rawHeaders: [], headers };
    const handlers = this.requests.receive(head, reply);
    return { reply, handlers, leave: () => handlers.onCallerDisconnected() };
  }

  /** Receives a whole request. */
  receive(path?: string, headers?: ReceivedHead['headers']): OpenCaller {
    const caller = this.receiveHead(path, headers);
    caller.handlers.onBody(Buffer.alloc(0));
    return caller;
  }

  private dependencies(): GatewayRequestsDependencies {
    const instruments = {
      requestsUnanswered: { inc: (labels: Record<string, string>) => this.counted.push(labels) },
      requests: { inc: () => undefined },
      repeatsDenied: { inc: () => undefined },
      requestFaults: { inc: () => undefined },
    };
    const metrics = {
      record: (action: (recorded: typeof instruments) => void) => action(instruments),
      recordEnd: () => undefined,
    };
    const isKnowledgeOld = () => this.isKnowledgeOld;
    const charge = (_tenant: string, _cost: number, onResult: (result: ChargeResult) => void) => {
      let isCancelled = false;
      this.chargeOnce((result) => !isCancelled && onResult(result));
      return { cancel: () => void (isCancelled = true) } satisfies Charge;
    };
    return {
      adapter: { protocol: PROTOCOL },
      limits: { retryRatio: 1, retryWindowS: 10, retrySlack: 10_000 } as never,
      configuration: this.configuration,
      quotas: { charge },
      directory: this.directory,
      dispatcher: this.dispatcher,
      sender: this,
      crashes: this.crashingRequests,
      cluster: {
        size: 1,
        storeAgeMs: 0,
        position: { epoch: 0, revision: 1 },
        get isKnowledgeOld() {
          return isKnowledgeOld();
        },
      },
      clock: this.clock,
      random: new SeededRandom(1),
      log: this.log as unknown as DecisionLog,
      metrics: metrics as unknown as GatewayMetrics,
      streams: {
        resume: (_request, onDecision) => this.resumeOnce(onDecision),
        recordBegin: () => undefined,
      },
      isRefusing: () => false,
      onStatement: () => undefined,
      onTryOver: () => undefined,
      onEnd: () => undefined,
    };
  }
}

const PROTOCOL: CallerProtocol = {
  ...PLAIN_PROTOCOL,
  readRequest: (headers) => ({
    ...PLAIN_PROTOCOL.readRequest(headers),
    requestId: headerValue('q'),
    apiKey: API_KEY,
    lastEventId:
      headers['last-event'] === undefined
        ? undefined
        : headerValue(headers['last-event'] as string),
    deadlineMs: headers['deadline-ms'] === undefined ? undefined : Number(headers['deadline-ms']),
  }),
};
