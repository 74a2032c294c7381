import test from 'ava';
import { worthOfWaiting } from '../src/gateway/attempt/waiting-worth.js';
import type { WaitOutlook } from '../src/gateway/attempt/waiting-worth.js';

function outlookOf(changes: Partial<WaitOutlook>): WaitOutlook {
  return {
    inTimeLeftMs: 500,
    usefulLeftMs: 2_000,
    wholeTimeMs: 8_000,
    waitMs: 100,
    lateWaitMs: 500,
    ...changes,
  };
}

test('a request that is expected to be in time waits', (t) => {
  t.true(worthOfWaiting(outlookOf({ waitMs: 50 })) > 0.9);
});

test('one that never gets a slot is refused, whether it is late or not', (t) => {
  const never = { waitMs: Infinity, lateWaitMs: Infinity };
  t.true(worthOfWaiting(outlookOf(never)) < 0);
  t.true(worthOfWaiting(outlookOf({ ...never, inTimeLeftMs: -1 })) < 0);
});

test('a late one waits for a slot that is near, and not for one that is far', (t) => {
  t.true(worthOfWaiting(outlookOf({ inTimeLeftMs: -1, lateWaitMs: 300 })) > 0);
  t.true(worthOfWaiting(outlookOf({ inTimeLeftMs: -1, lateWaitMs: 5_000 })) < 0);
});

test('one whose caller is about to leave is refused', (t) => {
  t.true(worthOfWaiting(outlookOf({ usefulLeftMs: 1, inTimeLeftMs: -1 })) <= 0.01);
  t.true(worthOfWaiting(outlookOf({ usefulLeftMs: 0, inTimeLeftMs: -1 })) < 0);
  t.true(worthOfWaiting(outlookOf({ usefulLeftMs: -50, inTimeLeftMs: -1 })) < 0);
});

test('the longer the expected wait, the less waiting is worth', (t) => {
  const worths = [10, 100, 1_000, 10_000].map((waitMs) =>
    worthOfWaiting(outlookOf({ waitMs, lateWaitMs: waitMs * 2 })),
  );
  t.deepEqual(
    worths,
    [...worths].sort((left, right) => right - left),
  );
});
