import test from 'ava';
import { PlannedStop } from '../src/gateway/planned-stop.js';
import { VirtualClock } from '../src/sim/virtual-clock.js';

function world(active: number) {
  const clock = new VirtualClock();
  const seen = { active, stoppedListeningAtMs: -1, endedAtMs: [] as number[] };
  const stop = new PlannedStop(clock, 8_000, {
    stopListening: () => (seen.stoppedListeningAtMs = clock.now()),
    countActive: () => seen.active,
    end: () => seen.endedAtMs.push(clock.now()),
  });
  return { clock, seen, stop };
}

test('new requests are served for a while after the signal, and the idle process ends then', async (t) => {
  const { clock, seen, stop } = world(0);
  t.false(stop.isRequested);
  stop.request();
  t.true(stop.isRequested);
  await clock.runUntil(2_500);
  t.false(stop.isRefusing);
  await clock.runUntil(2_950);
  t.true(stop.isRefusing);
  await clock.runUntil(20_000);
  t.is(seen.stoppedListeningAtMs, 3_000);
  t.deepEqual(seen.endedAtMs, [3_000]);
});

test('a request that runs is waited for, but not beyond the time until the kill', async (t) => {
  const { clock, seen, stop } = world(1);
  stop.request();
  await clock.runUntil(7_600);
  t.deepEqual(seen.endedAtMs, []);
  await clock.runUntil(20_000);
  t.deepEqual(seen.endedAtMs, [7_650]);
});

test('the process ends with its last request', async (t) => {
  const { clock, seen, stop } = world(1);
  stop.request();
  await clock.runUntil(4_000);
  seen.active = 0;
  stop.noteRequestEnded();
  t.deepEqual(seen.endedAtMs, [4_000]);
});
