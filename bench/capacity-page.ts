/** Computes the tables of docs/CAPACITY.md from recorded slopes. */
import { readFileSync, writeFileSync } from 'node:fs';
import type { Line, Point } from './linear-fit.js';

/** Messages and bytes per request, by message kind. */
export type MessageCounts = Record<string, { messages: number; bytes: number }>;

/** A linear fit of a measured cost over one variable. */
export interface Slope {
  readonly name: string;
  readonly unit: string;
  /** Name of the independent variable. */
  readonly x: string;
  readonly points: readonly Point[];
  readonly fit: Line;
}

/** Results of a benchmark run, as recorded in docs/results/capacity.json. */
export interface CapacityResults {
  readonly quick: boolean;
  readonly slopes: readonly Slope[];
  readonly messagesPerRequest: { readonly bids: MessageCounts; readonly permits: MessageCounts };
  readonly fullPolicyBytes: number;
  readonly deltaBytes: number;
  /** Resident memory of the bare process, in mebibytes. */
  readonly nodeResidentMb: number;
}

interface Row {
  readonly role: string;
  readonly quantity: string;
  readonly derivation: string;
  readonly value: number;
  readonly unit: string;
  readonly budget: number | undefined;
}

/** Fleet size and load for which the tables are computed. */
const TARGET_LOAD = {
  entries: 970,
  agents: 5_100,
  requestsPerSecond: 89_000,
  changesPerSecond: 9_300 / 86_400,
  zones: 26,
  regions: 8,
  tenants: 290,
} as const;

/** Limits of one process; `reads` and `writes` are calls per second of the larger sites. */
const RESOURCE_LIMITS = {
  cpuMsPerSecond: 11,
  memoryMb: 32,
  kbPerSecond: 28,
  reads: 6_000,
  writes: 1_200,
};

/** Agents to which one entry connects: 32 in each place of its region, 2 in each other place. */
const CONNECTED_AGENTS = Math.round(
  (TARGET_LOAD.zones / TARGET_LOAD.regions) * 32 + (TARGET_LOAD.zones * 7 * 2) / 8,
);
const CONNECTED_ENTRIES = Math.round((TARGET_LOAD.entries * CONNECTED_AGENTS) / TARGET_LOAD.agents);
const WAITING_REQUESTS = 500;
const POLL_SECONDS = 30;
const WATCH_SECONDS = 10;
const READERS_PER_ZONE = 2;
const LIST_POLL_SECONDS = 2;
const DATA_MESSAGE_KINDS = new Set(['bind', 'answer-start', 'answer-chunk', 'answer-end']);
const US_PER_MS = 1_000;
const BYTES_PER_KB = 1_024;
const KB_PER_MB = 1_024;
const PAGE_PATH = 'docs/CAPACITY.md';
const BEGIN_MARKER = '<!-- table: written by npm run bench:capacity -- --record -->';
const END_MARKER = '<!-- end of table -->';

/** Replaces the generated tables of the page by those computed from `results`. */
export function updatePage(results: CapacityResults): void {
  const page = readFileSync(PAGE_PATH, 'utf8');
  const [before] = page.split(BEGIN_MARKER);
  const [, after] = page.split(END_MARKER);
  writeFileSync(PAGE_PATH, `${before}${formatTables(results)}${after ?? '\n'}`);
}

/** Formats the generated part of the page, including its markers. */
export function formatTables(results: CapacityResults): string {
  const lines = [
    BEGIN_MARKER,
    '',
    '| role | what | worked out as | at the target | budget | |',
    '| --- | --- | --- | --- | --- | --- |',
    ...createRows(results).map(formatRow),
    '',
    '| slope | unit | measured against | points | at 0 | slope | r² |',
    '| --- | --- | --- | --- | --- | --- | --- |',
    ...results.slopes.map(formatSlope),
    '',
    END_MARKER,
  ];
  return lines.join('\n');
}

function createRows(results: CapacityResults): Row[] {
  return [...entryRows(results), ...agentRows(results), ...platformRows(results)];
}

function entryRows(results: CapacityResults): Row[] {
  const rate = TARGET_LOAD.requestsPerSecond / TARGET_LOAD.entries;
  const permits = evaluateSlope(
    results,
    'entry under permits',
    'agents connected',
    CONNECTED_AGENTS,
  );
  const bids = evaluateSlope(
    results,
    'entry core and framing',
    'agents connected',
    CONNECTED_AGENTS,
  );
  const idle = evaluateSlope(results, 'idle entry', 'agents connected', CONNECTED_AGENTS);
  const policyKb = evaluateSlope(
    results,
    'policy held',
    'engines in the policy',
    TARGET_LOAD.agents,
  );
  const stateKb = evaluateSlope(results, 'entry state', 'agents connected', CONNECTED_AGENTS);
  const waitingKb = evaluateSlope(
    results,
    'waiting requests',
    'requests waiting',
    WAITING_REQUESTS,
  );
  const row = (
    quantity: string,
    derivation: string,
    value: number,
    unit: string,
    budget: number,
  ) => ({
    role: 'entry',
    quantity,
    derivation,
    value,
    unit,
    budget,
  });
  const cpu = RESOURCE_LIMITS.cpuMsPerSecond;
  const requests = `${rate.toFixed(0)} requests/s`;
  return [
    row(
      'processor, room on the engines',
      `${requests} under permits`,
      (rate * permits) / US_PER_MS,
      'ms/s',
      cpu,
    ),
    row('processor, engines full', `${requests} by bids`, (rate * bids) / US_PER_MS, 'ms/s', cpu),
    row(
      'processor, ticks and probes',
      `${CONNECTED_AGENTS} agents, idle`,
      idle / US_PER_MS,
      'ms/s',
      cpu,
    ),
    row('processor, policy', 'one delta each 9.3 s', installMs(results), 'ms/s', cpu),
    row(
      'processor, all of it while there is room',
      'the rows above but the second',
      (rate * permits + idle) / US_PER_MS + installMs(results),
      'ms/s',
      cpu,
    ),
    row(
      'memory',
      `policy, ${CONNECTED_AGENTS} agents, ${WAITING_REQUESTS} waiting`,
      (policyKb + stateKb + waitingKb) / KB_PER_MB,
      'MB',
      RESOURCE_LIMITS.memoryMb,
    ),
    row(
      'control bytes, room on the engines',
      `${requests} under permits`,
      controlKb(results.messagesPerRequest.permits, rate),
      'KB/s',
      RESOURCE_LIMITS.kbPerSecond,
    ),
    row(
      'control bytes, engines full',
      `${requests} by bids`,
      controlKb(results.messagesPerRequest.bids, rate),
      'KB/s',
      RESOURCE_LIMITS.kbPerSecond,
    ),
    row(
      'policy bytes',
      'one delta each 9.3 s',
      (results.deltaBytes * TARGET_LOAD.changesPerSecond) / BYTES_PER_KB,
      'KB/s',
      RESOURCE_LIMITS.kbPerSecond,
    ),
  ];
}

function agentRows(results: CapacityResults): Row[] {
  const rate = TARGET_LOAD.requestsPerSecond / TARGET_LOAD.agents;
  const cost = evaluateSlope(
    results,
    'agent core and framing',
    'entries connected',
    CONNECTED_ENTRIES,
  );
  const policyKb = evaluateSlope(
    results,
    'policy held',
    'engines in the policy',
    TARGET_LOAD.agents,
  );
  const row = (
    quantity: string,
    derivation: string,
    value: number,
    unit: string,
    budget: number,
  ) => ({
    role: 'agent',
    quantity,
    derivation,
    value,
    unit,
    budget,
  });
  const cpu = RESOURCE_LIMITS.cpuMsPerSecond;
  return [
    row(
      'processor',
      `${rate.toFixed(0)} requests/s, ${CONNECTED_ENTRIES} entries`,
      (rate * cost) / US_PER_MS,
      'ms/s',
      cpu,
    ),
    row('processor, policy', 'one delta each 9.3 s', installMs(results), 'ms/s', cpu),
    row('memory', 'policy', policyKb / KB_PER_MB, 'MB', RESOURCE_LIMITS.memoryMb),
  ];
}

function platformRows(results: CapacityResults): Row[] {
  const processes = TARGET_LOAD.entries + TARGET_LOAD.agents;
  const readers = TARGET_LOAD.zones * READERS_PER_ZONE;
  const watchCalls = readers / WATCH_SECONDS + readers * TARGET_LOAD.changesPerSecond;
  const pollCalls = (processes - readers) / POLL_SECONDS;
  const shardBytes = results.fullPolicyBytes / TARGET_LOAD.zones;
  const row = (
    quantity: string,
    derivation: string,
    value: number,
    unit: string,
    budget?: number,
  ) => ({
    role: 'key-value service',
    quantity,
    derivation,
    value,
    unit,
    budget,
  });
  return [
    row(
      'reads',
      `${readers} readers' watches and the polls of the rest`,
      watchCalls + pollCalls,
      'calls/s',
      RESOURCE_LIMITS.reads,
    ),
    row(
      'writes, policy',
      'a shard and the head a change',
      2 * TARGET_LOAD.changesPerSecond,
      'calls/s',
      RESOURCE_LIMITS.writes,
    ),
    row(
      'writes, claims',
      'one a request that may not be repeated, if 1 in 100 is',
      TARGET_LOAD.requestsPerSecond / 100,
      'calls/s',
      RESOURCE_LIMITS.writes,
    ),
    row('largest value', 'engines of one place', shardBytes / BYTES_PER_KB, 'KB', 1_024),
    {
      ...row('reads', 'every process each 2 s', processes / LIST_POLL_SECONDS, 'calls/s'),
      role: 'list of machines',
    },
  ];
}

function installMs(results: CapacityResults): number {
  const costUs = evaluateSlope(
    results,
    'policy delta installed',
    'engines in the policy',
    TARGET_LOAD.agents,
  );
  return (costUs * TARGET_LOAD.changesPerSecond) / US_PER_MS;
}

function controlKb(counts: MessageCounts, rate: number): number {
  const bytes = Object.entries(counts)
    .filter(([kind]) => !DATA_MESSAGE_KINDS.has(kind))
    .reduce((sum, [, count]) => sum + count.bytes, 0);
  return (bytes * rate) / BYTES_PER_KB;
}

function evaluateSlope(
  results: CapacityResults,
  name: string,
  variable: string,
  value: number,
): number {
  const slope = results.slopes.find(
    (candidate) => candidate.name === name && candidate.x === variable,
  );
  return slope === undefined ? Number.NaN : slope.fit.intercept + slope.fit.slope * value;
}

function formatRow(row: Row): string {
  const verdict =
    row.budget === undefined
      ? 'no budget given'
      : row.value <= row.budget
        ? 'fits'
        : '**does not fit**';
  const budget = row.budget === undefined ? '' : `${row.budget} ${row.unit}`;
  return `| ${row.role} | ${row.quantity} | ${row.derivation} | ${row.value.toPrecision(3)} ${row.unit} | ${budget} | ${verdict} |`;
}

function formatSlope({ name, unit, x, points, fit }: Slope): string {
  const pointList = points.map((point) => `${point.x}: ${point.y.toFixed(1)}`).join(', ');
  return `| ${name} | ${unit} | ${x} | ${pointList} | ${fit.intercept.toPrecision(3)} | ${fit.slope.toPrecision(3)} | ${fit.rSquared.toFixed(3)} |`;
}
