/** Port for orders (model load commands) through a backend's own interface. */
import type { Result } from '../result.js';
import type { BackendUnavailableError, StaleOrderError } from './errors.js';

/** The model and version that a backend is assigned to load. */
export interface ModelAssignment {
  readonly model: string;
  readonly version: string;
}

/** Order interface of one backend. */
export interface OrderPort {
  /** Whether the backend rejects orders with a lower fencing number than it has already seen. */
  readonly enforcesFencing: boolean;

  /** Returns the loaded model, or undefined if none is loaded. */
  readLoadedModel(): Promise<Result<ModelAssignment | undefined, BackendUnavailableError>>;

  /** Commands the backend to load a model. */
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
