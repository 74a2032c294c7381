import test from 'ava';
import { RestLimit } from '../src/gateway/attempt/rest-limit.js';

test('the limit falls below a rest that proved too long, and rises again in time', (t) => {
  const limit = new RestLimit({ maxMs: 20_000, minMs: 100, recoverMs: 10_000 });
  t.is(limit.current(0), 20_000);
  limit.noteForgotten(500, 0);
  t.is(limit.current(1_000), 300);
  t.is(limit.current(10_000), 600);
  t.is(limit.current(100_000), 20_000);
});

test('a shorter rest than the limit lowers it further, down to a bound', (t) => {
  const limit = new RestLimit({ maxMs: 20_000, minMs: 100, recoverMs: 10_000 });
  limit.noteForgotten(5_000, 0);
  limit.noteForgotten(400, 0);
  t.is(limit.current(0), 240);
  limit.noteForgotten(10, 0);
  t.is(limit.current(0), 100);
});
