import test from 'ava';
import { AdaptiveIdleTimeout } from '../src/gateway/attempt/adaptive-idle-timeout.js';

test('the idle timeout falls below an idle time that proved too long, and recovers over time', (t) => {
  const idleTimeout = new AdaptiveIdleTimeout({
    maxMs: 20_000,
    minMs: 100,
    doublingIntervalMs: 10_000,
  });
  t.is(idleTimeout.current(0), 20_000);
  idleTimeout.recordStaleReset(500, 0);
  t.is(idleTimeout.current(1_000), 300);
  t.is(idleTimeout.current(10_000), 600);
  t.is(idleTimeout.current(100_000), 20_000);
});

test('a stale connection with a shorter idle time lowers the timeout further, down to the minimum', (t) => {
  const idleTimeout = new AdaptiveIdleTimeout({
    maxMs: 20_000,
    minMs: 100,
    doublingIntervalMs: 10_000,
  });
  idleTimeout.recordStaleReset(5_000, 0);
  idleTimeout.recordStaleReset(400, 0);
  t.is(idleTimeout.current(0), 240);
  idleTimeout.recordStaleReset(10, 0);
  t.is(idleTimeout.current(0), 100);
});
