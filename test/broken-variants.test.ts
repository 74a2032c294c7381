import test from 'ava';
import { sampleFaultSchedule, simulate } from '../src/sim/simulate.js';
import { BROKEN_VARIANTS } from './support/broken-variants.js';

const DURATION_MS = 6_000;
const MAX_FAULTS = 6;
const SEED = 11;

for (const variant of BROKEN_VARIANTS) {
  test(`${variant.name} is detected by check ${variant.check}`, async (t) => {
    const durationMs = variant.durationMs ?? DURATION_MS;
    const faults = sampleFaultSchedule(SEED, variant.faultSet, durationMs, MAX_FAULTS);
    const options = {
      deployment: 'factoring',
      seed: SEED,
      load: variant.load,
      durationMs,
      faults,
    } as const;
    const broken = await simulate({ ...options, hooks: variant.createHooks() });
    const names = new Set(broken.violations.map((violation) => violation.check));
    t.true(names.has(variant.check), `detected by: ${[...names].join(', ') || 'nothing'}`);
    const correct = await simulate(options);
    t.deepEqual(correct.violations, []);
  });
}
