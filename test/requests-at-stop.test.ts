/** Requests that have arrived and are not read yet when a gateway closes connections to stop. */
import anyTest from 'ava';
import { SYSTEM_CLOCK, sleep } from '../src/clock.js';
import type { CallerReply } from '../src/gateway/attempt/attempt.js';
import { blockLoop } from './support/block-loop.js';
import { FakeBackend, FakeStore } from './support/fake-platform.js';
import { GatewayProcess } from './support/gateway-process.js';
import { isDoneWithinTurns } from './support/loop-turns.js';
import {
  ANSWER_WITHIN_MS,
  RAW_REQUEST,
  RawCaller,
  respondOk,
  startCallerListener,
} from './support/raw-caller.js';

// One test at a time: they block the event loop.
const test = anyTest.serial;

const CALLERS = 20;
/** When a stopped gateway stops to listen, in milliseconds after the signal. */
const LISTENER_CLOSES_MS = 3_000;
/** Time before that at which the gateway is paused; a busy machine may signal it late. */
const PAUSED_BEFORE_MS = 1_500;
/** Turns of the event loop within which requests to a gateway process are answered. */
const ANSWER_TURNS = 4_000;
const REQUEST =
  'GET /a/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\nX-Weirvale-Attempt-Id: a\r\n\r\n';

test('a request that arrived unread on a kept connection as the listener stops is answered', async (t) => {
  const { listener, connectCaller } = await startCallerListener({});
  const callers = await Promise.all(Array.from({ length: CALLERS }, connectCaller));
  await Promise.all(callers.map((caller) => caller.exchange()));
  callers.forEach(({ socket }) => socket.write(RAW_REQUEST));
  blockLoop(50);
  listener.stopListening();
  await sleep(SYSTEM_CLOCK, ANSWER_WITHIN_MS);
  t.deepEqual(new Set(callers.map(({ statuses }) => statuses.join())), new Set(['200,200']));
  t.true(callers.every(({ isClosed }) => isClosed));
});

test('connections that wait to be accepted as the listener stops are served', async (t) => {
  const { listener, connectCaller } = await startCallerListener({});
  const connecting = Array.from({ length: CALLERS }, connectCaller);
  blockLoop(50);
  listener.stopListening();
  const callers = await Promise.all(connecting);
  await Promise.all(callers.map((caller) => caller.exchange()));
  t.deepEqual(new Set(callers.map(({ statuses }) => statuses.join())), new Set(['200']));
});

test('a request that arrived unread on a connection that becomes idle later in the stop is answered', async (t) => {
  const replies: CallerReply[] = [];
  const { listener, connectCaller } = await startCallerListener({}, (reply) => {
    if (replies.push(reply) > 1) {
      respondOk(reply);
    } else {
      reply.start(200, ['Content-Length', '2']);
    }
  });
  const caller = await connectCaller();
  await caller.exchange();
  listener.stopListening();
  await sleep(SYSTEM_CLOCK, ANSWER_WITHIN_MS);
  caller.socket.write(RAW_REQUEST);
  blockLoop(50);
  replies[0]!.end(Buffer.from('ok'));
  await sleep(SYSTEM_CLOCK, ANSWER_WITHIN_MS);
  t.deepEqual(caller.statuses, ['200', '200']);
  t.true(caller.isClosed);
});

test('a request that arrived unread before an answer that closes its connection is passed on as following the close', async (t) => {
  const followsClose: Array<boolean | undefined> = [];
  const { listener, connectCaller } = await startCallerListener({}, (reply, head) => {
    if (followsClose.push(head.followsClose) === 1) {
      callers[0]!.socket.write(RAW_REQUEST);
      blockLoop(50);
    }
    respondOk(reply);
  });
  t.teardown(() => listener.stopListening());
  listener.closeConnectionsAfterResponse();
  const callers = [await connectCaller()];
  await callers[0]!.exchange();
  t.deepEqual(callers[0]!.statuses, ['200', '200']);
  t.deepEqual(followsClose, [false, true]);
  t.true(callers[0]!.isClosed);
});

test('requests that arrived unread as a gateway process stops to listen or ends are answered', async (t) => {
  const store = new FakeStore();
  store.epoch = 1;
  const backend = new FakeBackend('w', (_request, response) => {
    response.writeHead(200, { 'X-Weirvale-Server-Seal': 'seal' });
    response.end('ok');
  });
  store.announce('w', { address: await backend.start(), slots: 100 });
  store.put('op/config', configuration());
  const gateway = await GatewayProcess.start('127.0.3.65', await store.start());
  t.teardown(() => {
    gateway.child.kill('SIGKILL');
    backend.stop();
    store.stop();
  });
  const connectCaller = () => RawCaller.connect(gateway.port, gateway.host);
  const kept = await Promise.all(Array.from({ length: CALLERS }, connectCaller));
  kept.forEach(({ socket }) => socket.write(REQUEST));
  const areKept = () => kept.every(({ statuses }) => statuses.join() === '200');
  t.true(await isDoneWithinTurns(areKept, ANSWER_TURNS));
  gateway.stop();
  await sleep(SYSTEM_CLOCK, LISTENER_CLOSES_MS - PAUSED_BEFORE_MS);
  gateway.child.kill('SIGSTOP');
  const fresh = await Promise.all(Array.from({ length: CALLERS }, connectCaller));
  [...kept, ...fresh].forEach(({ socket }) => socket.write(REQUEST));
  await sleep(SYSTEM_CLOCK, PAUSED_BEFORE_MS + 300);
  gateway.child.kill('SIGCONT');
  await Promise.all([...kept, ...fresh].map(untilClosed));
  const statusesOf = (callers: readonly RawCaller[]) =>
    callers.map(({ statuses }) => statuses.join());
  t.deepEqual(new Set(statusesOf(kept)), new Set(['200,503']));
  t.deepEqual(new Set(statusesOf(fresh)), new Set(['503']));
  t.deepEqual(await gateway.ended, [0, null]);
});

async function untilClosed({ socket }: RawCaller): Promise<void> {
  if (!socket.closed) {
    await new Promise<void>((resolve) => socket.on('close', () => resolve()));
  }
}

function configuration(): object {
  const route = { name: 'r', host: 'h', pathPrefix: '/a/', kind: 'safe', service: 's' };
  return {
    version: 1,
    routes: [{ ...route, timeoutMs: 5_000, targetLatencyMs: 1_000, maxAttempts: 1 }],
    services: [{ name: 's', maxConnections: 100 }],
    tenants: [{ name: 'shop', apiKeys: ['key'] }],
  };
}
