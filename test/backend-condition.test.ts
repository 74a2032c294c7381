import test from 'ava';
import { BackendCondition } from '../src/gateway/statements/backend-condition.js';
import type { BackendStatement } from '../src/gateway/statements/backend-statement.js';
import { NO_STATEMENT } from '../src/gateway/statements/backend-statement.js';

function heard(statement: Partial<BackendStatement>, sentAtMs: number, isTurnedAway = false) {
  return { statement: { ...NO_STATEMENT, ...statement }, sentAtMs, isTurnedAway };
}

test('a limit holds until an answer to a later request names none', (t) => {
  const condition = new BackendCondition();
  t.true(condition.hear(heard({ limitPerS: 2 }, 0), 100));
  t.false(condition.hear(heard({}, 90), 150));
  t.is(condition.limitPerS, 2);
  t.true(condition.hear(heard({}, 101), 200));
  t.is(condition.limitPerS, undefined);
});

test('a word of another gateway that is older than what is known changes nothing', (t) => {
  const condition = new BackendCondition();
  condition.hear(heard({ limitPerS: 2 }, 0), 1_000);
  t.false(
    condition.merge({ backendId: 'w', limitPerS: 9, limitAgeMs: 50, isLeaving: false }, 1_010),
  );
  t.is(condition.limitPerS, 2);
  t.true(condition.merge({ backendId: 'w', limitPerS: 9, limitAgeMs: 5, isLeaving: false }, 1_010));
  t.is(condition.limitPerS, 9);
});

test('the end of a limit is told to others, and taken from them', (t) => {
  const condition = new BackendCondition();
  const other = new BackendCondition();
  condition.hear(heard({ limitPerS: 2 }, 0), 100);
  other.merge(condition.tell('w', 110)!, 110);
  t.is(other.limitPerS, 2);
  condition.hear(heard({}, 120), 130);
  t.true(other.merge(condition.tell('w', 140)!, 140));
  t.is(other.limitPerS, undefined);
});

test('a life that leaves does not come back, whatever is said later', (t) => {
  const condition = new BackendCondition();
  t.true(condition.hear(heard({ isLeaving: true }, 0), 10));
  t.false(condition.hear(heard({}, 20), 30));
  condition.merge({ backendId: 'w', isLeaving: false }, 40);
  t.true(condition.isLeaving);
});

test('a rest is never made shorter, and is over for all once a request was served after it', (t) => {
  const condition = new BackendCondition();
  const other = new BackendCondition();
  condition.hear(heard({ restMs: 3_000 }, 0, true), 100);
  condition.hear(heard({ restMs: 500 }, 0, true), 200);
  other.merge(condition.tell('w', 250)!, 250);
  t.true(other.isResting(3_099));
  t.false(other.isResting(3_100));
  t.true(other.isReturning);
  t.false(condition.hear(heard({}, 0), 300));
  t.true(condition.hear(heard({}, 3_110), 3_200));
  t.false(condition.isReturning);
  t.true(other.merge(condition.tell('w', 3_210)!, 3_210));
  t.false(other.isReturning);
});

test('one of which nothing was said has nothing to tell', (t) => {
  const condition = new BackendCondition();
  condition.hear(heard({}, 0), 10);
  t.is(condition.tell('w', 20), undefined);
});

test('refusals one after the other make the pause longer, and the fourth is told to others', (t) => {
  const condition = new BackendCondition();
  const news = [0, 100, 200, 300].map((atMs) => condition.hear(heard({}, atMs, true), atMs + 1));
  t.deepEqual(news, [false, false, false, true]);
  t.true(condition.isResting(380));
  t.false(condition.isResting(381));
  t.true(condition.isReturning);
});

test('requests that were on their way when one was refused do not make the pause longer', (t) => {
  const condition = new BackendCondition();
  const news = [5, 6, 7, 8, 9].map((atMs) => condition.hear(heard({}, 0, true), atMs));
  t.false(news.includes(true));
  t.false(condition.isResting(16));
});

test('an answer between two refusals begins the pauses anew', (t) => {
  const condition = new BackendCondition();
  [0, 100, 200].forEach((atMs) => condition.hear(heard({}, atMs, true), atMs + 1));
  condition.hear(heard({}, 250), 260);
  t.false(condition.hear(heard({}, 300, true), 301));
  t.false(condition.isResting(312));
});
