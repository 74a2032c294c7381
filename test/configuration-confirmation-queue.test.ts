import test from 'ava';
import { ConfigurationConfirmationQueue } from '../src/gateway/admission/configuration-confirmation-queue.js';
import { HeapClock } from './support/heap-clock.js';

function startQueue(maxWaiting = 200) {
  const clock = new HeapClock();
  const knowledge = { isOld: true };
  const options = { waitMs: 500, checkIntervalMs: 25, maxWaiting };
  const ports = { isKnowledgeOld: () => knowledge.isOld };
  const queue = new ConfigurationConfirmationQueue(ports, clock, options);
  const ended: Array<readonly [string, boolean, number]> = [];
  const wait = (name: string) =>
    queue.wait((isConfirmed) => ended.push([name, isConfirmed, clock.now()]));
  const run = (untilMs: number) => {
    while (clock.step(untilMs)) {
      // Each step runs one timer.
    }
  };
  return { queue, knowledge, ended, wait, run };
}

test('waiting requests continue once the configuration is confirmed', (t) => {
  const { queue, knowledge, ended, wait, run } = startQueue();
  wait('a');
  run(100);
  wait('b');
  t.deepEqual(ended, []);
  t.is(queue.count, 2);
  knowledge.isOld = false;
  run(130);
  t.deepEqual(
    ended.map(([name, isConfirmed]) => [name, isConfirmed]),
    [
      ['a', true],
      ['b', true],
    ],
  );
  t.is(queue.count, 0);
});

test('the wait of each request and the number of waiting requests are bounded', (t) => {
  const { ended, wait, run } = startQueue(2);
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

test('a cancelled wait is removed and its callback is not called', (t) => {
  const { queue, ended, wait, run } = startQueue();
  const cancel = wait('a');
  cancel();
  run(2_000);
  t.is(queue.count, 0);
  t.deepEqual(ended, []);
});
