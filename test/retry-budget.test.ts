import test from 'ava';
import { RetryBudget } from '../src/gateway/admission/retry-budget.js';

const OPTIONS = { ratio: 0.2, windowMs: 10_000, slack: 50 };

function takeAllRetries(budget: RetryBudget, gateways: number, nowMs: number): number {
  let retries = 0;
  while (budget.takeRetry('s', gateways, nowMs)) {
    retries += 1;
  }
  return retries;
}

test('without requests a gateway retries only its share of the fixed allowance', (t) => {
  const retries = takeAllRetries(new RetryBudget(OPTIONS), 4, 0);
  t.true(retries > 0 && retries * 4 <= 50);
});

test('the sum of retries over all gateways stays within the limit', (t) => {
  let retries = 0;
  for (let gateway = 0; gateway < 4; gateway += 1) {
    const budget = new RetryBudget(OPTIONS);
    for (let request = 0; request < 100; request += 1) {
      budget.countRequest('s', request);
    }
    retries += takeAllRetries(budget, 4, 200);
  }
  t.true(retries <= 0.2 * 400 + 50);
});

test('retries of one service do not use the budget of another', (t) => {
  const budget = new RetryBudget(OPTIONS);
  takeAllRetries(budget, 1, 0);
  t.true(budget.takeRetry('other', 1, 0));
});

test('the retry budget recovers as its window slides', (t) => {
  const budget = new RetryBudget(OPTIONS);
  const first = takeAllRetries(budget, 1, 0);
  t.false(budget.takeRetry('s', 1, 9_999));
  t.is(takeAllRetries(budget, 1, 10_001), first);
});

test('a service whose requests are never retried keeps no more entries than its window holds', (t) => {
  const budget = new RetryBudget({ ratio: 0.2, windowMs: 1_000, slack: 5 });
  for (let atMs = 0; atMs < 100_000; atMs += 1) {
    budget.countRequest('s', atMs);
  }
  t.true(budget.size <= 1_000 + 1_001 + 1, `${budget.size}`);
});
