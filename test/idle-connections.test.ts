import anyTest from 'ava';
import { SYSTEM_CLOCK, sleep } from '../src/clock.js';
import { DEFAULT_CALLER_LIMITS } from '../src/routing/configuration.js';
import { blockLoop } from './support/block-loop.js';
import {
  ANSWER_WITHIN_MS,
  RAW_REQUEST,
  respondOk,
  startCallerListener,
} from './support/raw-caller.js';

// One test at a time: they block the event loop.
const test = anyTest.serial;

/** Time for which a connection may be held beyond its idle timeout. */
const MAX_HOLD_BEYOND_MS = 1_500;

test('a request that arrived while the loop stood still over the end of the idle timeout is answered', async (t) => {
  const { listener, connectCaller } = await startCallerListener({ idleTimeoutMs: 1_000 });
  const callers = await Promise.all(Array.from({ length: 20 }, connectCaller));
  await Promise.all(callers.map((caller) => caller.exchange()));
  await sleep(SYSTEM_CLOCK, 1_000);
  callers.forEach(({ socket }) => socket.write(RAW_REQUEST));
  blockLoop(2_000);
  await sleep(SYSTEM_CLOCK, ANSWER_WITHIN_MS);
  t.deepEqual(new Set(callers.map(({ statuses }) => statuses.join())), new Set(['200,200']));
  callers.forEach(({ socket }) => socket.destroy());
  listener.stopListening();
});

test('a connection is held for as long as its response names, although the idle timeout is lowered meanwhile', async (t) => {
  const { listener, connectCaller } = await startCallerListener(
    { idleTimeoutMs: 4_000 },
    (reply) => {
      reply.start(200, ['Content-Length', '2']);
      listener.applyLimits({ ...DEFAULT_CALLER_LIMITS, idleTimeoutMs: 500 });
      reply.end(Buffer.from('ok'));
    },
  );
  const caller = await connectCaller();
  await caller.exchange();
  t.is(caller.namedTimeoutMs, 4_000);
  await sleep(SYSTEM_CLOCK, 4_000 - ANSWER_WITHIN_MS);
  t.false(caller.isClosed);
  await caller.exchange();
  t.deepEqual(caller.statuses, ['200', '200']);
  caller.socket.destroy();
  listener.stopListening();
});

test('an idle timeout below a second is named as no less than a second, and held for longer', async (t) => {
  const { listener, connectCaller } = await startCallerListener({ idleTimeoutMs: 300 });
  const caller = await connectCaller();
  await caller.exchange();
  t.is(caller.namedTimeoutMs, 1_000);
  await sleep(SYSTEM_CLOCK, 1_200);
  t.false(caller.isClosed);
  await caller.exchange();
  t.deepEqual(caller.statuses, ['200', '200']);
  caller.socket.destroy();
  listener.stopListening();
});

test('an idle connection is closed soon after its idle timeout', async (t) => {
  const { listener, connectCaller } = await startCallerListener({ idleTimeoutMs: 1_000 });
  const caller = await connectCaller();
  await caller.exchange();
  await sleep(SYSTEM_CLOCK, 1_000 + MAX_HOLD_BEYOND_MS);
  t.true(caller.isClosed);
  t.is(listener.connections, 0);
  listener.stopListening();
});

test('a connection whose response takes longer than the idle timeout stays open', async (t) => {
  const { listener, connectCaller } = await startCallerListener({ idleTimeoutMs: 100 }, (reply) => {
    SYSTEM_CLOCK.setTimeout(() => respondOk(reply), 2_000);
  });
  const caller = await connectCaller();
  await caller.exchange();
  await sleep(SYSTEM_CLOCK, 2_000);
  t.deepEqual(caller.statuses, ['200']);
  caller.socket.destroy();
  listener.stopListening();
});

test('a response after which the connection closes names no idle timeout', async (t) => {
  const { listener, connectCaller } = await startCallerListener({ idleTimeoutMs: 5_000 });
  listener.closeConnectionsAfterResponse();
  const caller = await connectCaller();
  await caller.exchange();
  t.regex(caller.received, /Connection: close/);
  t.notRegex(caller.received, /Keep-Alive/i);
  t.true(caller.isClosed);
  listener.stopListening();
});
