import test from 'ava';
import { RetryBudget } from '../src/gateway/admission/retry-budget.js';
import { SeededRandom } from '../src/random.js';
import { QuotaFleet } from './support/quota-fleet.js';
import type { QuotaFleetFault } from './support/quota-fleet.js';

const SEEDS = 200;
const REGIONS = 3;
const GATEWAYS = 29;
const STEP_MS = 10;
const SETTLE_MS = 8_000;
const RETRY = { ratio: 0.2, windowMs: 10_000, slack: 50 };

/**
 * Largest usage in a window, as a share of the bound, by a tenant at nearly three times its rate
 * during a region partition.
 */
async function worstShare(seed: number, fault: QuotaFleetFault = {}): Promise<number> {
  const random = new SeededRandom(seed);
  const fleet = new QuotaFleet({ seed, gateways: 9, fault });
  await fleet.run(SETTLE_MS);
  fleet.startLoad(2.8, 0.2);
  const region = Math.floor(random.next() * REGIONS);
  await fleet.run(Math.floor(random.next() * 4_000));
  const cut = fleet.gateways.filter((_gateway, index) => index % REGIONS === region);
  cut.forEach((gateway) => (gateway.partitionSide = 1));
  await fleet.run(200 + Math.floor(random.next() * 10_000));
  cut.forEach((gateway) => (gateway.partitionSide = 0));
  await fleet.run(2_000);
  return fleet.worstShare();
}

test('a tenant stays within its quota during a region partition of any start and duration', async (t) => {
  for (let seed = 0; seed < SEEDS; seed += 1) {
    const share = await worstShare(seed);
    t.true(share <= 1, `seed ${seed}: ${share} of the bound`);
  }
});

test('the check detects pools that take over the share of unreachable holders', async (t) => {
  let worst = 0;
  for (let seed = 0; seed < SEEDS && worst <= 1; seed += 1) {
    worst = await worstShare(seed, { assumesTwoPools: true });
  }
  t.true(worst > 1);
});

test('regions that are all partitioned from each other stay within the quota in total', async (t) => {
  const fleet = new QuotaFleet({ seed: 3, gateways: 9 });
  await fleet.run(SETTLE_MS);
  fleet.gateways.forEach((gateway, index) => (gateway.partitionSide = index % REGIONS));
  fleet.startLoad();
  await fleet.run(12_000);
  t.true(fleet.worstShare() <= 1);
});

test('retries stay within the retry budget while regions are partitioned', (t) => {
  for (let seed = 0; seed < SEEDS; seed += 1) {
    const random = new SeededRandom(seed);
    const budgets = Array.from({ length: GATEWAYS }, () => new RetryBudget(RETRY));
    let requests = 0;
    let retries = 0;
    for (let nowMs = 0; nowMs < RETRY.windowMs; nowMs += STEP_MS) {
      const budget = budgets[Math.floor(random.next() * GATEWAYS)]!;
      budget.countRequest('s', nowMs);
      requests += 1;
      // Unreachable gateways count as members until they announce that they leave.
      while (random.next() < 0.9 && budget.takeRetry('s', GATEWAYS, nowMs)) {
        retries += 1;
      }
    }
    t.true(retries <= RETRY.ratio * requests + RETRY.slack);
  }
});
