/** Query: plays an experiment with the gateway's policies over several seeds. */
import { writeFileSync } from 'node:fs';
import type { ExperimentJob } from '../../model/experiment-worker.js';
import { parseExperiment } from '../../model/experiment.js';
import { addRow, emptyRow } from '../../model/model-value.js';
import type { ValueRow } from '../../model/model-value.js';
import type { ExperimentRun } from '../../model/run-experiment.js';
import { runOnThreads } from '../../thread-pool.js';
import { CommandFailure, print, readInput, showProgress } from '../context.js';
import type { GlobalOptions } from '../context.js';
import { EXIT } from '../exit-codes.js';

/** Options of an experiment, as text. */
export interface ExperimentArguments extends GlobalOptions {
  readonly seeds: string;
  readonly jobs: string;
  /** File that gets one JSON line for each seed; undefined for none. */
  readonly out?: string;
}

const NAME_WIDTH = 16;
const COLUMN_WIDTH = 10;
const COLUMNS = ['worth', 'in time', 'late', 'refused', 'again', 'held ms'];

/** Plays the experiment of a file and prints what it was worth, by kind of request. */
export async function runExperimentFile(path: string, options: ExperimentArguments): Promise<void> {
  const parsed = parseExperiment(readInput(path));
  if (!parsed.ok) {
    throw new CommandFailure(EXIT.badInput, `${path}:\n${parsed.val.message}`);
  }
  const seeds = readCount('seeds', options.seeds);
  const jobs = Array.from({ length: seeds }, (_, index) => ({
    experiment: parsed.val,
    seed: index + 1,
  }));
  const runs: ExperimentRun[] = [];
  const script = new URL('../../model/experiment-worker.js', import.meta.url);
  await runOnThreads<ExperimentJob, ExperimentRun>(
    script,
    jobs,
    readCount('jobs', options.jobs),
    (run) => {
      runs.push(run);
      showProgress(runs.length, seeds);
      return true;
    },
  );
  process.stderr.write('\n');
  runs.sort((left, right) => left.seed - right.seed);
  if (options.out !== undefined) {
    writeFileSync(options.out, runs.map((run) => `${JSON.stringify(run)}\n`).join(''));
  }
  print(options, summarize(runs), describe(runs));
}

function summarize(runs: readonly ExperimentRun[]): Record<string, unknown> {
  return { ...spreadOf(runs), rows: sumRows(runs), digests: runs.map(({ digest }) => digest) };
}

function describe(runs: readonly ExperimentRun[]): string {
  const { mean, deviation } = spreadOf(runs);
  const head = ['requests', ...COLUMNS].map((name, index) =>
    index === 0 ? name.padEnd(NAME_WIDTH) : name.padStart(COLUMN_WIDTH),
  );
  return [
    `worth ${mean.toFixed(4)}, standard deviation ${deviation.toFixed(4)} over ${runs.length} seeds`,
    head.join(''),
    ...sumRows(runs).map(describeRow),
  ].join('\n');
}

function describeRow(row: ValueRow): string {
  const unserved = Math.max(1, row.asked - row.inTime - row.late);
  const shares = [row.worth / row.worthAsked, row.inTime / row.asked, row.late / row.asked];
  const refusals = [row.refusals / row.asked, row.repeatedRefusals / row.asked];
  const cells = [...shares, ...refusals].map((share) => share.toFixed(3));
  cells.push((row.heldMs / unserved).toFixed(0));
  return row.name.padEnd(NAME_WIDTH) + cells.map((cell) => cell.padStart(COLUMN_WIDTH)).join('');
}

function sumRows(runs: readonly ExperimentRun[]): ValueRow[] {
  const rows = new Map<string, ValueRow>();
  for (const row of runs.flatMap(({ total, routes }) => [total, ...routes])) {
    const sum = rows.get(row.name) ?? emptyRow(row.name);
    addRow(sum, row);
    rows.set(row.name, sum);
  }
  return [...rows.values()];
}

function spreadOf(runs: readonly ExperimentRun[]): { mean: number; deviation: number } {
  const shares = runs.map(({ total }) => total.worth / total.worthAsked);
  const mean = shares.reduce((sum, share) => sum + share, 0) / shares.length;
  const variance = shares.reduce((sum, share) => sum + (share - mean) ** 2, 0) / shares.length;
  return { mean, deviation: Math.sqrt(variance) };
}

function readCount(name: string, text: string): number {
  const count = Number(text);
  if (!Number.isInteger(count) || count < 1) {
    throw new CommandFailure(EXIT.badInput, `--${name} must be a whole number of at least 1`);
  }
  return count;
}
