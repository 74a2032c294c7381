/** Query: what happened to one request, from the log files of several processes. */
import { readFileSync } from 'node:fs';
import { CommandFailure, print } from '../context.js';
import type { GlobalOptions } from '../context.js';
import type { ExhaustedQuota } from '../../gateway/admission/gateway-refusal.js';
import type { RegionReport } from '../../gateway/homes/home-report.js';
import { EXIT } from '../exit-codes.js';
import { explainCrashes } from './explain-crashes.js';
import { explainHomes } from './explain-homes.js';

/** A line of a log, as far as it matters here. */
interface LogLine {
  readonly time: string;
  readonly process?: string;
  readonly event?: string;
  readonly request?: string;
  readonly [field: string]: unknown;
}

/** One try of a request in its line. */
interface LoggedTry {
  readonly backend: string;
  readonly afterMs: number;
  readonly occupied: number;
  readonly slots: number;
  /** Missing in lines of older releases. */
  readonly distance?: string;
  readonly outcome: string;
  readonly detail: string;
  /** What the back end said of itself in its answer. */
  readonly stated?: Statement;
}

/** What a back end says of itself, as lines have it. */
interface Statement {
  readonly limitPerS?: number;
  readonly isLeaving?: boolean;
  readonly restMs?: number;
  readonly restLeftMs?: number;
}

const EVACUATION_EVENT = 'zone-evacuation';
const CONDITION_EVENT = 'backend-condition';
/** The store came back from a copy, and its owners had their time since. */
const EPOCH_EVENTS: readonly string[] = ['store-epoch', 'store-epoch-settled'];

/** Changes of belief that say why a request went as it did. */
const BELIEF_EVENTS: ReadonlySet<string> = new Set([
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
  'backend-ejected',
  'backend-availability',
  CONDITION_EVENT,
  EVACUATION_EVENT,
  'path-suspected',
  'path-regained',
  'region-reach',
  'agent-lost',
  'peer-gone',
]);
/** How far before the request's end such changes are told, in milliseconds. */
const BELIEF_WINDOW_MS = 5_000;

const REASONS: Readonly<Record<string, string>> = {
  answered: 'a back end answered',
  'caller-left': 'the caller closed its connection first',
  'no-configuration': 'this process had learned no configuration yet',
  'no-route': 'no route of the configuration matches host and path',
  'configuration-unconfirmed':
    'no route or key fits it, and this process could not know whether there is a newer configuration',
  'unknown-key': 'no tenant of the configuration holds the key',
  'quota-spent': 'the tenant had spent its quota',
  'crashes-back-ends': 'earlier runs of the same request had ended the back ends that ran them',
  overloaded: 'no slot was free in time',
  'no-backend': 'no back end of the service was listed as ready, or none could be reached',
  'no-common-home': 'its route and its tenant name no region in common',
  'no-backend-at-home': 'no back end in the regions where it may be served could be given requests',
  'zone-evacuated': 'operators had evacuated every zone in which it could have been served',
  stopping: 'the process was stopping',
  'not-started-in-time': 'its time was over before a back end was free',
  'backend-refused': 'the back end said that it did not run it, and no other try was allowed',
  'backend-failed': 'the back end failed, and it could not be tried again',
  'timed-out': 'its time was over while a back end had it',
};

/** Tells what happened to the request `id`, in order over all files. */
export function explainLogs(id: string, files: readonly string[], options: GlobalOptions): void {
  const lines = files.flatMap(readLogFile);
  lines.sort((left, right) => (left.time < right.time ? -1 : 1));
  const own = lines.filter((line) => line.request === id);
  if (own.length === 0) {
    throw new CommandFailure(EXIT.failed, `no line of these files names the request ${id}`);
  }
  const beliefs = own.flatMap((line) => findBeliefs(lines, line));
  const text = [
    ...beliefs.map(describeBelief),
    ...own.flatMap((line) => [...describeRequest(line), ...explainCrashes(line, lines)]),
  ].join('\n');
  print(options, { request: own, beliefs }, text);
}

function readLogFile(file: string): LogLine[] {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (cause) {
    throw new CommandFailure(EXIT.badInput, `${file}: ${(cause as Error).message}`);
  }
  return text.split('\n').flatMap(parseLine);
}

/** Anything may stand before the JSON of a line; lines without any are passed over. */
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

function findBeliefs(lines: readonly LogLine[], end: LogLine): LogLine[] {
  const endMs = Date.parse(end.time);
  const fromMs = endMs - Math.max(BELIEF_WINDOW_MS, Number(end['totalMs'] ?? 0));
  const asked = new Set(triesOf(end).map(({ backend }) => backend));
  return lines.filter((line) => {
    const atMs = Date.parse(line.time);
    const concerns = line['backend'] === undefined || asked.has(String(line['backend']));
    // An evacuation stands for long: it is told however old it is.
    const isStanding = line.event === EVACUATION_EVENT && end['reason'] === 'zone-evacuated';
    const isBefore = line.process === end.process && atMs <= endMs;
    const isNear = isBefore && (isStanding || atMs >= fromMs);
    return isNear && concerns && BELIEF_EVENTS.has(line.event ?? '');
  });
}

function triesOf(line: LogLine): LoggedTry[] {
  return (line['tries'] as LoggedTry[] | undefined) ?? [];
}

function describeBelief(line: LogLine): string {
  const subject =
    line['backend'] ?? line['version'] ?? line['problem'] ?? line['reason'] ?? line['peer'] ?? '';
  if (line.event === EVACUATION_EVENT) {
    const word = line['isOrdered'] === true ? 'ordered' : 'taken back';
    const zone = String(line['evacuatedZone']);
    return `${line.time} ${line.process}: ${line.event} ${zone} ${word} (revision ${line['revision']})`;
  }
  if (EPOCH_EVENTS.includes(line.event ?? '')) {
    const kept = line['kept'] === undefined ? '' : `, ${line['kept']} records kept that it lacks`;
    return `${line.time} ${line.process}: ${line.event} ${line['epoch']} (revision ${line['revision']}${kept})`;
  }
  const said = line.event === CONDITION_EVENT ? `: ${describeStatement(line as Statement)}` : '';
  return `${line.time} ${line.process}: ${line.event} ${String(subject)}${said}`.trimEnd();
}

function describeRequest(line: LogLine): string[] {
  const reason = String(line['reason']);
  const status = Number(line['status']);
  const ended = status === 0 ? 'ended without a whole answer' : `was answered ${status}`;
  const words = [`${line.time} ${line.process}: ${ended}: ${REASONS[reason] ?? reason}`];
  const quota = line['quota'] as ExhaustedQuota | undefined;
  if (quota !== undefined) {
    words.push(
      `  tenant ${quota.tenant}: it would have cost ${quota.cost}, ${quota.left} were left`,
    );
  }
  if (line['totalMs'] !== undefined) {
    words.push(
      `  route ${line['route']}, service ${line['service']}, tenant ${line['tenant'] ?? 'none'}, tier ${line['tier']}`,
      `  waited ${line['waitedMs']} ms, first byte after ${line['firstByteMs'] ?? 'none'} ms, ended after ${line['totalMs']} ms, longest pause ${line['longestPauseMs']} ms`,
    );
  }
  words.push(...explainHomes(line as RegionReport));
  for (const tried of triesOf(line)) {
    words.push(
      `  after ${Math.round(tried.afterMs)} ms to ${tried.backend}${placeOf(tried)} (${tried.occupied} of ${tried.slots} slots believed taken): ${tried.outcome}, ${tried.detail}`,
    );
    if (tried.stated !== undefined) {
      words.push(`    it said: ${describeStatement(tried.stated)}`);
    }
  }
  if (line['retryAfterMs'] !== undefined) {
    words.push(`  told to come back after ${line['retryAfterMs']} ms`);
  }
  words.push(
    `  under configuration ${line['configuration'] ?? 'none'}, ${line['waiting'] ?? 'unknown'} waiting, last word of the store ${line['storeAgeMs'] ?? 'unknown'} ms old`,
  );
  return words;
}

function describeStatement({ limitPerS, isLeaving, restMs, restLeftMs }: Statement): string {
  const rests = restMs ?? restLeftMs;
  const words = [
    limitPerS === undefined ? '' : `takes ${limitPerS} requests a second from all gateways`,
    isLeaving === true ? 'leaves' : '',
    rests === undefined ? '' : `rests for ${rests} ms`,
  ].filter((word) => word !== '');
  return words.length === 0 ? 'no limit any more' : words.join(', ');
}

/** Where a back end of another region is; those near by need no word. */
function placeOf({ distance }: LoggedTry): string {
  return distance === 'other-region' ? ' in another region' : '';
}
