import test from 'ava';
import { WorkRanks } from '../src/gateway/admission/work-ranks.js';

test('a route with little work gains the rank of the next more urgent one, and no more', (t) => {
  const ranks = new WorkRanks();
  t.is(ranks.rankOf('s', 0, 60_000), 0);
  t.is(ranks.rankOf('s', 1, 45_000), 1);
  t.is(ranks.rankOf('s', 2, 5_000), 1);
});

test('one small request does not gain a rank for itself', (t) => {
  const ranks = new WorkRanks();
  ranks.rankOf('s', 0, 60_000);
  ranks.rankOf('s', 1, 45_000);
  t.is(ranks.rankOf('s', 1, 100), 1);
});

test('the most urgent rank and services apart gain nothing', (t) => {
  const ranks = new WorkRanks();
  t.is(ranks.rankOf('a', 0, 1), 0);
  t.is(ranks.rankOf('a', 2, 100), 2);
  t.is(ranks.rankOf('b', 2, 1), 2);
});
