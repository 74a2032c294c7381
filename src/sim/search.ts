/** Searches seeds for a run that breaks a promise, several at a time, and shrinks what it finds. */
import * as fc from 'fast-check';
import type { Violation } from './checks/violation.js';
import type { DeploymentName } from './deployment.js';
import { faultSchedules, FAULT_SETS } from './fault.js';
import type { Fault } from './fault.js';
import { runOnThreads } from '../thread-pool.js';
import { createSchedule, simulate } from './simulate.js';

/** What one seed is run with; everything of a run follows from it. */
export interface SeedRun {
  readonly deployment: DeploymentName;
  readonly seed: number;
  readonly load: number;
  readonly durationMs: number;
  /** Name of a set of faults. */
  readonly faultSet: string;
  readonly maxFaults: number;
}

/** What one seed gave. */
export interface SeedResult {
  readonly seed: number;
  readonly violations: readonly Violation[];
  readonly digest: string;
  readonly virtualMs: number;
  readonly attemptCount: number;
}

/** Runs one seed. */
export async function runSeed(run: SeedRun): Promise<SeedResult> {
  return runSchedule(run, scheduleOf(run));
}

/** Runs one seed under a given schedule of faults. */
export async function runSchedule(run: SeedRun, faults: readonly Fault[]): Promise<SeedResult> {
  const { deployment, seed, load, durationMs } = run;
  const result = await simulate({ deployment, seed, load, durationMs, faults });
  const { violations, digest, virtualMs, attempts } = result;
  return { seed, violations, digest, virtualMs, attemptCount: attempts.length };
}

/** The schedule of faults of a seed. */
export function scheduleOf(run: SeedRun): Fault[] {
  const kinds = FAULT_SETS[run.faultSet] ?? [];
  return createSchedule(run.seed, kinds, run.durationMs, run.maxFaults);
}

/** The smallest schedule that fast-check finds within `timeLimitMs` under which the run still breaks a promise. */
export async function shrinkSchedule(run: SeedRun, timeLimitMs: number): Promise<Fault[]> {
  const kinds = FAULT_SETS[run.faultSet] ?? [];
  let smallest = scheduleOf(run);
  const property = fc.asyncProperty(
    faultSchedules(kinds, run.durationMs, run.maxFaults),
    async (faults) => {
      const { violations } = await runSchedule(run, faults);
      if (violations.length > 0) {
        smallest = faults;
      }
      return violations.length === 0;
    },
  );
  await fc.check(property, {
    examples: [[smallest]],
    numRuns: 1,
    interruptAfterTimeLimit: timeLimitMs,
    seed: run.seed,
  });
  return smallest;
}

/** Runs `runs` on `jobs` threads; `onResult` hears of each, and ends the search by returning false. */
export function searchSeeds(
  runs: readonly SeedRun[],
  jobs: number,
  onResult: (result: SeedResult) => boolean,
): Promise<void> {
  return runOnThreads(new URL('./search-worker.js', import.meta.url), runs, jobs, onResult);
}
