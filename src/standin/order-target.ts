/** Stand-in for the order interface of a back end, with or without a check of fencing numbers. */
import { StaleOrderError } from '../placement/errors.js';
import type { ModelAssignment } from '../placement/order-port.js';
import { err, ok } from '../result.js';
import type { Result } from '../result.js';

/** An order that came in. */
export interface ReceivedOrder {
  readonly assignment: ModelAssignment;
  readonly fencingNumber: number;
  readonly wasAccepted: boolean;
}

/** The order interface of a stand-in back end. */
export class OrderTarget {
  /** Every order that came in, refused ones included. */
  readonly received: ReceivedOrder[] = [];
  loaded: ModelAssignment | undefined;
  private highestFencingNumber = 0;

  constructor(readonly checksFencing: boolean) {}

  /** Takes an order. */
  load(assignment: ModelAssignment, fencingNumber: number): Result<void, StaleOrderError> {
    const isStale = this.checksFencing && fencingNumber < this.highestFencingNumber;
    this.received.push({ assignment, fencingNumber, wasAccepted: !isStale });
    if (isStale) {
      return err(new StaleOrderError(`${fencingNumber} is below ${this.highestFencingNumber}`));
    }
    this.highestFencingNumber = Math.max(this.highestFencingNumber, fencingNumber);
    this.loaded = assignment;
    return ok(undefined);
  }
}
