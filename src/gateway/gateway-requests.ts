/** The requests of a gateway's callers, from the first bytes of their heads to their ends. */
import type { Clock } from '../clock.js';
import type { RandomSource } from '../random.js';
import { err } from '../result.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import type { BackendSender, CallerReply } from './attempt/attempt.js';
import { ProxiedRequest } from './attempt/proxied-request.js';
import { DEFAULT_REQUEST_OPTIONS } from './attempt/request-model.js';
import type { AcceptedRequest } from './attempt/accepted-request.js';
import type { RequestEnd, RequestPorts } from './attempt/request-model.js';
import type { PendingBody, ReceivedHead } from './admission/caller-listener.js';
import type { CallerRequestHead } from './admission/caller-protocol.js';
import type { GatewayRefusal } from './admission/gateway-refusal.js';
import { RequestAdmission } from './admission/request-admission.js';
import type { ReceivedRequest } from './admission/request-admission.js';
import { RetryBudget } from './admission/retry-budget.js';
import { sendRefusal } from './admission/send-refusal.js';
import { UnconfirmedRefusals } from './admission/unconfirmed-refusals.js';
import type { GatewayQuotas } from './gateway-quotas.js';
import type { Charge, ChargeResult } from './quotas/open-charge.js';
import type { ConfigurationInForce } from './configuration-in-force.js';
import type { BackendDirectory } from './dispatch/backend-directory.js';
import type { Dispatcher } from './dispatch/dispatcher.js';
import type { GatewayAdapter } from './gateway-adapter.js';
import type { EndingEvidence } from './crashes/broken-runs.js';
import type { CrashingRequests } from './crashes/crashing-requests.js';
import type { GatewayCluster } from './gateway-cluster.js';
import { reportHomes, reportKept } from './homes/home-report.js';
import type { HomeReport } from './homes/home-report.js';
import { followHomes, RequestHomes } from './homes/request-homes.js';
import type { GatewaySettings } from './gateway-settings.js';
import type { GatewayMetrics } from './metrics/gateway-metrics.js';

/** What a gateway's requests are made from. */
export interface GatewayRequestsParts {
  readonly adapter: Pick<GatewayAdapter, 'protocol'>;
  readonly limits: GatewaySettings['limits'];
  readonly configuration: ConfigurationInForce;
  readonly quotas: Pick<GatewayQuotas, 'charge'>;
  readonly directory: BackendDirectory;
  readonly dispatcher: Dispatcher;
  readonly sender: BackendSender;
  readonly crashes: CrashingRequests;
  readonly cluster: Pick<GatewayCluster, 'size' | 'storeAgeMs' | 'position' | 'isKnowledgeOld'>;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: DecisionLog;
  readonly metrics: GatewayMetrics;
  /** Whether the gateway leaves and takes nothing more. */
  isRefusing(): boolean;
  /** See `RequestPorts`. */
  readonly onStatement: RequestPorts['onStatement'];
  /** See `RequestPorts`. */
  readonly onTryOver: RequestPorts['onTryOver'];
  /** A request ended. */
  onEnd(): void;
}

const MS_PER_S = 1_000;
const FIRST_ERROR_STATUS = 400;
/** Wait from which a request's line says what it was kept from, in milliseconds: shorter ones trouble nobody. */
const HELD_UP_MS = 100;

const UNCONFIRMED: GatewayRefusal = {
  reason: 'configuration-unconfirmed',
  retryAfterMs: DEFAULT_REQUEST_OPTIONS.retryAfterMs,
};

/** A request that waits or runs. */
interface ActiveRequest {
  readonly homes: RequestHomes;
  readonly proxied: ProxiedRequest;
  /** Gives its tenant back what it was charged at first. */
  giveBack(): void;
}

/** A request that was taken, as far as its caller's connection is concerned. */
interface TakenRequest {
  callerLeft(): void;
}

/** The requests of a gateway's callers. */
export class GatewayRequests {
  private readonly active = new Map<AcceptedRequest, ActiveRequest>();
  /** Requests that are being charged to their tenants. */
  private readonly charging = new Set<AcceptedRequest>();
  private readonly admission: RequestAdmission;
  private readonly unconfirmed: UnconfirmedRefusals;
  private readonly budget: RetryBudget;
  private readonly ports: RequestPorts;

  constructor(private readonly parts: GatewayRequestsParts) {
    const { adapter, limits, clock, random } = parts;
    this.admission = new RequestAdmission(
      random,
      {
        canServe: (service, allowedRegions) =>
          parts.dispatcher.hasReady({ service, allowedRegions }, new Set()),
      },
      parts.crashes,
    );
    this.unconfirmed = new UnconfirmedRefusals(
      { isKnowledgeOld: () => parts.cluster.isKnowledgeOld },
      clock,
    );
    this.budget = new RetryBudget({
      ratio: limits.retryRatio,
      windowMs: limits.retryWindowS * MS_PER_S,
      slack: limits.retrySlack,
    });
    this.ports = {
      clock,
      random,
      directory: parts.directory,
      dispatcher: parts.dispatcher,
      sender: parts.sender,
      crashes: parts.crashes,
      protocol: adapter.protocol,
      takeRepeat: (service) => this.takeRepeat(service),
      chargeAgain: (request, onResult) =>
        this.charge(request, ({ isGranted }) => onResult(isGranted)),
      onStatement: parts.onStatement,
      onTryOver: parts.onTryOver,
      onEnd: (request, end) => this.noteEnd(request, end),
    };
  }

  /** Requests that wait for a confirmed configuration, are being charged, wait for a back end or run. */
  get countActive(): number {
    return this.unconfirmed.count + this.charging.size + this.active.size;
  }

  /** Requests whose back end is not permitted any more go elsewhere where nothing was sent; says how many. */
  withdrawUnsent(): number {
    return [...this.active.values()].filter(({ proxied }) => proxied.withdrawUnsent()).length;
  }

  /** A back end is known to have ended: what is at work there is lost. */
  noteBackendEnded(backendId: string, evidence: EndingEvidence): void {
    for (const { proxied } of [...this.active.values()]) {
      proxied.noteBackendEnded(backendId, evidence);
    }
  }

  /** Answers what waits of requests that are found to crash back ends. */
  refuseCrashing(): void {
    for (const { proxied } of [...this.active.values()]) {
      proxied.refuseCrashing();
    }
  }

  /** Repeats that the budget still allows, by service. */
  repeatsLeft(nowMs: number): ReturnType<RetryBudget['repeatsLeft']> {
    return this.budget.repeatsLeft(this.parts.cluster.size, nowMs);
  }

  /** A configuration came into force: what waits, is tried again or resumed keeps to its homes from now on. */
  followConfiguration(): void {
    for (const { homes } of this.active.values()) {
      homes.refresh();
    }
  }

  /** A caller sent the head of a request. */
  take(head: ReceivedHead, reply: CallerReply): PendingBody {
    const arrivedAtMs = this.parts.clock.now();
    const caller = this.parts.adapter.protocol.readRequest(head.headers);
    for (const header of caller.reservedHeaders) {
      this.parts.metrics.record(({ reservedHeaders }) => reservedHeaders.inc({ header }));
    }
    let taken: TakenRequest | undefined;
    return {
      onBody: (body) => {
        taken = this.admit({ head, caller, body, arrivedAtMs }, reply);
      },
      onTooLong: () => {
        this.refuse(caller, reply, { reason: 'body-too-long' });
      },
      onCallerLeft: () => taken?.callerLeft(),
    };
  }

  private admit(received: ReceivedRequest, reply: CallerReply): TakenRequest | undefined {
    const admitted = this.parts.isRefusing()
      ? err<GatewayRefusal>({ reason: 'stopping', retryAfterMs: 0 })
      : this.admission.admit(received, this.parts.configuration.table);
    if (admitted.ok) {
      return this.chargeAndBegin(admitted.val, received.caller, reply);
    }
    if (isClaimOnNewest(admitted.val) && this.parts.cluster.isKnowledgeOld) {
      return this.awaitConfirmation(received, reply);
    }
    this.refuse(received.caller, reply, admitted.val);
    return undefined;
  }

  /** Admits a request once it is known that the configuration in force is the newest, or refuses it soon. */
  private awaitConfirmation(received: ReceivedRequest, reply: CallerReply): TakenRequest {
    let taken: TakenRequest | undefined;
    const giveUp = this.unconfirmed.wait((isConfirmed) => {
      const admitted = this.admission.admit(received, this.parts.configuration.table);
      if (admitted.ok) {
        taken = this.chargeAndBegin(admitted.val, received.caller, reply);
        return;
      }
      const isUnknown = isClaimOnNewest(admitted.val) && !isConfirmed;
      this.refuse(received.caller, reply, isUnknown ? UNCONFIRMED : admitted.val);
      this.parts.onEnd();
    });
    return {
      callerLeft: () => {
        giveUp();
        taken?.callerLeft();
        this.parts.onEnd();
      },
    };
  }

  /** Begins a request once it is charged to its tenant. */
  private chargeAndBegin(
    accepted: AcceptedRequest,
    caller: CallerRequestHead,
    reply: CallerReply,
  ): TakenRequest {
    let proxied: ProxiedRequest | undefined;
    let isOver = false;
    this.charging.add(accepted);
    const charge = this.charge(accepted, (result) => {
      isOver = true;
      this.charging.delete(accepted);
      if (result.isGranted) {
        proxied = this.begin(accepted, reply, () => result.giveBack());
      } else {
        this.refuse(caller, reply, quotaRefusal(accepted, result));
        this.parts.onEnd();
      }
    });
    const leave = () => {
      if (!isOver) {
        isOver = true;
        this.charging.delete(accepted);
        charge?.cancel();
        this.noteLeftEarly(accepted);
      }
      proxied?.callerLeft();
    };
    return { callerLeft: leave };
  }

  /** The caller closed its connection before its request was charged. */
  private noteLeftEarly({ requestId, route, tenant }: AcceptedRequest): void {
    const reason = 'caller-left';
    const fields = { request: requestId, route: route.name, tenant, status: 0, reason, tries: [] };
    this.parts.log.write('request-ended', 'failure', fields);
    this.parts.onEnd();
  }

  private charge(
    { tenant, quotaCost }: AcceptedRequest,
    onResult: (result: ChargeResult) => void,
  ): Charge | undefined {
    if (tenant === undefined || quotaCost === 0) {
      onResult({ isGranted: true, giveBack: () => undefined });
      return undefined;
    }
    return this.parts.quotas.charge(tenant, quotaCost, onResult);
  }

  private begin(
    accepted: AcceptedRequest,
    reply: CallerReply,
    giveBack: () => void,
  ): ProxiedRequest {
    const { tenant, route } = accepted;
    const owner = { route: route.name, tenant };
    const homes = new RequestHomes(owner, () => this.parts.configuration.homes);
    const request = followHomes(accepted, homes);
    this.budget.countRequest(request.service, this.parts.clock.now());
    const proxied = new ProxiedRequest(request, reply, this.ports, DEFAULT_REQUEST_OPTIONS);
    this.active.set(request, { homes, proxied, giveBack });
    proxied.begin();
    return proxied;
  }

  private takeRepeat(service: string): boolean {
    const { cluster, clock, metrics } = this.parts;
    const isAllowed = this.budget.takeRepeat(service, cluster.size, clock.now());
    if (!isAllowed) {
      metrics.record(({ repeatsDenied }) => repeatsDenied.inc({ service }));
    }
    return isAllowed;
  }

  private refuse(caller: CallerRequestHead, reply: CallerReply, refusal: GatewayRefusal): void {
    const { adapter, log, metrics, configuration, cluster } = this.parts;
    const status = sendRefusal(reply, adapter.protocol, caller.requestId, refusal);
    const labels = { route: '', status: `${status}`, reason: refusal.reason };
    metrics.record(({ requests }) => requests.inc(labels));
    log.write('request-refused', 'failure', {
      request: caller.requestId,
      ...refusal,
      status,
      configuration: configuration.version,
      epoch: cluster.position.epoch,
      revision: cluster.position.revision,
      storeAgeMs: cluster.storeAgeMs,
    });
  }

  private noteEnd(request: AcceptedRequest, end: RequestEnd): void {
    const { metrics, log, dispatcher, cluster, configuration } = this.parts;
    const active = this.active.get(request);
    this.active.delete(request);
    if (end.attempts === 0) {
      active?.giveBack();
    }
    const homes = active?.homes;
    metrics.recordEnd(request, end);
    const isSuccess = end.reason === 'answered' && end.status < FIRST_ERROR_STATUS;
    log.write('request-ended', isSuccess ? 'success' : 'failure', {
      request: request.requestId,
      route: request.route.name,
      service: request.service,
      tenant: request.tenant,
      tier: request.tier,
      promptTokens: request.promptTokens,
      quotaCost: request.quotaCost,
      triedForMs: request.arrivedAtMs - request.firstTriedAtMs,
      ...end,
      // Each time that a request is sent it has another id: what is the same tells that it came again.
      fingerprint: hasFailedAtBackend(end) ? this.parts.crashes.fingerprintOf(request) : undefined,
      waiting: dispatcher.countWaiting(request.service),
      storeAgeMs: cluster.storeAgeMs,
      configuration: configuration.version,
      ...(homes === undefined ? {} : this.reportHomes(request, homes, !isSuccess || isHeldUp(end))),
    });
    this.parts.onEnd();
  }

  private reportHomes(
    request: AcceptedRequest,
    homes: RequestHomes,
    isToExplain: boolean,
  ): HomeReport {
    const { directory, dispatcher } = this.parts;
    if (!isToExplain) {
      return reportHomes(homes);
    }
    return reportKept(homes, {
      backends: directory.ofService(request.service),
      regionOf: (zone) => dispatcher.regionOf(zone),
      restriction: (known) => dispatcher.restriction(request, known),
    });
  }
}

/** Whether a refusal says that the newest configuration lacks something. */
function isClaimOnNewest({ reason }: GatewayRefusal): boolean {
  return reason === 'no-route' || reason === 'unknown-key';
}

function quotaRefusal(
  { tenant = '', quotaCost }: AcceptedRequest,
  result: Exclude<ChargeResult, { readonly isGranted: true }>,
): GatewayRefusal {
  const { retryAfterMs, left, refused, unanswered } = result;
  const quota = { tenant, cost: quotaCost, left, refused, unanswered };
  return { reason: 'quota-spent', retryAfterMs, quota };
}

function hasFailedAtBackend({ reason, tries }: RequestEnd): boolean {
  const isRefusedForCrashes = reason === 'crashes-back-ends';
  return isRefusedForCrashes || tries.some(({ outcome }) => outcome === 'failed');
}

function isHeldUp({ waitedMs }: RequestEnd): boolean {
  return waitedMs >= HELD_UP_MS;
}
