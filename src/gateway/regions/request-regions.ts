/**
 * Tracks the regions in which one request may be served, following the active configuration.
 *
 * A new configuration also applies to requests that were admitted before it: to waiting requests,
 * retries and resumed streams. If it no longer contains the request's route or tenant, that entry
 * keeps the regions that every configuration since the admission allowed.
 */
import type { AcceptedRequest } from '../attempt/accepted-request.js';
import type { AllowedRegions } from '../../routing/backend-restriction.js';
import { intersectRegions } from '../../routing/region-restrictions.js';
import type {
  RouteAndTenant,
  RegionRestriction,
  RegionRestrictions,
} from '../../routing/region-restrictions.js';

/** Allowed regions of one route or tenant over the lifetime of a request. */
interface TrackedRegions {
  /** Regions that apply now. */
  readonly current: AllowedRegions;
  /** Intersection over all configurations that contained the entry. */
  readonly narrowest: AllowedRegions;
}

const UNRESTRICTED: TrackedRegions = { current: undefined, narrowest: undefined };

/** The allowed regions of one request. */
export class RequestRegions {
  private ofRoute = UNRESTRICTED;
  private ofTenant = UNRESTRICTED;
  private intersection: AllowedRegions;
  private lastApplied: RegionRestrictions | undefined;

  constructor(
    /** Route and tenant whose entries restrict the regions. */
    readonly owner: RouteAndTenant,
    /** Returns the allowed regions of the active configuration. */
    private readonly activeRegions: () => RegionRestrictions | undefined,
  ) {
    this.refresh();
  }

  /** Regions that both the route and the tenant allow; undefined if unrestricted. */
  get allowed(): AllowedRegions {
    this.refresh();
    return this.intersection;
  }

  /** Regions that the route allows; undefined if unrestricted. */
  get routeRegions(): AllowedRegions {
    this.refresh();
    return this.ofRoute.current;
  }

  /** Regions that the tenant allows; undefined if unrestricted. */
  get tenantRegions(): AllowedRegions {
    this.refresh();
    return this.ofTenant.current;
  }

  /** Applies the active configuration; must be called for each new one, so that none is skipped. */
  refresh(): void {
    const active = this.activeRegions();
    if (active === undefined || active === this.lastApplied) {
      return;
    }
    this.lastApplied = active;
    const { route, tenant } = this.owner;
    this.ofRoute = track(this.ofRoute, active.forRoute(route));
    this.ofTenant = track(
      this.ofTenant,
      tenant === undefined ? undefined : active.forTenant(tenant),
    );
    this.intersection = intersectRegions(this.ofRoute.current, this.ofTenant.current);
  }
}

/** Returns the request with allowed regions that follow the active configuration. */
export function withActiveRegions(
  request: AcceptedRequest,
  regions: RequestRegions,
): AcceptedRequest {
  return {
    ...request,
    get allowedRegions() {
      return regions.allowed;
    },
    homeOwner: regions.owner,
  };
}

function track(
  { narrowest }: TrackedRegions,
  restriction: RegionRestriction | undefined,
): TrackedRegions {
  if (restriction === undefined) {
    return { current: narrowest, narrowest };
  }
  return {
    current: restriction.regions,
    narrowest: intersectRegions(narrowest, restriction.regions),
  };
}
