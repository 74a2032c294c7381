import test from 'ava';
import { AfterPollQueue } from '../src/after-poll-queue.js';
import { SYSTEM_CLOCK } from '../src/clock.js';
import { isDoneWithinTurns } from './support/loop-turns.js';
import { connectPair } from './support/socket-pair.js';

/** Turns of the event loop within which all tasks have run. */
const TURNS_UNTIL_RUN = 50;

/** A clock that the tasks of a test advance. */
function manualClock() {
  const clock = { ...SYSTEM_CLOCK, nowMs: 0, now: () => clock.nowMs };
  return clock;
}

/** Runs `action` in a poll, and resolves once it has run. */
async function inPoll(action: () => void): Promise<void> {
  const { near, far, close } = await connectPair();
  await new Promise<void>((resolve) => {
    near.on('data', () => {
      action();
      resolve();
    });
    far.write('x');
  });
  close();
}

test('a task for bytes that were read runs after the end of their connection is read', async (t) => {
  const queue = new AfterPollQueue(SYSTEM_CLOCK);
  const { near, far, close } = await connectPair();
  let hasEnded = false;
  const hadEnded = new Promise<boolean>((resolve) => {
    near.on('data', () => queue.afterNextPoll(() => resolve(hasEnded)));
  });
  near.on('end', () => (hasEnded = true));
  far.end('request');
  t.true(await hadEnded);
  close();
});

test('a task added in a poll runs after the other events of the poll', async (t) => {
  const queue = new AfterPollQueue(SYSTEM_CLOCK);
  const pairs = [await connectPair(), await connectPair()];
  const order: string[] = [];
  const isDone = new Promise<void>((resolve) => {
    pairs.forEach(({ near }, index) =>
      near.on('data', () => {
        order.push(`event ${index}`);
        queue.afterPoll(() => {
          order.push(`task ${index}`);
          if (order.length === 4) {
            resolve();
          }
        });
      }),
    );
  });
  // Both are written in one step, so that one poll reads both.
  pairs.forEach(({ far }) => far.write('x'));
  await isDone;
  t.deepEqual(order.slice(2), ['task 0', 'task 1']);
  pairs.forEach(({ close }) => close());
});

test('tasks that take longer than a slice leave the rest to the next poll', async (t) => {
  const clock = manualClock();
  const queue = new AfterPollQueue(clock, { sliceMs: 10 });
  let iteration = 0;
  const countIterations = () => {
    iteration += 1;
    if (iteration < 10) {
      setImmediate(countIterations);
    }
  };
  const ranAt: number[] = [];
  await inPoll(() => {
    setImmediate(countIterations);
    for (let task = 0; task < 5; task += 1) {
      queue.afterPoll(() => {
        ranAt.push(iteration);
        clock.nowMs += 6;
      });
    }
  });
  await isDoneWithinTurns(() => ranAt.length === 5, TURNS_UNTIL_RUN);
  t.deepEqual(ranAt, [1, 1, 2, 2, 3]);
});

test('a task that continues another in a slice runs at once', async (t) => {
  const queue = new AfterPollQueue(SYSTEM_CLOCK);
  const order: string[] = [];
  await new Promise<void>((resolve) => {
    queue.afterNextPoll(() => {
      queue.afterPoll(() => order.push('continued'));
      order.push('after');
      resolve();
    });
  });
  t.deepEqual(order, ['continued', 'after']);
});

test('a task that throws does not stop the ones behind it', async (t) => {
  const queue = new AfterPollQueue(SYSTEM_CLOCK);
  const thrown = new Promise<unknown>((resolve) => {
    process.setUncaughtExceptionCaptureCallback(resolve);
  });
  let hasRun = false;
  queue.afterPoll(() => {
    throw new RangeError('fault');
  });
  queue.afterPoll(() => (hasRun = true));
  t.true((await thrown) instanceof RangeError);
  await new Promise((resolve) => setTimeout(resolve, 20));
  process.setUncaughtExceptionCaptureCallback(null);
  t.true(hasRun);
});
