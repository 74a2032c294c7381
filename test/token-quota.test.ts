import test from 'ava';
import { SeededRandom } from '../src/random.js';
import { TokenQuotas } from '../src/gateway/admission/token-quota.js';

const OPTIONS = { slackTokens: 1_000, overShare: 0.1, silenceMs: () => 600, forgetMs: 20_000 };
const QUOTA = { ratePerS: 1_000, burst: 500, unit: 'tokens' as const, plainTokens: 1 };
const COST = 10;

/** Tokens that pass in `seconds` when far more is asked. */
function passes(quotas: TokenQuotas, fromMs: number, seconds: number): number {
  let passed = 0;
  for (let nowMs = fromMs; nowMs < fromMs + seconds * 1_000; nowMs += 1) {
    passed += quotas.take('t', QUOTA, COST, nowMs) ? COST : 0;
  }
  return passed;
}

test('a tenant that asks for far more gets its rate and burst, within the tolerated surplus', (t) => {
  const passed = passes(new TokenQuotas(OPTIONS, 0), 100_000, 8);
  t.true(passed >= 8_000);
  t.true(passed <= (8_000 + 500) * 1.1 + 1_000);
});

test('a process that just started does not grant the whole burst again', (t) => {
  const fresh = new TokenQuotas(OPTIONS, 100_000);
  t.true(passes(fresh, 100_000, 0.1) < 500);
});

test('what a peer used counts', (t) => {
  const quotas = new TokenQuotas(OPTIONS, 0);
  quotas.hear('p', new Map([['t', 0]]), 1e9, 10_000);
  t.true(quotas.take('t', QUOTA, COST, 10_000));
  quotas.hear('p', new Map([['t', 5_000]]), 1e9, 10_100);
  t.false(quotas.take('t', QUOTA, COST, 10_110));
  t.true(quotas.waitMs('t', QUOTA) > 3_000);
});

test('two gateways that cannot hear each other stay within the bound together', (t) => {
  const both = [new TokenQuotas(OPTIONS, 0), new TokenQuotas(OPTIONS, 0)];
  for (const quotas of both) {
    quotas.hear('other', new Map(), 1e9, 20_000);
    passes(quotas, 20_000, 1);
  }
  const passed = both.reduce((sum, quotas) => sum + passes(quotas, 30_000, 8), 0);
  t.true(passed <= (8_000 + 500) * 1.1 + 1_000);
});

test('a peer that left for good no longer holds back its share', (t) => {
  const quotas = new TokenQuotas(OPTIONS, 0);
  quotas.hear('p', new Map(), 1e9, 10_000);
  quotas.forget('p');
  passes(quotas, 20_000, 2);
  t.true(passes(quotas, 22_000, 8) >= 8_000);
});

test('what was given back may be spent again', (t) => {
  const quotas = new TokenQuotas(OPTIONS, 0);
  t.true(quotas.take('t', QUOTA, 5_000, 10_000));
  t.false(quotas.take('t', QUOTA, COST, 10_001));
  quotas.giveBack('t', 5_000);
  t.true(quotas.take('t', QUOTA, COST, 10_002));
});

test('what younger peers used before they were first heard counts, also for a tenant not seen here yet', (t) => {
  const quotas = new TokenQuotas(OPTIONS, 0);
  quotas.hear('p', new Map([['t', 5_000]]), 1_000, 2_000);
  t.false(quotas.take('t', QUOTA, COST, 2_000));
  const older = new TokenQuotas(OPTIONS, 0);
  older.hear('p', new Map([['t', 5_000]]), 60_000, 2_000);
  t.true(older.take('t', QUOTA, COST, 2_000));
});

test('a peer that is heard again after a long silence does not count its whole life', (t) => {
  const quotas = new TokenQuotas(OPTIONS, 0);
  quotas.hear('p', new Map([['t', 1_000_000]]), 60_000, 90_000);
  t.true(quotas.take('t', QUOTA, COST, 90_000));
});

test('use that peers told long ago does not hold a tenant back for ever', (t) => {
  const quotas = new TokenQuotas(OPTIONS, 0);
  quotas.hear('p', new Map(), 1_000, 1_000);
  quotas.hear('p', new Map([['t', 1_000_000]]), 2_000, 2_000);
  quotas.forget('p');
  t.true(passes(quotas, 60_000, 8) >= 8_000);
});

/** Time for which gateways that were killed together are down at least, in milliseconds. */
const DARK_MS = 1_000;

/** Many gateways that all start again, and hear each other late, while one tenant asks for far more than its rate. */
function worstWindow(gateways: number, restartsMs: readonly number[], lateMs: number): number {
  const quota = { ratePerS: 600_000, burst: 600_000, unit: 'tokens' as const, plainTokens: 1 };
  const options = {
    slackTokens: 190_000,
    overShare: 0.1,
    silenceMs: () => 2_250,
    forgetMs: 20_000,
  };
  const random = new SeededRandom(7);
  const cost = 4_000;
  const demandPerMs = (2.8 * quota.ratePerS) / 1_000 / cost;
  const admitted: number[] = [];
  let all: TokenQuotas[] = [];
  let startedAtMs = 0;
  for (let nowMs = 0; nowMs < 20_000; nowMs += 1) {
    if (restartsMs.some((atMs) => nowMs >= atMs - DARK_MS && nowMs < atMs)) {
      admitted.push(0);
      continue;
    }
    if (nowMs === 0 || restartsMs.includes(nowMs)) {
      startedAtMs = nowMs;
      all = Array.from({ length: gateways }, () => new TokenQuotas(options, nowMs));
    }
    let tokens = 0;
    for (let due = demandPerMs; due > 0; due -= 1) {
      const isAsked = due >= 1 || random.next() < due;
      const one = all[Math.floor(random.next() * gateways)]!;
      tokens += isAsked && one.take('t', quota, cost, nowMs) ? cost : 0;
    }
    admitted.push(tokens);
    // Beats every .9 s, gateway by gateway; connections come up late.
    const sender = nowMs % 900;
    const ageMs = nowMs - startedAtMs;
    if (sender % 13 === 0 && sender / 13 < gateways && ageMs > lateMs) {
      const used = new Map(all[sender / 13]!.use());
      const name = `g${sender / 13}`;
      all.forEach((one, index) => index !== sender / 13 && one.hear(name, used, ageMs, nowMs));
    }
  }
  return worstSum(admitted, 8_000);
}

function worstSum(values: readonly number[], length: number): number {
  let sum = 0;
  let worst = 0;
  values.forEach((value, index) => {
    sum += value - (index >= length ? values[index - length]! : 0);
    worst = Math.max(worst, sum);
  });
  return worst;
}

test('68 gateways that start again twice keep a hot tenant within the bound together', (t) => {
  const bound = (600_000 * 8 + 600_000) * 1.1 + 190_000;
  const worst = worstWindow(68, [6_000, 10_000], 600);
  t.true(worst <= bound, `${worst} of ${bound}`);
});
