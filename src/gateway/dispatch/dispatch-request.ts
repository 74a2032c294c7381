/** The view of a request that the dispatcher works with. */
import type { Backend } from '../../routing/backend.js';
import type { AllowedRegions } from '../../routing/backend-restriction.js';
import type { RouteAndTenant } from '../../routing/region-restrictions.js';
import type { WaitingPriority } from '../../slot-agent/waiting-priority.js';

/** A request that needs a backend. */
export interface DispatchRequest extends WaitingPriority {
  readonly service: string;
  /**
   * Regions in which the request may be served, by the configuration in force at each access;
   * undefined for any.
   */
  readonly allowedRegions: AllowedRegions;
  /** Route and tenant that determine the allowed regions; sent to agents that report `homes`. */
  readonly homeOwner?: RouteAndTenant | undefined;
  /** Amount of work, in a unit that is uniform within the service. */
  readonly units: number;
  /** Number of prompt tokens; 0 for a plain service. */
  readonly promptTokens: number;
  /** Time by which the first event must arrive to count as in time. */
  readonly firstDueAtMs: number;
  /** Longest pause between events that counts as in time, in milliseconds; 0 for no bound. */
  readonly maxPauseMs: number;
  /** Whether it may be retried on another backend after a failure. */
  readonly isRepeatable: boolean;
  /** Ids of backends that must not be used. */
  readonly excluded: ReadonlySet<string>;
  /** Called once, when a backend is bound. */
  onPlaced(backend: Backend, nowMs: number): void;
}
