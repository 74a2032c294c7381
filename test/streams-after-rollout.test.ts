/** Streams that callers resume after a rollout of a newer version and a kill of all gateways. */
import test from 'ava';
import { runStreamFaults } from './support/stream-faults.js';
import type { StreamRunOptions } from './support/stream-faults.js';

const BASE = {
  backends: 8,
  gateways: 6,
  lengthMs: 24_000,
  faultGapMs: [7_000, 8_000],
  cutShare: 0,
  maxAttempts: 12,
} satisfies Partial<StreamRunOptions>;

test('no stream that is resumed after twice the timeout of its route is joined from two versions', async (t) => {
  for (const seed of [1, 2, 3]) {
    const { mixed, gaps, resumed } = await runStreamFaults({
      ...BASE,
      seed,
      faults: ['replaceAtOnceAndKill'],
      faultGapMs: [15_000, 15_000],
      deadlineMs: 16_000,
      maxAttempts: 60,
    });
    t.deepEqual([mixed, gaps], [[], []], `seed ${seed}`);
    t.true(resumed > 50, `${resumed}`);
  }
});
