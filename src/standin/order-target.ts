/** Fake order interface of a backend, with or without enforcement of fencing numbers. */
import { StaleOrderError } from '../placement/errors.js';
import type { ModelAssignment } from '../placement/order-port.js';
import { err, ok } from '../result.js';
import type { Result } from '../result.js';

/** A received order. */
export interface ReceivedOrder {
  readonly assignment: ModelAssignment;
  readonly fencingNumber: number;
  readonly wasAccepted: boolean;
}

/** Order interface of a fake backend. */
export class OrderTarget {
  /** All received orders, including rejected ones. */
  readonly receivedOrders: ReceivedOrder[] = [];
  loaded: ModelAssignment | undefined;
  private highestFencingNumber = 0;

  constructor(readonly enforcesFencing: boolean) {}

  /** Loads the assigned model, unless the fencing number is stale. */
  load(assignment: ModelAssignment, fencingNumber: number): Result<void, StaleOrderError> {
    const isStale = this.enforcesFencing && fencingNumber < this.highestFencingNumber;
    this.receivedOrders.push({ assignment, fencingNumber, wasAccepted: !isStale });
    if (isStale) {
      return err(
        new StaleOrderError(
          `fencing number ${fencingNumber} is lower than ${this.highestFencingNumber}`,
        ),
      );
    }
    this.highestFencingNumber = Math.max(this.highestFencingNumber, fencingNumber);
    this.loaded = assignment;
    return ok(undefined);
  }
}
