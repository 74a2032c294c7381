import test from 'ava';
import { PLATFORM_PROTOCOL } from '../platform/header-names.js';
import type { BackendStatement } from '../src/gateway/statements/backend-statement.js';

function stated(status: number, headers: Record<string, string>): BackendStatement {
  return PLATFORM_PROTOCOL.readAnswer(status, headers).statement;
}

test('a back end names a limit, that it leaves, and a rest when it turns a request away', (t) => {
  const said = stated(503, { 'server-limit': '2.4', 'server-leaving': '1', 'retry-after': '1.5' });
  t.is(said.limitPerS, 2.4);
  t.true(said.isLeaving);
  t.is(said.restMs, 1_500);
  t.deepEqual(said.unreadable, []);
});

test('a limit of nothing is a limit, and an answer without a word names none', (t) => {
  t.is(stated(200, { 'server-limit': '0' }).limitPerS, 0);
  t.is(stated(200, {}).limitPerS, undefined);
});

test('only a request that was turned away brings a rest: other answers name their own pauses to callers', (t) => {
  t.is(stated(429, { 'retry-after': '3' }).restMs, undefined);
  t.is(stated(200, { 'retry-after': '3' }).restMs, undefined);
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
  test(`a value that is no plain number in bounds says nothing: "${text}"`, (t) => {
    const said = stated(503, {
      'server-limit': text,
      'server-leaving': `${text}.`,
      'retry-after': text,
    });
    t.is(said.limitPerS, undefined);
    t.false(said.isLeaving);
    t.is(said.restMs, undefined);
    t.deepEqual(said.unreadable, ['limit', 'leaving', 'rest']);
  });
}
