/** Looks up the route, tenant and service of a request in one configuration. */
import { RegionRestrictions } from './region-restrictions.js';
import type {
  Route,
  RoutingConfiguration,
  Service,
  Tenant,
  WeightedService,
} from './configuration.js';

/** Index over a configuration for fast lookups. */
export class RoutingTable {
  private readonly routesByHost = new Map<string, Map<string, Route>>();
  private readonly tenantsByKey = new Map<string, Tenant>();
  private readonly servicesByName = new Map<string, Service>();
  /** Region restrictions of its routes and tenants. */
  readonly regionRestrictions: RegionRestrictions;

  constructor(readonly configuration: RoutingConfiguration) {
    this.regionRestrictions = new RegionRestrictions(configuration);
    for (const route of configuration.routes) {
      const host = route.host.toLowerCase();
      const routes = this.routesByHost.get(host) ?? new Map<string, Route>();
      routes.set(route.pathPrefix, route);
      this.routesByHost.set(host, routes);
    }
    for (const tenant of configuration.tenants) {
      for (const key of tenant.apiKeys) {
        this.tenantsByKey.set(key, tenant);
      }
    }
    for (const service of configuration.services) {
      this.servicesByName.set(service.name, service);
    }
  }

  /** Whether requests need an API key. */
  get requiresApiKey(): boolean {
    return this.configuration.tenants.length > 0;
  }

  /** Returns the route of `host` (a port is ignored) with the longest matching prefix of `path`. */
  findRoute(host: string, path: string): Route | undefined {
    const routes = this.routesByHost.get(host.toLowerCase().replace(/:\d+$/, ''));
    if (routes === undefined) {
      return undefined;
    }
    const queryStart = path.indexOf('?');
    const plainPath = queryStart < 0 ? path : path.slice(0, queryStart);
    let end = plainPath.lastIndexOf('/');
    while (end >= 0) {
      const route = routes.get(plainPath.slice(0, end + 1));
      if (route !== undefined) {
        return route;
      }
      end = end === 0 ? -1 : plainPath.lastIndexOf('/', end - 1);
    }
    return undefined;
  }

  /** Returns the tenant that `apiKey` belongs to. */
  findTenantByKey(apiKey: string): Tenant | undefined {
    return this.tenantsByKey.get(apiKey);
  }

  /** Returns a tenant by name. */
  findTenantByName(name: string): Tenant | undefined {
    return this.configuration.tenants.find((tenant) => tenant.name === name);
  }

  /** Returns a service by name. */
  findService(name: string): Service | undefined {
    return this.servicesByName.get(name);
  }
}

/** Picks a service by weight; `draw` is a uniform random number, at least 0 and less than 1. */
export function pickService(
  services: readonly WeightedService[],
  draw: number,
): string | undefined {
  const total = services.reduce((sum, { weight }) => sum + weight, 0);
  let remaining = draw * total;
  for (const { service, weight } of services) {
    remaining -= weight;
    if (remaining < 0) {
      return service;
    }
  }
  return services.at(-1)?.service;
}
