/** What a dispatcher has to know of a request. */
import type { Backend } from '../../routing/backend.js';
import type { AllowedRegions } from '../../routing/backend-restriction.js';
import type { HomeOwner } from '../../routing/named-homes.js';
import type { WaitingPlace } from '../../slot-agent/waiting-order.js';

/** A request that wants a back end. */
export interface DispatchRequest extends WaitingPlace {
  readonly service: string;
  /** Regions in which it may be served, as the configuration in force says when asked; undefined for any. */
  readonly allowedRegions: AllowedRegions;
  /** Who may name these regions; told to agents that know of homes. */
  readonly homeOwner?: HomeOwner | undefined;
  /** Size of the work, in any unit that is the same for the service. */
  readonly units: number;
  /** Tokens of the prompt; 0 for a plain service. */
  readonly promptTokens: number;
  /** When its first event is due to be in time. */
  readonly firstDueAtMs: number;
  /** Longest pause between events that is in time, in milliseconds; 0 for no bound. */
  readonly maxPauseMs: number;
  /** Whether it may be run again elsewhere after a failure. */
  readonly isRepeatable: boolean;
  /** Back ends that must not be used. */
  readonly excluded: ReadonlySet<string>;
  /** Called once, when a back end is bound. */
  onPlaced(backend: Backend, nowMs: number): void;
}
