/** Query: the regions that a configuration names for the requests of its routes and tenants. */
import type { AllowedRegions } from './backend-restriction.js';
import type { RoutingConfiguration } from './configuration.js';

/** Who may name regions for a request: its route, and its tenant if it has one. */
export interface HomeOwner {
  readonly route: string;
  readonly tenant: string | undefined;
}

/** What a configuration says of one name; `regions` is undefined where any region will do. */
export interface NamedHome {
  readonly regions: AllowedRegions;
}

interface HomeEntry {
  readonly name: string;
  readonly allowedRegions: readonly string[] | undefined;
}

/** Regions by name of route and tenant, of one configuration. */
export class NamedHomes {
  /** Every region that some route or tenant names. */
  readonly regions: ReadonlySet<string>;
  private readonly routes: ReadonlyMap<string, NamedHome>;
  private readonly tenants: ReadonlyMap<string, NamedHome>;

  constructor({ routes, tenants }: Pick<RoutingConfiguration, 'routes' | 'tenants'>) {
    this.routes = byName(routes);
    this.tenants = byName(tenants);
    const lists = [...routes, ...tenants].map(({ allowedRegions }) => allowedRegions ?? []);
    this.regions = new Set(lists.flat());
  }

  /** Whether any route or tenant names regions. */
  get hasAny(): boolean {
    return this.regions.size > 0;
  }

  /** What is said of a route; undefined for one that the configuration does not hold. */
  ofRoute(name: string): NamedHome | undefined {
    return this.routes.get(name);
  }

  /** What is said of a tenant; undefined for one that the configuration does not hold. */
  ofTenant(name: string): NamedHome | undefined {
    return this.tenants.get(name);
  }

  /** Regions that both the route and the tenant allow; a name that is not known forbids nothing. */
  allowed({ route, tenant }: HomeOwner): AllowedRegions {
    const ofTenant = tenant === undefined ? undefined : this.ofTenant(tenant)?.regions;
    return narrow(this.ofRoute(route)?.regions, ofTenant);
  }
}

/** Regions that both allow; undefined allows all. */
export function narrow(left: AllowedRegions, right: AllowedRegions): AllowedRegions {
  if (left === undefined || right === undefined) {
    return left ?? right;
  }
  return new Set([...left].filter((region) => right.has(region)));
}

/** Of entries that share a name each one binds. */
function byName(entries: readonly HomeEntry[]): Map<string, NamedHome> {
  const homes = new Map<string, NamedHome>();
  for (const { name, allowedRegions } of entries) {
    const own = allowedRegions === undefined ? undefined : new Set(allowedRegions);
    homes.set(name, { regions: narrow(homes.get(name)?.regions, own) });
  }
  return homes;
}
