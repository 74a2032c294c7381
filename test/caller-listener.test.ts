import { once } from 'node:events';
import { connect } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import test from 'ava';
import { CallerListener } from '../src/gateway/admission/caller-listener.js';
import { AfterPollQueue } from '../src/after-poll-queue.js';
import type { AcceptBacklog } from '../src/gateway/admission/accept-backlog-monitor.js';
import type { CallerReply } from '../src/gateway/attempt/attempt.js';
import { SYSTEM_CLOCK, sleep } from '../src/clock.js';
import { isDoneWithinTurns, turns } from './support/loop-turns.js';
import { RawCaller } from './support/raw-caller.js';

const REQUEST = 'GET /a HTTP/1.1\r\nHost: a\r\n\r\n';
const DISCONNECT_WITHIN_MS = 300;
/**
 * Turns of the event loop within which the disconnects of all callers are reported. Node accepts
 * one connection a turn.
 */
const TURNS_UNTIL_DISCONNECTED = 300;
/** Turns in which a request that was read before its caller's disconnect would be passed on. */
const TURNS_UNTIL_PASSED_ON = 20;

interface ReceivedRequest {
  readonly path: string;
  readonly reply: CallerReply;
  hasBody: boolean;
  hasDisconnected: boolean;
}

/** Starts a listener that only records its callbacks. */
async function startListener(onBody: (received: ReceivedRequest) => void = () => undefined) {
  const received: ReceivedRequest[] = [];
  const listener = new CallerListener(
    ({ path }, reply) => {
      const request: ReceivedRequest = { path, reply, hasBody: false, hasDisconnected: false };
      received.push(request);
      return {
        onBody: () => {
          request.hasBody = true;
          onBody(request);
        },
        onTooLong: () => undefined,
        onMemoryExhausted: () => undefined,
        onCallerDisconnected: () => (request.hasDisconnected = true),
      };
    },
    () => 1_000_000,
    new AfterPollQueue(SYSTEM_CLOCK),
  );
  listener.server.listen(0, '127.0.0.1');
  await once(listener.server, 'listening');
  const { port } = listener.server.address() as AddressInfo;
  return { listener, received, connectCaller: () => connectTo(port) };
}

async function connectTo(port: number): Promise<Socket> {
  const socket = connect(port, '127.0.0.1');
  socket.on('error', () => undefined);
  await once(socket, 'connect');
  return socket;
}

test('a caller that ends its connection without reading the response is reported as disconnected', async (t) => {
  const { listener, received, connectCaller } = await startListener(({ reply }) => {
    reply.start(200, []);
    // More than the socket buffers hold, less than the gateway buffers for a slow reader.
    for (let written = 0; written < 60; written += 1) {
      reply.write(Buffer.alloc(64 * 1024));
    }
  });
  const caller = await connectCaller();
  caller.pause();
  caller.write(REQUEST);
  await sleep(SYSTEM_CLOCK, 100);
  t.true(received[0]!.hasBody);
  t.false(received[0]!.hasDisconnected);
  caller.end();
  await sleep(SYSTEM_CLOCK, DISCONNECT_WITHIN_MS);
  t.true(received[0]!.hasDisconnected);
  caller.destroy();
  listener.server.closeAllConnections();
  listener.server.close();
});

test('a closed connection is reported as a disconnect to all requests sent on it', async (t) => {
  const { listener, received, connectCaller } = await startListener();
  const caller = await connectCaller();
  caller.write(REQUEST + REQUEST.replace('/a', '/b'));
  await sleep(SYSTEM_CLOCK, 100);
  t.deepEqual(
    received.map(({ path, hasBody }) => [path, hasBody]),
    [
      ['/a', true],
      ['/b', true],
    ],
  );
  caller.destroy();
  await sleep(SYSTEM_CLOCK, DISCONNECT_WITHIN_MS);
  t.deepEqual(
    received.map(({ hasDisconnected }) => hasDisconnected),
    [true, true],
  );
  listener.server.closeAllConnections();
  listener.server.close();
});

test('the body of a disconnected caller is not passed on', async (t) => {
  const { listener, received, connectCaller } = await startListener();
  const caller = await connectCaller();
  caller.write('POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\n12');
  await sleep(SYSTEM_CLOCK, 50);
  caller.destroy();
  await sleep(SYSTEM_CLOCK, DISCONNECT_WITHIN_MS);
  t.true(received[0]!.hasDisconnected);
  t.false(received[0]!.hasBody);
  listener.server.closeAllConnections();
  listener.server.close();
});

test('connections that wait to be accepted are reported with their number', async (t) => {
  const backlogs: AcceptBacklog[] = [];
  const listener = new CallerListener(
    () => ({
      onBody: () => undefined,
      onTooLong: () => undefined,
      onMemoryExhausted: () => undefined,
      onCallerDisconnected: () => undefined,
    }),
    () => 1_000_000,
    new AfterPollQueue(SYSTEM_CLOCK),
    (backlog) => backlogs.push(backlog),
  );
  listener.server.listen(0, '127.0.0.1');
  await once(listener.server, 'listening');
  const { port } = listener.server.address() as AddressInfo;
  const callers = await Promise.all(Array.from({ length: 20 }, () => connectTo(port)));
  const countReported = () => backlogs.reduce((sum, { connections }) => sum + connections, 0);
  for (let waits = 0; waits < 100 && countReported() < 20; waits += 1) {
    await sleep(SYSTEM_CLOCK, 20);
  }
  t.is(countReported(), 20);
  t.true(backlogs.some(({ connections }) => connections > 1));
  callers.forEach((caller) => caller.destroy());
  listener.stopListening();
});

test('a request whose caller closed its connection before it was read is not passed on', async (t) => {
  const { listener, received, connectCaller } = await startListener();
  const callers = await Promise.all(Array.from({ length: 20 }, () => connectCaller()));
  callers.forEach((caller) => caller.write(REQUEST));
  callers.forEach((caller) => caller.destroy());
  const countDisconnected = () => received.filter((each) => each.hasDisconnected).length;
  await isDoneWithinTurns(() => countDisconnected() === 20, TURNS_UNTIL_DISCONNECTED);
  await turns(TURNS_UNTIL_PASSED_ON);
  t.is(received.length, 20);
  t.is(countDisconnected(), 20);
  t.is(received.filter(({ hasBody }) => hasBody).length, 0);
  t.is(listener.unprocessedCount, 0);
  listener.stopListening();
});

test('a request that was read counts as unprocessed until it is passed on', async (t) => {
  const { listener, connectCaller } = await startListener(({ reply }) => {
    countWhenPassedOn = listener.unprocessedCount;
    reply.start(200, []);
    reply.end();
  });
  let countWhenPassedOn: number | undefined;
  let countAfterRead: number | undefined;
  listener.server.on('request', () =>
    setImmediate(() => (countAfterRead = listener.unprocessedCount)),
  );
  const caller = await connectCaller();
  caller.write(REQUEST);
  await sleep(SYSTEM_CLOCK, DISCONNECT_WITHIN_MS);
  caller.destroy();
  listener.stopListening();
  t.is(countAfterRead, 1);
  t.is(countWhenPassedOn, 0);
});

test('a caller that asks before it sends a body that is too long gets 413 and no permission', async (t) => {
  const listener = new CallerListener(
    (_head, reply) => ({
      onBody: () => undefined,
      onTooLong: () => {
        reply.start(413, ['Content-Length', '0']);
        reply.end();
      },
      onMemoryExhausted: () => undefined,
      onCallerDisconnected: () => undefined,
    }),
    () => 100,
    new AfterPollQueue(SYSTEM_CLOCK),
  );
  listener.server.listen(0, '127.0.0.1');
  await once(listener.server, 'listening');
  const caller = await RawCaller.connect((listener.server.address() as AddressInfo).port);
  t.teardown(() => {
    caller.socket.destroy();
    listener.closeConnections();
    listener.server.close();
  });
  const head = 'POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 101\r\n\r\n';
  caller.socket.write(head);
  await once(caller.socket, 'end');
  t.deepEqual(caller.statuses, ['413']);
});
