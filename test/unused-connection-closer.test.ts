import test from 'ava';
import { SYSTEM_CLOCK, sleep } from '../src/clock.js';
import { UnusedConnectionCloser } from '../src/gateway/admission/unused-connection-closer.js';

test('an expired connection is closed only right after a poll, not after a slow one', async (t) => {
  const timesMs = [0, 50, 50, 100, 100, 100];
  let calls = 0;
  const closer = new UnusedConnectionCloser({ now: () => timesMs[calls++] ?? 100 });
  let callsBeforeClose: number | undefined;
  closer.closeUnlessUsed({ isUnused: () => true, close: () => (callsBeforeClose = calls) });
  await sleep(SYSTEM_CLOCK, 50);
  t.is(callsBeforeClose, 6);
});

test('a connection that was used by the poll after its expiry stays open', async (t) => {
  const closer = new UnusedConnectionCloser(SYSTEM_CLOCK);
  let isClosed = false;
  let isUsed = false;
  closer.closeUnlessUsed({ isUnused: () => !isUsed, close: () => (isClosed = true) });
  setImmediate(() => (isUsed = true));
  await sleep(SYSTEM_CLOCK, 50);
  t.false(isClosed);
});
