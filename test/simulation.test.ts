import test from 'ava';
import type { DeploymentName } from '../src/sim/deployment.js';
import { FAULT_SETS } from '../src/sim/fault.js';
import { runSeed } from '../src/sim/search.js';
import { sampleFaultSchedule, simulate } from '../src/sim/simulate.js';

const DURATION_MS = 8_000;
const MAX_FAULTS = 6;
const LOAD = 0.8;
const FIXED_SEEDS: ReadonlyArray<[DeploymentName, number]> = [
  ['factoring', 3],
  ['factoring', 13],
  ['factoring', 21],
  ['guild', 2],
  ['guild', 3],
  ['guild', 8],
];

for (const [deployment, seed] of FIXED_SEEDS) {
  test(`${deployment} seed ${seed} has no violations with all fault kinds`, async (t) => {
    const result = await runSeed({
      deployment,
      seed,
      load: LOAD,
      durationMs: DURATION_MS,
      faultSet: 'all',
      maxFaults: MAX_FAULTS,
    });
    t.deepEqual(result.violations, []);
    t.true(result.attemptCount > 0);
  });
}

const OVERLOADS = [
  { deployment: 'factoring', seed: 3, load: 0.8, durationMs: 6_000, queue: 20, set: 'overload' },
  { deployment: 'factoring', seed: 1, load: 2, durationMs: 5_000, queue: 20, set: 'none' },
  { deployment: 'guild', seed: 2, load: 10, durationMs: 2_500, queue: 30, set: 'none' },
] as const;

for (const { deployment, seed, load, durationMs, queue, set } of OVERLOADS) {
  test(`${deployment} seed ${seed}: load ${load}, queue limit ${queue}, faults ${set}: no higher tier is shed while a lower one runs`, async (t) => {
    const faults = sampleFaultSchedule(seed, FAULT_SETS[set]!, durationMs, 4);
    const result = await simulate({
      deployment,
      seed,
      load,
      durationMs,
      faults,
      entryOptions: { maxWaitingRequests: queue },
    });
    t.true(result.attempts.some((attempt) => attempt.refusal?.reason === 'overloaded'));
    t.deepEqual(result.violations.slice(0, 3), []);
  });
}

test('graceful shutdown of engines, a place and entries interrupts no request', async (t) => {
  const faults = sampleFaultSchedule(5, FAULT_SETS['leave']!, DURATION_MS, MAX_FAULTS);
  const result = await simulate({
    deployment: 'guild',
    seed: 5,
    load: LOAD,
    durationMs: DURATION_MS,
    faults,
  });
  t.deepEqual(result.violations, []);
  const interrupted = result.attempts.filter(
    (attempt) => attempt.refusal?.ran === 'unknown' || attempt.outcome === 'pending',
  );
  t.deepEqual(interrupted, []);
});

test('equal seeds give equal digests, also with concurrent simulations', async (t) => {
  const run = {
    deployment: 'guild',
    seed: 4,
    load: 0.5,
    durationMs: 3_000,
    faultSet: 'all',
    maxFaults: MAX_FAULTS,
  } as const;
  const alone = await runSeed(run);
  const [concurrent] = await Promise.all([runSeed(run), runSeed({ ...run, seed: 6 })]);
  t.is(concurrent.digest, alone.digest);
  t.not((await runSeed({ ...run, seed: 6 })).digest, alone.digest);
});
