/** One charge that is under way: holders are asked in turn until its parts are granted or nobody is left. */
import type { AskedCost, QuotaGrant, RefusedGrant } from './quota-pools.js';

/** How a charge ended. */
export type ChargeResult =
  | {
      readonly isGranted: true;
      /** The request did not run: what was granted goes back, if it is not too late. */
      giveBack(): void;
    }
  | {
      readonly isGranted: false;
      /** When the caller may usefully try again, in milliseconds. */
      readonly retryAfterMs: number;
      /** Holders that refused, and that were not reached or did not answer. */
      readonly refused: number;
      readonly unanswered: number;
      /** What the pools of those that refused held. */
      readonly left: number;
    };

/** A charge that may still be under way. */
export interface Charge {
  /** Its result is not waited for any more: what is granted all the same goes back. */
  cancel(): void;
}

/** What an open charge needs from its surroundings. */
export interface OpenChargePorts {
  /** Asks a holder; `onAnswer` is called once, with undefined where it was not reached or did not answer. */
  ask(
    holder: string,
    id: number,
    asked: AskedCost,
    onAnswer: (grant: QuotaGrant | undefined) => void,
  ): void;
  nextId(): number;
  after(delayMs: number, callback: () => void): void;
  giveBack(holder: string, id: number): void;
  takeReserve(): boolean;
  onResult(result: ChargeResult): void;
}

/** Pause named to a caller whose tenant's pools could not be asked, in milliseconds: a silent holder is passed over as long. */
const UNREACHED_RETRY_MS = 500;

/**
 * One charge: as many holders are asked at a time as parts are lacking. Once nobody is left who holds so much now, what
 * is lacking is divided among all that refused, and it may wait for what flows in.
 */
export class OpenCharge implements Charge {
  private readonly granted: Array<{ readonly holder: string; readonly id: number }> = [];
  private refusals: Array<{ readonly holder: string; readonly grant: RefusedGrant }> = [];
  private asking = 0;
  private unanswered = 0;
  /** Time until all that is granted may be used, in milliseconds. */
  private afterMs = 0;
  /** What each part costs that is asked for now. */
  private partCost: number;
  private mayWait = false;
  private isOver = false;

  constructor(
    private holders: readonly string[],
    private parts: number,
    private readonly cost: number,
    private readonly ports: OpenChargePorts,
  ) {
    this.partCost = cost / parts;
  }

  /** Asks on until the charge is granted or nobody is left to ask. */
  proceed(): void {
    while (!this.isOver && this.granted.length + this.asking < this.parts) {
      const [holder, ...others] = this.holders;
      if (holder === undefined) {
        break;
      }
      this.holders = others;
      this.askOne(holder);
    }
    if (!this.isOver && this.asking === 0 && !this.askAgain()) {
      this.end();
    }
  }

  cancel(): void {
    if (!this.isOver) {
      this.isOver = true;
      this.giveBack();
    }
  }

  private askOne(holder: string): void {
    const id = this.ports.nextId();
    this.asking += 1;
    const asked = { cost: this.partCost, whole: this.cost, mayWait: this.mayWait };
    this.ports.ask(holder, id, asked, (grant) => {
      this.asking -= 1;
      this.noteAnswer(holder, id, grant);
      this.proceed();
    });
  }

  private noteAnswer(holder: string, id: number, grant: QuotaGrant | undefined): void {
    if (grant === undefined || (!grant.isGranted && !grant.isHeld)) {
      this.unanswered += 1;
    } else if (!grant.isGranted) {
      this.refusals.push({ holder, grant });
    } else if (this.isOver) {
      this.ports.giveBack(holder, id);
    } else {
      this.granted.push({ holder, id });
      this.afterMs = Math.max(this.afterMs, grant.afterMs);
    }
  }

  /** Divides what is lacking among those that refused, once; says whether it did. */
  private askAgain(): boolean {
    if (this.mayWait || this.granted.length === this.parts || this.refusals.length === 0) {
      return false;
    }
    const lacking = this.partCost * (this.parts - this.granted.length);
    this.mayWait = true;
    this.holders = this.refusals.map(({ holder }) => holder);
    this.refusals = [];
    this.partCost = lacking / this.holders.length;
    this.parts = this.granted.length + this.holders.length;
    this.proceed();
    return true;
  }

  private end(): void {
    const isWhole = this.granted.length === this.parts;
    if (isWhole && this.afterMs > 0) {
      this.ports.after(this.afterMs, () => this.finish(true));
      return;
    }
    this.finish(isWhole);
  }

  private finish(isWhole: boolean): void {
    if (this.isOver) {
      return;
    }
    this.isOver = true;
    if (!isWhole) {
      this.giveBack();
    }
    if (isWhole || (this.unanswered > 0 && this.ports.takeReserve())) {
      this.ports.onResult({ isGranted: true, giveBack: () => this.giveBack() });
      return;
    }
    const pauses = this.refusals.map(({ grant }) => grant.retryAfterMs);
    this.ports.onResult({
      isGranted: false,
      retryAfterMs: pauses.length === 0 ? UNREACHED_RETRY_MS : Math.min(...pauses),
      refused: this.refusals.length,
      unanswered: this.unanswered,
      left: this.refusals.reduce((sum, { grant }) => sum + grant.left, 0),
    });
  }

  private giveBack(): void {
    this.granted.splice(0).forEach(({ holder, id }) => this.ports.giveBack(holder, id));
  }
}
