/** What back ends of a soak say of themselves, and the checks of what they then receive. */
import { randomInteger } from '../../src/random.js';
import type { RandomSource } from '../../src/random.js';
import type { SoakFleet } from './soak-fleet.js';

/** What the answers of a back end say. */
export type SoakStatement =
  | { readonly kind: 'limit'; readonly perS: number }
  | { readonly kind: 'leaving' }
  | { readonly kind: 'rest'; readonly untilMs: number };

/** A request that reached a back end. */
export interface SoakArrival {
  readonly requestId: string;
  readonly atMs: number;
}

/** A statement that an answer to a request carried. */
export interface SoakTold extends SoakArrival {
  readonly statement: SoakStatement;
}

/** What one life of a back end said and received. */
export interface StatementRecord {
  readonly arrivals: SoakArrival[];
  readonly told: SoakTold[];
}

/** What a check asks of the soak. */
export interface StatementCheckPorts {
  /** The gateway that a request was sent to. */
  gatewayOf(requestId: string): number;
  /** When its caller sent it, in milliseconds. */
  sentAtMs(requestId: string): number;
  /** Whether no fault touched that gateway from a moment on. */
  isCalmSince(requestId: string, sinceMs: number): boolean;
}

/** Limits that are named, in requests a second. */
const LIMITS = [1, 3, 6];
const LIMIT_MS = 7_000;
const REST_MS = 1_500;
const LEAVE_MS = 4_000;
const LIMIT_BINDS_MS = 3_000;
const LIMIT_WINDOW_MS = 4_000;
const LIMIT_OVER = 1.5;
const LIMIT_SLACK = 5;
const LEAVING_HEED_MS = 2_200;
const HEED_MS = 500;
const MOST_IN_REST = 2;

/** Lets one back end say something of itself for a while; returns what. */
export function makeStatement(fleet: SoakFleet, random: RandomSource): string {
  const index = randomInteger(random, 0, fleet.backends.length - 1);
  const backend = fleet.backends[index]!;
  const kind = (['limit', 'leaving', 'rest'] as const)[randomInteger(random, 0, 2)]!;
  if (backend.statement !== undefined) {
    return `back end ${index} goes on with its statement`;
  }
  const end = () => (backend.statement = undefined);
  if (kind === 'limit') {
    const perS = LIMITS[randomInteger(random, 0, LIMITS.length - 1)]!;
    backend.statement = { kind, perS };
    setTimeout(end, LIMIT_MS).unref();
    return `back end ${index} names a limit of ${perS}`;
  }
  if (kind === 'rest') {
    backend.statement = { kind, untilMs: performance.now() + REST_MS };
    setTimeout(end, REST_MS).unref();
    return `back end ${index} asks for a rest`;
  }
  backend.statement = { kind };
  const leave = () => {
    end();
    fleet.replaceBackend(index);
  };
  setTimeout(leave, LEAVE_MS).unref();
  return `back end ${index} leaves by its answers alone`;
}

/** Statements that were not heeded, of one life of a back end. */
export function findUnheeded(
  backendId: string,
  record: StatementRecord,
  ports: StatementCheckPorts,
): string[] {
  return [
    ...findLate(backendId, record, ports),
    ...findInRest(backendId, record, ports),
    ...findOverLimit(backendId, record, ports),
  ];
}

/** Requests that were sent too late to a back end whose answer had told their gateway that it leaves. */
function findLate(
  backendId: string,
  { arrivals, told }: StatementRecord,
  ports: StatementCheckPorts,
): string[] {
  const leaving = told.filter(({ statement }) => statement.kind === 'leaving');
  return arrivals.flatMap(({ requestId }) => {
    const first = firstTo(leaving, requestId, ports);
    const lateMs = ports.sentAtMs(requestId) - (first ?? Infinity);
    return first !== undefined && lateMs > LEAVING_HEED_MS && ports.isCalmSince(requestId, first)
      ? [
          `${requestId} reached ${backendId} ${Math.round(lateMs)} ms after its answer said that it leaves`,
        ]
      : [];
  });
}

function findInRest(
  backendId: string,
  { arrivals, told }: StatementRecord,
  ports: StatementCheckPorts,
): string[] {
  return told.flatMap(({ requestId, atMs, statement }) => {
    if (statement.kind !== 'rest' || !ports.isCalmSince(requestId, atMs)) {
      return [];
    }
    const within = arrivals.filter(
      (arrival) =>
        ports.gatewayOf(arrival.requestId) === ports.gatewayOf(requestId) &&
        arrival.atMs > atMs + HEED_MS &&
        arrival.atMs < statement.untilMs,
    );
    return within.length > MOST_IN_REST
      ? [`${backendId} got ${within.length} requests of a gateway that it had asked for a rest`]
      : [];
  });
}

function findOverLimit(
  backendId: string,
  { arrivals, told }: StatementRecord,
  ports: StatementCheckPorts,
): string[] {
  const limits = told.flatMap(({ statement, ...rest }) =>
    statement.kind === 'limit' ? [{ ...rest, perS: statement.perS }] : [],
  );
  const [first] = limits;
  const last = limits.at(-1);
  if (first === undefined || last === undefined) {
    return [];
  }
  const counted = arrivals.filter(({ requestId, atMs }) => {
    const toldAtMs = firstTo(limits, requestId, ports);
    const isBound = toldAtMs !== undefined && atMs >= toldAtMs + HEED_MS;
    const isInTime = atMs >= first.atMs + LIMIT_BINDS_MS && atMs <= last.atMs;
    return isBound && isInTime && ports.isCalmSince(requestId, toldAtMs);
  });
  const most = Math.max(0, ...counted.map(({ atMs }) => countWindow(counted, atMs)));
  const allowed =
    Math.max(...limits.map(({ perS }) => perS)) * (LIMIT_WINDOW_MS / 1_000) * LIMIT_OVER;
  return most > allowed + LIMIT_SLACK
    ? [`${backendId} got ${most} requests in 4 s with a limit, ${allowed + LIMIT_SLACK} allowed`]
    : [];
}

function countWindow(arrivals: readonly SoakArrival[], fromMs: number): number {
  return arrivals.filter(({ atMs }) => atMs >= fromMs && atMs <= fromMs + LIMIT_WINDOW_MS).length;
}

/** When the gateway of a request was told first, in milliseconds. */
function firstTo(
  told: readonly SoakArrival[],
  requestId: string,
  { gatewayOf }: StatementCheckPorts,
): number | undefined {
  return told.find((one) => gatewayOf(one.requestId) === gatewayOf(requestId))?.atMs;
}
