/** Holds the routing configuration that a gateway applies; its version only increases. */
import type { Clock } from '../clock.js';
import { DEFAULT_CALLER_LIMITS } from '../routing/configuration.js';
import type { CallerLimits, RoutingConfiguration, Service } from '../routing/configuration.js';
import type { RegionRestrictions } from '../routing/region-restrictions.js';
import type { ColdStartSettings } from '../slot-agent/slot-messages.js';
import { RoutingTable } from '../routing/routing-table.js';

/** The newest routing configuration that this gateway has received. */
export class ActiveConfiguration {
  private current: RoutingTable | undefined;
  private installedAtMs: number | undefined;

  constructor(private readonly clock: Clock) {}

  /** Routing table of the active configuration; undefined before the first one. */
  get table(): RoutingTable | undefined {
    return this.current;
  }

  /** Version of the active configuration; undefined before the first one. */
  get version(): number | undefined {
    return this.current?.configuration.version;
  }

  /** Regions that its routes and tenants are restricted to; undefined before the first one. */
  get regionRestrictions(): RegionRestrictions | undefined {
    return this.current?.regionRestrictions;
  }

  /** Size limits for requests of callers. */
  get limits(): CallerLimits {
    return this.current?.configuration.limits ?? DEFAULT_CALLER_LIMITS;
  }

  /**
   * Time since the configuration was installed, in milliseconds; undefined before the first one.
   */
  get ageMs(): number | undefined {
    return this.installedAtMs === undefined ? undefined : this.clock.now() - this.installedAtMs;
  }

  /** Whether the configuration names the service; true for every service before the first one. */
  isServiceConfigured(service: string): boolean {
    return this.current === undefined || this.current.findService(service) !== undefined;
  }

  /** Whether the backends of a service are engines, which process requests in batches. */
  isEngine(service: string): boolean {
    return this.current?.findService(service)?.isEngine ?? false;
  }

  /**
   * The service's cold-start settings; undefined if the configuration does not name the service, or
   * if its backends take the full rate from their start.
   */
  coldStartOf(service: string): Service | undefined {
    const found = this.current?.findService(service);
    return found === undefined || found.coldRequestsPerS <= 0 ? undefined : found;
  }

  /** The cold-start settings that are sent to the agents of the service's backends. */
  coldStartHello(service: string): ColdStartSettings | undefined {
    const coldStart = this.coldStartOf(service);
    if (coldStart === undefined) {
      return undefined;
    }
    const { coldStartMs, coldRequestsPerS } = coldStart;
    return { coldStartMs, coldRequestsPerS };
  }

  /** Tokens that an engine of the service batches into one stream event. */
  tokensPerEvent(service: string): number {
    return this.current?.findService(service)?.tokensPerEvent ?? 0;
  }

  /** Activates a configuration; returns false if it is not newer than the active one. */
  install(configuration: RoutingConfiguration): boolean {
    if (this.version !== undefined && configuration.version <= this.version) {
      return false;
    }
    this.current = new RoutingTable(configuration);
    this.installedAtMs = this.clock.now();
    return true;
  }
}
