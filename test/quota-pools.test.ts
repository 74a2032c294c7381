import test from 'ava';
import { QuotaBucket } from '../src/gateway/quotas/quota-bucket.js';
import {
  decodeQuotaMembers,
  encodeQuotaMembers,
} from '../src/gateway/quotas/quota-members-format.js';
import { NO_QUOTA_MEMBERS, HolderAssignment } from '../src/gateway/quotas/quota-members.js';
import { MAX_ADVANCE_GRANT_MS, QuotaPools } from '../src/gateway/quotas/quota-pools.js';
import {
  MAX_POOLS,
  poolCredit,
  poolConfig,
  reserveConfig,
  maxPerWindow,
} from '../src/gateway/quotas/quota-budget.js';
import { positionAt } from './support/store-positions.js';

const TOLERANCE = { overShare: 0.1, slack: 1_000, windowMs: 8_000 };
const QUOTA = { ratePerS: 1_000, burst: 500, unit: 'tokens', plainTokens: 1 } as const;
const CONFIG = poolConfig(QUOTA, TOLERANCE, 1);

function poolsSince(sinceMs: number | undefined, quota: typeof QUOTA | undefined = QUOTA) {
  return new QuotaPools(TOLERANCE, {
    quotaOf: () => quota,
    heldSinceMs: () => sinceMs,
    countPools: () => 1,
    onExhaustedChange: () => undefined,
  });
}

const requested = (cost: number, mayWait = false) => ({ cost, whole: cost, mayWait });

test('pools, reserves and one credit together stay within the window limit for any quota and fleet size', (t) => {
  for (const slack of [0, 1_000, 1e6]) {
    for (const [ratePerS, burst] of [
      [0, 500],
      [1_000, 0],
      [1_000, 500],
      [1, 1e6],
    ] as const) {
      const quota = { ...QUOTA, ratePerS, burst };
      const tolerance = { ...TOLERANCE, slack };
      for (const gateways of [1, 3, 27, 970]) {
        const pools = Math.min(gateways, MAX_POOLS);
        const pool = poolConfig(quota, tolerance, pools);
        const reserve = reserveConfig(quota, tolerance, gateways);
        const inWindow = ({ capacity, refillPerMs }: typeof pool) =>
          capacity + refillPerMs * tolerance.windowMs;
        const sum =
          pools * (inWindow(pool) + poolCredit(quota, tolerance, pools)) +
          gateways * inWindow(reserve);
        t.true(sum <= maxPerWindow(quota, tolerance) + 1e-6, `${sum}`);
      }
    }
  }
});

test('a new pool is empty', (t) => {
  const pools = poolsSince(1_000);
  t.false(pools.acquire('t', requested(10), 'a', 1_000).isGranted);
  t.true(pools.acquire('t', requested(10), 'b', 1_500).isGranted);
});

test('a grant can be refunded once, and only inside the refund window', (t) => {
  const pools = poolsSince(0);
  const cost = Math.floor(CONFIG.capacity);
  t.true(pools.acquire('t', requested(cost), 'a', 60_000).isGranted);
  t.false(pools.acquire('t', requested(cost), 'b', 60_001).isGranted);
  pools.refund('t', 'a', 60_002);
  pools.refund('t', 'a', 60_002);
  t.true(pools.acquire('t', requested(cost), 'c', 60_003).isGranted);
  pools.refund('t', 'c', 61_000);
  t.false(pools.acquire('t', requested(cost), 'd', 61_000).isGranted);
});

test('a gateway that holds no pool of the tenant refuses with isHeld false', (t) => {
  const grant = poolsSince(undefined).acquire('t', requested(1), 'a', 60_000);
  t.false(grant.isGranted);
  t.false(!grant.isGranted && grant.isHeld);
});

test('a request that may wait gets an advance grant with the delay until the refill', (t) => {
  const pools = poolsSince(0);
  const grant = pools.acquire('t', requested(CONFIG.refillPerMs * 150, true), 'a', 50);
  t.true(grant.isGranted);
  t.true(grant.isGranted && Math.abs(grant.afterMs - 100) < 1);
  t.false(
    pools.acquire('t', requested(CONFIG.refillPerMs * MAX_ADVANCE_GRANT_MS, true), 'b', 50)
      .isGranted,
  );
});

test('small requests do not starve large ones of the same tenant', (t) => {
  const pools = poolsSince(0);
  const large = Math.floor(CONFIG.capacity / 2);
  t.true(pools.acquire('t', requested(large), 'large', 60_000).isGranted);
  let granted = 0;
  for (let index = 0; index < 1_000; index += 1) {
    granted += pools.acquire('t', requested(1), `${index}`, 60_000).isGranted ? 1 : 0;
  }
  t.true(granted <= CONFIG.capacity - 2 * large + 1, `${granted}`);
});

test('the level of a bucket plus its refundable grants never exceeds the capacity', (t) => {
  const bucket = new QuotaBucket(0);
  bucket.take('a', 100, CONFIG, 60_000);
  t.true(bucket.levelAt(CONFIG, 60_200) <= CONFIG.capacity - 100);
  t.true(bucket.levelAt(CONFIG, 61_000) <= CONFIG.capacity);
});

const member = (name: string, zone = 'z', region = 'r') => ({ name, zone, region, address: name });

test('holders do not depend on member order, spread over zones, and are in both members and settled', (t) => {
  const members = Array.from({ length: 30 }, (_none, index) =>
    member(`g${index}`, `z${index % 3}`),
  );
  const whole = new HolderAssignment({
    ...NO_QUOTA_MEMBERS,
    members,
    settled: members,
    revision: 1,
  });
  const again = new HolderAssignment({
    ...NO_QUOTA_MEMBERS,
    members: [...members].reverse(),
    settled: members,
    revision: 2,
  });
  const holders = whole.holdersOf('t');
  t.is(holders.length, MAX_POOLS);
  t.deepEqual(again.holdersOf('t'), holders);
  t.is(new Set(holders.slice(0, 3).map((name) => Number(name.slice(1)) % 3)).size, 3);
  const without = members.filter(({ name }) => name !== holders[0]);
  const left = new HolderAssignment({
    ...NO_QUOTA_MEMBERS,
    members: without,
    settled: members,
    revision: 3,
  });
  t.deepEqual([...left.holdersOf('t')].sort(), holders.slice(1).sort());
  t.is(left.poolCount, MAX_POOLS);
});

test('the membership record survives encoding, and malformed text decodes to no members', (t) => {
  const change = { members: [member('a')], settled: [], sequence: 3, credits: 2, creditedAtMs: 5 };
  t.deepEqual(decodeQuotaMembers(encodeQuotaMembers(change), positionAt(7)), {
    ...change,
    ...positionAt(7),
  });
  for (const text of ['', '{', '[]', '{"members":[{"name":1}]}', '{"members":[],"settled":{}}']) {
    t.deepEqual(
      decodeQuotaMembers(text, positionAt(7)),
      { ...NO_QUOTA_MEMBERS, ...positionAt(7) },
      text,
    );
  }
  t.deepEqual(decodeQuotaMembers(undefined, positionAt(7)), NO_QUOTA_MEMBERS);
});
