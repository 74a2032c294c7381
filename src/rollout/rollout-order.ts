/** What operators order of a roll-out, and what is told of it. */
import type { StorePosition } from '../cluster/store-position.js';

/**
 * An order to move the traffic of a service to back ends of one version. Its position in the store is that of its last
 * write: a later order replaces it.
 */
export interface RolloutOrder extends StorePosition {
  readonly service: string;
  readonly targetVersion: string;
  /** Time from the order to its deadline, in milliseconds. */
  readonly durationMs: number;
}

/** How far a roll-out has come. */
export type RolloutState = 'in-progress' | 'completed' | 'rolled-back';

/** What the store tells of a roll-out, and the position at which it was written. */
export interface RolloutStatus extends StorePosition {
  readonly service: string;
  readonly targetVersion: string;
  readonly state: RolloutState;
}

/** How back ends of one version may be used. */
export type VersionUse =
  | 'open'
  /** A small share of the requests, to judge it by. */
  | 'limited'
  | 'closed';
