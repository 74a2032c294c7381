import type {
  ResponseHead,
  AttemptHandle,
  AttemptHandlers,
  BackendSender,
  CallerReply,
  OutgoingAttempt,
} from '../../src/gateway/attempt/attempt.js';
import { headerValue } from '../../src/http/header-value.js';
import type { CallerProtocol } from '../../src/gateway/admission/caller-protocol.js';
import { BackendDirectory } from '../../src/gateway/dispatch/backend-directory.js';
import type { FingerprintCrashes } from '../../src/gateway/crashes/crash-tally.js';
import { CrashingRequests } from '../../src/gateway/crashes/crashing-requests.js';
import type { ObservedCrash } from '../../src/gateway/crashes/crashing-requests.js';
import { ColdStartLimiter } from '../../src/gateway/dispatch/cold-start-limiter.js';
import { Dispatcher } from '../../src/gateway/dispatch/dispatcher.js';
import type { DispatcherPorts } from '../../src/gateway/dispatch/dispatcher.js';
import type { NamedRegions } from '../../src/gateway/dispatch/named-region-engines.js';
import { withActiveRegions, RequestRegions } from '../../src/gateway/regions/request-regions.js';
import { ProxiedRequest } from '../../src/gateway/attempt/proxied-request.js';
import { DEFAULT_REQUEST_OPTIONS } from '../../src/gateway/attempt/request-model.js';
import type { AcceptedRequest } from '../../src/gateway/attempt/accepted-request.js';
import type {
  ResponseStatement,
  RequestEnd,
  RequestPorts,
  EndedAttempt,
  RetryCharge,
} from '../../src/gateway/attempt/request-model.js';
import { sendLimitPerS } from '../../src/gateway/statements/send-limit.js';
import { NO_STATEMENT } from '../../src/gateway/statements/backend-statement.js';
import type { BackendStatement } from '../../src/gateway/statements/backend-statement.js';
import { SeededRandom } from '../../src/random.js';
import type { VersionUse } from '../../src/rollout/rollout-order.js';
import type { RestrictionReason } from '../../src/routing/backend-restriction.js';
import type { Backend } from '../../src/routing/backend.js';
import type { Route } from '../../src/routing/configuration.js';
import type { RegionRestrictions } from '../../src/routing/region-restrictions.js';
import { ZoneTopology } from '../../src/routing/zone-topology.js';
import { VirtualClock } from '../../src/sim/virtual-clock.js';
import type { GatewaySlotMessage } from '../../src/slot-agent/slot-messages.js';
import { positionAt } from './store-positions.js';

/** Returns a backend with default values. */
export function backendOf(id: string, changes: Partial<Backend> = {}): Backend {
  return {
    id,
    name: headerValue(id),
    bornAtMs: undefined,
    service: 's',
    address: `${id}:1`,
    zone: 'z',
    version: 'v1',
    slots: 2,
    state: 'ready',
    sequence: 1,
    remainingColdMs: 0,
    ...positionAt(1),
    ...changes,
  };
}

/** Returns a route with default values. */
export function routeOf(changes: Partial<Route> = {}): Route {
  return {
    name: 'r',
    host: 'a.example',
    pathPrefix: '/a/',
    kind: 'safe',
    isResumable: false,
    timeoutMs: 2_000,
    targetLatencyMs: 100,
    maxPauseMs: 0,
    maxAttempts: 2,
    priority: 1,
    allowsAnonymous: true,
    allowedRegions: undefined,
    services: [{ service: 's', weight: 1 }],
    ...changes,
  };
}

/** An attempt as recorded by the simulated backends. */
export interface RecordedAttempt extends OutgoingAttempt {
  readonly handlers: AttemptHandlers;
  isCancelled: boolean;
}

/** Records the response that a caller received. */
export class RecordedReply implements CallerReply {
  status = 0;
  headers: readonly string[] = [];
  body = '';
  isEnded = false;
  isAborted = false;
  /** Whether the caller takes no more data for now. */
  hasBackpressure = false;
  private onDrained: (() => void) | undefined;

  start(status: number, headers: readonly string[]): void {
    this.status = status;
    this.headers = headers;
  }

  write(bytes: Buffer): boolean {
    this.body += bytes.toString();
    return !this.hasBackpressure;
  }

  /** Lets the caller take data again. */
  drain(): void {
    this.hasBackpressure = false;
    this.onDrained?.();
  }

  end(bytes?: Buffer): void {
    this.body += bytes?.toString() ?? '';
    this.isEnded = true;
  }

  abort(): void {
    this.isAborted = true;
  }

  onceDrained(callback: () => void): void {
    this.onDrained = callback;
  }
}

/** Minimal protocol without a platform: the headers that tests inspect. */
export const PLAIN_PROTOCOL: CallerProtocol = {
  readRequest: () => ({
    requestId: undefined,
    deadlineMs: undefined,
    apiKey: undefined,
    tokens: undefined,
    sharedPromptParts: [],
    lastEventId: undefined,
    resumedRequestId: undefined,
    reservedHeaders: [],
  }),
  attemptHeaders: (_received, attempt) => [
    'remaining',
    `${attempt.remainingMs}`,
    'request',
    attempt.requestId,
    'last-event',
    attempt.lastEventId ?? '',
  ],
  readAnswer: (status, headers) => ({
    requestId: headers['request'] as string | undefined,
    isNotExecuted: headers['not-run'] !== undefined,
    isMisdirected: status === 421,
    statement: (headers['statement'] as unknown as BackendStatement | undefined) ?? NO_STATEMENT,
  }),
  ownAnswerHeaders: (_requestId, retryAfterMs) =>
    retryAfterMs === undefined ? [] : ['retry-after-ms', `${retryAfterMs}`],
};

/** Names the request in a response, as backends do, unless the test states the name itself. */
function withRequestId(head: ResponseHead, attempt: OutgoingAttempt): ResponseHead {
  const request = attempt.headers[attempt.headers.indexOf('request') + 1];
  return { ...head, headers: { request, ...head.headers } };
}

/**
 * Test harness: the gateway core on a virtual clock, with backends and agents simulated by the
 * test.
 */
export class GatewayHarness implements BackendSender, DispatcherPorts {
  readonly clock = new VirtualClock();
  readonly attempts: RecordedAttempt[] = [];
  readonly agentMessages: Array<[string, GatewaySlotMessage]> = [];
  readonly requestEnds: RequestEnd[] = [];
  readonly endedRequests: Array<[AcceptedRequest, RequestEnd]> = [];
  /** Backends whose responses were discarded as not belonging to the request. */
  readonly foreignResponses: string[] = [];
  readonly regions = new Map<string, string>();
  readonly directory = new BackendDirectory(
    { name: 'g', zone: 'z', places: new ZoneTopology(this.regions) },
    this,
  );
  readonly dispatcher = new Dispatcher(this.directory, this);
  /** Retries left in the retry budget. */
  repeatsLeft = 10;
  /** Whether the backends of all services are engines. */
  engines = false;
  gateways = 1;
  /** Versions with restricted use; all others are open. */
  readonly versionUses = new Map<string, VersionUse>();
  /** Changes of whether the gateway's region has usable backends, in order. */
  readonly reachChanges: boolean[] = [];
  readonly evacuatedZones = new Set<string>();
  /**
   * Region restrictions of the configuration in force; undefined leaves the allowed regions of each
   * request unchanged.
   */
  restrictions: RegionRestrictions | undefined;
  version = 1;
  /** Reasons for which requests were not sent to backends, in order. */
  readonly restrictedReasons: RestrictionReason[] = [];
  readonly endedAttempts: EndedAttempt[] = [];
  /**
   * Backends whose processes the test itself reports; the attempts of all others are reported at the
   * send to run at the announced process.
   */
  readonly unreportedBackendIds = new Set<string>();
  /** Requests whose streams began, with the ids of their backends. */
  readonly begunStreams: Array<[string, string]> = [];
  /** Backends to which connections are not established for now. */
  readonly unconnectableBackendIds = new Set<string>();
  coldStarts = new ColdStartLimiter();
  /** Configured services; undefined if all are. */
  configuredServices: ReadonlySet<string> | undefined;
  /** Whether this gateway probes refused prompt parts. */
  isProber = false;
  /** Backends whose probe was requested, in order. */
  readonly probedBackendIds: string[] = [];
  readonly crashes: ObservedCrash[] = [];
  readonly crashReports: FingerprintCrashes[] = [];
  private readonly proxiedRequests: ProxiedRequest[] = [];
  readonly crashingRequests = new CrashingRequests(
    {
      isProberOf: () => this.isProber,
      isLeaving: (backendId) => this.directory.find(backendId)?.backend.state === 'draining',
      probe: ({ id }) => void this.probedBackendIds.push(id),
      onCrash: (crash) => void this.crashes.push(crash),
      onTalliesChanged: (changed) => void this.crashReports.push(...changed),
      onRefused: () => this.proxiedRequests.forEach((request) => request.refuseIfCrashing()),
    },
    this.clock,
  );

  constructor(...backends: Backend[]) {
    for (const backend of backends) {
      this.dispatcher.updateBackend(backend.id, backend, 0);
    }
  }

  /**
   * Backends for which the gateway holds a send right; `wantedRights` lists those for which one was
   * requested.
   */
  readonly heldRights = new Set<string>();
  readonly wantedRights: string[] = [];
  readonly sendRights = {
    mayBegin: (backendId: string) => !this.isLimited(backendId) || this.heldRights.has(backendId),
    want: (backendId: string) => void this.wantedRights.push(backendId),
    use: (backendId: string) => void this.heldRights.delete(backendId),
  };

  private isLimited(backendId: string): boolean {
    return sendLimitPerS(this.directory.find(backendId)!.condition) !== undefined;
  }

  private recordStatement({ backend, ...received }: ResponseStatement): void {
    const known = this.directory.find(backend.id);
    if (known?.condition.applyStatement(received, this.clock.now()) === true) {
      this.dispatcher.handleConditionChange(known, this.clock.now());
    }
  }

  tokensPerEvent(): number {
    return 3;
  }

  countGateways(): number {
    return this.gateways;
  }

  isEngine(): boolean {
    return this.engines;
  }

  sendToAgent(backendId: string, message: GatewaySlotMessage): void {
    this.agentMessages.push([backendId, message]);
  }

  onEjected(): void {
    // Tests check which backend receives requests instead.
  }

  versionUse(backend: Backend): VersionUse {
    return this.versionUses.get(backend.version) ?? 'open';
  }

  isEvacuated(zone: string): boolean {
    return this.evacuatedZones.has(zone);
  }

  regionOf(zone: string): string | undefined {
    return this.regions.get(zone);
  }

  configurationVersion(): number {
    return this.version;
  }

  namedRegions(): NamedRegions {
    return {
      named: this.restrictions?.regions ?? new Set(),
      regionOf: (zone) => this.regionOf(zone),
    };
  }

  onLocalAvailability(_service: string, hasNear: boolean): void {
    this.reachChanges.push(hasNear);
  }

  onSent(): void {
    // Tests check the attempts instead.
  }

  onRestricted(reason: RestrictionReason): void {
    this.restrictedReasons.push(reason);
  }

  /** Number of retries charged to a tenant; `hasQuota` sets whether its quota suffices. */
  chargedRetries = 0;
  /** Number of charges of retries that were given back. */
  refundedRetries = 0;
  hasQuota = true;
  /** Charges a retry; by default at once. */
  charge = (onResult: (isGranted: boolean) => void): void => onResult(this.hasQuota);

  /** Evacuates a zone, or ends its evacuation. */
  order(zone: string, isOrdered: boolean): void {
    const apply = () =>
      isOrdered ? this.evacuatedZones.add(zone) : this.evacuatedZones.delete(zone);
    this.dispatcher.changeOrders(apply, this.clock.now());
  }

  isServiceConfigured(service: string): boolean {
    return this.configuredServices?.has(service) ?? true;
  }

  onEnded(backendId: string): void {
    this.crashingRequests.recordBackendExit(backendId, 'agent');
  }

  onReplaced(backendId: string): void {
    this.crashingRequests.recordBackendExit(backendId, 'replaced');
  }

  onAvailability(): void {
    // Tests check which backend receives requests instead.
  }

  send(attempt: OutgoingAttempt, handlers: AttemptHandlers): AttemptHandle {
    const recorded: RecordedAttempt = {
      ...attempt,
      handlers: { ...handlers, onHead: (head) => handlers.onHead(withRequestId(head, attempt)) },
      isCancelled: false,
    };
    this.attempts.push(recorded);
    this.reportAnnouncedProcess(attempt, handlers);
    const ignore = () => undefined;
    const cancel = () => void (recorded.isCancelled = true);
    const withdraw = () => {
      recorded.isCancelled ||= this.unconnectableBackendIds.has(attempt.backend.id);
      return recorded.isCancelled;
    };
    const discardForeignResponse = () => {
      this.foreignResponses.push(attempt.backend.id);
      cancel();
    };
    return { cancel, discardForeignResponse, withdraw, pause: ignore, resume: ignore };
  }

  private reportAnnouncedProcess(
    { backend: { id, bornAtMs }, needsProcess }: OutgoingAttempt,
    handlers: AttemptHandlers,
  ): void {
    const isReported = needsProcess === true && !this.unreportedBackendIds.has(id);
    if (isReported && bornAtMs !== undefined) {
      handlers.onProcess?.({ bornAtMs, source: 'agent' });
    }
  }

  /** Returns an accepted request with default values. */
  accept(changes: Partial<AcceptedRequest> = {}): AcceptedRequest {
    const route = changes.route ?? routeOf();
    const arrivedAtMs = this.clock.now();
    return {
      requestId: headerValue('q'),
      route,
      service: 's',
      tenant: undefined,
      tier: route.priority,
      rankInTier: 0,
      allowedRegions: undefined,
      arrivedAtMs,
      firstAttemptAtMs: arrivedAtMs,
      deadlineAtMs: arrivedAtMs + route.timeoutMs,
      workUnits: 1,
      promptTokens: 0,
      sharedPromptParts: [],
      quotaCost: 0,
      method: 'GET',
      path: '/a/',
      headers: [],
      body: Buffer.alloc(0),
      lastEventId: undefined,
      resumedRequestId: undefined,
      streamKey: undefined,
      resumableForMs: 0,
      resumedVersion: undefined,
      ...changes,
    };
  }

  /** Dependencies of the requests of this harness. */
  get requestPorts(): RequestPorts {
    return {
      confine: (callback) => callback,
      clock: this.clock,
      random: new SeededRandom(1),
      directory: this.directory,
      dispatcher: this.dispatcher,
      sender: this,
      protocol: PLAIN_PROTOCOL,
      crashes: this.crashingRequests,
      mustIdentifyProcess: ({ bornAtMs }: Backend) => bornAtMs !== undefined,
      chargeRetry: (_request: AcceptedRequest, onResult: (result: RetryCharge) => void) => {
        this.chargedRetries += 1;
        const giveBack = () => void (this.refundedRetries += 1);
        this.charge((isGranted) => onResult({ isGranted, giveBack }));
      },
      takeRetry: () => {
        const isAllowed = this.repeatsLeft > 0;
        this.repeatsLeft -= isAllowed ? 1 : 0;
        return isAllowed;
      },
      returnRetry: () => void (this.repeatsLeft += 1),
      onStatement: (statement: ResponseStatement) => this.recordStatement(statement),
      onStreamBegun: ({ requestId }: AcceptedRequest, backend: Backend) =>
        void this.begunStreams.push([requestId, backend.id]),
      onTryOver: (attempt: EndedAttempt) => void this.endedAttempts.push(attempt),
      onEnd: (ended: AcceptedRequest, end: RequestEnd) => {
        this.requestEnds.push(end);
        this.endedRequests.push([ended, end]);
      },
    };
  }

  /** Starts a request in the gateway. */
  request(changes: Partial<AcceptedRequest> = {}): {
    reply: RecordedReply;
    request: ProxiedRequest;
  } {
    const reply = new RecordedReply();
    const accepted = this.accept(changes);
    const owner = { route: accepted.route.name, tenant: accepted.tenant };
    const restricted =
      this.restrictions === undefined
        ? accepted
        : withActiveRegions(accepted, new RequestRegions(owner, () => this.restrictions));
    const request = new ProxiedRequest(
      restricted,
      reply,
      this.requestPorts,
      DEFAULT_REQUEST_OPTIONS,
    );
    this.proxiedRequests.push(request);
    request.begin();
    return { reply, request };
  }

  /** Completes the attempt at `index` with a response. */
  answer(index: number, status: number, body: string, headers: ResponseHead['headers'] = {}): void {
    const attempt = this.attempts[index]!;
    attempt.handlers.onHead({ status, rawHeaders: [], headers });
    if (!attempt.isCancelled) {
      attempt.handlers.onData(Buffer.from(body));
      attempt.handlers.onEnd();
    }
  }
}
