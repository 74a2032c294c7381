/** Learns how often waiting requests of a service are bound, from which their wait is reckoned. */

interface Interval {
  lastAtMs: number;
  meanMs: number;
}

/** Weight of the newest interval. */
const SMOOTHING = 0.1;
/** A longer time between two bindings counts as this, in milliseconds: it says that few wait. */
const MAX_INTERVAL_MS = 500;

/** Time between two bindings of requests that had waited, by service. */
export class BindIntervals {
  private readonly byService = new Map<string, Interval>();

  /** Mean time between two bindings, in milliseconds; 0 while nothing was learned. */
  meanMs(service: string): number {
    return this.byService.get(service)?.meanMs ?? 0;
  }

  /** A request that had waited is bound. */
  noteBound(service: string, nowMs: number): void {
    const known = this.byService.get(service);
    if (known === undefined) {
      this.byService.set(service, { lastAtMs: nowMs, meanMs: 0 });
      return;
    }
    const intervalMs = Math.min(MAX_INTERVAL_MS, nowMs - known.lastAtMs);
    known.meanMs += SMOOTHING * (intervalMs - known.meanMs);
    known.lastAtMs = nowMs;
  }

  /** A request begins to wait where none did: the time before says nothing of how fast slots are freed. */
  noteFirstWaiting(service: string, nowMs: number): void {
    const known = this.byService.get(service);
    if (known !== undefined) {
      known.lastAtMs = nowMs;
    }
  }
}
