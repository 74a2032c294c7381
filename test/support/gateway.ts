import type {
  AnswerHead,
  AttemptHandlers,
  BackendSender,
  CallerReply,
  OutgoingAttempt,
} from '../../src/gateway/attempt/attempt.js';
import type { CallerProtocol } from '../../src/gateway/admission/caller-protocol.js';
import { BackendDirectory } from '../../src/gateway/dispatch/backend-directory.js';
import type { RequestCrashes } from '../../src/gateway/crashes/crash-tally.js';
import { CrashingRequests } from '../../src/gateway/crashes/crashing-requests.js';
import type { CountedCrash } from '../../src/gateway/crashes/crashing-requests.js';
import { ColdStarts } from '../../src/gateway/dispatch/cold-starts.js';
import { Dispatcher } from '../../src/gateway/dispatch/dispatcher.js';
import type { DispatcherPorts } from '../../src/gateway/dispatch/dispatcher.js';
import type { HomeRegions } from '../../src/gateway/dispatch/home-engines.js';
import { followHomes, RequestHomes } from '../../src/gateway/homes/request-homes.js';
import { ProxiedRequest } from '../../src/gateway/attempt/proxied-request.js';
import { DEFAULT_REQUEST_OPTIONS } from '../../src/gateway/attempt/request-model.js';
import type { AcceptedRequest } from '../../src/gateway/attempt/accepted-request.js';
import type {
  HeardAnswer,
  RequestEnd,
  RequestPorts,
  TryOver,
} from '../../src/gateway/attempt/request-model.js';
import { sendLimitPerS } from '../../src/gateway/statements/send-limit.js';
import { NO_STATEMENT } from '../../src/gateway/statements/backend-statement.js';
import type { BackendStatement } from '../../src/gateway/statements/backend-statement.js';
import { SeededRandom } from '../../src/random.js';
import type { VersionUse } from '../../src/rollout/rollout-order.js';
import type { RestrictionReason } from '../../src/routing/backend-restriction.js';
import type { Backend } from '../../src/routing/backend.js';
import type { Route } from '../../src/routing/configuration.js';
import type { NamedHomes } from '../../src/routing/named-homes.js';
import { Places } from '../../src/routing/places.js';
import { VirtualClock } from '../../src/sim/virtual-clock.js';
import type { SlotMessage } from '../../src/slot-agent/slot-messages.js';
import { at } from './positions.js';

/** A back end with defaults. */
export function backendOf(id: string, changes: Partial<Backend> = {}): Backend {
  return {
    id,
    name: id,
    bornAtMs: undefined,
    service: 's',
    address: `${id}:1`,
    zone: 'z',
    version: 'v1',
    slots: 2,
    state: 'ready',
    sequence: 1,
    remainingColdMs: 0,
    ...at(1),
    ...changes,
  };
}

/** A route with defaults. */
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

/** One send as the test's back ends see it. */
export interface SeenAttempt extends OutgoingAttempt {
  readonly handlers: AttemptHandlers;
  isCancelled: boolean;
}

/** What a caller received. */
export class SeenReply implements CallerReply {
  status = 0;
  headers: readonly string[] = [];
  body = '';
  isEnded = false;
  isAborted = false;

  start(status: number, headers: readonly string[]): void {
    this.status = status;
    this.headers = headers;
  }

  write(bytes: Buffer): boolean {
    this.body += bytes.toString();
    return true;
  }

  end(bytes?: Buffer): void {
    this.body += bytes?.toString() ?? '';
    this.isEnded = true;
  }

  abort(): void {
    this.isAborted = true;
  }

  onceDrained(): void {
    // The test's callers read everything at once.
  }
}

/** Header names of no platform; the request's id and what is left are all that tests look at. */
export const PLAIN_PROTOCOL: CallerProtocol = {
  readRequest: () => ({
    requestId: undefined,
    deadlineMs: undefined,
    apiKey: undefined,
    tokens: undefined,
    lastEventId: undefined,
    reservedHeaders: [],
  }),
  attemptHeaders: (_received, attempt) => [
    'remaining',
    `${attempt.remainingMs}`,
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

/** The core of a gateway on a virtual clock, with back ends and agents that the test plays. */
export class GatewayWorld implements BackendSender, DispatcherPorts {
  readonly clock = new VirtualClock();
  readonly attempts: SeenAttempt[] = [];
  readonly toAgents: Array<[string, SlotMessage]> = [];
  readonly ends: RequestEnd[] = [];
  readonly ended: Array<[AcceptedRequest, RequestEnd]> = [];
  readonly regions = new Map<string, string>();
  readonly directory = new BackendDirectory(
    { name: 'g', zone: 'z', places: new Places(this.regions) },
    this,
  );
  readonly dispatcher = new Dispatcher(this.directory, this);
  repeatsLeft = 10;
  engines = false;
  gateways = 1;
  /** Versions that may not be used freely. */
  readonly versionUses = new Map<string, VersionUse>();
  /** Each change of whether the gateway's region has usable back ends. */
  readonly reaches: boolean[] = [];
  readonly evacuatedZones = new Set<string>();
  /** Homes of the configuration in force; while undefined requests keep the regions that they came with. */
  homes: NamedHomes | undefined;
  version = 1;
  /** Why requests were kept from back ends, in order. */
  readonly kept: RestrictionReason[] = [];
  readonly triesOver: TryOver[] = [];
  /** Back ends to which connections do not come up for now. */
  readonly connecting = new Set<string>();
  coldStarts = new ColdStarts();
  /** Services that are configured; undefined for any. */
  namedServices: ReadonlySet<string> | undefined;
  /** Back ends that were to be looked at, in order. */
  readonly looks: string[] = [];
  readonly crashes: CountedCrash[] = [];
  readonly crashNews: RequestCrashes[] = [];
  private readonly proxied: ProxiedRequest[] = [];
  readonly crashing = new CrashingRequests(
    {
      isLeaving: (backendId) => this.directory.find(backendId)?.backend.state === 'draining',
      look: ({ id }) => void this.looks.push(id),
      onCrash: (crash) => void this.crashes.push(crash),
      onNews: (news) => void this.crashNews.push(...news),
      onRefused: () => this.proxied.forEach((request) => request.refuseCrashing()),
    },
    this.clock,
  );

  constructor(...backends: Backend[]) {
    for (const backend of backends) {
      this.dispatcher.updateBackend(backend.id, backend, 0);
    }
  }

  /** Back ends for which a right to send is held; rights that were asked for, by back end. */
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

  private hear({ backend, ...heard }: HeardAnswer): void {
    const known = this.directory.find(backend.id);
    if (known?.condition.hear(heard, this.clock.now()) === true) {
      this.dispatcher.followCondition(known, this.clock.now());
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

  sendToAgent(backendId: string, message: SlotMessage): void {
    this.toAgents.push([backendId, message]);
  }

  onEjected(): void {
    // Tests look at where requests go instead.
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

  homeRegions(): HomeRegions {
    return { named: this.homes?.regions ?? new Set(), regionOf: (zone) => this.regionOf(zone) };
  }

  onReach(_service: string, hasNear: boolean): void {
    this.reaches.push(hasNear);
  }

  onSent(): void {
    // Tests look at the attempts instead.
  }

  onKept(reason: RestrictionReason): void {
    this.kept.push(reason);
  }

  /** Operators evacuate a zone, or take it back. */
  /** Further runs that were charged to a tenant, and whether its quota suffices for them. */
  chargedAgain = 0;
  hasQuota = true;

  order(zone: string, isOrdered: boolean): void {
    const apply = () =>
      isOrdered ? this.evacuatedZones.add(zone) : this.evacuatedZones.delete(zone);
    this.dispatcher.changeOrders(apply, this.clock.now());
  }

  isNamed(service: string): boolean {
    return this.namedServices?.has(service) ?? true;
  }

  onEnded(backendId: string): void {
    this.crashing.noteEnded(backendId, 'agent');
  }

  onReplaced(backendId: string): void {
    this.crashing.noteEnded(backendId, 'replaced');
  }

  onAvailability(): void {
    // Tests look at where requests go instead.
  }

  send(attempt: OutgoingAttempt, handlers: AttemptHandlers) {
    const seen: SeenAttempt = { ...attempt, handlers, isCancelled: false };
    this.attempts.push(seen);
    const ignore = () => undefined;
    const cancel = () => void (seen.isCancelled = true);
    const withdraw = () => {
      seen.isCancelled ||= this.connecting.has(attempt.backend.id);
      return seen.isCancelled;
    };
    return { cancel, withdraw, pause: ignore, resume: ignore };
  }

  /** A request that was let in, with defaults. */
  accept(changes: Partial<AcceptedRequest> = {}): AcceptedRequest {
    const route = changes.route ?? routeOf();
    const arrivedAtMs = this.clock.now();
    return {
      requestId: 'q',
      route,
      service: 's',
      tenant: undefined,
      tier: route.priority,
      rankInTier: 0,
      allowedRegions: undefined,
      arrivedAtMs,
      firstTriedAtMs: arrivedAtMs,
      endsAtMs: arrivedAtMs + route.timeoutMs,
      units: 1,
      promptTokens: 0,
      quotaCost: 0,
      method: 'GET',
      path: '/a/',
      headers: [],
      body: Buffer.alloc(0),
      lastEventId: undefined,
      ...changes,
    };
  }

  /** What requests of this world are made from. */
  get requestPorts(): RequestPorts {
    return {
      clock: this.clock,
      random: new SeededRandom(1),
      directory: this.directory,
      dispatcher: this.dispatcher,
      sender: this,
      protocol: PLAIN_PROTOCOL,
      crashes: this.crashing,
      chargeAgain: (_request: AcceptedRequest, onResult: (isGranted: boolean) => void) => {
        this.chargedAgain += 1;
        onResult(this.hasQuota);
      },
      takeRepeat: () => this.repeatsLeft-- > 0,
      onStatement: (heard: HeardAnswer) => this.hear(heard),
      onTryOver: (over: TryOver) => void this.triesOver.push(over),
      onEnd: (ended: AcceptedRequest, end: RequestEnd) => {
        this.ends.push(end);
        this.ended.push([ended, end]);
      },
    };
  }

  /** Hands a request to the gateway. */
  request(changes: Partial<AcceptedRequest> = {}): { reply: SeenReply; request: ProxiedRequest } {
    const reply = new SeenReply();
    const accepted = this.accept(changes);
    const owner = { route: accepted.route.name, tenant: accepted.tenant };
    const followed =
      this.homes === undefined
        ? accepted
        : followHomes(accepted, new RequestHomes(owner, () => this.homes));
    const request = new ProxiedRequest(followed, reply, this.requestPorts, DEFAULT_REQUEST_OPTIONS);
    this.proxied.push(request);
    request.begin();
    return { reply, request };
  }

  /** A back end's whole answer to its nth attempt. */
  answer(index: number, status: number, body: string, headers: AnswerHead['headers'] = {}): void {
    const attempt = this.attempts[index]!;
    attempt.handlers.onHead({ status, rawHeaders: [], headers });
    if (!attempt.isCancelled) {
      attempt.handlers.onData(Buffer.from(body));
      attempt.handlers.onEnd();
    }
  }
}
