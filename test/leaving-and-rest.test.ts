import { execFileSync } from 'node:child_process';
import anyTest from 'ava';
import { runStatements } from '../bench/soak/statement-run.js';

// One fleet at a time: processes that start compete for the processor.
const test = anyTest.serial;

test.before(() => void execFileSync('node', ['platform/build.mjs']));

/*
 * A back end of a plain service said in its answers that it leaves. Its entry in the store did not, since the store was
 * away, and gateways sent requests to it for twelve seconds more; some failed there. Cause: who leaves was known from
 * entries alone; what the answers of the same back end said reached nothing that decides.
 *
 * Evidence: in the record the store acknowledges the entry twelve seconds after the first answer that says so, and no line
 * of a gateway names it before. On the code as it was, 87 requests that callers sent two seconds and more after such an
 * answer reached the back end from a gateway that had passed it on, within eight seconds; 33 once rights to send had come.
 */
test('a back end whose answers say that it leaves gets nothing new, whatever its entry says', async (t) => {
  const { lateToLeaving, served, folder } = await runStatements({
    trouble: 'leaving',
    gateways: 3,
    hasAgents: false,
    inTrouble: 1,
    seed: 1,
    lengthMs: 8_000,
    basePort: 24_120,
  });
  t.log(`${lateToLeaving} late, ${served} served; logs in ${folder}`);
  t.is(lateToLeaving, 0);
  t.true(served >= 0.98);
});

/*
 * An engine turned requests away and asked each gateway that it answered for three seconds of rest. It got many times the
 * traffic of before within the rest, and callers were refused while other engines had room. Cause: the pause in a refusal
 * reached nothing that decides, and a refusal in a millisecond leaves all slots free, which makes it the next choice.
 *
 * Evidence: in the record one engine turns away 12 to 27 requests a second after 3 a second before, from gateways that it
 * had asked for a rest in the same second. On the code as it was, one gateway sent 26 requests within one rest (8 once rights to
 * send had come), and .92
 * of the callers were served though five of six engines had room for five times the load.
 */
test('a back end that asks for a rest gets it, and its callers are served elsewhere', async (t) => {
  const { restWorst, served, folder } = await runStatements({
    trouble: 'rest',
    gateways: 3,
    hasAgents: true,
    inTrouble: 1,
    seed: 1,
    lengthMs: 8_000,
    basePort: 24_130,
  });
  t.log(`${restWorst} within a rest, ${served} served; logs in ${folder}`);
  t.true(restWorst <= 2);
  t.true(served >= 0.98);
});

/*
 * Three of six engines turned every request away at once and asked for nothing. Callers were refused by the half, though the
 * others had room for more than twice the load.
 *
 * Evidence: the agents beside those engines and the gateways count free slots, and a refusal frees its slot within a
 * millisecond; the three got most first tries and most further ones, until the budget of further tries was spent. Cause: a
 * refusal said nothing of a back end's health, and its free slots said that it had nothing to do. On the
 * code as it was .52 of the callers were served, with 24 gateways .21.
 */
test('back ends that refuse fast draw no traffic, and callers are served by the others', async (t) => {
  const { served, folder } = await runStatements({
    trouble: 'shed',
    gateways: 3,
    hasAgents: true,
    inTrouble: 3,
    seed: 1,
    lengthMs: 8_000,
    basePort: 24_140,
  });
  t.log(`${served} served; logs in ${folder}`);
  t.true(served >= 0.95);
});
