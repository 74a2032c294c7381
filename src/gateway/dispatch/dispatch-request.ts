/** The view of a request that the dispatcher works with. */
import type { Backend } from '../../routing/backend.js';
import type { AllowedRegions } from '../../routing/backend-restriction.js';
import type { RouteAndTenant } from '../../routing/region-restrictions.js';
import type { SoftwareVersion } from '../../streams/software-version.js';
import type { WaitingPriority } from '../../slot-agent/waiting-priority.js';

/** The fields of a request that determine which backends may serve it. */
export interface PlacementConstraints {
  readonly service: string;
  /**
   * Regions in which the request may be served, by the configuration in force at each access;
   * undefined for any.
   */
  readonly allowedRegions: AllowedRegions;
  /**
   * Software version that began the stream that the request continues; undefined for any, before
   * the caller has received an event.
   */
  readonly requiredVersion: SoftwareVersion | undefined;
}

/** Ids of backends that must not be used. */
export type BackendExclusion = Pick<ReadonlySet<string>, 'has' | 'size'>;

/** Time by which a part of the response must arrive for the request to be of use to its caller. */
export interface ResponseDeadline {
  readonly atMs: number;
  readonly part: 'first-event' | 'whole-response';
}

/** A request that needs a backend. */
export interface DispatchRequest extends PlacementConstraints, WaitingPriority {
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
  /** Excludes backends that are not expected to respond in time; undefined excludes none. */
  readonly deadline?: ResponseDeadline | undefined;
  /** Whether it may be retried on another backend after a failure. */
  readonly isRepeatable: boolean;
  /** Ids of backends that must not be used. */
  readonly excluded: BackendExclusion;
  /** Called once, when a backend is bound, with the software version that it runs now. */
  onPlaced(backend: Backend, nowMs: number, version: SoftwareVersion): void;
}

/** Returns the constraints of a request that any backend of the service may serve. */
export function unconstrained(service: string): PlacementConstraints {
  return { service, allowedRegions: undefined, requiredVersion: undefined };
}
