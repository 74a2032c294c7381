import { once } from 'node:events';
import { connect } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import test from 'ava';
import { CallerListener } from '../src/gateway/admission/caller-listener.js';
import type { CallerReply } from '../src/gateway/attempt/attempt.js';
import { SYSTEM_CLOCK, sleep } from '../src/clock.js';

const REQUEST = 'GET /a HTTP/1.1\r\nHost: a\r\n\r\n';
const LEFT_WITHIN_MS = 300;

interface Taken {
  readonly path: string;
  readonly reply: CallerReply;
  hasBody: boolean;
  hasLeft: boolean;
}

/** A listener that only notes what it is told of its callers. */
async function startListener(onBody: (taken: Taken) => void = () => undefined) {
  const taken: Taken[] = [];
  const listener = new CallerListener(
    ({ path }, reply) => {
      const one: Taken = { path, reply, hasBody: false, hasLeft: false };
      taken.push(one);
      return {
        onBody: () => {
          one.hasBody = true;
          onBody(one);
        },
        onTooLong: () => undefined,
        onCallerLeft: () => (one.hasLeft = true),
      };
    },
    () => 1_000_000,
  );
  listener.server.listen(0, '127.0.0.1');
  await once(listener.server, 'listening');
  const { port } = listener.server.address() as AddressInfo;
  return { listener, taken, call: () => callerOf(port) };
}

async function callerOf(port: number): Promise<Socket> {
  const socket = connect(port, '127.0.0.1');
  socket.on('error', () => undefined);
  await once(socket, 'connect');
  return socket;
}

test('a caller that ends its connection without reading its answer has left', async (t) => {
  const { listener, taken, call } = await startListener(({ reply }) => {
    reply.start(200, []);
    // More than the system takes between the two, less than the gateway holds for a slow reader.
    for (let written = 0; written < 60; written += 1) {
      reply.write(Buffer.alloc(64 * 1024));
    }
  });
  const caller = await call();
  caller.pause();
  caller.write(REQUEST);
  await sleep(SYSTEM_CLOCK, 100);
  t.true(taken[0]!.hasBody);
  t.false(taken[0]!.hasLeft);
  caller.end();
  await sleep(SYSTEM_CLOCK, LEFT_WITHIN_MS);
  t.true(taken[0]!.hasLeft);
  caller.destroy();
  listener.server.closeAllConnections();
  listener.server.close();
});

test('a caller that closes its connection has left all requests that it sent on it', async (t) => {
  const { listener, taken, call } = await startListener();
  const caller = await call();
  caller.write(REQUEST + REQUEST.replace('/a', '/b'));
  await sleep(SYSTEM_CLOCK, 100);
  t.deepEqual(
    taken.map(({ path, hasBody }) => [path, hasBody]),
    [
      ['/a', true],
      ['/b', true],
    ],
  );
  caller.destroy();
  await sleep(SYSTEM_CLOCK, LEFT_WITHIN_MS);
  t.deepEqual(
    taken.map(({ hasLeft }) => hasLeft),
    [true, true],
  );
  listener.server.closeAllConnections();
  listener.server.close();
});

test('the body of a caller that left is not handed over', async (t) => {
  const { listener, taken, call } = await startListener();
  const caller = await call();
  caller.write('POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\n12');
  await sleep(SYSTEM_CLOCK, 50);
  caller.destroy();
  await sleep(SYSTEM_CLOCK, LEFT_WITHIN_MS);
  t.true(taken[0]!.hasLeft);
  t.false(taken[0]!.hasBody);
  listener.server.closeAllConnections();
  listener.server.close();
});
