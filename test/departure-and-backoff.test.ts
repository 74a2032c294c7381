import { execFileSync } from 'node:child_process';
import anyTest from 'ava';
import { runStatements } from '../bench/soak/statement-run.js';

// Runs the tests serially, since starting processes compete for the CPU.
const test = anyTest.serial;

test.before(() => void execFileSync('node', ['platform/build.mjs']));

/*
 * A backend states in its responses that it is draining, while its announcement does not show it,
 * for example during a store outage. Gateways that evaluate announcements alone keep sending to it
 * for twelve seconds, and some requests fail. Without the evaluation of statements, 87 requests
 * sent two or more seconds after such a response reach it within eight seconds from a gateway that
 * relayed one, and 33 with send rights alone.
 */
test('a backend whose responses state that it is draining receives no new requests, whatever it announces', async (t) => {
  const { lateToLeaving, served, folder } = await runStatements({
    fault: 'leaving',
    gateways: 3,
    hasAgents: false,
    faultyCount: 1,
    seed: 1,
    lengthMs: 8_000,
    basePort: 24_120,
  });
  t.log(`${lateToLeaving} late, ${served} served; logs in ${folder}`);
  t.is(lateToLeaving, 0);
  t.true(served >= 0.98);
});

/*
 * An engine refuses requests with a Retry-After of three seconds. A refusal within a millisecond
 * leaves all its slots free, so that gateways that ignore Retry-After prefer it: it refuses 12 to
 * 27 requests per second, having received 3 per second before, and callers are refused while other
 * engines are idle. Without the backoff, one gateway sends 26 requests within one period (8 with
 * send rights alone), and .92 of the requests are served though five of six engines have capacity
 * for five times the load.
 */
test('gateways follow the backoff that a backend requests, and callers are served elsewhere', async (t) => {
  const { restWorst, served, folder } = await runStatements({
    fault: 'rest',
    gateways: 3,
    hasAgents: true,
    faultyCount: 1,
    seed: 1,
    lengthMs: 8_000,
    basePort: 24_130,
  });
  t.log(`${restWorst} within a backoff, ${served} served; logs in ${folder}`);
  t.true(restWorst <= 2);
  t.true(served >= 0.98);
});

/*
 * Three of six engines refuse every request at once, without Retry-After. A refusal frees its slot
 * within a millisecond, so that by free slots alone these engines receive most first attempts and
 * retries until the retry budget is spent, though the others have capacity for more than twice the
 * load. If refusals don't count against a backend's health, .52 of the requests are served, with
 * 24 gateways .21.
 */
test('backends that refuse at once attract no traffic, and callers are served by the others', async (t) => {
  const { served, folder } = await runStatements({
    fault: 'shed',
    gateways: 3,
    hasAgents: true,
    faultyCount: 3,
    seed: 1,
    lengthMs: 8_000,
    basePort: 24_140,
  });
  t.log(`${served} served; logs in ${folder}`);
  t.true(served >= 0.95);
});
