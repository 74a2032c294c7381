/**
 * Computes the net value of a run for its callers, measured from their first attempts.
 *
 * A response on time earns the full value, a late one less. A request that waited and was not
 * served costs a share of its value in proportion to the wait, or the full value if its caller
 * disconnected after a response timeout. Each refusal after the first costs a share of the value.
 */
import type { CallerOutcome } from './simulated-caller.js';

/** Share of a request's value that each refusal after the first costs. */
const REPEATED_REFUSAL_COST_SHARE = 0.3;
/** Share of a request's deadline; waiting that long without being served costs its full value. */
const FULL_COST_SHARE = 0.75;

/** Totals over the requests of one route, or over all requests; printed as JSON. */
export interface OutcomeTotals {
  readonly name: string;
  asked: number;
  inTime: number;
  late: number;
  /** Refusals of all attempts, and those after the first refusal of the same request. */
  refusals: number;
  repeatedRefusals: number;
  /** Time that requests waited which were never served, in milliseconds. */
  heldMs: number;
  /**
   * Value of all requests if served on time, and the net value: the value earned minus the costs of
   * waiting without being served and of refusals after the first.
   */
  worthAsked: number;
  worth: number;
}

/** Returns totals of zero. */
export function emptyTotals(name: string): OutcomeTotals {
  return {
    name,
    asked: 0,
    inTime: 0,
    late: 0,
    refusals: 0,
    repeatedRefusals: 0,
    heldMs: 0,
    worthAsked: 0,
    worth: 0,
  };
}

/** Returns the value that one request earned minus its costs. */
export function netValueOf(outcome: CallerOutcome): number {
  const { route, isServed, isInTime, refusals, heldMs, hasDisconnected } = outcome;
  const refusalCost = Math.max(0, refusals - 1) * REPEATED_REFUSAL_COST_SHARE * route.value;
  if (isServed) {
    return (isInTime ? route.value : route.lateValue) - refusalCost;
  }
  const waitCostShare = hasDisconnected
    ? 1
    : Math.min(1, heldMs / (route.deadlineMs * FULL_COST_SHARE));
  return -refusalCost - waitCostShare * route.value;
}

/** Adds one request to `totals`. */
export function addOutcome(totals: OutcomeTotals, outcome: CallerOutcome): void {
  totals.asked += 1;
  totals.inTime += Number(outcome.isInTime);
  totals.late += Number(outcome.isServed && !outcome.isInTime);
  totals.refusals += outcome.refusals;
  totals.repeatedRefusals += Math.max(0, outcome.refusals - 1);
  totals.heldMs += outcome.isServed ? 0 : outcome.heldMs;
  totals.worthAsked += outcome.route.value;
  totals.worth += netValueOf(outcome);
}

/** Adds `totals` to `sum`. */
export function addTotals(sum: OutcomeTotals, totals: OutcomeTotals): void {
  sum.asked += totals.asked;
  sum.inTime += totals.inTime;
  sum.late += totals.late;
  sum.refusals += totals.refusals;
  sum.repeatedRefusals += totals.repeatedRefusals;
  sum.heldMs += totals.heldMs;
  sum.worthAsked += totals.worthAsked;
  sum.worth += totals.worth;
}
