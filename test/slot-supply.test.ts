import test from 'ava';
import { DecayedSum } from '../src/decayed-sum.js';
import { SlotSupply } from '../src/gateway/dispatch/slot-supply.js';

const PRIORITY = { tier: 1, rankInTier: 1, arrivedAtMs: 0, startByMs: 1_000 };
const URGENT = { ...PRIORITY, tier: 0 };

/**
 * Returns a supply with a slot every `slotMs` while requests wait, and an urgent arrival every
 * `urgentMs`.
 */
function busySupply(slotMs: number, urgentMs: number): SlotSupply {
  const supply = new SlotSupply();
  supply.noteWaiting(true, 0);
  for (let nowMs = 0; nowMs < 10_000; nowMs += 1) {
    if (nowMs % slotMs === 0) {
      supply.noteBound(nowMs);
    }
    if (nowMs % urgentMs === 0) {
      supply.noteArrival(URGENT, nowMs);
    }
  }
  return supply;
}

test('a decayed sum decays exponentially with time', (t) => {
  const sum = new DecayedSum(1_000);
  sum.add(1, 0);
  t.true(Math.abs(sum.at(1_000) - Math.exp(-1)) < 1e-9);
});

test('the expected wait is zero for a service without waiting requests', (t) => {
  t.is(new SlotSupply().expectedWaitMs(PRIORITY, 3, false, 100), 0);
});

test('the expected wait counts the requests ahead and later, more urgent arrivals', (t) => {
  const supply = busySupply(10, 20);
  const urgentMs = supply.expectedWaitMs(URGENT, 1, false, 10_000);
  const otherMs = supply.expectedWaitMs(PRIORITY, 1, false, 10_000);
  t.true(urgentMs > 15 && urgentMs < 25, `${urgentMs}`);
  t.true(otherMs > 35 && otherMs < 45, `${otherMs}`);
});

test('the expected wait is infinite when more urgent requests take every slot', (t) => {
  t.is(busySupply(20, 10).expectedWaitMs(PRIORITY, 0, false, 10_000), Infinity);
});

test('a late request is ordered behind the arrivals of its own rank', (t) => {
  const supply = busySupply(20, 10);
  t.is(supply.expectedWaitMs(URGENT, 0, true, 10_000), Infinity);
  t.true(Number.isFinite(supply.expectedWaitMs(URGENT, 0, false, 10_000)));
});

test('time without waiting requests does not lower the supply rate', (t) => {
  const supply = new SlotSupply();
  for (let round = 0; round < 5; round += 1) {
    const nowMs = round * 1_000;
    supply.noteWaiting(true, nowMs);
    supply.noteBound(nowMs + 20);
    supply.noteWaiting(false, nowMs + 20);
  }
  t.true(supply.expectedWaitMs(PRIORITY, 0, false, 4_100) < 40);
});
