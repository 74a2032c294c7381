/** Reads what the logs of gateways say about requests. */
import { readFileSync, readdirSync } from 'node:fs';
import { join } from 'node:path';

/** An attempt as a gateway logged it; times in milliseconds. */
export interface LoggedAttempt {
  readonly backend: string;
  readonly outcome: string;
  readonly detail: string;
  /** Time of the send since the request arrived. */
  readonly afterMs: number;
  readonly afterEvent?: string;
}

/** The end of a request as a gateway logged it; times in milliseconds. */
export interface LoggedEnd {
  readonly request: string;
  readonly status: number;
  readonly reason: string;
  readonly stage?: string;
  readonly endedBy?: string;
  readonly totalMs?: number;
  readonly longestPauseMs?: number;
  readonly configurationAgeMs?: number;
  readonly tries?: readonly LoggedAttempt[];
}

const END_EVENTS = ['request-ended', 'request-refused', 'response-unfinished'];
const GATEWAY_LOG = /^gateway-\d+\.log$/;

/** Returns the log lines that end the given requests, by request id. */
export function readEnds(
  folder: string,
  requestIds: ReadonlySet<string>,
): ReadonlyMap<string, readonly LoggedEnd[]> {
  const ends = new Map<string, LoggedEnd[]>();
  for (const name of readdirSync(folder).filter((file) => GATEWAY_LOG.test(file))) {
    for (const end of endsIn(readFileSync(join(folder, name), 'utf8'))) {
      if (requestIds.has(end.request)) {
        ends.set(end.request, [...(ends.get(end.request) ?? []), end]);
      }
    }
  }
  return ends;
}

function endsIn(log: string): LoggedEnd[] {
  return log
    .split('\n')
    .filter((line) => END_EVENTS.some((event) => line.includes(`"${event}"`)))
    .map((line) => JSON.parse(line) as LoggedEnd);
}
