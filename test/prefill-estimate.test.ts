import test from 'ava';
import { predictFirstEventMs, PrefillEstimate } from '../src/gateway/dispatch/prefill-estimate.js';
import { SeededRandom } from '../src/random.js';

/**
 * Returns an estimate from samples of prompts of 100 to 6,000 tokens; `queueMs` is the maximum time
 * that other load adds.
 */
function estimateFromSamples(baseMs: number, msPerToken: number, queueMs: number): PrefillEstimate {
  const random = new SeededRandom(1);
  const estimate = new PrefillEstimate();
  for (let count = 0; count < 600; count += 1) {
    const tokens = 100 + Math.floor(random.next() ** 3 * 5_900);
    estimate.learn(tokens, baseMs + msPerToken * tokens + random.next() * queueMs);
  }
  return estimate;
}

test('the constant part is separated from the time per prompt token', (t) => {
  const { learned: fit } = estimateFromSamples(100, 0.04, 0);
  t.true(Math.abs(fit!.baseMs - 100) < 10);
  t.true(Math.abs(fit!.msPerToken - 0.04) < 0.005);
});

test('delayed samples, mostly of short prompts, raise the estimate for long ones only slightly', (t) => {
  const { learned: fit } = estimateFromSamples(100, 0.04, 60);
  const expected = predictFirstEventMs(fit!, 6_000);
  t.true(expected > 300 && expected < 420, `${expected}`);
});

test('an estimate of other gateways is adopted only while there is none', (t) => {
  const estimate = new PrefillEstimate();
  estimate.adopt({ baseMs: 5, msPerToken: 0.01 });
  t.deepEqual(estimate.learned, { baseMs: 5, msPerToken: 0.01 });
  estimate.adopt({ baseMs: 50, msPerToken: 0.1 });
  t.deepEqual(estimate.learned, { baseMs: 5, msPerToken: 0.01 });
});
