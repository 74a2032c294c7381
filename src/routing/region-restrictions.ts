/** Region restrictions that a configuration sets for routes and tenants. */
import type { AllowedRegions } from './backend-restriction.js';
import type { RoutingConfiguration } from './configuration.js';

/** The route of a request, and its tenant if it has one; both may restrict its regions. */
export interface RouteAndTenant {
  readonly route: string;
  readonly tenant: string | undefined;
}

/** The restriction of one route or tenant; `regions` is undefined for any region. */
export interface RegionRestriction {
  readonly regions: AllowedRegions;
}

interface RegionEntry {
  readonly name: string;
  readonly allowedRegions: readonly string[] | undefined;
}

/** Region restrictions of one configuration, by route and tenant name. */
export class RegionRestrictions {
  /** Union of the regions of all routes and tenants. */
  readonly regions: ReadonlySet<string>;
  private readonly routes: ReadonlyMap<string, RegionRestriction>;
  private readonly tenants: ReadonlyMap<string, RegionRestriction>;

  constructor({ routes, tenants }: Pick<RoutingConfiguration, 'routes' | 'tenants'>) {
    this.routes = mergeByName(routes);
    this.tenants = mergeByName(tenants);
    const lists = [...routes, ...tenants].map(({ allowedRegions }) => allowedRegions ?? []);
    this.regions = new Set(lists.flat());
  }

  /** Whether any route or tenant restricts regions. */
  get hasRestrictions(): boolean {
    return this.regions.size > 0;
  }

  /** Returns the restriction of a route; undefined for one that is not in the configuration. */
  forRoute(name: string): RegionRestriction | undefined {
    return this.routes.get(name);
  }

  /** Returns the restriction of a tenant; undefined for one that is not in the configuration. */
  forTenant(name: string): RegionRestriction | undefined {
    return this.tenants.get(name);
  }

  /**
   * Returns the regions that both the route and the tenant allow; an unknown name restricts
   * nothing.
   */
  allowedRegionsOf({ route, tenant }: RouteAndTenant): AllowedRegions {
    const tenantRegions = tenant === undefined ? undefined : this.forTenant(tenant)?.regions;
    return intersectRegions(this.forRoute(route)?.regions, tenantRegions);
  }
}

/** Returns the intersection of two restrictions; undefined allows all. */
export function intersectRegions(left: AllowedRegions, right: AllowedRegions): AllowedRegions {
  if (left === undefined || right === undefined) {
    return left ?? right;
  }
  return new Set([...left].filter((region) => right.has(region)));
}

/** Intersects the regions of entries that share a name. */
function mergeByName(entries: readonly RegionEntry[]): Map<string, RegionRestriction> {
  const merged = new Map<string, RegionRestriction>();
  for (const { name, allowedRegions } of entries) {
    const own = allowedRegions === undefined ? undefined : new Set(allowedRegions);
    merged.set(name, { regions: intersectRegions(merged.get(name)?.regions, own) });
  }
  return merged;
}
