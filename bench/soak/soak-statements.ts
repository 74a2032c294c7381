/**
 * Statements of simulated backends in response headers, and checks that gateways follow them: a
 * limit on requests per second, draining (`leaving`), or a backoff (`rest`, sent as Retry-After).
 */
import { randomInteger } from '../../src/random.js';
import type { RandomSource } from '../../src/random.js';
import type { SoakFleet } from './soak-fleet.js';

/** The statement in a backend's responses. */
export type SoakStatement =
  | { readonly kind: 'limit'; readonly perS: number }
  | { readonly kind: 'leaving' }
  | { readonly kind: 'rest'; readonly untilMs: number };

/** The arrival of a request at a backend. */
export interface SoakArrival {
  readonly requestId: string;
  readonly atMs: number;
}

/** A statement in the response to a request. */
export interface SentStatement extends SoakArrival {
  readonly statement: SoakStatement;
}

/** Arrivals and sent statements of one incarnation of a backend. */
export interface StatementLog {
  readonly arrivals: SoakArrival[];
  readonly statements: SentStatement[];
}

/** Information about requests and faults for the checks. */
export interface StatementCheckContext {
  /** Returns the index of the gateway that a request was sent to. */
  gatewayOf(requestId: string): number;
  /** Returns the time at which the caller sent the request, in milliseconds. */
  sentAtMs(requestId: string): number;
  /** Whether the gateway of the request has had no fault since `sinceMs`. */
  isUndisruptedSince(requestId: string, sinceMs: number): boolean;
}

/** Limits in statements, in requests per second. */
const LIMITS = [1, 3, 6];
const LIMIT_DURATION_MS = 7_000;
const BACKOFF_DURATION_MS = 1_500;
const DRAIN_DURATION_MS = 4_000;
const LIMIT_EFFECTIVE_MS = 3_000;
const LIMIT_WINDOW_MS = 4_000;
const LIMIT_OVER_FACTOR = 1.5;
const LIMIT_SLACK = 5;
const DRAIN_EFFECTIVE_MS = 2_200;
const STATEMENT_EFFECTIVE_MS = 500;
const MAX_DURING_BACKOFF = 2;

/** Lets a random backend send a statement for a while; returns a description. */
export function startStatement(fleet: SoakFleet, random: RandomSource): string {
  const index = randomInteger(random, 0, fleet.backends.length - 1);
  const backend = fleet.backends[index]!;
  const kind = (['limit', 'leaving', 'rest'] as const)[randomInteger(random, 0, 2)]!;
  if (backend.statement !== undefined) {
    return `backend ${index} already sends a statement`;
  }
  const end = () => (backend.statement = undefined);
  if (kind === 'limit') {
    const perS = LIMITS[randomInteger(random, 0, LIMITS.length - 1)]!;
    backend.statement = { kind, perS };
    setTimeout(end, LIMIT_DURATION_MS).unref();
    return `backend ${index} states a limit of ${perS} requests/s`;
  }
  if (kind === 'rest') {
    backend.statement = { kind, untilMs: performance.now() + BACKOFF_DURATION_MS };
    setTimeout(end, BACKOFF_DURATION_MS).unref();
    return `backend ${index} requests a backoff`;
  }
  backend.statement = { kind };
  const endAndReplace = () => {
    end();
    fleet.replaceBackend(index);
  };
  setTimeout(endAndReplace, DRAIN_DURATION_MS).unref();
  return `backend ${index} states that it is draining, in responses only`;
}

/** Reports statements that gateways did not follow, for one incarnation of a backend. */
export function findIgnoredStatements(
  backendId: string,
  log: StatementLog,
  context: StatementCheckContext,
): string[] {
  return [
    ...findSentToDraining(backendId, log, context),
    ...findSentDuringBackoff(backendId, log, context),
    ...findOverLimit(backendId, log, context),
  ];
}

/**
 * Reports requests sent too long after their gateway learned from a statement that the backend is
 * draining.
 */
function findSentToDraining(
  backendId: string,
  { arrivals, statements }: StatementLog,
  context: StatementCheckContext,
): string[] {
  const drainStatements = statements.filter(({ statement }) => statement.kind === 'leaving');
  return arrivals.flatMap(({ requestId }) => {
    const firstAtMs = firstStatementTo(drainStatements, requestId, context);
    const lateMs = context.sentAtMs(requestId) - (firstAtMs ?? Infinity);
    return firstAtMs !== undefined &&
      lateMs > DRAIN_EFFECTIVE_MS &&
      context.isUndisruptedSince(requestId, firstAtMs)
      ? [
          `${requestId} reached ${backendId} ${Math.round(lateMs)} ms after its response stated that it is draining`,
        ]
      : [];
  });
}

function findSentDuringBackoff(
  backendId: string,
  { arrivals, statements }: StatementLog,
  context: StatementCheckContext,
): string[] {
  return statements.flatMap(({ requestId, atMs, statement }) => {
    if (statement.kind !== 'rest' || !context.isUndisruptedSince(requestId, atMs)) {
      return [];
    }
    const duringBackoff = arrivals.filter(
      (arrival) =>
        context.gatewayOf(arrival.requestId) === context.gatewayOf(requestId) &&
        arrival.atMs > atMs + STATEMENT_EFFECTIVE_MS &&
        arrival.atMs < statement.untilMs,
    );
    return duringBackoff.length > MAX_DURING_BACKOFF
      ? [
          `${backendId} got ${duringBackoff.length} requests during a backoff from a gateway that had received it`,
        ]
      : [];
  });
}

function findOverLimit(
  backendId: string,
  { arrivals, statements }: StatementLog,
  context: StatementCheckContext,
): string[] {
  const limits = statements.flatMap(({ statement, ...sent }) =>
    statement.kind === 'limit' ? [{ ...sent, perS: statement.perS }] : [],
  );
  const [first] = limits;
  const last = limits.at(-1);
  if (first === undefined || last === undefined) {
    return [];
  }
  const counted = arrivals.filter(({ requestId, atMs }) => {
    const statedAtMs = firstStatementTo(limits, requestId, context);
    const isLimited = statedAtMs !== undefined && atMs >= statedAtMs + STATEMENT_EFFECTIVE_MS;
    const isInTime = atMs >= first.atMs + LIMIT_EFFECTIVE_MS && atMs <= last.atMs;
    return isLimited && isInTime && context.isUndisruptedSince(requestId, statedAtMs);
  });
  const peakCount = Math.max(0, ...counted.map(({ atMs }) => countInWindow(counted, atMs)));
  const allowed =
    Math.max(...limits.map(({ perS }) => perS)) * (LIMIT_WINDOW_MS / 1_000) * LIMIT_OVER_FACTOR;
  return peakCount > allowed + LIMIT_SLACK
    ? [
        `${backendId} got ${peakCount} requests in 4 s with a limit, ${allowed + LIMIT_SLACK} allowed`,
      ]
    : [];
}

function countInWindow(arrivals: readonly SoakArrival[], fromMs: number): number {
  return arrivals.filter(({ atMs }) => atMs >= fromMs && atMs <= fromMs + LIMIT_WINDOW_MS).length;
}

/** Returns when a statement was first sent to the request's gateway, in milliseconds. */
function firstStatementTo(
  statements: readonly SoakArrival[],
  requestId: string,
  { gatewayOf }: StatementCheckContext,
): number | undefined {
  return statements.find((statement) => gatewayOf(statement.requestId) === gatewayOf(requestId))
    ?.atMs;
}
