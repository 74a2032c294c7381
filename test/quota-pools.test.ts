import test from 'ava';
import { QuotaBucket } from '../src/gateway/quotas/quota-bucket.js';
import {
  decodeQuotaMembers,
  encodeQuotaMembers,
} from '../src/gateway/quotas/quota-members-format.js';
import { NO_QUOTA_MEMBERS, QuotaHolders } from '../src/gateway/quotas/quota-members.js';
import { MAX_AHEAD_MS, QuotaPools } from '../src/gateway/quotas/quota-pools.js';
import {
  MAX_POOLS,
  poolCredit,
  poolTerms,
  reserveTerms,
  windowBound,
} from '../src/gateway/quotas/quota-terms.js';
import { at } from './support/positions.js';

const TOLERANCE = { overShare: 0.1, slack: 1_000, windowMs: 8_000 };
const QUOTA = { ratePerS: 1_000, burst: 500, unit: 'tokens', plainTokens: 1 } as const;
const TERMS = poolTerms(QUOTA, TOLERANCE, 1);

function poolsSince(sinceMs: number | undefined, quota: typeof QUOTA | undefined = QUOTA) {
  return new QuotaPools(TOLERANCE, {
    quotaOf: () => quota,
    heldSinceMs: () => sinceMs,
    countPools: () => 1,
    onDry: () => undefined,
  });
}

const asked = (cost: number, mayWait = false) => ({ cost, whole: cost, mayWait });

test('pools, reserves and a credit together stay below the bound, whatever the quota and the fleet', (t) => {
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
        const pool = poolTerms(quota, tolerance, pools);
        const reserve = reserveTerms(quota, tolerance, gateways);
        const inWindow = ({ capacity, perMs }: typeof pool) =>
          capacity + perMs * tolerance.windowMs;
        const sum =
          pools * (inWindow(pool) + poolCredit(quota, tolerance, pools)) +
          gateways * inWindow(reserve);
        t.true(sum <= windowBound(quota, tolerance) + 1e-6, `${sum}`);
      }
    }
  }
});

test('a pool begins empty, however much it may hold', (t) => {
  const pools = poolsSince(1_000);
  t.false(pools.ask('t', asked(10), 'a', 1_000).isGranted);
  t.true(pools.ask('t', asked(10), 'b', 1_500).isGranted);
});

test('what is given back in time may be granted again, once', (t) => {
  const pools = poolsSince(0);
  const cost = Math.floor(TERMS.capacity);
  t.true(pools.ask('t', asked(cost), 'a', 60_000).isGranted);
  t.false(pools.ask('t', asked(cost), 'b', 60_001).isGranted);
  pools.giveBack('t', 'a', 60_002);
  pools.giveBack('t', 'a', 60_002);
  t.true(pools.ask('t', asked(cost), 'c', 60_003).isGranted);
  pools.giveBack('t', 'c', 61_000);
  t.false(pools.ask('t', asked(cost), 'd', 61_000).isGranted);
});

test('a gateway without the right to a pool says that it holds none', (t) => {
  const grant = poolsSince(undefined).ask('t', asked(1), 'a', 60_000);
  t.false(grant.isGranted);
  t.false(!grant.isGranted && grant.isHeld);
});

test('what flows in a little later is granted to who may wait, and to be used only then', (t) => {
  const pools = poolsSince(0);
  const grant = pools.ask('t', asked(TERMS.perMs * 150, true), 'a', 50);
  t.true(grant.isGranted);
  t.true(grant.isGranted && Math.abs(grant.afterMs - 100) < 1);
  t.false(pools.ask('t', asked(TERMS.perMs * MAX_AHEAD_MS, true), 'b', 50).isGranted);
});

test('small requests do not take what large ones of the same tenant need', (t) => {
  const pools = poolsSince(0);
  const large = Math.floor(TERMS.capacity / 2);
  t.true(pools.ask('t', asked(large), 'large', 60_000).isGranted);
  let granted = 0;
  for (let index = 0; index < 1_000; index += 1) {
    granted += pools.ask('t', asked(1), `${index}`, 60_000).isGranted ? 1 : 0;
  }
  t.true(granted <= TERMS.capacity - 2 * large + 1, `${granted}`);
});

test('a bucket never holds more than its capacity together with what may come back', (t) => {
  const bucket = new QuotaBucket(0);
  bucket.take('a', 100, TERMS, 60_000);
  t.true(bucket.levelAt(TERMS, 60_200) <= TERMS.capacity - 100);
  t.true(bucket.levelAt(TERMS, 61_000) <= TERMS.capacity);
});

const member = (name: string, zone = 'z', region = 'r') => ({ name, zone, region, address: name });

test('holders are the same for everybody, spread over zones, and only those named before and now', (t) => {
  const members = Array.from({ length: 30 }, (_none, index) =>
    member(`g${index}`, `z${index % 3}`),
  );
  const whole = new QuotaHolders({ ...NO_QUOTA_MEMBERS, members, settled: members, revision: 1 });
  const again = new QuotaHolders({
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
  const left = new QuotaHolders({
    ...NO_QUOTA_MEMBERS,
    members: without,
    settled: members,
    revision: 3,
  });
  t.deepEqual([...left.holdersOf('t')].sort(), holders.slice(1).sort());
  t.is(left.pools, MAX_POOLS);
});

test('the record of members is read as it was written, and anything else names nobody', (t) => {
  const change = { members: [member('a')], settled: [], sequence: 3, credits: 2, creditedAtMs: 5 };
  t.deepEqual(decodeQuotaMembers(encodeQuotaMembers(change), at(7)), { ...change, ...at(7) });
  for (const text of ['', '{', '[]', '{"members":[{"name":1}]}', '{"members":[],"settled":{}}']) {
    t.deepEqual(decodeQuotaMembers(text, at(7)), { ...NO_QUOTA_MEMBERS, ...at(7) }, text);
  }
  t.deepEqual(decodeQuotaMembers(undefined, at(7)), NO_QUOTA_MEMBERS);
});
