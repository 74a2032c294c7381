import test from 'ava';
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
  quotas.hear('p', new Map([['t', 0]]), 10_000);
  t.true(quotas.take('t', QUOTA, COST, 10_000));
  quotas.hear('p', new Map([['t', 5_000]]), 10_100);
  t.false(quotas.take('t', QUOTA, COST, 10_110));
  t.true(quotas.waitMs('t', QUOTA) > 3_000);
});

test('two gateways that cannot hear each other stay within the bound together', (t) => {
  const both = [new TokenQuotas(OPTIONS, 0), new TokenQuotas(OPTIONS, 0)];
  for (const quotas of both) {
    quotas.hear('other', new Map(), 20_000);
    passes(quotas, 20_000, 1);
  }
  const passed = both.reduce((sum, quotas) => sum + passes(quotas, 30_000, 8), 0);
  t.true(passed <= (8_000 + 500) * 1.1 + 1_000);
});

test('a peer that left for good no longer holds back its share', (t) => {
  const quotas = new TokenQuotas(OPTIONS, 0);
  quotas.hear('p', new Map(), 10_000);
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
