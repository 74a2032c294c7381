/** Query: the region restrictions that a configuration sets for routes and tenants. */
import type { AllowedRegions } from './backend-restriction.js';
import type { RoutingConfiguration } from './configuration.js';

/** The route of a request, and its tenant if it has one; both may restrict its regions. */
export interface HomeOwner {
  readonly route: string;
  readonly tenant: string | undefined;
}

/** The restriction of one route or tenant; `regions` is undefined for any region. */
export interface NamedHome {
  readonly regions: AllowedRegions;
}

interface RegionEntry {
  readonly name: string;
  readonly allowedRegions: readonly string[] | undefined;
}

/** Region restrictions of one configuration, by route and tenant name. */
export class NamedHomes {
  /** Union of the regions of all routes and tenants. */
  readonly regions: ReadonlySet<string>;
  private readonly routes: ReadonlyMap<string, NamedHome>;
  private readonly tenants: ReadonlyMap<string, NamedHome>;

  constructor({ routes, tenants }: Pick<RoutingConfiguration, 'routes' | 'tenants'>) {
    this.routes = mergeByName(routes);
    this.tenants = mergeByName(tenants);
    const lists = [...routes, ...tenants].map(({ allowedRegions }) => allowedRegions ?? []);
    this.regions = new Set(lists.flat());
  }

  /** Whether any route or tenant restricts regions. */
  get hasAny(): boolean {
    return this.regions.size > 0;
  }

  /** Returns the restriction of a route; undefined for one that is not in the configuration. */
  ofRoute(name: string): NamedHome | undefined {
    return this.routes.get(name);
  }

  /** Returns the restriction of a tenant; undefined for one that is not in the configuration. */
  ofTenant(name: string): NamedHome | undefined {
    return this.tenants.get(name);
  }

  /**
   * Returns the regions that both the route and the tenant allow; an unknown name restricts
   * nothing.
   */
  allowed({ route, tenant }: HomeOwner): AllowedRegions {
    const tenantRegions = tenant === undefined ? undefined : this.ofTenant(tenant)?.regions;
    return narrow(this.ofRoute(route)?.regions, tenantRegions);
  }
}

/** Returns the intersection of two restrictions; undefined allows all. */
export function narrow(left: AllowedRegions, right: AllowedRegions): AllowedRegions {
  if (left === undefined || right === undefined) {
    return left ?? right;
  }
  return new Set([...left].filter((region) => right.has(region)));
}

/** Intersects the regions of entries that share a name. */
function mergeByName(entries: readonly RegionEntry[]): Map<string, NamedHome> {
  const merged = new Map<string, NamedHome>();
  for (const { name, allowedRegions } of entries) {
    const own = allowedRegions === undefined ? undefined : new Set(allowedRegions);
    merged.set(name, { regions: narrow(merged.get(name)?.regions, own) });
  }
  return merged;
}
