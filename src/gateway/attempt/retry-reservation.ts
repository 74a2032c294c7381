/** Holds the next retry of a request until it is made or given back. */
import type { AcceptedRequest } from './accepted-request.js';
import type { RequestPorts, RetryCharge } from './request-model.js';

/**
 * The next retry of one request: it is taken from the budget of the service and, where two backends
 * may execute the request, charged to the tenant. What is held when the request ends is given back.
 */
export class RetryReservation {
  private isTaken = false;
  private granted: RetryCharge | undefined;
  /** Identifies the charge in progress; the result of any other one is not awaited. */
  private pendingCharge: symbol | undefined;
  private onResult: (isGranted: boolean) => void = () => undefined;

  constructor(
    private readonly request: AcceptedRequest,
    private readonly ports: Pick<RequestPorts, 'takeRetry' | 'returnRetry' | 'chargeRetry'>,
  ) {}

  /** Whether the retry is taken and charged. */
  get isCharged(): boolean {
    return this.granted !== undefined;
  }

  /** Takes the retry from the budget, unless it is held already; returns false if none is left. */
  take(): boolean {
    this.isTaken ||= this.ports.takeRetry(this.request.service);
    return this.isTaken;
  }

  /**
   * Charges the retry, unless that is done; `onResult` replaces the callback of a charge in
   * progress, and is not called once the retry is given back.
   */
  charge(onResult: (isGranted: boolean) => void): void {
    if (this.isCharged) {
      onResult(true);
      return;
    }
    this.onResult = onResult;
    if (this.pendingCharge === undefined) {
      const charge = Symbol('charge');
      this.pendingCharge = charge;
      this.ports.chargeRetry(this.request, (result) => this.settle(charge, result));
    }
  }

  /** Records that the retry is made. */
  use(): void {
    this.isTaken = false;
    this.granted = undefined;
    this.pendingCharge = undefined;
  }

  /** Records that the retry was sent and not executed; its charge is kept for the next one. */
  useUnexecuted(): void {
    this.isTaken = false;
  }

  /** Gives back the retry, if it is held. */
  release(): void {
    this.refundCharge();
    this.returnTaken();
  }

  /** Refunds the charge, for a retry of an attempt that was not executed. */
  refundCharge(): void {
    const { granted } = this;
    this.granted = undefined;
    this.pendingCharge = undefined;
    granted?.giveBack();
  }

  private settle(charge: symbol, result: RetryCharge): void {
    if (this.pendingCharge !== charge) {
      result.giveBack();
      return;
    }
    this.pendingCharge = undefined;
    if (result.isGranted) {
      this.granted = result;
    } else {
      this.returnTaken();
    }
    this.onResult(result.isGranted);
  }

  private returnTaken(): void {
    if (this.isTaken) {
      this.isTaken = false;
      this.ports.returnRetry(this.request.service);
    }
  }
}
