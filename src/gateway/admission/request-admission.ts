/** Admits or refuses requests and determines their route, tenant, cost and deadline. */
import { headerLineBytes } from '../../http/header-lines.js';
import { EMPTY_HEADER_VALUE } from '../../http/header-value.js';
import type { RandomSource } from '../../random.js';
import { err, ok } from '../../result.js';
import type { Result } from '../../result.js';
import type { AllowedRegions } from '../../routing/backend-restriction.js';
import { intersectRegionLists } from '../../routing/backend-restriction.js';
import type { Route, Tenant, TenantQuota, WeightedService } from '../../routing/configuration.js';
import { pickService } from '../../routing/routing-table.js';
import type { RoutingTable } from '../../routing/routing-table.js';
import { streamKeyOf } from '../../streams/stream-key.js';
import type { StreamKey } from '../../streams/stream-key.js';
import { resumableForMs } from '../streams/stream-lifetime.js';
import type { ReceivedHead } from './caller-listener.js';
import { isResumption } from './caller-protocol.js';
import type { CallerRequestHead } from './caller-protocol.js';
import type { GatewayRefusal } from './gateway-refusal.js';
import { DEFAULT_REQUEST_OPTIONS } from '../attempt/request-model.js';
import type { AcceptedRequest } from '../attempt/accepted-request.js';
import type { TrackedRequest } from '../crashes/request-run.js';
import { FirstAttemptDeadlines } from './first-attempt-deadlines.js';

/** A received request with its complete body. */
export interface ReceivedRequest {
  readonly head: ReceivedHead;
  readonly caller: CallerRequestHead;
  readonly body: Buffer;
  readonly arrivedAtMs: number;
}

/**
 * Work of one generated token, in prompt tokens: decoding is slower than prefill by this factor.
 */
const WORK_UNITS_PER_OUTPUT_TOKEN = 150;

/** Availability of services, checked before a service is picked for a request. */
export interface ServiceAvailability {
  /** Whether a backend of the service in the allowed regions can serve a request. */
  canServe(service: string, allowedRegions: AllowedRegions): boolean;
}

const ALL_AVAILABLE: ServiceAvailability = { canServe: () => true };

/** Lookup of requests refused for crashes, made before a request is charged to its tenant. */
export interface CrashRefusalLookup {
  /** Returns the refusal of a request that crashes backends; undefined for any other. */
  refusalOf(request: TrackedRequest): GatewayRefusal | undefined;
}

const NO_CRASH_REFUSALS: CrashRefusalLookup = { refusalOf: () => undefined };

/** Admits or refuses requests. */
export class RequestAdmission {
  private readonly firstAttemptDeadlines = new FirstAttemptDeadlines();

  constructor(
    private readonly random: RandomSource,
    private readonly availability = ALL_AVAILABLE,
    private readonly crashes = NO_CRASH_REFUSALS,
  ) {}

  /**
   * Checks a request against the configuration in force; the quota of the tenant is charged
   * afterwards.
   */
  admit(
    received: ReceivedRequest,
    table: RoutingTable | undefined,
  ): Result<AcceptedRequest, GatewayRefusal> {
    if (table === undefined) {
      const { retryAfterMs } = DEFAULT_REQUEST_OPTIONS;
      return err({ reason: 'no-configuration', retryAfterMs });
    }
    const { head, caller } = received;
    if (headerLineBytes(head.rawHeaders) > table.configuration.limits.maxHeaderBytes) {
      return err({ reason: 'header-too-long' });
    }
    const route = table.findRoute(head.host, head.path);
    if (route === undefined) {
      return err({ reason: 'no-route' });
    }
    const tenant = caller.apiKey === undefined ? undefined : table.findTenantByKey(caller.apiKey);
    if (table.requiresApiKey && !route.allowsAnonymous && tenant === undefined) {
      return err({ reason: 'unknown-key' });
    }
    const request = this.toAcceptedRequest(received, route, tenant);
    const refusal = this.crashes.refusalOf(request);
    return refusal === undefined ? ok(request) : err(refusal);
  }

  private toAcceptedRequest(
    received: ReceivedRequest,
    route: Route,
    tenant: Tenant | undefined,
  ): AcceptedRequest {
    const { head, caller, body, arrivedAtMs } = received;
    const { tokens } = caller;
    const allowedRegions = intersectRegionLists(route.allowedRegions, tenant?.allowedRegions);
    const services = this.servicesInRegions(route, allowedRegions);
    const service = pickService(services, this.random.next()) ?? '';
    const units =
      tokens === undefined ? 1 : tokens.prompt + tokens.output * WORK_UNITS_PER_OUTPUT_TOKEN;
    const timeLimitMs = Math.min(route.timeoutMs, caller.deadlineMs ?? route.timeoutMs);
    return {
      requestId: caller.requestId ?? EMPTY_HEADER_VALUE,
      route,
      service,
      tenant: tenant?.name,
      tier: tenant?.priority ?? route.priority,
      rankInTier: route.priority,
      allowedRegions,
      arrivedAtMs,
      firstAttemptAtMs: arrivedAtMs - this.timeSinceFirstAttemptMs(route, caller),
      deadlineAtMs: arrivedAtMs + timeLimitMs,
      workUnits: units,
      promptTokens: tokens?.prompt ?? 0,
      sharedPromptParts: caller.sharedPromptParts,
      quotaCost: tenant?.quota === undefined ? 0 : quotaCostOf(caller, tenant.quota),
      method: head.method,
      path: head.path,
      headers: head.rawHeaders,
      body,
      lastEventId: caller.lastEventId,
      resumedRequestId: caller.resumedRequestId,
      streamKey: streamKey(received, route, tenant),
      resumableForMs: resumableForMs(route, caller.deadlineMs),
      resumedVersion: undefined,
    };
  }

  /**
   * Returns the services of a route that have a backend in the allowed regions; all services if
   * none has.
   */
  private servicesInRegions(
    { services }: Route,
    allowedRegions: AllowedRegions,
  ): readonly WeightedService[] {
    if (allowedRegions === undefined || services.length === 1) {
      return services;
    }
    const available = services.filter(
      ({ service, weight }) => weight > 0 && this.availability.canServe(service, allowedRegions),
    );
    return available.length > 0 ? available : services;
  }

  /** Returns the time since the caller's first attempt, estimated from its remaining deadline. */
  private timeSinceFirstAttemptMs(route: Route, { deadlineMs }: CallerRequestHead): number {
    return deadlineMs === undefined
      ? 0
      : this.firstAttemptDeadlines.timeSinceFirstAttemptMs(route.name, deadlineMs);
  }
}

/** Returns the key of the stream that a request begins or resumes. */
function streamKey(
  { head, caller }: ReceivedRequest,
  { kind, isResumable, host }: Route,
  tenant: Tenant | undefined,
): StreamKey | undefined {
  const requestId = isResumption(caller) ? caller.resumedRequestId : caller.requestId;
  if (kind !== 'stream' || !isResumable || !requestId) {
    return undefined;
  }
  return streamKeyOf({ tenant: tenant?.name, host, path: head.path, requestId });
}

/** Returns the quota cost of a request. */
function quotaCostOf({ tokens }: CallerRequestHead, quota: TenantQuota): number {
  if (quota.unit === 'requests') {
    return 1;
  }
  return tokens === undefined ? quota.plainTokens : tokens.prompt + tokens.output;
}
