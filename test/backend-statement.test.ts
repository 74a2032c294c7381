import test from 'ava';
import { PLATFORM_PROTOCOL } from '../platform/caller-protocol.js';
import type { BackendStatement } from '../src/gateway/statements/backend-statement.js';

function readStatementFrom(status: number, headers: Record<string, string>): BackendStatement {
  return PLATFORM_PROTOCOL.readAnswer(status, headers).statement;
}

test('a statement contains the limit, the draining flag and, for a refused request, the backoff', (t) => {
  const statement = readStatementFrom(503, {
    'server-limit': '2.4',
    'server-leaving': '1',
    'retry-after': '1.5',
  });
  t.is(statement.limitPerS, 2.4);
  t.true(statement.isLeaving);
  t.is(statement.restMs, 1_500);
  t.deepEqual(statement.unreadable, []);
});

test('a limit of zero is a limit, and a response without statement headers states none', (t) => {
  t.is(readStatementFrom(200, { 'server-limit': '0' }).limitPerS, 0);
  t.is(readStatementFrom(200, {}).limitPerS, undefined);
});

test('Retry-After states a backoff only for a refused request; in other responses it is meant for the caller', (t) => {
  t.is(readStatementFrom(429, { 'retry-after': '3' }).restMs, undefined);
  t.is(readStatementFrom(200, { 'retry-after': '3' }).restMs, undefined);
});

const UNREADABLE = [
  '',
  ' ',
  '-1',
  '1e9',
  'Infinity',
  'NaN',
  '0x10',
  '+3',
  '2,5',
  '2.4, 2.4',
  '9999999999',
];

for (const text of UNREADABLE) {
  test(`a header value that is not a plain decimal within bounds is ignored: "${text}"`, (t) => {
    const statement = readStatementFrom(503, {
      'server-limit': text,
      'server-leaving': `${text}.`,
      'retry-after': text,
    });
    t.is(statement.limitPerS, undefined);
    t.false(statement.isLeaving);
    t.is(statement.restMs, undefined);
    t.deepEqual(statement.unreadable, ['limit', 'leaving', 'rest']);
  });
}
