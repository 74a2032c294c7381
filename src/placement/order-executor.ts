/**
 * Command: bring a back end to an assignment, under a lease with a fencing number.
 *
 * Back ends that check the number refuse the late order of a holder that was
 * paused. For those that do not, a new holder waits out the old lease and a
 * margin, every order is preceded by a check of the lease and followed by a
 * read, and `ensure` is called again and again: a late order that still comes
 * through is put right at the next call, not prevented.
 */
import { sleep } from '../clock.js';
import type { Clock } from '../clock.js';
import type { KeyValueClient } from '../key-value/key-value.js';
import { err, ok } from '../result.js';
import type { Result } from '../result.js';
import { LeaseHeldError, LeaseUnavailableError, OrderUnsettledError } from './errors.js';
import type { OrderError } from './errors.js';
import { isSameAssignment } from './order-port.js';
import type { ModelAssignment, OrderPort } from './order-port.js';

/** Options of an executor. */
export interface OrderExecutorOptions {
  /** How long a lease lasts, in milliseconds. Default 15,000. */
  readonly leaseMs: number;
  /** An order is sent only while the lease has this much left, in milliseconds. Default 3,000. */
  readonly marginMs: number;
}

/** Defaults of an executor. */
export const DEFAULT_ORDER_OPTIONS: OrderExecutorOptions = { leaseMs: 15_000, marginMs: 3_000 };

/** Whether an order was needed. */
export type OrderOutcome = 'already-loaded' | 'ordered';

interface HeldLease {
  readonly fencingNumber: number;
  /** Reckoned from before the call was sent, so that it never ends later than the service thinks. */
  readonly untilMs: number;
}

const MAX_ATTEMPTS = 3;

/** Brings one back end to its assignment. */
export class OrderExecutor {
  /** The term in which this holder last waited out its predecessor. */
  private settledFencingNumber = 0;

  constructor(
    private readonly keyValue: KeyValueClient,
    private readonly port: OrderPort,
    private readonly clock: Clock,
    private readonly leaseName: string,
    private readonly holder: string,
    private readonly options: OrderExecutorOptions = DEFAULT_ORDER_OPTIONS,
  ) {}

  /**
   * Brings the back end to `assignment`; to be called again and again.
   *
   * @returns whether an order was needed, or LeaseHeldError, LeaseUnavailableError,
   *   StaleOrderError, BackendUnavailableError or OrderUnsettledError
   */
  async ensure(assignment: ModelAssignment): Promise<Result<OrderOutcome, OrderError>> {
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      const lease = await this.takeLease();
      if (!lease.ok) {
        return err(lease.val);
      }
      const outcome = await this.orderUnder(lease.val, assignment);
      if (outcome !== 'try-again') {
        return outcome;
      }
    }
    return err(new OrderUnsettledError('the lease lapsed or the back end changed at each try'));
  }

  private async orderUnder(
    lease: HeldLease,
    assignment: ModelAssignment,
  ): Promise<Result<OrderOutcome, OrderError> | 'try-again'> {
    const before = await this.port.readLoaded();
    if (!before.ok) {
      return err(before.val);
    }
    if (isSameAssignment(before.val, assignment)) {
      return ok('already-loaded');
    }
    if (this.clock.now() > lease.untilMs - this.options.marginMs) {
      return 'try-again';
    }
    const ordered = await this.port.load(assignment, lease.fencingNumber);
    if (!ordered.ok) {
      return err(ordered.val);
    }
    const after = await this.port.readLoaded();
    if (!after.ok) {
      return err(after.val);
    }
    return isSameAssignment(after.val, assignment) ? ok('ordered') : 'try-again';
  }

  private async takeLease(): Promise<Result<HeldLease, OrderError>> {
    const first = await this.acquire();
    if (!first.ok) {
      return first;
    }
    const { fencingNumber } = first.val;
    const isSettled = fencingNumber === this.settledFencingNumber || fencingNumber === 1;
    if (this.port.checksFencing || isSettled) {
      this.settledFencingNumber = fencingNumber;
      return first;
    }
    return this.waitOutPredecessor(fencingNumber);
  }

  /** Nothing but time separates this holder's orders from those of the one before. */
  private async waitOutPredecessor(fencingNumber: number): Promise<Result<HeldLease, OrderError>> {
    const { leaseMs, marginMs } = this.options;
    const endMs = this.clock.now() + leaseMs + marginMs;
    while (this.clock.now() < endMs) {
      await sleep(this.clock, Math.min(leaseMs / 3, endMs - this.clock.now()));
      const renewed = await this.acquire();
      if (!renewed.ok) {
        return renewed;
      }
      if (renewed.val.fencingNumber !== fencingNumber) {
        return this.waitOutPredecessor(renewed.val.fencingNumber);
      }
    }
    this.settledFencingNumber = fencingNumber;
    return this.acquire();
  }

  private async acquire(): Promise<Result<HeldLease, OrderError>> {
    const sentAtMs = this.clock.now();
    const { leaseMs } = this.options;
    const grant = await this.keyValue.acquireLease(this.leaseName, this.holder, leaseMs);
    if (!grant.ok) {
      return err(new LeaseUnavailableError(grant.val.message));
    }
    if (grant.val === undefined) {
      return err(new LeaseHeldError(`${this.leaseName} is held by another process`));
    }
    const { fencingNumber, durationMs } = grant.val;
    return ok({ fencingNumber, untilMs: sentAtMs + durationMs });
  }
}
