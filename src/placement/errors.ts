/** Errors of orders (model load commands) to backends. */
import { WeirvaleError } from '../request/errors.js';

/** Another process holds the lease for orders to this backend. */
export class LeaseHeldError extends WeirvaleError {
  readonly code = 'lease-held';
}

/** The lease is not confirmed: the key-value service is unreachable or its response was lost. */
export class LeaseUnavailableError extends WeirvaleError {
  readonly code = 'lease-unavailable';
}

/** The backend has seen a higher fencing number: another process has acquired the lease since. */
export class StaleOrderError extends WeirvaleError {
  readonly code = 'stale-order';
}

/** The backend did not respond. */
export class BackendUnavailableError extends WeirvaleError {
  readonly code = 'backend-unavailable';
}

/** On every attempt the lease expired or the backend loaded a different model. */
export class OrderUnsettledError extends WeirvaleError {
  readonly code = 'order-unsettled';
}

/** Any error of an order. */
export type OrderError =
  | LeaseHeldError
  | LeaseUnavailableError
  | StaleOrderError
  | BackendUnavailableError
  | OrderUnsettledError;
