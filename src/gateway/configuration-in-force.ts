/** The newest configuration that a gateway knows; versions never fall. */
import type { Clock } from '../clock.js';
import { DEFAULT_CALLER_LIMITS } from '../routing/configuration.js';
import type { CallerLimits, RoutingConfiguration, Service } from '../routing/configuration.js';
import type { NamedHomes } from '../routing/named-homes.js';
import type { ColdStartHello } from '../slot-agent/slot-messages.js';
import { RoutingTable } from '../routing/routing-table.js';

/** The newest configuration that a gateway knows. */
export class ConfigurationInForce {
  private current: RoutingTable | undefined;
  private installedAtMs: number | undefined;

  constructor(private readonly clock: Clock) {}

  /** Undefined before the first configuration. */
  get table(): RoutingTable | undefined {
    return this.current;
  }

  /** Version in force; undefined before the first. */
  get version(): number | undefined {
    return this.current?.configuration.version;
  }

  /** Regions that its routes and tenants name; undefined before the first. */
  get homes(): NamedHomes | undefined {
    return this.current?.homes;
  }

  /** Limits of what callers may send. */
  get limits(): CallerLimits {
    return this.current?.configuration.limits ?? DEFAULT_CALLER_LIMITS;
  }

  /** How long the configuration has been in force, in milliseconds; undefined before the first. */
  get ageMs(): number | undefined {
    return this.installedAtMs === undefined ? undefined : this.clock.now() - this.installedAtMs;
  }

  /** Whether a service is named; any may be before the first configuration. */
  isNamed(service: string): boolean {
    return this.current === undefined || this.current.findService(service) !== undefined;
  }

  /** Whether a service's back ends are engines, which serve in batches. */
  isEngine(service: string): boolean {
    return this.current?.findService(service)?.isEngine ?? false;
  }

  /** What a service says of slow starts; undefined where its back ends bear any rate from their start. */
  coldStartOf(service: string): Service | undefined {
    const found = this.current?.findService(service);
    return found === undefined || found.coldRequestsPerS <= 0 ? undefined : found;
  }

  /** The same for the agents of its back ends. */
  coldStartHello(service: string): ColdStartHello | undefined {
    const coldStart = this.coldStartOf(service);
    if (coldStart === undefined) {
      return undefined;
    }
    const { coldStartMs, coldRequestsPerS } = coldStart;
    return { coldStartMs, coldRequestsPerS };
  }

  /** Tokens that an engine of the service gathers in one event. */
  tokensPerEvent(service: string): number {
    return this.current?.findService(service)?.tokensPerEvent ?? 0;
  }

  /** Puts a configuration in force; false if it is not newer than the one that is. */
  install(configuration: RoutingConfiguration): boolean {
    if (this.version !== undefined && configuration.version <= this.version) {
      return false;
    }
    this.current = new RoutingTable(configuration);
    this.installedAtMs = this.clock.now();
    return true;
  }
}
