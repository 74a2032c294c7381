/** Lifecycle of a gateway's requests, from the received head to the end of the response. */
import type { Clock } from '../clock.js';
import type { RandomSource } from '../random.js';
import { err } from '../result.js';
import type { Backend } from '../routing/backend.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import type { BackendSender, CallerReply } from './attempt/attempt.js';
import type { ConfineCallback } from './attempt/fault-boundary.js';
import { ConfinedRequest } from './attempt/confined-request.js';
import { FaultBoundary } from './attempt/fault-boundary.js';
import { DEFAULT_REQUEST_OPTIONS } from './attempt/request-model.js';
import type { AcceptedRequest } from './attempt/accepted-request.js';
import type { RequestEnd, RequestPorts, RetryCharge } from './attempt/request-model.js';
import { NO_STATUS, OpenRequests } from './admission/open-requests.js';
import type { OpenRequest } from './admission/open-requests.js';
import type { RequestBodyHandlers, ReceivedHead } from './admission/caller-listener.js';
import type { CallerRequestHead } from './admission/caller-protocol.js';
import type { GatewayRefusal } from './admission/gateway-refusal.js';
import { RequestAdmission } from './admission/request-admission.js';
import type { ReceivedRequest } from './admission/request-admission.js';
import { isResumption } from './admission/caller-protocol.js';
import { refusalRetryAfterMs } from './attempt/refusal-retry-after.js';
import { RetryBudget } from './admission/retry-budget.js';
import { sendRefusal } from './admission/send-refusal.js';
import { UnstartedRequests } from './admission/unstarted-requests.js';
import type { UnstartedRequest } from './admission/unstarted-requests.js';
import { ConfigurationConfirmationQueue } from './admission/configuration-confirmation-queue.js';
import type { GatewayQuotas } from './gateway-quotas.js';
import type { Charge, ChargeResult } from './quotas/pending-charge.js';
import { quotaRefusal } from './quotas/quota-refusal.js';
import type { ActiveConfiguration } from './active-configuration.js';
import type { BackendDirectory } from './dispatch/backend-directory.js';
import type { Dispatcher } from './dispatch/dispatcher.js';
import { unconstrained } from './dispatch/dispatch-request.js';
import type { GatewayAdapter } from './gateway-adapter.js';
import type { ExitEvidence } from './crashes/interrupted-runs.js';
import type { CrashingRequests } from './crashes/crashing-requests.js';
import type { GatewayCluster } from './gateway-cluster.js';
import { reportRegions, reportExcluded } from './regions/region-report.js';
import type { RegionReport } from './regions/region-report.js';
import { withActiveRegions, RequestRegions } from './regions/request-regions.js';
import type { GatewaySettings } from './gateway-settings.js';
import type { GatewayStreams, ResumptionDecision } from './gateway-streams.js';
import type { GatewayMetrics } from './metrics/gateway-metrics.js';

/** Dependencies of `GatewayRequests`. */
export interface GatewayRequestsDependencies {
  readonly adapter: Pick<GatewayAdapter, 'protocol'>;
  readonly limits: GatewaySettings['limits'];
  readonly configuration: ActiveConfiguration;
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
  readonly streams: Pick<GatewayStreams, 'resume' | 'recordBegin'>;
  /** Whether the gateway is shutting down and refuses new requests. */
  isRefusing(): boolean;
  /** See `RequestPorts`. */
  readonly onStatement: RequestPorts['onStatement'];
  /** See `RequestPorts`. */
  readonly onTryOver: RequestPorts['onTryOver'];
  /** Called after each request has ended. */
  onEnd(): void;
}

const MS_PER_S = 1_000;
const FIRST_ERROR_STATUS = 400;
/**
 * Wait from which the log entry of a successful request lists excluded backends, in milliseconds;
 * shorter waits are harmless.
 */
const LONG_WAIT_MS = 100;

const INTERNAL_ERROR: GatewayRefusal = {
  reason: 'internal-error',
  retryAfterMs: DEFAULT_REQUEST_OPTIONS.retryAfterMs,
};
const UNCONFIRMED_REFUSAL: GatewayRefusal = {
  reason: 'configuration-unconfirmed',
  retryAfterMs: DEFAULT_REQUEST_OPTIONS.retryAfterMs,
};

const MEMORY_REFUSAL: GatewayRefusal = {
  reason: 'memory-exhausted',
  retryAfterMs: DEFAULT_REQUEST_OPTIONS.retryAfterMs,
};

const STOPPING_REFUSAL: GatewayRefusal = { reason: 'stopping', retryAfterMs: 0 };

/** A request that waits for a backend or runs. */
interface ActiveRequest {
  readonly regions: RequestRegions;
  readonly proxied: ConfinedRequest;
  readonly open: OpenRequest;
  /** Refunds the initial charge to the tenant's quota. */
  refund(): void;
}

/** A received request with the boundary of the steps before it is offered to backends. */
interface ConfinedAdmission extends ReceivedRequest {
  readonly confine: ConfineCallback;
  readonly open: OpenRequest;
}

/** The caller-side handle of an admitted request. */
interface AdmittedRequest {
  /** Ends the request without a response, or the wait for which it was not offered to backends. */
  handleCallerDisconnect(): void;
}

/** Admits, charges, dispatches and reports the requests of callers. */
export class GatewayRequests {
  private readonly active = new Map<AcceptedRequest, ActiveRequest>();
  private readonly unstarted: UnstartedRequests;
  private readonly admission: RequestAdmission;
  private readonly confirmationQueue: ConfigurationConfirmationQueue;
  private readonly openRequests: OpenRequests;
  private readonly retryBudget: RetryBudget;
  private readonly ports: RequestPorts;

  constructor(private readonly dependencies: GatewayRequestsDependencies) {
    const { adapter, limits, clock, random } = dependencies;
    this.admission = new RequestAdmission(
      random,
      {
        canServe: (service, allowedRegions) =>
          dependencies.dispatcher.hasReady(
            { ...unconstrained(service), allowedRegions },
            new Set(),
          ),
      },
      dependencies.crashes,
    );
    this.openRequests = new OpenRequests(dependencies);
    this.unstarted = new UnstartedRequests(clock);
    this.confirmationQueue = new ConfigurationConfirmationQueue(
      { isKnowledgeOld: () => dependencies.cluster.isKnowledgeOld },
      clock,
    );
    this.retryBudget = new RetryBudget({
      ratio: limits.retryRatio,
      windowMs: limits.retryWindowS * MS_PER_S,
      slack: limits.retrySlack,
    });
    this.ports = {
      confine: (callback) => callback,
      clock,
      random,
      directory: dependencies.directory,
      dispatcher: dependencies.dispatcher,
      sender: dependencies.sender,
      crashes: dependencies.crashes,
      protocol: adapter.protocol,
      mustIdentifyProcess: (backend) => this.mustIdentifyProcess(backend),
      takeRetry: (service) => this.takeRetry(service),
      returnRetry: (service) => this.retryBudget.returnRetry(service),
      chargeRetry: (request, onResult) =>
        this.charge(request, (result) => onResult(retryChargeOf(result))),
      onStatement: dependencies.onStatement,
      onStreamBegun: (request, backend, version) =>
        dependencies.streams.recordBegin(request, backend, version),
      onTryOver: dependencies.onTryOver,
      onEnd: (request, end) => this.handleEnd(request, end),
    };
  }

  /**
   * Number of requests that wait for a confirmed configuration, the origin of their stream, a quota
   * charge or a backend, or run.
   */
  get activeCount(): number {
    return this.unstarted.count + this.active.size;
  }

  /** Redirects unsent requests whose backend is no longer permitted; returns their number. */
  withdrawUnsent(): number {
    return [...this.active.values()].filter(({ proxied }) => proxied.withdrawIfUnsent()).length;
  }

  /**
   * Treats the attempts that run on a backend as lost once its process has ended. Those that were
   * sent at `sentBeforeMs` or later may run in the process that followed it.
   */
  handleBackendEnded(backendId: string, evidence: ExitEvidence, sentBeforeMs = Infinity): void {
    for (const { proxied } of [...this.active.values()]) {
      proxied.handleBackendEnded(backendId, evidence, sentBeforeMs);
    }
  }

  /** Refuses waiting requests that have been found to crash backends. */
  refuseCrashing(): void {
    for (const { proxied } of [...this.active.values()]) {
      proxied.refuseIfCrashing();
    }
  }

  /** Refuses the requests that no backend has, since the gateway is about to end. */
  refuseWaiting(): void {
    this.unstarted.refuseAll(STOPPING_REFUSAL);
    for (const { proxied } of [...this.active.values()]) {
      proxied.refuseIfUnsent(STOPPING_REFUSAL, 'the gateway stops');
    }
  }

  /** Answers the requests whose responses have not begun, since the gateway ends. */
  failUnanswered(): void {
    for (const { proxied } of [...this.active.values()]) {
      proxied.failIfUnanswered(STOPPING_REFUSAL, 'the gateway stops');
    }
  }

  /** Retries that the retry budget still allows, by service. */
  repeatsLeft(nowMs: number): ReturnType<RetryBudget['repeatsLeft']> {
    return this.retryBudget.repeatsLeft(this.dependencies.cluster.size, nowMs);
  }

  /**
   * Applies the allowed regions of the active configuration to waiting requests, retries and stream
   * resumptions.
   */
  applyConfiguration(): void {
    for (const { regions } of this.active.values()) {
      regions.refresh();
    }
  }

  /** Reports the requests that end without a whole response since the process ends. */
  reportProcessEnd(): void {
    this.openRequests.reportProcessEnd();
  }

  /** Processes a received request head; returns the handlers of its body. */
  receive(head: ReceivedHead, callerReply: CallerReply): RequestBodyHandlers {
    const arrivedAtMs = this.dependencies.clock.now();
    const caller = this.dependencies.adapter.protocol.readRequest(head.headers);
    for (const header of caller.reservedHeaders) {
      this.dependencies.metrics.record(({ reservedHeaders }) => reservedHeaders.inc({ header }));
    }
    const open = this.openRequests.create(caller.requestId);
    const reply = open.track(callerReply);
    let request: AdmittedRequest | undefined;
    const { run, confine } = this.admissionBoundary(caller, reply);
    let isAdmitted = false;
    const refuseUnread = (refusal: GatewayRefusal) => {
      isAdmitted = true;
      this.refuse(caller, reply, refusal);
    };
    return {
      onBody: (body) =>
        run(() => {
          isAdmitted = true;
          open.begin();
          request = this.admit({ head, caller, body, arrivedAtMs, confine, open }, reply);
          if (request === undefined) {
            this.dependencies.onEnd();
          }
        }),
      onTooLong: () => refuseUnread({ reason: 'body-too-long' }),
      onMemoryExhausted: () => refuseUnread(MEMORY_REFUSAL),
      onCallerDisconnected: () =>
        run(() => {
          request?.handleCallerDisconnect();
          open.handleCallerDisconnect();
          if (!isAdmitted) {
            this.dependencies.onEnd();
          }
        }),
      onFlushed: () => open.handleFlushed(),
    };
  }

  /**
   * Returns the boundary of the steps before a request is offered to backends: after an exception
   * the request is refused as not run.
   */
  private admissionBoundary(caller: CallerRequestHead, reply: CallerReply) {
    const boundary = new FaultBoundary((cause) => {
      this.reportFault(caller.requestId, cause);
      this.refuse(caller, reply, INTERNAL_ERROR);
      this.dependencies.onEnd();
    });
    return { run: (step: () => void) => boundary.run(step), confine: boundary.confine };
  }

  private reportFault(request: string | undefined, cause: unknown): void {
    const { log, metrics } = this.dependencies;
    const stack = cause instanceof Error ? cause.stack : String(cause);
    metrics.record(({ requestFaults }) => requestFaults.inc());
    log.write('request-fault', 'failure', { request, stack });
  }

  private admit(received: ConfinedAdmission, reply: CallerReply): AdmittedRequest | undefined {
    const isRefused = this.dependencies.isRefusing() || received.head.followsClose === true;
    const admitted = isRefused
      ? err(STOPPING_REFUSAL)
      : this.admission.admit(received, this.dependencies.configuration.table);
    if (admitted.ok) {
      return this.beginOrResume(admitted.val, received, reply);
    }
    if (mayBeOutdated(admitted.val) && this.dependencies.cluster.isKnowledgeOld) {
      return this.awaitConfirmation(received, reply);
    }
    this.refuse(received.caller, reply, admitted.val);
    return undefined;
  }

  /**
   * Admits or refuses a request once the active configuration is confirmed to be the newest, or
   * after a timeout.
   */
  private awaitConfirmation(received: ConfinedAdmission, reply: CallerReply): AdmittedRequest {
    let request: AdmittedRequest | undefined;
    received.open.enter('confirming');
    const wait = this.beginWait(received, reply, () => stopWaiting());
    const stopWaiting = this.confirmationQueue.wait(
      received.confine((isConfirmed: boolean) => {
        wait.end();
        const admitted = this.admission.admit(received, this.dependencies.configuration.table);
        if (admitted.ok) {
          request = this.beginOrResume(admitted.val, received, reply);
          return;
        }
        const isUnknown = mayBeOutdated(admitted.val) && !isConfirmed;
        this.refuse(received.caller, reply, isUnknown ? UNCONFIRMED_REFUSAL : admitted.val);
        this.dependencies.onEnd();
      }),
    );
    const admitted = {
      handleCallerDisconnect: () => {
        wait.end();
        stopWaiting();
        request?.handleCallerDisconnect();
        this.dependencies.onEnd();
      },
    };
    const { deadlineMs } = received.caller;
    if (deadlineMs !== undefined) {
      wait.expireAt(received.arrivedAtMs + deadlineMs);
    }
    return admitted;
  }

  /** Starts a request, one that resumes a stream once it is known where the stream began. */
  private beginOrResume(
    accepted: AcceptedRequest,
    received: ConfinedAdmission,
    reply: CallerReply,
  ): AdmittedRequest {
    if (accepted.route.kind !== 'stream' || !isResumption(received.caller)) {
      return this.chargeAndBegin(accepted, received, reply);
    }
    let request: AdmittedRequest | undefined;
    received.open.enter('resuming', accepted);
    const wait = this.beginWait(received, reply);
    const continueWith = received.confine((decision: ResumptionDecision) => {
      if (!wait.end()) {
        return;
      }
      request = this.applyResumption(decision, received, reply);
      if (request === undefined) {
        this.dependencies.onEnd();
      }
    });
    this.dependencies.streams.resume(accepted, continueWith);
    const handleCallerDisconnect = () => {
      if (wait.end()) {
        this.dependencies.onEnd();
      }
      request?.handleCallerDisconnect();
    };
    wait.expireAt(accepted.deadlineAtMs);
    return { handleCallerDisconnect };
  }

  private applyResumption(
    decision: ResumptionDecision,
    received: ConfinedAdmission,
    reply: CallerReply,
  ): AdmittedRequest | undefined {
    if (decision.kind === 'continue') {
      return this.chargeAndBegin(decision.request, received, reply);
    }
    const { caller } = received;
    const { reason } = decision;
    const remainingMs = caller.deadlineMs ?? Infinity;
    const options = DEFAULT_REQUEST_OPTIONS;
    const inputs = { options, queueRetryAfterMs: undefined, remainingMs };
    this.refuse(caller, reply, { reason, retryAfterMs: refusalRetryAfterMs(reason, inputs) });
    return undefined;
  }

  /** Starts a request once its cost is charged to its tenant. */
  private chargeAndBegin(
    accepted: AcceptedRequest,
    received: ConfinedAdmission,
    reply: CallerReply,
  ): AdmittedRequest {
    const { caller, confine, open } = received;
    let proxied: ConfinedRequest | undefined;
    open.enter('charging', accepted);
    const wait = this.beginWait(received, reply, () => charge?.cancel());
    const settle = confine((result: ChargeResult) => {
      if (!wait.end()) {
        return;
      }
      if (result.isGranted) {
        proxied = this.begin(accepted, reply, open, () => result.giveBack());
      } else {
        this.refuse(caller, reply, quotaRefusal(accepted, result));
        this.dependencies.onEnd();
      }
    });
    const charge = this.charge(accepted, settle);
    const handleCallerDisconnect = () => {
      if (wait.end()) {
        charge?.cancel();
        this.dependencies.onEnd();
      }
      proxied?.handleCallerDisconnect();
    };
    wait.expireAt(accepted.deadlineAtMs);
    return { handleCallerDisconnect };
  }

  private charge(
    { tenant, quotaCost }: AcceptedRequest,
    onResult: (result: ChargeResult) => void,
  ): Charge | undefined {
    if (tenant === undefined || quotaCost === 0) {
      onResult({ isGranted: true, giveBack: () => undefined });
      return undefined;
    }
    return this.dependencies.quotas.charge(tenant, quotaCost, onResult);
  }

  private begin(
    accepted: AcceptedRequest,
    reply: CallerReply,
    open: OpenRequest,
    refund: () => void,
  ): ConfinedRequest {
    const { tenant, route } = accepted;
    const owner = { route: route.name, tenant };
    const regions = new RequestRegions(
      owner,
      () => this.dependencies.configuration.regionRestrictions,
    );
    const request = withActiveRegions(accepted, regions);
    this.retryBudget.countRequest(request.service, this.dependencies.clock.now());
    const proxied = new ConfinedRequest(
      request,
      reply,
      this.ports,
      DEFAULT_REQUEST_OPTIONS,
      (cause) => this.reportFault(request.requestId, cause),
    );
    open.enter(() => proxied.stage, request);
    this.active.set(request, { regions, proxied, open, refund });
    proxied.begin();
    return proxied;
  }

  /**
   * Whether the process that runs a stream at a backend must be identified. Backends that announce
   * no start time have a new name at each start, which attempts state. Services without engines need
   * not report one, so their announcements are trusted for as long as they arrive.
   */
  private mustIdentifyProcess({ service, bornAtMs }: Backend): boolean {
    const { configuration, cluster } = this.dependencies;
    const reportsStartTime = configuration.isEngine(service);
    return bornAtMs !== undefined && (reportsStartTime || cluster.isKnowledgeOld);
  }

  private takeRetry(service: string): boolean {
    const { cluster, clock, metrics } = this.dependencies;
    const isAllowed = this.retryBudget.takeRetry(service, cluster.size, clock.now());
    if (!isAllowed) {
      metrics.record(({ repeatsDenied }) => repeatsDenied.inc({ service }));
    }
    return isAllowed;
  }

  /**
   * Begins a wait before a request is offered to backends; `cancel` is called if the request is
   * refused meanwhile.
   */
  private beginWait(
    { caller, confine }: ConfinedAdmission,
    reply: CallerReply,
    cancel: () => void = () => undefined,
  ): UnstartedRequest {
    const refuse = (refusal: GatewayRefusal) => {
      cancel();
      this.refuse(caller, reply, refusal);
      this.dependencies.onEnd();
    };
    return this.unstarted.add(confine(refuse));
  }

  private refuse(caller: CallerRequestHead, reply: CallerReply, refusal: GatewayRefusal): void {
    const { adapter, log, metrics, configuration, cluster } = this.dependencies;
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

  private handleEnd(request: AcceptedRequest, { stage, ...end }: RequestEnd): void {
    const { metrics, log, dispatcher, cluster, configuration, crashes } = this.dependencies;
    const active = this.active.get(request);
    this.active.delete(request);
    if (end.attempts === 0) {
      active?.refund();
    }
    metrics.recordEnd(request, end);
    if (end.status === NO_STATUS) {
      active?.open.close();
    }
    const isSuccess = end.reason === 'answered' && end.status < FIRST_ERROR_STATUS;
    log.write('request-ended', isSuccess ? 'success' : 'failure', {
      request: request.requestId,
      route: request.route.name,
      service: request.service,
      tenant: request.tenant,
      tier: request.tier,
      promptTokens: request.promptTokens,
      quotaCost: request.quotaCost,
      triedForMs: request.arrivedAtMs - request.firstAttemptAtMs,
      resumes: request.resumedRequestId,
      afterEvent: request.lastEventId,
      ...end,
      ...(end.status === NO_STATUS ? this.openRequests.count(stage, end.reason) : {}),
      // A resent request has a new id; the fingerprint identifies it as the same request.
      fingerprint: hasFailedAtBackend(end)
        ? (crashes.refusedFingerprintOf(request) ?? crashes.fingerprintOf(request))
        : undefined,
      waiting: dispatcher.countWaiting(request.service),
      storeAgeMs: cluster.storeAgeMs,
      configuration: configuration.version,
      ...(active === undefined
        ? {}
        : this.regionReportOf(active, !isSuccess || hasWaitedLong(end))),
    });
    this.dependencies.onEnd();
  }

  private regionReportOf(
    { regions, proxied }: ActiveRequest,
    includesExcluded: boolean,
  ): RegionReport {
    const { directory, dispatcher } = this.dependencies;
    const { constraints } = proxied;
    if (!includesExcluded) {
      return reportRegions(regions);
    }
    return reportExcluded(regions, {
      backends: directory.ofService(constraints.service),
      regionOf: (zone) => dispatcher.regionOf(zone),
      restriction: (known) => dispatcher.restriction(constraints, known),
    });
  }
}

/** Whether the reason of a refusal might not hold under a newer configuration. */
function mayBeOutdated({ reason }: GatewayRefusal): boolean {
  return reason === 'no-route' || reason === 'unknown-key';
}

function hasFailedAtBackend({ reason, tries }: Pick<RequestEnd, 'reason' | 'tries'>): boolean {
  const isRefusedForCrashes = reason === 'crashes-back-ends';
  return isRefusedForCrashes || tries.some(({ outcome }) => outcome === 'failed');
}

function hasWaitedLong({ waitedMs }: Pick<RequestEnd, 'waitedMs'>): boolean {
  return waitedMs >= LONG_WAIT_MS;
}

function retryChargeOf(result: ChargeResult): RetryCharge {
  const giveBack = () => (result.isGranted ? result.giveBack() : undefined);
  return { isGranted: result.isGranted, giveBack };
}
