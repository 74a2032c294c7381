/** What operators order of a roll-out, and what is told of it. */

/** An order to move the traffic of a service to back ends of one version. */
export interface RolloutOrder {
  readonly service: string;
  readonly targetVersion: string;
  /** Time from the order to its deadline, in milliseconds. */
  readonly durationMs: number;
  /** The store's revision of the order: a later one replaces it. */
  readonly revision: number;
}

/** How far a roll-out has come. */
export type RolloutState = 'in-progress' | 'completed' | 'rolled-back';

/** What the store tells of a roll-out. */
export interface RolloutStatus {
  readonly service: string;
  readonly targetVersion: string;
  readonly state: RolloutState;
  /** The store's revision of this state. */
  readonly revision: number;
}

/** How back ends of one version may be used. */
export type VersionUse =
  | 'open'
  /** A small share of the requests, to judge it by. */
  | 'limited'
  | 'closed';
