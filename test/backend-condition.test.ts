import test from 'ava';
import { BackendCondition } from '../src/gateway/statements/backend-condition.js';
import type { BackendStatement } from '../src/gateway/statements/backend-statement.js';
import { NO_STATEMENT } from '../src/gateway/statements/backend-statement.js';

function statementOf(statement: Partial<BackendStatement>, sentAtMs: number, isTurnedAway = false) {
  return { statement: { ...NO_STATEMENT, ...statement }, sentAtMs, isTurnedAway };
}

test('a limit applies until a response to a later request states none', (t) => {
  const condition = new BackendCondition();
  t.true(condition.applyStatement(statementOf({ limitPerS: 2 }, 0), 100));
  t.false(condition.applyStatement(statementOf({}, 90), 150));
  t.is(condition.limitPerS, 2);
  t.true(condition.applyStatement(statementOf({}, 101), 200));
  t.is(condition.limitPerS, undefined);
});

test('a peer condition older than the known one is ignored', (t) => {
  const condition = new BackendCondition();
  condition.applyStatement(statementOf({ limitPerS: 2 }, 0), 1_000);
  t.false(
    condition.merge({ backendId: 'w', limitPerS: 9, limitAgeMs: 50, isLeaving: false }, 1_010),
  );
  t.is(condition.limitPerS, 2);
  t.true(condition.merge({ backendId: 'w', limitPerS: 9, limitAgeMs: 5, isLeaving: false }, 1_010));
  t.is(condition.limitPerS, 9);
});

test('the removal of a limit is sent to peers and merged from them', (t) => {
  const condition = new BackendCondition();
  const other = new BackendCondition();
  condition.applyStatement(statementOf({ limitPerS: 2 }, 0), 100);
  other.merge(condition.snapshot('w', 110)!, 110);
  t.is(other.limitPerS, 2);
  condition.applyStatement(statementOf({}, 120), 130);
  t.true(other.merge(condition.snapshot('w', 140)!, 140));
  t.is(other.limitPerS, undefined);
});

test('a draining instance stays draining, whatever later statements contain', (t) => {
  const condition = new BackendCondition();
  t.true(condition.applyStatement(statementOf({ isLeaving: true }, 0), 10));
  t.false(condition.applyStatement(statementOf({}, 20), 30));
  condition.merge({ backendId: 'w', isLeaving: false }, 40);
  t.true(condition.isLeaving);
});

test('a backoff is never shortened, and recovery ends for all gateways once a request was served after it', (t) => {
  const condition = new BackendCondition();
  const other = new BackendCondition();
  condition.applyStatement(statementOf({ restMs: 3_000 }, 0, true), 100);
  condition.applyStatement(statementOf({ restMs: 500 }, 0, true), 200);
  other.merge(condition.snapshot('w', 250)!, 250);
  t.true(other.isInBackoff(3_099));
  t.false(other.isInBackoff(3_100));
  t.true(other.isRecovering);
  t.false(condition.applyStatement(statementOf({}, 0), 300));
  t.true(condition.applyStatement(statementOf({}, 3_110), 3_200));
  t.false(condition.isRecovering);
  t.true(other.merge(condition.snapshot('w', 3_210)!, 3_210));
  t.false(other.isRecovering);
});

test('a condition without statements is not sent to peers', (t) => {
  const condition = new BackendCondition();
  condition.applyStatement(statementOf({}, 0), 10);
  t.is(condition.snapshot('w', 20), undefined);
});

test('consecutive refusals lengthen the backoff, and the fourth is shared with peers', (t) => {
  const condition = new BackendCondition();
  const changes = [0, 100, 200, 300].map((atMs) =>
    condition.applyStatement(statementOf({}, atMs, true), atMs + 1),
  );
  t.deepEqual(changes, [false, false, false, true]);
  t.true(condition.isInBackoff(380));
  t.false(condition.isInBackoff(381));
  t.true(condition.isRecovering);
});

test('refusals of requests that were already in flight do not lengthen the backoff', (t) => {
  const condition = new BackendCondition();
  const changes = [5, 6, 7, 8, 9].map((atMs) =>
    condition.applyStatement(statementOf({}, 0, true), atMs),
  );
  t.false(changes.includes(true));
  t.false(condition.isInBackoff(16));
});

test('a response between two refusals resets the backoff', (t) => {
  const condition = new BackendCondition();
  [0, 100, 200].forEach((atMs) => condition.applyStatement(statementOf({}, atMs, true), atMs + 1));
  condition.applyStatement(statementOf({}, 250), 260);
  t.false(condition.applyStatement(statementOf({}, 300, true), 301));
  t.false(condition.isInBackoff(312));
});
