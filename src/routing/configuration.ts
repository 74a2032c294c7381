/** What operators configure for a gateway: routes, services, tenants and limits, under one version. */

/** Whether a request may run more than once. */
export type RouteKind =
  /** May be repeated at will. */
  | 'safe'
  /** Runs at most once. */
  | 'unsafe'
  /** Answered by a series of events. */
  | 'stream';

/** One service that a route sends requests to, with its share of them. */
export interface WeightedService {
  readonly service: string;
  readonly weight: number;
}

/** How requests of one host and path are served. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash; the longest that begins the path wins. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Whether a broken stream may be continued at another back end. */
  readonly isResumable: boolean;
  /** Longest time that a request may be held, in milliseconds. */
  readonly timeoutMs: number;
  /** Time within which an answer earns its full worth, in milliseconds. */
  readonly targetLatencyMs: number;
  /** Longest pause between two events that still counts as in time, in milliseconds; 0 for none. */
  readonly maxPauseMs: number;
  /** Most back ends that one request may be sent to. */
  readonly maxAttempts: number;
  /** Rank; 0 is the highest. */
  readonly priority: number;
  readonly allowsAnonymous: boolean;
  /** Regions in which its requests may be served, and nowhere else; undefined for any. */
  readonly allowedRegions: readonly string[] | undefined;
  readonly services: readonly WeightedService[];
}

/** Whether a request of the route may be run again at another back end after a failure. */
export function isRepeatable({ kind, isResumable, maxAttempts }: Route): boolean {
  return maxAttempts > 1 && (kind === 'safe' || (kind === 'stream' && isResumable));
}

/** A group of back ends that serve the same requests. */
export interface Service {
  readonly name: string;
  /** Most connections that one back end accepts from all callers. */
  readonly maxConnections: number;
  /** Whether its back ends are model engines, which serve requests in batches. */
  readonly isEngine: boolean;
  /** Tokens that an engine gathers in one event of a stream; 0 for plain services. */
  readonly tokensPerEvent: number;
  /** How long a back end is slow after its start, in milliseconds; 0 for a service without slow starts. */
  readonly coldStartMs: number;
  /** Requests a second that a back end bears while it is cold; 0 for no limit. */
  readonly coldRequestsPerS: number;
}

/** Tokens (or requests) that a tenant may spend over all gateways together. */
export interface TenantQuota {
  readonly ratePerS: number;
  readonly burst: number;
  /** What a request costs: its tokens, or one. */
  readonly unit: 'tokens' | 'requests';
  /** Cost of a request that names no tokens, where `unit` is tokens. */
  readonly plainTokens: number;
}

/** A tenant and its keys. */
export interface Tenant {
  readonly name: string;
  readonly apiKeys: readonly string[];
  /** Takes precedence over the route's priority when it is set. */
  readonly priority: number | undefined;
  readonly quota: TenantQuota | undefined;
  /** Regions in which its requests may be served; binds beside the route's. Undefined for any. */
  readonly allowedRegions: readonly string[] | undefined;
}

/** What a caller may send. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  /** Longest time for the head of a request, in milliseconds. */
  readonly headerTimeoutMs: number;
  /** Longest rest of a connection between two requests, in milliseconds. */
  readonly idleTimeoutMs: number;
}

/** Everything that operators configure. */
export interface RoutingConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  /** Empty when requests need no key. */
  readonly tenants: readonly Tenant[];
  readonly limits: CallerLimits;
}

/** Limits while no configuration is known. */
export const DEFAULT_CALLER_LIMITS: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4 * 1024 * 1024,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};
