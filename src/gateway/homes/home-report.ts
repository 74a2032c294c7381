/** Query: for the log, which homes a request had, and what kept it from which back end. */
import type { RestrictionReason } from '../../routing/backend-restriction.js';
import type { KnownBackend } from '../dispatch/known-backend.js';
import type { RequestHomes } from './request-homes.js';

/** Whose regions keep a request from a back end. */
export type HomeNamer = 'route' | 'tenant';

/** One back end that the request was not sent to. */
export interface KeptBackend {
  readonly backend: string;
  readonly zone: string;
  /** Region of the zone; undefined for one that the settings do not hold. */
  readonly region: string | undefined;
  readonly reason: RestrictionReason | 'not-ready';
  /** Whose regions leave it out; empty where homes are not the reason. */
  readonly by: readonly HomeNamer[];
}

/** The homes of one request in its log line. */
export interface HomeReport {
  /** Regions that its route and its tenant name; one that names none is missing. */
  readonly homes?: Partial<Record<HomeNamer, readonly string[]>>;
  /** Some back ends that it was kept from, those at home first. */
  readonly kept?: readonly KeptBackend[];
  /** How many more there are. */
  readonly keptMore?: number;
}

/** What a report asks. */
export interface HomeReportPorts {
  /** The back ends of the request's service. */
  readonly backends: readonly KnownBackend[];
  regionOf(zone: string): string | undefined;
  /** Why operators keep the request from a back end. */
  restriction(known: KnownBackend): RestrictionReason | undefined;
}

/** Back ends that a line names at most: enough to see a home with its reasons, short enough for any fleet. */
const MAX_KEPT = 8;

/** The homes that a request has; empty where it has none. */
export function reportHomes({ routeRegions, tenantRegions }: RequestHomes): HomeReport {
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

/** The same with the back ends that the request was kept from; empty where it has no homes. */
export function reportKept(request: RequestHomes, ports: HomeReportPorts): HomeReport {
  if (request.allowed === undefined) {
    return {};
  }
  const kept = ports.backends.flatMap((known) => keptBackend(known, request, ports) ?? []);
  const nearFirst = [
    ...kept.filter(({ reason }) => reason !== 'outside-home'),
    ...kept.filter(({ reason }) => reason === 'outside-home'),
  ];
  return {
    ...reportHomes(request),
    kept: nearFirst.slice(0, MAX_KEPT),
    keptMore: Math.max(0, kept.length - MAX_KEPT),
  };
}

function keptBackend(
  known: KnownBackend,
  request: RequestHomes,
  ports: HomeReportPorts,
): KeptBackend | undefined {
  const { id, zone } = known.backend;
  const reason = ports.restriction(known) ?? (known.isReady ? undefined : 'not-ready');
  if (reason === undefined) {
    return undefined;
  }
  const region = ports.regionOf(zone);
  const by = reason === 'outside-home' ? namersWithout(region, request) : [];
  return { backend: id, zone, region, reason, by };
}

function namersWithout(region: string | undefined, request: RequestHomes): HomeNamer[] {
  const lists = { route: request.routeRegions, tenant: request.tenantRegions };
  return (['route', 'tenant'] as const).filter((namer) => {
    const regions = lists[namer];
    return regions !== undefined && (region === undefined || !regions.has(region));
  });
}
