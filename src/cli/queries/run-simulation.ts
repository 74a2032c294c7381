/** Simulator commands: run one seed, search many seeds, replay a fault schedule. */
import { writeFileSync } from 'node:fs';
import { z } from 'zod';
import type { DeploymentName } from '../../sim/deployment.js';
import { FAULT_KINDS, FAULT_SETS } from '../../sim/fault.js';
import type { Fault } from '../../sim/fault.js';
import { runSchedule, createSeedSchedule, searchSeeds, shrinkSchedule } from '../../sim/search.js';
import type { SeedResult, SeedRunOptions } from '../../sim/search.js';
import { CommandError, printOutput, readInputFile, showProgress } from '../context.js';
import type { GlobalOptions } from '../context.js';
import { EXIT } from '../exit-codes.js';

/** Unparsed options of the simulator commands. */
export interface SimulationArguments extends GlobalOptions {
  readonly deployment: string;
  readonly seed: string;
  readonly seeds: string;
  /** Virtual time during which callers send requests, in seconds. */
  readonly duration: string;
  readonly load: string;
  readonly faults: string;
  readonly maxFaults: string;
  readonly jobs: string;
}

const MS_PER_SECOND = 1_000;
const MS_PER_HOUR = 3_600_000;
const SHRINK_LIMIT_MS = 120_000;

const replaySchema = z.object({
  run: z.object({
    deployment: z.enum(['factoring', 'guild']),
    seed: z.number(),
    load: z.number(),
    durationMs: z.number(),
    faultSet: z.string(),
    maxFaults: z.number(),
  }),
  faults: z.array(
    z.object({
      kind: z.enum(FAULT_KINDS),
      atMs: z.number(),
      durationMs: z.number(),
      target: z.number(),
    }),
  ),
});

/** Runs one seed and prints its result. */
export async function runSimulation(options: SimulationArguments): Promise<void> {
  const run = parseSeedRun(options, Number(options.seed));
  printResult(
    options,
    run,
    await runSchedule(run, createSeedSchedule(run)),
    createSeedSchedule(run),
  );
}

/** Runs the fault schedule that a search saved to a file. */
export async function replaySimulation(path: string, options: GlobalOptions): Promise<void> {
  const parsed = replaySchema.safeParse(JSON.parse(readInputFile(path)));
  if (!parsed.success) {
    throw new CommandError(EXIT.badInput, `${path} is not a fault schedule saved by a search`);
  }
  const { run, faults } = parsed.data;
  printResult(options, run, await runSchedule(run, faults), faults);
}

/** Runs a range of seeds; stops at the first that fails a check, and shrinks its fault schedule. */
export async function searchSimulations(options: SimulationArguments): Promise<void> {
  const runs = parseSeedRange(options.seeds).map((seed) => parseSeedRun(options, seed));
  const results: SeedResult[] = [];
  let failed: SeedResult | undefined;
  await searchSeeds(runs, Number(options.jobs), (result) => {
    results.push(result);
    failed ??= result.violations.length > 0 ? result : undefined;
    showProgress(results.length, runs.length);
    return failed === undefined;
  });
  process.stderr.write('\n');
  const virtualHours = results.reduce((sum, result) => sum + result.virtualMs, 0) / MS_PER_HOUR;
  const attempts = results.reduce((sum, result) => sum + result.attemptCount, 0);
  const summary = { seeds: results.length, virtualHours, attempts, broken: failed?.seed ?? null };
  printOutput(
    options,
    summary,
    `${results.length} seeds, ${virtualHours.toFixed(2)} virtual hours, ${attempts} attempts, ${failed === undefined ? 'no violation' : `seed ${failed.seed} fails a check`}`,
  );
  if (failed !== undefined) {
    await reportFailedSeed(options, parseSeedRun(options, failed.seed), failed);
  }
}

async function reportFailedSeed(
  options: SimulationArguments,
  run: SeedRunOptions,
  result: SeedResult,
): Promise<void> {
  process.stdout.write(`${describeViolations(result)}\nshrinking the fault schedule\n`);
  const faults = await shrinkSchedule(run, SHRINK_LIMIT_MS);
  const file = `seed-${run.deployment}-${run.seed}.json`;
  writeFileSync(file, JSON.stringify({ run, faults }, null, 2));
  printOutput(
    options,
    faults,
    `${faults.map(describeFault).join('\n')}\nreproduce with: weirvale sim replay ${file}`,
  );
  process.exitCode = EXIT.failed;
}

function printResult(
  options: GlobalOptions,
  run: SeedRunOptions,
  result: SeedResult,
  faults: readonly Fault[],
): void {
  const lines = [
    `${run.deployment} seed ${run.seed}: ${result.attemptCount} attempts, digest ${result.digest}`,
    ...faults.map(describeFault),
    describeViolations(result),
  ];
  printOutput(options, { ...result, faults }, lines.join('\n'));
  if (result.violations.length > 0) {
    process.exitCode = EXIT.failed;
  }
}

function describeFault(fault: Fault): string {
  return `  at ${fault.atMs} ms for ${fault.durationMs} ms: ${fault.kind} ${fault.target}`;
}

function describeViolations(result: SeedResult): string {
  const MAX_SHOWN = 5;
  if (result.violations.length === 0) {
    return 'no violation';
  }
  const shown = result.violations
    .slice(0, MAX_SHOWN)
    .map(
      (violation) => `  ${violation.check} at ${violation.atMs.toFixed(0)} ms: ${violation.detail}`,
    );
  return [`${result.violations.length} violations`, ...shown].join('\n');
}

function parseSeedRun(options: SimulationArguments, seed: number): SeedRunOptions {
  if (options.deployment !== 'factoring' && options.deployment !== 'guild') {
    throw new CommandError(EXIT.badInput, '--deployment must be factoring or guild');
  }
  if (FAULT_SETS[options.faults] === undefined) {
    const names = Object.keys(FAULT_SETS).join(', ');
    throw new CommandError(EXIT.badInput, `--faults must be one of ${names}`);
  }
  return {
    deployment: options.deployment satisfies DeploymentName,
    seed,
    load: Number(options.load),
    durationMs: Number(options.duration) * MS_PER_SECOND,
    faultSet: options.faults,
    maxFaults: Number(options.maxFaults),
  };
}

function parseSeedRange(text: string): number[] {
  const match = /^(\d+)\.\.(\d+)$/.exec(text);
  if (match === null) {
    throw new CommandError(EXIT.badInput, '--seeds must be of the form FIRST..LAST');
  }
  const [first, last] = [Number(match[1]), Number(match[2])];
  return Array.from({ length: Math.max(0, last - first + 1) }, (_, index) => first + index);
}
