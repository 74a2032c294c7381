/** Queries of the simulator: run one seed, search many, replay a schedule. */
import { writeFileSync } from 'node:fs';
import { z } from 'zod';
import type { DeploymentName } from '../../sim/deployment.js';
import { FAULT_KINDS, FAULT_SETS } from '../../sim/fault.js';
import type { Fault } from '../../sim/fault.js';
import { runSchedule, scheduleOf, searchSeeds, shrinkSchedule } from '../../sim/search.js';
import type { SeedResult, SeedRun } from '../../sim/search.js';
import { CommandFailure, print, readInput, showProgress } from '../context.js';
import type { GlobalOptions } from '../context.js';
import { EXIT } from '../exit-codes.js';

/** Options of every query of the simulator, as text. */
export interface SimulationArguments extends GlobalOptions {
  readonly deployment: string;
  readonly seed: string;
  readonly seeds: string;
  /** Seconds of virtual time in which callers send. */
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

/** Runs one seed and prints what it gave. */
export async function runOne(options: SimulationArguments): Promise<void> {
  const run = readRun(options, Number(options.seed));
  report(options, run, await runSchedule(run, scheduleOf(run)), scheduleOf(run));
}

/** Runs the schedule of a file that a search wrote. */
export async function replaySimulation(path: string, options: GlobalOptions): Promise<void> {
  const parsed = replaySchema.safeParse(JSON.parse(readInput(path)));
  if (!parsed.success) {
    throw new CommandFailure(EXIT.badInput, `${path} is no schedule that a search wrote`);
  }
  const { run, faults } = parsed.data;
  report(options, run, await runSchedule(run, faults), faults);
}

/** Runs a range of seeds; stops at the first that breaks a promise, and shrinks its schedule. */
export async function search(options: SimulationArguments): Promise<void> {
  const runs = readSeeds(options.seeds).map((seed) => readRun(options, seed));
  const results: SeedResult[] = [];
  let broken: SeedResult | undefined;
  await searchSeeds(runs, Number(options.jobs), (result) => {
    results.push(result);
    broken ??= result.violations.length > 0 ? result : undefined;
    showProgress(results.length, runs.length);
    return broken === undefined;
  });
  process.stderr.write('\n');
  const virtualHours = results.reduce((sum, one) => sum + one.virtualMs, 0) / MS_PER_HOUR;
  const attempts = results.reduce((sum, one) => sum + one.attemptCount, 0);
  const summary = { seeds: results.length, virtualHours, attempts, broken: broken?.seed ?? null };
  print(
    options,
    summary,
    `${results.length} seeds, ${virtualHours.toFixed(2)} virtual hours, ${attempts} requests, ${broken === undefined ? 'no violation' : `seed ${broken.seed} breaks a promise`}`,
  );
  if (broken !== undefined) {
    await reportBroken(options, readRun(options, broken.seed), broken);
  }
}

async function reportBroken(
  options: SimulationArguments,
  run: SeedRun,
  result: SeedResult,
): Promise<void> {
  process.stdout.write(`${describeViolations(result)}\nshrinking the schedule of faults\n`);
  const faults = await shrinkSchedule(run, SHRINK_LIMIT_MS);
  const file = `seed-${run.deployment}-${run.seed}.json`;
  writeFileSync(file, JSON.stringify({ run, faults }, null, 2));
  print(
    options,
    faults,
    `${faults.map(describeFault).join('\n')}\nrepeat: weirvale sim replay ${file}`,
  );
  process.exitCode = EXIT.failed;
}

function report(
  options: GlobalOptions,
  run: SeedRun,
  result: SeedResult,
  faults: readonly Fault[],
): void {
  const lines = [
    `${run.deployment} seed ${run.seed}: ${result.attemptCount} requests, digest ${result.digest}`,
    ...faults.map(describeFault),
    describeViolations(result),
  ];
  print(options, { ...result, faults }, lines.join('\n'));
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
    .map((one) => `  ${one.check} at ${one.atMs.toFixed(0)} ms: ${one.detail}`);
  return [`${result.violations.length} violations`, ...shown].join('\n');
}

function readRun(options: SimulationArguments, seed: number): SeedRun {
  if (options.deployment !== 'factoring' && options.deployment !== 'guild') {
    throw new CommandFailure(EXIT.badInput, 'deployments are factoring and guild');
  }
  if (FAULT_SETS[options.faults] === undefined) {
    const names = Object.keys(FAULT_SETS).join(', ');
    throw new CommandFailure(EXIT.badInput, `sets of faults are ${names}`);
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

function readSeeds(text: string): number[] {
  const match = /^(\d+)\.\.(\d+)$/.exec(text);
  if (match === null) {
    throw new CommandFailure(EXIT.badInput, 'seeds are given as FIRST..LAST');
  }
  const [first, last] = [Number(match[1]), Number(match[2])];
  return Array.from({ length: Math.max(0, last - first + 1) }, (_, index) => first + index);
}
