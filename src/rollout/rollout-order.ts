/** Rollout orders of operators, and the reported state of rollouts. */
import type { StorePosition } from '../cluster/store-position.js';

/**
 * An order to move the traffic of a service to backends of one version. Its store position is that
 * of its last write: a later order replaces it.
 */
export interface RolloutOrder extends StorePosition {
  readonly service: string;
  readonly targetVersion: string;
  /** Time from the order to its deadline, in milliseconds. */
  readonly durationMs: number;
}

/** Progress of a rollout. */
export type RolloutState = 'in-progress' | 'completed' | 'rolled-back';

/** A rollout's state as stored, and the position at which it was written. */
export interface RolloutStatus extends StorePosition {
  readonly service: string;
  readonly targetVersion: string;
  readonly state: RolloutState;
}

/** How backends of one version may be used. */
export type VersionUse =
  | 'open'
  /** Gets a small share of the requests, to evaluate the version. */
  | 'limited'
  | 'closed';
