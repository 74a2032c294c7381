import { execFileSync } from 'node:child_process';
import test from 'ava';
import { runQuotas } from '../bench/soak/quota-run.js';

/*
 * Back ends ran more of one customer than its rate, burst and tolerated surplus allow. Gateways were being started
 * again one after another; each that started let the customer spend afresh what the others had counted as spent.
 *
 * Evidence: in the record the gateways' process ids rise together with the configuration versions that they first
 * installed, so they started in a row while operators changed the configuration. On the code as it was, real gateways
 * of which one was killed every half second ran 1.18 of the bound in the worst window, and the same fleet without
 * kills .92: what differs is the starts alone.
 */
test('quota: gateways that are killed and started again in turn let no tenant beyond its limit', async (t) => {
  execFileSync('node', ['platform/build.mjs']);
  const { worstShare, calmRefused, folder } = await runQuotas({
    fault: 'kill-in-turn',
    gateways: 8,
    seed: 1,
    lengthMs: 13_000,
    basePort: 24_000,
  });
  t.log(`${worstShare} of the bound, ${calmRefused} of the calm refused; logs in ${folder}`);
  t.true(worstShare <= 1);
  t.true(calmRefused < 0.01);
});
