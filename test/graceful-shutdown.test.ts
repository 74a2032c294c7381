import test from 'ava';
import { GracefulShutdown } from '../src/gateway/graceful-shutdown.js';
import { VirtualClock } from '../src/sim/virtual-clock.js';

function world(active: number) {
  const clock = new VirtualClock();
  const seen = {
    active,
    stoppedListeningAtMs: -1,
    endedAtMs: [] as number[],
    refusedAtMs: [] as number[],
    failedAtMs: [] as number[],
  };
  const stop = new GracefulShutdown(clock, 8_000, {
    stopListening: (onStopped) => {
      seen.stoppedListeningAtMs = clock.now();
      onStopped();
    },
    afterQuietPoll: (callback) => callback(),
    countActive: () => seen.active,
    refuseWaiting: () => seen.refusedAtMs.push(clock.now()),
    failUnanswered: () => seen.failedAtMs.push(clock.now()),
    end: () => seen.endedAtMs.push(clock.now()),
  });
  return { clock, seen, stop };
}

test('an idle gateway serves new requests for a while after the stop signal, then ends', async (t) => {
  const { clock, seen, stop } = world(0);
  t.false(stop.hasBegun);
  stop.begin();
  t.true(stop.hasBegun);
  await clock.runUntil(2_500);
  t.false(stop.isRefusing);
  await clock.runUntil(2_950);
  t.true(stop.isRefusing);
  await clock.runUntil(20_000);
  t.is(seen.stoppedListeningAtMs, 3_000);
  t.deepEqual(seen.endedAtMs, [3_000]);
});

test('shutdown waits for a running request, but ends before the kill', async (t) => {
  const { clock, seen, stop } = world(1);
  stop.begin();
  await clock.runUntil(7_600);
  t.deepEqual(seen.endedAtMs, []);
  await clock.runUntil(20_000);
  t.deepEqual(seen.endedAtMs, [7_650]);
});

test('shutdown ends as soon as the last request has ended', async (t) => {
  const { clock, seen, stop } = world(1);
  stop.begin();
  await clock.runUntil(4_000);
  seen.active = 0;
  stop.onRequestEnded();
  t.deepEqual(seen.endedAtMs, [4_000]);
});

test('waiting requests are refused before the process ends, early enough for the refusals to be sent', async (t) => {
  const { clock, seen, stop } = world(1);
  stop.begin();
  await clock.runUntil(7_400);
  t.deepEqual(seen.refusedAtMs, []);
  await clock.runUntil(20_000);
  t.deepEqual(seen.refusedAtMs, [7_500, 7_650]);
  t.deepEqual(seen.failedAtMs, [7_600, 7_650]);
  t.deepEqual(seen.endedAtMs, [7_650]);
});
