import { execFileSync } from 'node:child_process';
import anyTest from 'ava';
import { runQuotas } from '../bench/soak/quota-run.js';

// One fleet at a time: starting processes compete for CPU time.
const test = anyTest.serial;

/*
 * Guards against a tenant exceeding its rate, burst and tolerance while gateways restart one after
 * another: a gateway that starts with full pools grants again what the others have counted as
 * spent. With one gateway killed every half second the worst window then reaches 1.18 of the limit,
 * against .92 without kills.
 */
test('quota: no tenant exceeds its limit while gateways are killed and restarted in turn', async (t) => {
  execFileSync('node', ['platform/build.mjs']);
  const {
    peakShare: worstShare,
    moderateRefusedShare: calmRefused,
    folder,
  } = await runQuotas({
    fault: 'kill-in-turn',
    gateways: 8,
    seed: 1,
    durationMs: 13_000,
    basePort: 24_000,
  });
  t.log(`${worstShare} of the limit, ${calmRefused} of calm requests refused; logs in ${folder}`);
  t.true(worstShare <= 1);
  t.true(calmRefused < 0.01);
});

test('quota: a request that back ends run twice is charged twice', async (t) => {
  const {
    peakShare: worstShare,
    repeatedExecutions: furtherTries,
    folder,
  } = await runQuotas({
    fault: 'lost-answers',
    gateways: 3,
    seed: 1,
    durationMs: 10_000,
    basePort: 24_010,
  });
  t.log(`${worstShare} of the limit, ${furtherTries} further attempts; logs in ${folder}`);
  t.true(furtherTries > 0);
  t.true(worstShare <= 1);
});

test('quota: gateways that never receive messages from each other share one limit', async (t) => {
  const { peakShare: worstShare, folder } = await runQuotas({
    fault: 'apart',
    gateways: 4,
    seed: 1,
    durationMs: 10_000,
    basePort: 24_020,
  });
  t.log(`${worstShare} of the limit; logs in ${folder}`);
  t.true(worstShare <= 1);
});
