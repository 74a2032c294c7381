/**
 * The regions in which one request may be served, as the configuration in force says at the moment.
 *
 * A configuration that comes into force acts on requests that were taken before it: on those that wait, on
 * further tries and on streams that are resumed. A route or tenant that it no longer holds keeps the regions
 * that every configuration since the request was taken allowed.
 */
import type { AcceptedRequest } from '../attempt/accepted-request.js';
import type { AllowedRegions } from '../../routing/backend-restriction.js';
import { narrow } from '../../routing/named-homes.js';
import type { HomeOwner, NamedHome, NamedHomes } from '../../routing/named-homes.js';

/** The regions of one name over the life of a request. */
interface TrackedRegions {
  /** What binds now. */
  readonly current: AllowedRegions;
  /** What every configuration that held the name allowed. */
  readonly narrowest: AllowedRegions;
}

const ANYWHERE: TrackedRegions = { current: undefined, narrowest: undefined };

/** The regions in which one request may be served. */
export class RequestHomes {
  private ofRoute = ANYWHERE;
  private ofTenant = ANYWHERE;
  private both: AllowedRegions;
  private seen: NamedHomes | undefined;

  constructor(
    /** Who may name them. */
    readonly owner: HomeOwner,
    /** The homes of the configuration in force. */
    private readonly inForce: () => NamedHomes | undefined,
  ) {
    this.refresh();
  }

  /** Regions that its route and its tenant both allow; undefined for any. */
  get allowed(): AllowedRegions {
    this.refresh();
    return this.both;
  }

  /** Regions that the route allows by itself; undefined for any. */
  get routeRegions(): AllowedRegions {
    this.refresh();
    return this.ofRoute.current;
  }

  /** Regions that the tenant allows by itself; undefined for any. */
  get tenantRegions(): AllowedRegions {
    this.refresh();
    return this.ofTenant.current;
  }

  /** Takes in the configuration in force; to be called for each one, so that none is passed over. */
  refresh(): void {
    const homes = this.inForce();
    if (homes === undefined || homes === this.seen) {
      return;
    }
    this.seen = homes;
    const { route, tenant } = this.owner;
    this.ofRoute = track(this.ofRoute, homes.ofRoute(route));
    this.ofTenant = track(this.ofTenant, tenant === undefined ? undefined : homes.ofTenant(tenant));
    this.both = narrow(this.ofRoute.current, this.ofTenant.current);
  }
}

/** The request with homes that follow the configuration in force. */
export function followHomes(request: AcceptedRequest, homes: RequestHomes): AcceptedRequest {
  return {
    ...request,
    get allowedRegions() {
      return homes.allowed;
    },
    homeOwner: homes.owner,
  };
}

function track({ narrowest }: TrackedRegions, named: NamedHome | undefined): TrackedRegions {
  if (named === undefined) {
    return { current: narrowest, narrowest };
  }
  return { current: named.regions, narrowest: narrow(narrowest, named.regions) };
}
