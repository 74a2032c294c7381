import { once } from 'node:events';
import test from 'ava';
import { AfterPollQueue } from '../src/after-poll-queue.js';
import { SYSTEM_CLOCK, sleep } from '../src/clock.js';
import { CallerListener } from '../src/gateway/admission/caller-listener.js';
import { BlockedConnection } from './support/blocked-connection.js';

const REQUEST = 'GET /a HTTP/1.1\r\nHost: a\r\n\r\n';
const SETTLE_MS = 50;

/** Starts a listener that answers each request with `ok`. */
async function startListener(onFlushed: () => void = () => undefined) {
  const listener = new CallerListener(
    (_head, reply) => ({
      onBody: () => {
        reply.start(200, ['Content-Length', '2']);
        reply.end(Buffer.from('ok'));
      },
      onTooLong: () => undefined,
      onMemoryExhausted: () => undefined,
      onCallerDisconnected: () => undefined,
      onFlushed,
    }),
    () => 1_000_000,
    new AfterPollQueue(SYSTEM_CLOCK),
  );
  listener.server.listen(0, '127.0.0.1');
  await once(listener.server, 'listening');
  return listener;
}

function connect(listener: CallerListener): BlockedConnection {
  const connection = new BlockedConnection();
  listener.server.emit('connection', connection);
  return connection;
}

test('a connection is not closed as idle before its response is flushed', async (t) => {
  const listener = await startListener();
  const connection = connect(listener);
  connection.send(REQUEST);
  await sleep(SYSTEM_CLOCK, SETTLE_MS);
  listener.stopListening();
  await sleep(SYSTEM_CLOCK, SETTLE_MS);
  t.false(connection.destroyed);
  connection.unblock();
  await sleep(SYSTEM_CLOCK, SETTLE_MS);
  t.true(connection.received.endsWith('\r\n\r\nok'));
});

test('idle connections are closed once the last response is flushed', async (t) => {
  const listener = await startListener();
  const [idle, slow] = [connect(listener), connect(listener)];
  idle.unblock();
  idle.send(REQUEST);
  slow.send(REQUEST);
  await sleep(SYSTEM_CLOCK, SETTLE_MS);
  listener.stopListening();
  slow.unblock();
  await sleep(SYSTEM_CLOCK, SETTLE_MS);
  t.deepEqual([idle.destroyed, slow.destroyed], [true, true]);
});

test('a response is reported as flushed once all of it is taken, and not before', async (t) => {
  let flushed = 0;
  const listener = await startListener(() => (flushed += 1));
  const connection = connect(listener);
  connection.send(REQUEST);
  await sleep(SYSTEM_CLOCK, SETTLE_MS);
  t.is(flushed, 0);
  connection.unblock();
  await sleep(SYSTEM_CLOCK, SETTLE_MS);
  t.is(flushed, 1);
  listener.stopListening();
});
