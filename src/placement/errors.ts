/** Failures of orders to back ends. */
import { WeirvaleError } from '../request/errors.js';

/** Another process holds the lease for orders to this back end. */
export class LeaseHeldError extends WeirvaleError {
  readonly code = 'lease-held';
}

/** The lease could not be taken because the platform's service gave no certain answer. */
export class LeaseUnavailableError extends WeirvaleError {
  readonly code = 'lease-unavailable';
}

/** The back end has seen a higher fencing number: somebody else is in charge by now. */
export class StaleOrderError extends WeirvaleError {
  readonly code = 'stale-order';
}

/** The back end did not answer. */
export class BackendUnavailableError extends WeirvaleError {
  readonly code = 'backend-unavailable';
}

/** The lease lapsed, or the back end changed, each time the order was tried. */
export class OrderUnsettledError extends WeirvaleError {
  readonly code = 'order-unsettled';
}

/** Any failure of an order. */
export type OrderError =
  | LeaseHeldError
  | LeaseUnavailableError
  | StaleOrderError
  | BackendUnavailableError
  | OrderUnsettledError;
