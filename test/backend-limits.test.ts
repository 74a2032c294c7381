import { execFileSync } from 'node:child_process';
import anyTest from 'ava';
import { runStatements } from '../bench/soak/statement-run.js';

// Runs the tests serially, since starting processes compete for the CPU.
const test = anyTest.serial;

test.before(() => void execFileSync('node', ['platform/build.mjs']));

/*
 * A backend states in its responses how many requests per second it accepts from all gateways
 * together. If gateways only relay the limit to callers, or each applies it alone, the backend
 * receives several times as much; therefore one gateway issues send rights to all. Without them,
 * three gateways send 62 requests in 4 s to a backend with a limit of 2.4 per second (19 allowed),
 * and 86 with a slot agent beside it, none of them retries.
 */
test('a backend receives no more than its stated limit, with a tolerance, from all gateways together', async (t) => {
  const { limitWorst, limitAllowed, served, folder } = await runStatements({
    fault: 'limit',
    gateways: 3,
    hasAgents: false,
    faultyCount: 1,
    seed: 1,
    lengthMs: 10_000,
    basePort: 24_100,
  });
  t.log(`${limitWorst} of ${limitAllowed} allowed, ${served} served; logs in ${folder}`);
  t.true(limitWorst <= limitAllowed);
  t.true(served >= 0.98);
});

test('a backend with a slot agent receives no more than its stated limit, with a tolerance, from all gateways', async (t) => {
  const { limitWorst, limitAllowed, served, folder } = await runStatements({
    fault: 'limit',
    gateways: 3,
    hasAgents: true,
    faultyCount: 1,
    seed: 1,
    lengthMs: 10_000,
    basePort: 24_110,
  });
  t.log(`${limitWorst} of ${limitAllowed} allowed, ${served} served; logs in ${folder}`);
  t.true(limitWorst <= limitAllowed);
  t.true(served >= 0.98);
});
