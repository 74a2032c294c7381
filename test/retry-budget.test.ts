import test from 'ava';
import { RetryBudget } from '../src/gateway/admission/retry-budget.js';

const OPTIONS = { ratio: 0.2, windowMs: 10_000, slack: 50 };

function repeatsOf(budget: RetryBudget, gateways: number, nowMs: number): number {
  let repeats = 0;
  while (budget.takeRepeat('s', gateways, nowMs)) {
    repeats += 1;
  }
  return repeats;
}

test('without requests a gateway repeats only its share of the fixed part', (t) => {
  const repeats = repeatsOf(new RetryBudget(OPTIONS), 4, 0);
  t.true(repeats > 0 && repeats * 4 <= 50);
});

test('the sum over gateways stays within the bound', (t) => {
  let repeats = 0;
  for (let gateway = 0; gateway < 4; gateway += 1) {
    const budget = new RetryBudget(OPTIONS);
    for (let request = 0; request < 100; request += 1) {
      budget.countRequest('s', request);
    }
    repeats += repeatsOf(budget, 4, 200);
  }
  t.true(repeats <= 0.2 * 400 + 50);
});

test('repeats of one service do not use up those of another', (t) => {
  const budget = new RetryBudget(OPTIONS);
  repeatsOf(budget, 1, 0);
  t.true(budget.takeRepeat('other', 1, 0));
});

test('the window slides', (t) => {
  const budget = new RetryBudget(OPTIONS);
  const first = repeatsOf(budget, 1, 0);
  t.false(budget.takeRepeat('s', 1, 9_999));
  t.is(repeatsOf(budget, 1, 10_001), first);
});
