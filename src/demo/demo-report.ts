/** Finds violations of guarantees at the end of the demo, and formats its result table. */
import { request } from 'undici';
import type { CallerOutcome } from './demo-caller.js';
import type { WorkloadClass } from './demo-files.js';
import type { FleetProcess } from './local-fleet.js';

/** Requests and counters that a stand-in backend recorded itself. */
export interface BackendRecords {
  readonly name: string;
  readonly place: string;
  readonly ids: readonly string[];
  readonly keysRun: readonly string[];
  readonly wastedPrefillTokens: number;
  readonly prefilledTokens: number;
}

/** Fetches the records of a stand-in backend. */
export async function fetchBackendRecords(backend: FleetProcess): Promise<BackendRecords> {
  const response = await request(`http://127.0.0.1:${backend.port}/handed`);
  const body = (await response.body.json()) as {
    handed: Array<{ id: string }>;
    keysRun?: string[];
    wastedPrefillTokens?: number;
    prefilledTokens?: number;
  };
  return {
    name: backend.name,
    place: backend.place,
    ids: body.handed.map((handed) => handed.id),
    keysRun: body.keysRun ?? [],
    wastedPrefillTokens: body.wastedPrefillTokens ?? 0,
    prefilledTokens: body.prefilledTokens ?? 0,
  };
}

/**
 * Finds violations of guarantees in the callers' outcomes and the backends' records: requests that
 * were dispatched or run more often than permitted, wrong or lost responses, requests that ran
 * although the refusal stated the opposite, and runs in a place that the policy does not permit.
 */
export function findViolations(
  workload: readonly WorkloadClass[],
  outcomes: readonly CallerOutcome[],
  records: readonly BackendRecords[],
  isKillExpected: boolean,
): string[] {
  const violations: string[] = [];
  const placesById = groupPlacesByRequest(records);
  for (const [id, places] of placesById) {
    if (places.length > 1) {
      violations.push(`${id} was dispatched ${places.length} times`);
    }
  }
  for (const outcome of outcomes) {
    const permitted = workload.find(({ name }) => name === outcome.className)?.places ?? [];
    const places = placesById.get(outcome.id) ?? [];
    if (outcome.kind === 'wrong-answer') {
      violations.push(`${outcome.id} received a wrong or truncated response`);
    }
    if (outcome.kind === 'connection-lost' && !isKillExpected) {
      violations.push(`${outcome.className}: response lost: ${outcome.reason}`);
    }
    if (outcome.ran === 'no' && places.length > 0) {
      violations.push(`${outcome.id} was refused as not run, but ran`);
    }
    if (places.some((place) => !permitted.includes(place))) {
      violations.push(
        `${outcome.id} (${outcome.className}) ran in a place that the policy does not permit`,
      );
    }
  }
  const keys = records.flatMap((record) => record.keysRun);
  if (new Set(keys).size < keys.length) {
    violations.push('a non-repeatable operation ran twice');
  }
  return violations;
}

/** Formats the result table of the demo. */
export function formatReport(
  workload: readonly WorkloadClass[],
  outcomes: readonly CallerOutcome[],
  records: readonly BackendRecords[],
): string {
  const placesById = groupPlacesByRequest(records);
  const lines = [
    formatRow('class', 'sent', 'in time', 'late', 'refused', 'lost', 'median ms', 'ran in'),
    ...workload.map((requestClass) => formatClass(requestClass, outcomes, placesById)),
    '',
    `refusals by reason: ${formatCounts(outcomes.map((outcome) => outcome.reason))}`,
    formatPrefill(records),
  ];
  return lines.join('\n');
}

function formatClass(
  workload: WorkloadClass,
  outcomes: readonly CallerOutcome[],
  placesById: ReadonlyMap<string, readonly string[]>,
): string {
  const own = outcomes.filter((outcome) => outcome.className === workload.name);
  const answered = own.filter((outcome) => outcome.kind === 'answered');
  const inTime = answered.filter((outcome) => outcome.isInTime);
  const durations = answered
    .map((outcome) => outcome.durationMs)
    .sort((left, right) => left - right);
  const median = durations[Math.floor(durations.length / 2)] ?? 0;
  const refused = own.filter((outcome) => outcome.kind === 'refused');
  const lost = own.length - answered.length - refused.length;
  const places = formatCounts(own.flatMap((outcome) => placesById.get(outcome.id) ?? []));
  return formatRow(
    workload.name,
    `${own.length}`,
    `${inTime.length}`,
    `${answered.length - inTime.length}`,
    `${refused.length}`,
    `${lost}`,
    median.toFixed(0),
    places,
  );
}

function formatPrefill(records: readonly BackendRecords[]): string {
  const wasted = records.reduce((sum, record) => sum + record.wastedPrefillTokens, 0);
  const all = records.reduce((sum, record) => sum + record.prefilledTokens, 0);
  return `wasted prefill: ${wasted} of ${all} tokens`;
}

function formatCounts(values: readonly string[]): string {
  const counts = new Map<string, number>();
  for (const value of values.filter((text) => text !== '')) {
    counts.set(value, (counts.get(value) ?? 0) + 1);
  }
  const text = [...counts]
    .sort()
    .map(([value, count]) => `${value} ${count}`)
    .join(', ');
  return text === '' ? 'none' : text;
}

function groupPlacesByRequest(records: readonly BackendRecords[]): Map<string, string[]> {
  const placesById = new Map<string, string[]>();
  for (const record of records) {
    for (const id of record.ids) {
      placesById.set(id, [...(placesById.get(id) ?? []), record.place]);
    }
  }
  return placesById;
}

function formatRow(name: string, ...cells: string[]): string {
  const NAME_WIDTH = 18;
  const CELL_WIDTH = 10;
  return name.padEnd(NAME_WIDTH) + cells.map((cell) => cell.padEnd(CELL_WIDTH)).join('');
}
