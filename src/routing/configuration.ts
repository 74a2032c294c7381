/** Routing configuration of a gateway: routes, services, tenants and limits, under one version. */
import type { HeaderValue } from '../http/header-value.js';

/** Whether a request may run more than once, and whether its response is a stream. */
export type RouteKind =
  /** May run any number of times. */
  | 'safe'
  /** Runs at most once. */
  | 'unsafe'
  /** The response is an event stream. */
  | 'stream';

/** A service that a route sends requests to, with its traffic weight. */
export interface WeightedService {
  readonly service: string;
  readonly weight: number;
}

/** How requests for one host and path prefix are served. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash; the longest matching prefix wins. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Whether an interrupted stream may be resumed at another backend. */
  readonly isResumable: boolean;
  /** Maximum total time of a request, in milliseconds. */
  readonly timeoutMs: number;
  /** Time within which a response has its full value, in milliseconds. */
  readonly targetLatencyMs: number;
  /**
   * Maximum interval between two events that still counts as in time, in milliseconds; 0 for no
   * limit.
   */
  readonly maxPauseMs: number;
  /** Maximum number of attempts of one request. */
  readonly maxAttempts: number;
  /** Priority tier; 0 is the highest. */
  readonly priority: number;
  readonly allowsAnonymous: boolean;
  /** Regions to which its requests are restricted; undefined for any. */
  readonly allowedRegions: readonly string[] | undefined;
  readonly services: readonly WeightedService[];
}

/** Whether a request of the route may run more than once. */
export function mayRunAgain({ kind, isResumable }: Route): boolean {
  return kind === 'safe' || (kind === 'stream' && isResumable);
}

/** Whether a request of the route may be retried at another backend after a failure. */
export function isRepeatable(route: Route): boolean {
  return route.maxAttempts > 1 && mayRunAgain(route);
}

/** A group of backends that serve the same requests. */
export interface Service {
  readonly name: string;
  /** Maximum connections that one backend accepts from all callers. */
  readonly maxConnections: number;
  /** Whether its backends are model engines, which serve requests in batches. */
  readonly isEngine: boolean;
  /** Tokens that an engine batches into one event of a stream; 0 for services without engines. */
  readonly tokensPerEvent: number;
  /** Time for which a backend is cold after its start, in milliseconds; 0 for no cold starts. */
  readonly coldStartMs: number;
  /** Requests a second that a cold backend can handle; 0 for no limit. */
  readonly coldRequestsPerS: number;
}

/** Rate limit of a tenant over all gateways together, in tokens or requests. */
export interface TenantQuota {
  readonly ratePerS: number;
  readonly burst: number;
  /** Cost of a request: its tokens, or one per request. */
  readonly unit: 'tokens' | 'requests';
  /** Cost of a request without a token count, where `unit` is tokens. */
  readonly plainTokens: number;
}

/** A tenant with its API keys and limits. */
export interface Tenant {
  /** Sent to backends in a header. */
  readonly name: HeaderValue;
  readonly apiKeys: readonly string[];
  /** Overrides the route's priority when set. */
  readonly priority: number | undefined;
  readonly quota: TenantQuota | undefined;
  /**
   * Regions in which its requests may be served, in addition to the route's restriction; undefined
   * for any.
   */
  readonly allowedRegions: readonly string[] | undefined;
}

/** Size and time limits for callers. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  /** Maximum time to receive the head of a request, in milliseconds. */
  readonly headerTimeoutMs: number;
  /** Maximum idle time of a connection between two requests, in milliseconds. */
  readonly idleTimeoutMs: number;
}

/** The complete routing configuration, as operators write it. */
export interface RoutingConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  /** Empty when requests need no API key. */
  readonly tenants: readonly Tenant[];
  readonly limits: CallerLimits;
}

/** Longest time that a timer of the runtime can wait, in milliseconds. */
export const MAX_TIMER_MS = 2 ** 31 - 1;

/** Values of settings that a configuration leaves out; times in milliseconds. */
export const CONFIGURATION_DEFAULTS = {
  timeoutMs: 30_000,
  targetLatencyMs: 1_000,
  maxConnections: 64,
  plainTokens: 1,
} as const;

/** Limits that apply until a configuration is installed. */
export const DEFAULT_CALLER_LIMITS: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4 * 1024 * 1024,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};
