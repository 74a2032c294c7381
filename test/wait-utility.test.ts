import test from 'ava';
import { waitUtility } from '../src/gateway/attempt/wait-utility.js';
import type { WaitEstimate } from '../src/gateway/attempt/wait-utility.js';

function estimateOf(changes: Partial<WaitEstimate>): WaitEstimate {
  return {
    untilLateMs: 500,
    untilUselessMs: 2_000,
    totalTimeMs: 8_000,
    expectedOnTimeWaitMs: 100,
    expectedWaitOnceLateMs: 500,
    ...changes,
  };
}

test('a request that is expected to be on time waits', (t) => {
  t.true(waitUtility(estimateOf({ expectedOnTimeWaitMs: 50 })) > 0.9);
});

test('a request that never gets a slot is refused, whether it is late or not', (t) => {
  const never = { expectedOnTimeWaitMs: Infinity, expectedWaitOnceLateMs: Infinity };
  t.true(waitUtility(estimateOf(never)) < 0);
  t.true(waitUtility(estimateOf({ ...never, untilLateMs: -1 })) < 0);
});

test('a late request waits for a slot that is expected soon, but not for one expected much later', (t) => {
  t.true(waitUtility(estimateOf({ untilLateMs: -1, expectedWaitOnceLateMs: 300 })) > 0);
  t.true(waitUtility(estimateOf({ untilLateMs: -1, expectedWaitOnceLateMs: 5_000 })) < 0);
});

test('a request whose caller is about to give up is refused', (t) => {
  t.true(waitUtility(estimateOf({ untilUselessMs: 1, untilLateMs: -1 })) <= 0.01);
  t.true(waitUtility(estimateOf({ untilUselessMs: 0, untilLateMs: -1 })) < 0);
  t.true(waitUtility(estimateOf({ untilUselessMs: -50, untilLateMs: -1 })) < 0);
});

test('the utility of waiting falls with the expected wait', (t) => {
  const utilities = [10, 100, 1_000, 10_000].map((waitMs) =>
    waitUtility(estimateOf({ expectedOnTimeWaitMs: waitMs, expectedWaitOnceLateMs: waitMs * 2 })),
  );
  t.deepEqual(
    utilities,
    [...utilities].sort((left, right) => right - left),
  );
});
