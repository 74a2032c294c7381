/**
 * Prints a logged run second by second: active requests per backend, waiting requests, and the
 * outcomes of requests by reason. This shows backends that are idle while requests are refused.
 *
 *     npm run bench:inflight -- LOG [SERVICE]
 *
 * LOG contains lines of gateways' logs, each with an optional prefix. Without SERVICE all services
 * are added up. The log rate limit must be high enough to include the successful requests of the
 * run.
 */
import { readFileSync } from 'node:fs';

const MS_PER_S = 1_000;
const FIRST_ERROR_STATUS = 400;
const COLUMN_WIDTH = 8;

interface LoggedAttempt {
  readonly backend: string;
  readonly afterMs: number;
  readonly outcome: string;
}

interface LoggedRequest {
  readonly event: string;
  readonly time: string;
  readonly route?: string;
  readonly service?: string;
  readonly status: number;
  readonly reason: string;
  readonly totalMs?: number;
  readonly waitedMs?: number;
  readonly tries?: readonly LoggedAttempt[];
}

/** Totals of one second of a run. */
class SecondTotals {
  readonly activeMsByBackend = new Map<string, number>();
  readonly outcomeCounts = new Map<string, number>();
  arrived = 0;
  waitMs = 0;
}

function increment(counts: Map<string, number>, name: string, amount: number): void {
  counts.set(name, (counts.get(name) ?? 0) + amount);
}

/** Calls `onPart` for each second that overlaps the interval, with the length of the overlap. */
function splitBySecond(
  fromMs: number,
  toMs: number,
  onPart: (second: number, ms: number) => void,
): void {
  let atMs = fromMs;
  while (atMs < toMs) {
    const second = Math.floor(atMs / MS_PER_S);
    const endMs = Math.min(toMs, (second + 1) * MS_PER_S);
    onPart(second, endMs - atMs);
    atMs = endMs;
  }
}

function readRequests(path: string, service: string | undefined): LoggedRequest[] {
  const requests: LoggedRequest[] = [];
  for (const line of readFileSync(path, 'utf8').split('\n')) {
    const jsonStart = line.indexOf('{');
    if (jsonStart < 0 || !line.includes('"event":"request-')) {
      continue;
    }
    try {
      const request = JSON.parse(line.slice(jsonStart)) as LoggedRequest;
      if (service === undefined || request.service === undefined || request.service === service) {
        requests.push(request);
      }
    } catch {
      console.error(`not valid JSON: ${line.slice(0, COLUMN_WIDTH * COLUMN_WIDTH)}`);
    }
  }
  return requests;
}

/** Returns the label of an outcome: `whole` for a success, else the reason and the status. */
function outcomeLabel(request: LoggedRequest): string {
  const isSuccess = request.reason === 'answered' && request.status < FIRST_ERROR_STATUS;
  return isSuccess ? 'whole' : `${request.reason} ${request.status}`;
}

function sumBySecond(requests: readonly LoggedRequest[]): Map<number, SecondTotals> {
  const totalsBySecond = new Map<number, SecondTotals>();
  const totalsOf = (second: number): SecondTotals => {
    const totals = totalsBySecond.get(second) ?? new SecondTotals();
    totalsBySecond.set(second, totals);
    return totals;
  };
  for (const request of requests) {
    const endedAtMs = Date.parse(request.time);
    const arrivedAtMs = endedAtMs - (request.totalMs ?? 0);
    const { tries = [], waitedMs = 0 } = request;
    totalsOf(Math.floor(arrivedAtMs / MS_PER_S)).arrived += 1;
    increment(totalsOf(Math.floor(endedAtMs / MS_PER_S)).outcomeCounts, outcomeLabel(request), 1);
    splitBySecond(arrivedAtMs, arrivedAtMs + waitedMs, (second, ms) => {
      totalsOf(second).waitMs += ms;
    });
    for (const [index, { backend, afterMs }] of tries.entries()) {
      const nextAtMs = arrivedAtMs + (tries[index + 1]?.afterMs ?? request.totalMs ?? 0);
      splitBySecond(arrivedAtMs + afterMs, nextAtMs, (second, ms) =>
        increment(totalsOf(second).activeMsByBackend, backend, ms),
      );
    }
  }
  return totalsBySecond;
}

function printTable(totalsBySecond: Map<number, SecondTotals>): void {
  const firstSecond = Math.min(...totalsBySecond.keys());
  const backends = [
    ...new Set(
      [...totalsBySecond.values()].flatMap((totals) => [...totals.activeMsByBackend.keys()]),
    ),
  ];
  console.log('second arrived waiting active | by backend | outcomes by reason');
  for (const second of [...totalsBySecond.keys()].sort((left, right) => left - right)) {
    const { arrived, waitMs, activeMsByBackend, outcomeCounts } = totalsBySecond.get(second)!;
    const active = backends.map((name) =>
      Math.round((activeMsByBackend.get(name) ?? 0) / MS_PER_S),
    );
    const total = active.reduce((sum, value) => sum + value, 0);
    const outcomes = [...outcomeCounts].sort(([, left], [, right]) => right - left);
    const figures = [second - firstSecond, arrived, Math.round(waitMs / MS_PER_S), total];
    console.log(
      [
        figures.map((figure) => `${figure}`.padStart(COLUMN_WIDTH - 1)).join(''),
        active.map((value) => `${value}`.padStart(2)).join(' '),
        outcomes.map(([reason, times]) => `${reason}: ${times}`).join(', '),
      ].join(' | '),
    );
  }
}

const [path, service] = process.argv.slice(2);
if (path === undefined) {
  console.error('usage: npm run bench:inflight -- LOG [SERVICE]');
  process.exitCode = 2;
} else {
  printTable(sumBySecond(readRequests(path, service)));
}
