/**
 * Builds the log fields with a request's allowed regions and the backends that were excluded for
 * it.
 */
import type { KnownBackend } from '../dispatch/known-backend.js';
import type { RequestRestrictionReason } from '../dispatch/request-restriction.js';
import type { RequestRegions } from './request-regions.js';

/** The configuration entry that restricts the regions of a request. */
export type RegionSource = 'route' | 'tenant';

/** A backend that was excluded for the request. */
export interface ExcludedBackend {
  readonly backend: string;
  readonly zone: string;
  /** Region of the zone; undefined if the settings do not name the zone. */
  readonly region: string | undefined;
  readonly reason: RequestRestrictionReason | 'not-ready';
  /** Entries whose allowed regions exclude it; empty if the reason is another one. */
  readonly by: readonly RegionSource[];
}

/** Log fields of a request about its allowed regions. */
export interface RegionReport {
  /** Allowed regions of its route and its tenant; an entry without a restriction is omitted. */
  readonly homes?: Partial<Record<RegionSource, readonly string[]>>;
  /** Up to `MAX_EXCLUDED` excluded backends, those in allowed regions first. */
  readonly kept?: readonly ExcludedBackend[];
  /** Number of excluded backends beyond that. */
  readonly keptMore?: number;
}

/** Lookups that a report needs. */
export interface RegionReportPorts {
  /** Backends of the request's service. */
  readonly backends: readonly KnownBackend[];
  regionOf(zone: string): string | undefined;
  /** Why the request may not be sent to a backend; undefined if it may. */
  restriction(known: KnownBackend): RequestRestrictionReason | undefined;
}

/**
 * Maximum number of listed backends: enough to diagnose one region, while log entries of large
 * fleets stay short.
 */
const MAX_EXCLUDED = 8;

/** Reports the allowed regions of a request; empty if it is not restricted. */
export function reportRegions({ routeRegions, tenantRegions }: RequestRegions): RegionReport {
  if (routeRegions === undefined && tenantRegions === undefined) {
    return {};
  }
  return {
    homes: {
      ...(routeRegions === undefined ? {} : { route: [...routeRegions] }),
      ...(tenantRegions === undefined ? {} : { tenant: [...tenantRegions] }),
    },
  };
}

/**
 * Reports the allowed regions and the excluded backends; empty if the request is not restricted.
 */
export function reportExcluded(request: RequestRegions, ports: RegionReportPorts): RegionReport {
  if (request.allowed === undefined) {
    return {};
  }
  const excluded = ports.backends.flatMap((known) => excludedBackend(known, request, ports) ?? []);
  const inRegionFirst = [
    ...excluded.filter(({ reason }) => reason !== 'outside-home'),
    ...excluded.filter(({ reason }) => reason === 'outside-home'),
  ];
  return {
    ...reportRegions(request),
    kept: inRegionFirst.slice(0, MAX_EXCLUDED),
    keptMore: Math.max(0, excluded.length - MAX_EXCLUDED),
  };
}

function excludedBackend(
  known: KnownBackend,
  request: RequestRegions,
  ports: RegionReportPorts,
): ExcludedBackend | undefined {
  const { id, zone } = known.backend;
  const reason = ports.restriction(known) ?? (known.isReady ? undefined : 'not-ready');
  if (reason === undefined) {
    return undefined;
  }
  const region = ports.regionOf(zone);
  const by = reason === 'outside-home' ? sourcesExcluding(region, request) : [];
  return { backend: id, zone, region, reason, by };
}

function sourcesExcluding(region: string | undefined, request: RequestRegions): RegionSource[] {
  const lists = { route: request.routeRegions, tenant: request.tenantRegions };
  return (['route', 'tenant'] as const).filter((source) => {
    const regions = lists[source];
    return regions !== undefined && (region === undefined || !regions.has(region));
  });
}
