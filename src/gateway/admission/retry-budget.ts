/**
 * Retry budget per service: limits the attempts beyond the first of each request.
 *
 * The limit applies to the sum over all gateways, so each gateway counts only its own requests and
 * uses an equal share of the fixed allowance.
 */

/** Limits of the budget. */
export interface RetryBudgetOptions {
  /** Retries allowed per request. */
  readonly ratio: number;
  /** Sliding window, in milliseconds. */
  readonly windowMs: number;
  /** Retries allowed per window in addition to the ratio, over all gateways. */
  readonly slack: number;
}

interface BudgetEntry {
  readonly atMs: number;
  readonly isRetry: boolean;
}

/** Share of the limit that may be spent; the rest covers retries that no gateway can see. */
const SPENDABLE_SHARE = 0.7;

/** Requests and retries of one service in the sliding window. */
class ServiceBudget {
  private readonly entries: BudgetEntry[] = [];
  private firstInWindow = 0;
  private requests = 0;
  private retries = 0;

  get size(): number {
    return this.entries.length;
  }

  add(entry: BudgetEntry): void {
    this.entries.push(entry);
    this.requests += entry.isRetry ? 0 : 1;
    this.retries += entry.isRetry ? 1 : 0;
  }

  /** Removes the newest retry, if there is one in the window. */
  removeRetry(): void {
    for (let index = this.entries.length - 1; index >= this.firstInWindow; index -= 1) {
      if (this.entries[index]!.isRetry) {
        this.entries.splice(index, 1);
        this.retries -= 1;
        return;
      }
    }
  }

  count(sinceMs: number): { requests: number; retries: number } {
    while (
      this.firstInWindow < this.entries.length &&
      this.entries[this.firstInWindow]!.atMs < sinceMs
    ) {
      const { isRetry } = this.entries[this.firstInWindow]!;
      this.requests -= isRetry ? 0 : 1;
      this.retries -= isRetry ? 1 : 0;
      this.firstInWindow += 1;
    }
    if (this.firstInWindow > 1_000) {
      this.entries.splice(0, this.firstInWindow);
      this.firstInWindow = 0;
    }
    return { requests: this.requests, retries: this.retries };
  }
}

/** Retry budgets by service. */
export class RetryBudget {
  private readonly services = new Map<string, ServiceBudget>();

  constructor(private readonly options: RetryBudgetOptions) {}

  /** Counts the first attempt of a request. */
  countRequest(service: string, nowMs: number): void {
    const budget = this.budgetOf(service);
    // Drops what has left the window, which bounds the entries of a service without retries.
    budget.count(nowMs - this.options.windowMs);
    budget.add({ atMs: nowMs, isRetry: false });
  }

  /** Number of entries held for all services. */
  get size(): number {
    return [...this.services.values()].reduce((sum, { size }) => sum + size, 0);
  }

  /** Returns the retries left by service, if `gateways` gateways share the budget. */
  repeatsLeft(gateways: number, nowMs: number): Map<string, number> {
    const left = new Map<string, number>();
    for (const [service, budget] of this.services) {
      const counted = budget.count(nowMs - this.options.windowMs);
      left.set(service, this.allowedRetries(counted.requests, gateways) - counted.retries);
    }
    return left;
  }

  /**
   * Takes one retry if the budget, shared by `gateways` gateways, allows it; returns whether it
   * did.
   */
  takeRetry(service: string, gateways: number, nowMs: number): boolean {
    const budget = this.budgetOf(service);
    const { requests, retries } = budget.count(nowMs - this.options.windowMs);
    if (retries + 1 > this.allowedRetries(requests, gateways)) {
      return false;
    }
    budget.add({ atMs: nowMs, isRetry: true });
    return true;
  }

  /** Gives back a retry that was taken and not made. */
  returnRetry(service: string): void {
    this.budgetOf(service).removeRetry();
  }

  private allowedRetries(requests: number, gateways: number): number {
    const { ratio, slack } = this.options;
    return (ratio * requests + slack / Math.max(1, gateways)) * SPENDABLE_SHARE;
  }

  private budgetOf(service: string): ServiceBudget {
    const existing = this.services.get(service);
    if (existing !== undefined) {
      return existing;
    }
    const created = new ServiceBudget();
    this.services.set(service, created);
    return created;
  }
}
