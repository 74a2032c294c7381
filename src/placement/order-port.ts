/** Orders to a back end, as its own interface takes them. */
import type { Result } from '../result.js';
import type { BackendUnavailableError, StaleOrderError } from './errors.js';

/** What a back end is to have loaded. */
export interface ModelAssignment {
  readonly model: string;
  readonly version: string;
}

/** The order interface of one back end. */
export interface OrderPort {
  /** Whether the back end refuses an order whose fencing number is lower than one it has seen. */
  readonly checksFencing: boolean;

  /** What the back end has loaded; undefined when it has nothing. */
  readLoaded(): Promise<Result<ModelAssignment | undefined, BackendUnavailableError>>;

  /** Orders the back end to load a model. */
  load(
    assignment: ModelAssignment,
    fencingNumber: number,
  ): Promise<Result<void, StaleOrderError | BackendUnavailableError>>;
}

/** Whether two assignments are the same. */
export function isSameAssignment(
  left: ModelAssignment | undefined,
  right: ModelAssignment | undefined,
): boolean {
  return left?.model === right?.model && left?.version === right?.version;
}
