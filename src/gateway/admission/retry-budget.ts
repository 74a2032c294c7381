/**
 * Limits sends beyond the first of each request, for each service.
 *
 * The bound holds for the sum over all gateways, so each keeps to its own
 * requests and to an equal share of the fixed part.
 */

/** Bounds of the budget. */
export interface RetryBudgetOptions {
  /** Repeats allowed for each request. */
  readonly ratio: number;
  /** Sliding window, in milliseconds. */
  readonly windowMs: number;
  /** Repeats allowed in a window beside the ratio, over all gateways. */
  readonly slack: number;
}

interface Moment {
  readonly atMs: number;
  readonly isRepeat: boolean;
}

/** Share of the bound that is spent, which leaves room for what no gateway can see. */
const SAFETY_SHARE = 0.7;

/** Repeats of requests to one service. */
class ServiceBudget {
  private readonly moments: Moment[] = [];
  private first = 0;
  private requests = 0;
  private repeats = 0;

  add(moment: Moment): void {
    this.moments.push(moment);
    this.requests += moment.isRepeat ? 0 : 1;
    this.repeats += moment.isRepeat ? 1 : 0;
  }

  count(sinceMs: number): { requests: number; repeats: number } {
    while (this.first < this.moments.length && this.moments[this.first]!.atMs < sinceMs) {
      const { isRepeat } = this.moments[this.first]!;
      this.requests -= isRepeat ? 0 : 1;
      this.repeats -= isRepeat ? 1 : 0;
      this.first += 1;
    }
    if (this.first > 1_000) {
      this.moments.splice(0, this.first);
      this.first = 0;
    }
    return { requests: this.requests, repeats: this.repeats };
  }
}

/** Repeats of requests, by service. */
export class RetryBudget {
  private readonly services = new Map<string, ServiceBudget>();

  constructor(private readonly options: RetryBudgetOptions) {}

  /** Counts a request that is sent for the first time. */
  countRequest(service: string, nowMs: number): void {
    this.budgetOf(service).add({ atMs: nowMs, isRepeat: false });
  }

  /** Repeats that the budget of `gateways` gateways still allows, by service. */
  repeatsLeft(gateways: number, nowMs: number): Map<string, number> {
    const left = new Map<string, number>();
    for (const [service, budget] of this.services) {
      const counted = budget.count(nowMs - this.options.windowMs);
      left.set(service, this.allowed(counted.requests, gateways) - counted.repeats);
    }
    return left;
  }

  /** Takes one repeat if the budget of `gateways` gateways allows it. */
  takeRepeat(service: string, gateways: number, nowMs: number): boolean {
    const budget = this.budgetOf(service);
    const { requests, repeats } = budget.count(nowMs - this.options.windowMs);
    if (repeats + 1 > this.allowed(requests, gateways)) {
      return false;
    }
    budget.add({ atMs: nowMs, isRepeat: true });
    return true;
  }

  private allowed(requests: number, gateways: number): number {
    const { ratio, slack } = this.options;
    return (ratio * requests + slack / Math.max(1, gateways)) * SAFETY_SHARE;
  }

  private budgetOf(service: string): ServiceBudget {
    const known = this.services.get(service);
    if (known !== undefined) {
      return known;
    }
    const created = new ServiceBudget();
    this.services.set(service, created);
    return created;
  }
}
