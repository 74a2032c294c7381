/**
 * Shows a logged run second by second: requests at work by engine, requests that wait, and how they
 * end by reason, so that idle engines under refusals are seen at a glance.
 *
 *     npm run bench:inflight -- LOG [SERVICE]
 *
 * LOG holds lines of gateways' logs, each perhaps behind a prefix. Without SERVICE every service is
 * counted together. The log budget must be large enough to hold the successes of the run.
 */
import { readFileSync } from 'node:fs';

const MS_PER_S = 1_000;
const FIRST_ERROR_STATUS = 400;
const COLUMN_WIDTH = 8;

interface LoggedTry {
  readonly backend: string;
  readonly afterMs: number;
  readonly outcome: string;
}

interface LoggedEnd {
  readonly event: string;
  readonly time: string;
  readonly route?: string;
  readonly service?: string;
  readonly status: number;
  readonly reason: string;
  readonly totalMs?: number;
  readonly waitedMs?: number;
  readonly tries?: readonly LoggedTry[];
}

/** What one second of the run shows. */
class Second {
  readonly workMsByBackend = new Map<string, number>();
  readonly endsByReason = new Map<string, number>();
  arrived = 0;
  waitMs = 0;
}

function add(counts: Map<string, number>, name: string, amount: number): void {
  counts.set(name, (counts.get(name) ?? 0) + amount);
}

/** Calls `use` with each second that the span touches and the milliseconds of it that lie there. */
function spread(fromMs: number, toMs: number, use: (second: number, ms: number) => void): void {
  let atMs = fromMs;
  while (atMs < toMs) {
    const second = Math.floor(atMs / MS_PER_S);
    const endMs = Math.min(toMs, (second + 1) * MS_PER_S);
    use(second, endMs - atMs);
    atMs = endMs;
  }
}

function readEnds(path: string, service: string | undefined): LoggedEnd[] {
  const ends: LoggedEnd[] = [];
  for (const line of readFileSync(path, 'utf8').split('\n')) {
    const brace = line.indexOf('{');
    if (brace < 0 || !line.includes('"event":"request-')) {
      continue;
    }
    try {
      const end = JSON.parse(line.slice(brace)) as LoggedEnd;
      if (service === undefined || end.service === undefined || end.service === service) {
        ends.push(end);
      }
    } catch {
      console.error(`not a log line: ${line.slice(0, COLUMN_WIDTH * COLUMN_WIDTH)}`);
    }
  }
  return ends;
}

function nameOf(end: LoggedEnd): string {
  const isWhole = end.reason === 'answered' && end.status < FIRST_ERROR_STATUS;
  return isWhole ? 'whole' : `${end.reason} ${end.status}`;
}

function count(ends: readonly LoggedEnd[]): Map<number, Second> {
  const seconds = new Map<number, Second>();
  const at = (second: number): Second => {
    const known = seconds.get(second) ?? new Second();
    seconds.set(second, known);
    return known;
  };
  for (const end of ends) {
    const endedAtMs = Date.parse(end.time);
    const arrivedAtMs = endedAtMs - (end.totalMs ?? 0);
    const { tries = [], waitedMs = 0 } = end;
    at(Math.floor(arrivedAtMs / MS_PER_S)).arrived += 1;
    add(at(Math.floor(endedAtMs / MS_PER_S)).endsByReason, nameOf(end), 1);
    spread(arrivedAtMs, arrivedAtMs + waitedMs, (second, ms) => {
      at(second).waitMs += ms;
    });
    for (const [index, { backend, afterMs }] of tries.entries()) {
      const nextAtMs = arrivedAtMs + (tries[index + 1]?.afterMs ?? end.totalMs ?? 0);
      spread(arrivedAtMs + afterMs, nextAtMs, (second, ms) =>
        add(at(second).workMsByBackend, backend, ms),
      );
    }
  }
  return seconds;
}

function print(seconds: Map<number, Second>): void {
  const firstSecond = Math.min(...seconds.keys());
  const backends = [
    ...new Set([...seconds.values()].flatMap((s) => [...s.workMsByBackend.keys()])),
  ];
  console.log('second arrived waiting at-work | by back end | ends by reason');
  for (const second of [...seconds.keys()].sort((left, right) => left - right)) {
    const { arrived, waitMs, workMsByBackend, endsByReason } = seconds.get(second)!;
    const work = backends.map((name) => Math.round((workMsByBackend.get(name) ?? 0) / MS_PER_S));
    const total = work.reduce((sum, value) => sum + value, 0);
    const ends = [...endsByReason].sort(([, left], [, right]) => right - left);
    const figures = [second - firstSecond, arrived, Math.round(waitMs / MS_PER_S), total];
    console.log(
      [
        figures.map((figure) => `${figure}`.padStart(COLUMN_WIDTH - 1)).join(''),
        work.map((value) => `${value}`.padStart(2)).join(' '),
        ends.map(([reason, times]) => `${reason}: ${times}`).join(', '),
      ].join(' | '),
    );
  }
}

const [path, service] = process.argv.slice(2);
if (path === undefined) {
  console.error('usage: npm run bench:inflight -- LOG [SERVICE]');
  process.exitCode = 2;
} else {
  print(count(readEnds(path, service)));
}
