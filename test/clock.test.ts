import test from 'ava';
import { SYSTEM_CLOCK, sleep } from '../src/clock.js';
import { blockLoop } from './support/block-loop.js';
import { connectPair } from './support/socket-pair.js';

test.serial(
  'a timer that is due after a stall runs after the input that arrived meanwhile',
  async (t) => {
    const { near, far, close } = await connectPair();
    const order: string[] = [];
    near.on('data', () => order.push('input'));
    SYSTEM_CLOCK.setTimeout(() => order.push('timer'), 20);
    far.write('x');
    blockLoop(50);
    await sleep(SYSTEM_CLOCK, 50);
    t.deepEqual(order, ['input', 'timer']);
    close();
  },
);

test.serial('a timer that is cleared after it became due does not run', async (t) => {
  let hasRun = false;
  const handle = SYSTEM_CLOCK.setTimeout(() => (hasRun = true), 5);
  setTimeout(() => SYSTEM_CLOCK.clearTimeout(handle), 5);
  blockLoop(20);
  await sleep(SYSTEM_CLOCK, 30);
  t.false(hasRun);
});

test('clearing a timer that was never set, or twice, has no effect', (t) => {
  const handle = SYSTEM_CLOCK.setTimeout(() => undefined, 5);
  t.notThrows(() => {
    SYSTEM_CLOCK.clearTimeout(undefined);
    SYSTEM_CLOCK.clearTimeout(handle);
    SYSTEM_CLOCK.clearTimeout(handle);
  });
});
