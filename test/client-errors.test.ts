import anyTest from 'ava';
import { SYSTEM_CLOCK, sleep } from '../src/clock.js';
import { blockLoop } from './support/block-loop.js';
import {
  ANSWER_WITHIN_MS,
  RAW_REQUEST,
  respondOk,
  startCallerListener,
} from './support/raw-caller.js';

// One test at a time: they block the event loop.
const test = anyTest.serial;

test('a request that arrived while the loop stood still over the end of the header timeout is served', async (t) => {
  const { listener, connectCaller } = await startCallerListener({ headerTimeoutMs: 1_000 });
  const [unused, begun] = [await connectCaller(), await connectCaller()];
  begun.socket.write(RAW_REQUEST.slice(0, 20));
  await sleep(SYSTEM_CLOCK, 700);
  unused.socket.write(RAW_REQUEST);
  begun.socket.write(RAW_REQUEST.slice(20));
  blockLoop(1_500);
  await sleep(SYSTEM_CLOCK, ANSWER_WITHIN_MS);
  t.deepEqual(unused.statuses, ['200']);
  t.deepEqual(begun.statuses, ['200']);
  unused.socket.destroy();
  begun.socket.destroy();
  listener.stopListening();
});

test('a head that is not received within the header timeout is refused', async (t) => {
  const { listener, connectCaller } = await startCallerListener({ headerTimeoutMs: 500 });
  const caller = await connectCaller();
  caller.socket.write(RAW_REQUEST.slice(0, 20));
  await sleep(SYSTEM_CLOCK, 1_700);
  t.deepEqual(caller.statuses, ['408']);
  t.true(caller.isClosed);
  listener.stopListening();
});

test('a late head does not end the request before it on its connection', async (t) => {
  const { listener, connectCaller } = await startCallerListener(
    { headerTimeoutMs: 500 },
    (reply) => {
      SYSTEM_CLOCK.setTimeout(() => respondOk(reply), 2_000);
    },
  );
  const caller = await connectCaller();
  caller.socket.write(RAW_REQUEST + RAW_REQUEST.slice(0, 20));
  await sleep(SYSTEM_CLOCK, 2_500);
  t.deepEqual(caller.statuses, ['200']);
  caller.socket.destroy();
  listener.stopListening();
});

test('input that is no request is refused', async (t) => {
  const { listener, connectCaller } = await startCallerListener({});
  const rows: ReadonlyArray<readonly [string, string]> = [
    ['no request\r\n\r\n', '400'],
    [`GET / HTTP/1.1\r\nHost: a\r\nX-Long: ${'x'.repeat(200_000)}\r\n\r\n`, '431'],
  ];
  for (const [input, status] of rows) {
    const caller = await connectCaller();
    caller.socket.write(input);
    await sleep(SYSTEM_CLOCK, ANSWER_WITHIN_MS);
    t.deepEqual(caller.statuses, [status]);
    t.true(caller.isClosed);
  }
  listener.stopListening();
});
