/**
 * One pending charge: requests grants from pool holders until all parts are granted or no holder is
 * left.
 */
import type { RequestedCost, QuotaDecision, QuotaRefusal } from './quota-pools.js';

/** How a charge ended. */
export type ChargeResult =
  | {
      readonly isGranted: true;
      /** Refunds the grants of a request that did not run, where they are still refundable. */
      giveBack(): void;
    }
  | {
      readonly isGranted: false;
      /** Suggested delay before the caller retries, in milliseconds. */
      readonly retryAfterMs: number;
      /** Number of holders that refused in the last round of requests. */
      readonly refused: number;
      /** Number of holders that were unreachable, timed out or hold no pool of the tenant. */
      readonly unanswered: number;
      /** Sum of the levels of the pools that refused in that round. */
      readonly left: number;
    };

/** A charge that may still be pending. */
export interface Charge {
  /** Abandons the charge; its grants are refunded, also those that arrive later. */
  cancel(): void;
}

/** Dependencies of a pending charge. */
export interface PendingChargePorts {
  /**
   * Requests a grant; `onDecision` is called once, with undefined if the holder is unreachable or
   * times out.
   */
  requestGrant(
    holder: string,
    id: number,
    requested: RequestedCost,
    onDecision: (decision: QuotaDecision | undefined) => void,
  ): void;
  nextId(): number;
  schedule(delayMs: number, callback: () => void): void;
  refund(holder: string, id: number): void;
  /**
   * Takes the whole cost from this gateway's reserve, for a charge that some holders did not
   * respond to; returns false if the reserve is too low or this gateway has none.
   */
  drawReserve(): boolean;
  onResult(result: ChargeResult): void;
}

/**
 * Retry delay returned if no holder could be reached, in milliseconds; an unresponsive holder is
 * skipped for as long.
 */
const UNREACHABLE_RETRY_MS = 500;

/**
 * One charge: requests as many parts in parallel as are still missing. If all holders were asked
 * and parts are still missing, their cost is split once among the holders that refused, which may
 * then issue advance grants against future refill.
 */
export class PendingCharge implements Charge {
  private readonly granted: Array<{ readonly holder: string; readonly id: number }> = [];
  private refusals: Array<{ readonly holder: string; readonly refusal: QuotaRefusal }> = [];
  private inFlight = 0;
  private unanswered = 0;
  /** Delay until every advance grant is valid, in milliseconds. */
  private afterMs = 0;
  /** Cost of each part requested in this round. */
  private partCost: number;
  private mayWait = false;
  private isFinished = false;

  constructor(
    private holders: readonly string[],
    private parts: number,
    private readonly cost: number,
    private readonly ports: PendingChargePorts,
  ) {
    this.partCost = cost / parts;
  }

  /** Requests the missing parts, and completes the charge once no request is in flight. */
  proceed(): void {
    while (!this.isFinished && this.granted.length + this.inFlight < this.parts) {
      const [holder, ...others] = this.holders;
      if (holder === undefined) {
        break;
      }
      this.holders = others;
      this.requestPart(holder);
    }
    if (!this.isFinished && this.inFlight === 0 && !this.splitRemainder()) {
      this.complete();
    }
  }

  cancel(): void {
    if (!this.isFinished) {
      this.isFinished = true;
      this.refundGranted();
    }
  }

  private requestPart(holder: string): void {
    const id = this.ports.nextId();
    this.inFlight += 1;
    const requested = { cost: this.partCost, whole: this.cost, mayWait: this.mayWait };
    this.ports.requestGrant(holder, id, requested, (decision) => {
      this.inFlight -= 1;
      this.handleDecision(holder, id, decision);
      this.proceed();
    });
  }

  private handleDecision(holder: string, id: number, decision: QuotaDecision | undefined): void {
    if (decision === undefined || (!decision.isGranted && !decision.isHeld)) {
      this.unanswered += 1;
    } else if (!decision.isGranted) {
      this.refusals.push({ holder, refusal: decision });
    } else if (this.isFinished) {
      this.ports.refund(holder, id);
    } else {
      this.granted.push({ holder, id });
      this.afterMs = Math.max(this.afterMs, decision.afterMs);
    }
  }

  /**
   * Splits the missing cost among the holders that refused, at most once; returns whether it did.
   */
  private splitRemainder(): boolean {
    if (this.mayWait || this.granted.length === this.parts || this.refusals.length === 0) {
      return false;
    }
    const missingCost = this.partCost * (this.parts - this.granted.length);
    this.mayWait = true;
    this.holders = this.refusals.map(({ holder }) => holder);
    this.refusals = [];
    this.partCost = missingCost / this.holders.length;
    this.parts = this.granted.length + this.holders.length;
    this.proceed();
    return true;
  }

  private complete(): void {
    const isComplete = this.granted.length === this.parts;
    if (isComplete && this.afterMs > 0) {
      this.ports.schedule(this.afterMs, () => this.finish(true));
      return;
    }
    this.finish(isComplete);
  }

  private finish(isComplete: boolean): void {
    if (this.isFinished) {
      return;
    }
    this.isFinished = true;
    if (!isComplete) {
      this.refundGranted();
    }
    if (isComplete || (this.unanswered > 0 && this.ports.drawReserve())) {
      this.ports.onResult({ isGranted: true, giveBack: () => this.refundGranted() });
      return;
    }
    const retryDelays = this.refusals.map(({ refusal }) => refusal.retryAfterMs);
    this.ports.onResult({
      isGranted: false,
      retryAfterMs: retryDelays.length === 0 ? UNREACHABLE_RETRY_MS : Math.min(...retryDelays),
      refused: this.refusals.length,
      unanswered: this.unanswered,
      left: this.refusals.reduce((sum, { refusal }) => sum + refusal.left, 0),
    });
  }

  private refundGranted(): void {
    this.granted.splice(0).forEach(({ holder, id }) => this.ports.refund(holder, id));
  }
}
