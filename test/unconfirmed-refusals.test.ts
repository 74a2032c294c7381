import test from 'ava';
import { UnconfirmedRefusals } from '../src/gateway/admission/unconfirmed-refusals.js';
import { HeapClock } from './support/heap-clock.js';

function startWaits(maxWaiting = 200) {
  const clock = new HeapClock();
  const knowledge = { isOld: true };
  const options = { waitMs: 500, lookMs: 25, maxWaiting };
  const ports = { isKnowledgeOld: () => knowledge.isOld };
  const refusals = new UnconfirmedRefusals(ports, clock, options);
  const ended: Array<readonly [string, boolean, number]> = [];
  const wait = (name: string) =>
    refusals.wait((isConfirmed) => ended.push([name, isConfirmed, clock.now()]));
  const run = (untilMs: number) => {
    while (clock.step(untilMs)) {
      // Each step runs one timer.
    }
  };
  return { refusals, knowledge, ended, wait, run };
}

test('what waits goes on as soon as knowledge is confirmed', (t) => {
  const { refusals, knowledge, ended, wait, run } = startWaits();
  wait('a');
  run(100);
  wait('b');
  t.deepEqual(ended, []);
  t.is(refusals.count, 2);
  knowledge.isOld = false;
  run(130);
  t.deepEqual(
    ended.map(([name, isConfirmed]) => [name, isConfirmed]),
    [
      ['a', true],
      ['b', true],
    ],
  );
  t.is(refusals.count, 0);
});

test('the wait is bounded for each request, and so is their number', (t) => {
  const { ended, wait, run } = startWaits(2);
  wait('a');
  run(300);
  wait('b');
  wait('c');
  t.deepEqual(ended, [['c', false, 300]]);
  run(600);
  t.deepEqual(ended[1], ['a', false, 500]);
  run(2_000);
  t.deepEqual(ended[2]!.slice(0, 2), ['b', false]);
  t.true(ended[2]![2] <= 825);
});

test('a request whose caller left is no longer waited for', (t) => {
  const { refusals, ended, wait, run } = startWaits();
  const giveUp = wait('a');
  giveUp();
  run(2_000);
  t.is(refusals.count, 0);
  t.deepEqual(ended, []);
});
