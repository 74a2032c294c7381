/** Explains how one request was handled, from the log files of several processes. */
import { readFileSync } from 'node:fs';
import { CommandError, printOutput } from '../context.js';
import type { GlobalOptions } from '../context.js';
import type { ExhaustedQuota } from '../../gateway/admission/gateway-refusal.js';
import type { RegionReport } from '../../gateway/regions/region-report.js';
import { EXIT } from '../exit-codes.js';
import { explainCrashes } from './explain-crashes.js';
import { explainRegions } from './explain-regions.js';

/** The fields of a log line that are needed here. */
interface LogLine {
  readonly time: string;
  readonly process?: string;
  readonly event?: string;
  readonly request?: string;
  readonly [field: string]: unknown;
}

/** One attempt in the log line of a request. */
interface LoggedAttempt {
  readonly backend: string;
  readonly afterMs: number;
  readonly occupied: number;
  readonly slots: number;
  /** Missing in log lines of older releases. */
  readonly distance?: string;
  readonly outcome: string;
  readonly detail: string;
  /** Missing in log lines of older releases. */
  readonly lastedMs?: number;
  readonly silentMs?: number;
  readonly version?: string;
  /** Id of the event after which the attempt resumed the stream; missing for a new stream. */
  readonly afterEvent?: string;
  /** Statement of the backend in its response headers. */
  readonly stated?: LoggedStatement;
}

/** Statement of a backend about itself, as logged. */
interface LoggedStatement {
  readonly limitPerS?: number;
  readonly isLeaving?: boolean;
  readonly restMs?: number;
  readonly restLeftMs?: number;
}

const UNFINISHED_EVENT = 'response-unfinished';
const EVACUATION_EVENT = 'zone-evacuation';
const CONDITION_EVENT = 'backend-condition';
/** Logged when the store was restored from a backup, and when its owners had time to rewrite. */
const EPOCH_EVENTS: readonly string[] = ['store-epoch', 'store-epoch-settled'];

/** Events that change the gateway's state and can explain how a request was handled. */
const STATE_CHANGE_EVENTS: ReadonlySet<string> = new Set([
  'started',
  'stopping',
  'store-lost',
  'store-regained',
  ...EPOCH_EVENTS,
  'knowledge-old',
  'knowledge-confirmed',
  'configuration-installed',
  'configuration-refused',
  'backend-gone',
  'backend-ended',
  'backend-ejected',
  'backend-availability',
  CONDITION_EVENT,
  EVACUATION_EVENT,
  'path-suspected',
  'path-regained',
  'accept-backlog',
  'region-reach',
  'agent-lost',
  'peer-gone',
]);
/**
 * State changes are included from this long before the request's end, or from its arrival if that
 * is earlier, in milliseconds.
 */
const STATE_CHANGE_WINDOW_MS = 5_000;

const REASONS: Readonly<Record<string, string>> = {
  answered: 'a backend responded',
  'caller-left': 'the caller disconnected before the response was complete',
  'process-end': 'this process ended before the response was complete',
  'no-configuration': 'this process had not received a configuration yet',
  'no-route': 'no route of the configuration matches host and path',
  'configuration-unconfirmed':
    'no route or key matches, and this process could not confirm that its configuration is current',
  'unknown-key': 'no tenant of the configuration has the API key',
  'quota-spent': 'the tenant had exhausted its quota',
  'crashes-back-ends':
    'earlier runs of the same request, or of others with a part of its prompt, had crashed the backends that ran them',
  overloaded: 'no slot became free in time',
  'no-backend': 'no backend of the service was listed as ready, or none was reachable',
  'no-common-home': 'its route and its tenant have no allowed region in common',
  'no-backend-at-home': 'no backend was available in its allowed regions',
  'stream-unavailable': 'no backend of the version that began its stream was left',
  'stream-unknown': 'no process could tell which version began the stream that it resumes',
  'malformed-resumption': 'the request that it says it resumes cannot be the id of one',
  'zone-evacuated': 'operators had evacuated every zone in which it could have been served',
  stopping: 'the process was shutting down',
  'not-started-in-time': 'its deadline passed before a backend was free',
  'backend-refused':
    'the backend reported that it did not run the request, and no retry was allowed',
  'backend-failed': 'the backend failed, and no retry was possible',
  'timed-out': 'its deadline passed while a backend was running it',
};

/** Prints how the request `id` was handled, in time order over all files. */
export function explainLogs(id: string, files: readonly string[], options: GlobalOptions): void {
  const lines = files.flatMap(readLogFile);
  lines.sort((left, right) => (left.time < right.time ? -1 : 1));
  const own = lines.filter((line) => line.request === id);
  if (own.length === 0) {
    throw new CommandError(EXIT.failed, `no log line for request ${id} in these files`);
  }
  const stateChanges = own.flatMap((line) => findStateChanges(lines, line));
  const text = [
    ...stateChanges.map(describeStateChange),
    ...own.flatMap((line) => [...describeRequest(line), ...explainCrashes(line, lines)]),
  ].join('\n');
  printOutput(options, { request: own, beliefs: stateChanges }, text);
}

function readLogFile(file: string): LogLine[] {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (cause) {
    throw new CommandError(EXIT.badInput, `${file}: ${(cause as Error).message}`);
  }
  return text.split('\n').flatMap(parseLine);
}

/** Parses the JSON of a log line, which any prefix may precede; lines without JSON are skipped. */
function parseLine(text: string): LogLine[] {
  const start = text.indexOf('{"name"');
  if (start < 0) {
    return [];
  }
  try {
    return [JSON.parse(text.slice(start)) as LogLine];
  } catch {
    return [];
  }
}

function findStateChanges(lines: readonly LogLine[], end: LogLine): LogLine[] {
  const endMs = Date.parse(end.time);
  const fromMs = endMs - Math.max(STATE_CHANGE_WINDOW_MS, Number(end['totalMs'] ?? 0));
  const attempted = new Set(attemptsOf(end).map(({ backend }) => backend));
  return lines.filter((line) => {
    const atMs = Date.parse(line.time);
    const isRelevant = line['backend'] === undefined || attempted.has(String(line['backend']));
    // An evacuation stays in effect until it is withdrawn, so it is included however old it is.
    const isInEffect = line.event === EVACUATION_EVENT && end['reason'] === 'zone-evacuated';
    const isBefore = line.process === end.process && atMs <= endMs;
    const isNear = isBefore && (isInEffect || atMs >= fromMs);
    return isNear && isRelevant && STATE_CHANGE_EVENTS.has(line.event ?? '');
  });
}

function attemptsOf(line: LogLine): LoggedAttempt[] {
  return (line['tries'] as LoggedAttempt[] | undefined) ?? [];
}

function describeStateChange(line: LogLine): string {
  const subject =
    line['backend'] ?? line['version'] ?? line['problem'] ?? line['reason'] ?? line['peer'] ?? '';
  if (line.event === EVACUATION_EVENT) {
    const action = line['isOrdered'] === true ? 'ordered' : 'withdrawn';
    const zone = String(line['evacuatedZone']);
    return `${line.time} ${line.process}: ${line.event} ${zone} ${action} (revision ${line['revision']})`;
  }
  if (EPOCH_EVENTS.includes(line.event ?? '')) {
    const kept =
      line['kept'] === undefined ? '' : `, ${line['kept']} records kept that the store lacks`;
    return `${line.time} ${line.process}: ${line.event} ${line['epoch']} (revision ${line['revision']}${kept})`;
  }
  const statement =
    line.event === CONDITION_EVENT ? `: ${describeStatement(line as LoggedStatement)}` : '';
  return `${line.time} ${line.process}: ${line.event} ${String(subject)}${statement}`.trimEnd();
}

function describeRequest(line: LogLine): string[] {
  if (line.event === UNFINISHED_EVENT) {
    const end =
      line['endedBy'] === 'gateway'
        ? `this process ended ${line['ageMs']} ms after the request arrived, before its caller had the whole response`
        : `the caller disconnected ${line['ageMs']} ms after its request arrived, before it had the whole response`;
    return [`${line.time} ${line.process}: ${end}`, ...describeUnanswered(line)];
  }
  const reason = String(line['reason']);
  const status = Number(line['status']);
  const ended = status === 0 ? 'ended without a complete response' : `response ${status}`;
  const text = [`${line.time} ${line.process}: ${ended}: ${REASONS[reason] ?? reason}`];
  const quota = line['quota'] as ExhaustedQuota | undefined;
  if (quota !== undefined) {
    text.push(
      `  tenant ${quota.tenant}: it would have cost ${quota.cost}, ${quota.left} were left`,
    );
  }
  if (line['totalMs'] !== undefined) {
    text.push(
      `  route ${line['route']}, service ${line['service']}, tenant ${line['tenant'] ?? 'none'}, tier ${line['tier']}`,
      `  waited ${line['waitedMs']} ms, first byte after ${line['firstByteMs'] ?? 'none'} ms, ended after ${line['totalMs']} ms, longest pause ${line['longestPauseMs']} ms`,
    );
  }
  text.push(...describeUnanswered(line), ...describeResumption(line));
  text.push(...explainRegions(line as RegionReport));
  for (const attempt of attemptsOf(line)) {
    text.push(
      `  after ${Math.round(attempt.afterMs)} ms to ${attempt.backend}${describeSoftware(attempt)}${describeDistance(attempt)} (estimated ${attempt.occupied} of ${attempt.slots} slots occupied): ${attempt.outcome}, ${attempt.detail}${describeEnd(attempt)}`,
    );
    if (attempt.stated !== undefined) {
      text.push(`    its response stated: ${describeStatement(attempt.stated)}`);
    }
  }
  if (line['retryAfterMs'] !== undefined) {
    text.push(`  retry after ${line['retryAfterMs']} ms`);
  }
  text.push(
    `  under configuration ${line['configuration'] ?? 'none'}, ${line['waiting'] ?? 'unknown'} waiting, store data ${line['storeAgeMs'] ?? 'unknown'} ms old`,
  );
  return text;
}

function describeEnd({ lastedMs, silentMs }: LoggedAttempt): string {
  return lastedMs === undefined || silentMs === undefined
    ? ''
    : `; ended after ${Math.round(lastedMs)} ms, ${Math.round(silentMs)} ms without data`;
}

function describeStatement({ limitPerS, isLeaving, restMs, restLeftMs }: LoggedStatement): string {
  const backoffMs = restMs ?? restLeftMs;
  const conditions = [
    limitPerS === undefined ? '' : `accepts ${limitPerS} requests per second from all gateways`,
    isLeaving === true ? 'is draining' : '',
    backoffMs === undefined ? '' : `backoff for ${backoffMs} ms`,
  ].filter((text) => text !== '');
  return conditions.length === 0 ? 'no limit, not draining, no backoff' : conditions.join(', ');
}

/** Describes at which stage a request without a complete response ended, and by whom. */
function describeUnanswered({ stage, endedBy, configurationAgeMs }: LogLine): string[] {
  if (stage === undefined) {
    return [];
  }
  const change =
    configurationAgeMs === undefined ? '' : `, ${configurationAgeMs} ms after a configuration`;
  return [`  ended by the ${endedBy} at the stage ${stage}${change}`];
}

/** Mentions the distance only if the backend is in another region. */
function describeDistance({ distance }: LoggedAttempt): string {
  return distance === 'other-region' ? ' in another region' : '';
}

/** Describes the stream that the caller resumed, if it did. */
function describeResumption(line: LogLine): string[] {
  const { resumes, afterEvent } = line;
  if (resumes === undefined && afterEvent === undefined) {
    return [];
  }
  return [
    `  resumes the stream of request ${resumes ?? 'not named'} after event ${afterEvent ?? 'not named'}`,
  ];
}

function describeSoftware({ version, afterEvent }: LoggedAttempt): string {
  const resumed = afterEvent === undefined ? '' : `, after event ${afterEvent}`;
  return version === undefined ? '' : ` of version ${version}${resumed}`;
}
