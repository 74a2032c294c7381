/** Runs an experiment with several seeds on worker threads and prints the totals. */
import { writeFileSync } from 'node:fs';
import type { ExperimentJob } from '../../experiment/experiment-worker.js';
import { parseExperiment } from '../../experiment/experiment.js';
import { addTotals, emptyTotals } from '../../experiment/outcome-totals.js';
import type { OutcomeTotals } from '../../experiment/outcome-totals.js';
import type { ExperimentResult } from '../../experiment/run-experiment.js';
import { runOnThreads } from '../../thread-pool.js';
import { CommandError, printOutput, readInputFile, showProgress } from '../context.js';
import type { GlobalOptions } from '../context.js';
import { EXIT } from '../exit-codes.js';

/** Unparsed options of an experiment. */
export interface ExperimentArguments extends GlobalOptions {
  readonly seeds: string;
  readonly jobs: string;
  /** Output file with one line of JSON per seed; undefined for none. */
  readonly out?: string;
}

const NAME_WIDTH = 16;
const COLUMN_WIDTH = 10;
const COLUMNS = ['worth', 'in time', 'late', 'refused', 'repeated', 'held ms'];

/** Runs the experiment of a file and prints its net value and request counts, by route. */
export async function runExperimentFile(path: string, options: ExperimentArguments): Promise<void> {
  const parsed = parseExperiment(readInputFile(path));
  if (!parsed.ok) {
    throw new CommandError(EXIT.badInput, `${path}:\n${parsed.val.message}`);
  }
  const seeds = parseCount('seeds', options.seeds);
  const jobs = Array.from({ length: seeds }, (_, index) => ({
    experiment: parsed.val,
    seed: index + 1,
  }));
  const results: ExperimentResult[] = [];
  const script = new URL('../../experiment/experiment-worker.js', import.meta.url);
  await runOnThreads<ExperimentJob, ExperimentResult>(
    script,
    jobs,
    parseCount('jobs', options.jobs),
    (result) => {
      results.push(result);
      showProgress(results.length, seeds);
      return true;
    },
  );
  process.stderr.write('\n');
  results.sort((left, right) => left.seed - right.seed);
  if (options.out !== undefined) {
    writeFileSync(options.out, results.map((result) => `${JSON.stringify(result)}\n`).join(''));
  }
  printOutput(options, summarize(results), formatReport(results));
}

function summarize(results: readonly ExperimentResult[]): Record<string, unknown> {
  return {
    ...meanAndDeviation(results),
    rows: sumTotals(results),
    digests: results.map(({ digest }) => digest),
  };
}

function formatReport(results: readonly ExperimentResult[]): string {
  const { mean, deviation } = meanAndDeviation(results);
  const header = ['requests', ...COLUMNS].map((name, index) =>
    index === 0 ? name.padEnd(NAME_WIDTH) : name.padStart(COLUMN_WIDTH),
  );
  return [
    `worth ${mean.toFixed(4)}, standard deviation ${deviation.toFixed(4)} over ${results.length} seeds`,
    header.join(''),
    ...sumTotals(results).map(formatTotals),
  ].join('\n');
}

function formatTotals(totals: OutcomeTotals): string {
  const unserved = Math.max(1, totals.asked - totals.inTime - totals.late);
  const shares = [
    totals.worth / totals.worthAsked,
    totals.inTime / totals.asked,
    totals.late / totals.asked,
  ];
  const refusals = [totals.refusals / totals.asked, totals.repeatedRefusals / totals.asked];
  const cells = [...shares, ...refusals].map((share) => share.toFixed(3));
  cells.push((totals.heldMs / unserved).toFixed(0));
  return totals.name.padEnd(NAME_WIDTH) + cells.map((cell) => cell.padStart(COLUMN_WIDTH)).join('');
}

function sumTotals(results: readonly ExperimentResult[]): OutcomeTotals[] {
  const sums = new Map<string, OutcomeTotals>();
  for (const totals of results.flatMap(({ total, routes }) => [total, ...routes])) {
    const sum = sums.get(totals.name) ?? emptyTotals(totals.name);
    addTotals(sum, totals);
    sums.set(totals.name, sum);
  }
  return [...sums.values()];
}

/** Mean and standard deviation over seeds of the net value, as a share of the possible value. */
function meanAndDeviation(results: readonly ExperimentResult[]): {
  mean: number;
  deviation: number;
} {
  const shares = results.map(({ total }) => total.worth / total.worthAsked);
  const mean = shares.reduce((sum, share) => sum + share, 0) / shares.length;
  const variance = shares.reduce((sum, share) => sum + (share - mean) ** 2, 0) / shares.length;
  return { mean, deviation: Math.sqrt(variance) };
}

function parseCount(name: string, text: string): number {
  const count = Number(text);
  if (!Number.isInteger(count) || count < 1) {
    throw new CommandError(EXIT.badInput, `--${name} must be a whole number of at least 1`);
  }
  return count;
}
