/**
 * Makes a backend load its assigned model, under a lease with a fencing number.
 *
 * Backends that enforce fencing numbers reject delayed orders of a previous lease holder that was
 * paused. For the other backends, a new holder waits for the previous lease and a margin to
 * expire, checks its own lease before every order and reads the loaded model afterwards. A delayed
 * order can still get through; the next periodic call of `ensure` corrects it.
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

/** Options of an order executor. */
export interface OrderExecutorOptions {
  /** Lease duration in milliseconds. Default 15,000. */
  readonly leaseMs: number;
  /** Minimum remaining lease time for sending an order, in milliseconds. Default 3,000. */
  readonly marginMs: number;
}

/** Default options of an order executor. */
export const DEFAULT_ORDER_OPTIONS: OrderExecutorOptions = { leaseMs: 15_000, marginMs: 3_000 };

/** Whether the model was already loaded or an order was sent. */
export type OrderOutcome = 'already-loaded' | 'ordered';

interface HeldLease {
  readonly fencingNumber: number;
  /** Measured from before the call, so that it is never later than the service's expiry. */
  readonly expiresAtMs: number;
}

const MAX_ATTEMPTS = 3;

/** Keeps one backend at its assigned model. */
export class OrderExecutor {
  /** Last fencing number for which the wait for the previous lease is over or not needed. */
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
   * Makes the backend load `assignment`; call it periodically.
   *
   * @returns whether an order was sent, or LeaseHeldError, LeaseUnavailableError,
   *   StaleOrderError, BackendUnavailableError or OrderUnsettledError
   */
  async ensure(assignment: ModelAssignment): Promise<Result<OrderOutcome, OrderError>> {
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      const lease = await this.acquireExclusiveLease();
      if (!lease.ok) {
        return err(lease.val);
      }
      const outcome = await this.loadUnderLease(lease.val, assignment);
      if (outcome !== 'try-again') {
        return outcome;
      }
    }
    return err(
      new OrderUnsettledError(
        'on every attempt the lease expired or the backend loaded a different model',
      ),
    );
  }

  private async loadUnderLease(
    lease: HeldLease,
    assignment: ModelAssignment,
  ): Promise<Result<OrderOutcome, OrderError> | 'try-again'> {
    const before = await this.port.readLoadedModel();
    if (!before.ok) {
      return err(before.val);
    }
    if (isSameAssignment(before.val, assignment)) {
      return ok('already-loaded');
    }
    if (this.clock.now() > lease.expiresAtMs - this.options.marginMs) {
      return 'try-again';
    }
    const ordered = await this.port.load(assignment, lease.fencingNumber);
    if (!ordered.ok) {
      return err(ordered.val);
    }
    const after = await this.port.readLoadedModel();
    if (!after.ok) {
      return err(after.val);
    }
    return isSameAssignment(after.val, assignment) ? ok('ordered') : 'try-again';
  }

  private async acquireExclusiveLease(): Promise<Result<HeldLease, OrderError>> {
    const first = await this.acquire();
    if (!first.ok) {
      return first;
    }
    const { fencingNumber } = first.val;
    const isSettled = fencingNumber === this.settledFencingNumber || fencingNumber === 1;
    if (this.port.enforcesFencing || isSettled) {
      this.settledFencingNumber = fencingNumber;
      return first;
    }
    return this.waitOutPreviousLease(fencingNumber);
  }

  /**
   * Waits for the previous lease and a margin to expire: without fencing, only time separates the
   * orders of successive lease holders.
   */
  private async waitOutPreviousLease(
    fencingNumber: number,
  ): Promise<Result<HeldLease, OrderError>> {
    const { leaseMs, marginMs } = this.options;
    const endMs = this.clock.now() + leaseMs + marginMs;
    while (this.clock.now() < endMs) {
      await sleep(this.clock, Math.min(leaseMs / 3, endMs - this.clock.now()));
      const renewed = await this.acquire();
      if (!renewed.ok) {
        return renewed;
      }
      if (renewed.val.fencingNumber !== fencingNumber) {
        return this.waitOutPreviousLease(renewed.val.fencingNumber);
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
      return err(new LeaseHeldError(`lease "${this.leaseName}" is held by another process`));
    }
    const { fencingNumber, durationMs } = grant.val;
    return ok({ fencingNumber, expiresAtMs: sentAtMs + durationMs });
  }
}
