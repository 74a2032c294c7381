/** Searches seeds in parallel for a simulation with violations, and shrinks its fault schedule. */
import * as fc from 'fast-check';
import type { Violation } from './checks/violation.js';
import type { DeploymentName } from './deployment.js';
import { faultScheduleArbitrary, FAULT_SETS } from './fault.js';
import type { Fault } from './fault.js';
import { runOnThreads } from '../thread-pool.js';
import { sampleFaultSchedule, simulate } from './simulate.js';

/** Options that fully determine the simulation of one seed; replay files store these fields. */
export interface SeedRunOptions {
  readonly deployment: DeploymentName;
  readonly seed: number;
  /** Offered load as a fraction of the capacity of the engines. */
  readonly load: number;
  readonly durationMs: number;
  /** Key of `FAULT_SETS`. */
  readonly faultSet: string;
  readonly maxFaults: number;
}

/** Result of the simulation of one seed. */
export interface SeedResult {
  readonly seed: number;
  readonly violations: readonly Violation[];
  readonly digest: string;
  readonly virtualMs: number;
  readonly attemptCount: number;
}

/** Runs the simulation of a seed with the fault schedule that the seed determines. */
export async function runSeed(run: SeedRunOptions): Promise<SeedResult> {
  return runSchedule(run, createSeedSchedule(run));
}

/** Runs the simulation of a seed with a given fault schedule. */
export async function runSchedule(
  run: SeedRunOptions,
  faults: readonly Fault[],
): Promise<SeedResult> {
  const { deployment, seed, load, durationMs } = run;
  const result = await simulate({ deployment, seed, load, durationMs, faults });
  const { violations, digest, virtualMs, attempts } = result;
  return { seed, violations, digest, virtualMs, attemptCount: attempts.length };
}

/** Returns the fault schedule that a seed determines. */
export function createSeedSchedule(run: SeedRunOptions): Fault[] {
  const kinds = FAULT_SETS[run.faultSet] ?? [];
  return sampleFaultSchedule(run.seed, kinds, run.durationMs, run.maxFaults);
}

/**
 * Returns the smallest fault schedule that fast-check finds within `timeLimitMs` with which the
 * simulation still has violations.
 */
export async function shrinkSchedule(run: SeedRunOptions, timeLimitMs: number): Promise<Fault[]> {
  const kinds = FAULT_SETS[run.faultSet] ?? [];
  let smallest = createSeedSchedule(run);
  const property = fc.asyncProperty(
    faultScheduleArbitrary(kinds, run.durationMs, run.maxFaults),
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

/**
 * Runs `runs` on `jobs` threads; `onResult` receives each result and stops the search by returning
 * false.
 */
export function searchSeeds(
  runs: readonly SeedRunOptions[],
  jobs: number,
  onResult: (result: SeedResult) => boolean,
): Promise<void> {
  return runOnThreads(new URL('./search-worker.js', import.meta.url), runs, jobs, onResult);
}
