/**
 * What a run was worth to its callers, counted from their first tries: full worth in time, less when
 * late; a request that was held and not served costs in proportion to the time, its whole worth where the
 * caller left before it was told anything, and each refusal after the first a share of its worth.
 */
import type { CallerOutcome } from './model-caller.js';

/** Share of a request's worth that a refusal after the first costs. */
const REPEATED_REFUSAL_SHARE = 0.3;
/** Share of a request's deadline; held for so long and not served, it has cost its whole worth. */
const WHOLE_HOLD_SHARE = 0.75;

/** Sums of one kind of request, or of all. */
export interface ValueRow {
  readonly name: string;
  asked: number;
  inTime: number;
  late: number;
  /** Refusals of all tries, and those that hit a request that had been refused before. */
  refusals: number;
  repeatedRefusals: number;
  /** Time for which requests were held that were never served, in milliseconds. */
  heldMs: number;
  /** Worth asked, and what was earned of it less what holding and refusing again cost. */
  worthAsked: number;
  worth: number;
}

/** A row of zeros. */
export function emptyRow(name: string): ValueRow {
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

/** What one outcome earned, less its costs. */
export function worthOf(outcome: CallerOutcome): number {
  const { route, isServed, isInTime, refusals, heldMs, hasLeft } = outcome;
  const again = Math.max(0, refusals - 1) * REPEATED_REFUSAL_SHARE * route.value;
  if (isServed) {
    return (isInTime ? route.value : route.lateValue) - again;
  }
  const holdShare = hasLeft ? 1 : Math.min(1, heldMs / (route.deadlineMs * WHOLE_HOLD_SHARE));
  return -again - holdShare * route.value;
}

/** Adds an outcome to a row. */
export function addOutcome(row: ValueRow, outcome: CallerOutcome): void {
  row.asked += 1;
  row.inTime += Number(outcome.isInTime);
  row.late += Number(outcome.isServed && !outcome.isInTime);
  row.refusals += outcome.refusals;
  row.repeatedRefusals += Math.max(0, outcome.refusals - 1);
  row.heldMs += outcome.isServed ? 0 : outcome.heldMs;
  row.worthAsked += outcome.route.value;
  row.worth += worthOf(outcome);
}

/** Adds the sums of one row to another. */
export function addRow(sum: ValueRow, row: ValueRow): void {
  sum.asked += row.asked;
  sum.inTime += row.inTime;
  sum.late += row.late;
  sum.refusals += row.refusals;
  sum.repeatedRefusals += row.repeatedRefusals;
  sum.heldMs += row.heldMs;
  sum.worthAsked += row.worthAsked;
  sum.worth += row.worth;
}
