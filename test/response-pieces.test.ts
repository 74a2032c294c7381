import { Agent } from 'node:http';
import type { Socket } from 'node:net';
import test from 'ava';
import { callJson } from '../src/cluster/json-call.js';
import { HttpBackendSender } from '../src/gateway/attempt/http-backend-sender.js';
import { ResponsePieceLimiter } from '../src/http/response-piece-limiter.js';
import { backendOf } from './support/gateway-harness.js';
import { RawBackend, chunk, streamHead } from './support/raw-backend.js';

/** Time in which an attempt must end at a backend that sends without end, in milliseconds. */
const CUT_OFF_WITHIN_MS = 1_500;
const FLOOD_BYTES = 32 * 1024;

/** Sends copies of `piece` until the other side closes, as fast as it reads. */
function flood(socket: Socket, piece: Buffer): void {
  const block = Buffer.concat(
    Array.from({ length: Math.ceil(FLOOD_BYTES / piece.length) }, () => piece),
  );
  const writeMore = () => {
    if (!socket.destroyed) {
      socket.write(block, () => setImmediate(writeMore));
    }
  };
  writeMore();
}

/** Resolves with the detail of the attempt's failure, or undefined if it goes on. */
async function failureAt(address: string): Promise<string | undefined> {
  const sender = new HttpBackendSender();
  const attempt = {
    backend: backendOf('b', { address }),
    method: 'GET',
    path: '/',
    headers: ['X-Weirvale-Attempt-Id', 'q'],
    isRepeatable: true,
    body: Buffer.alloc(0),
  };
  const failure = await new Promise<string | undefined>((resolve) => {
    const timer = setTimeout(() => resolve(undefined), CUT_OFF_WITHIN_MS);
    const handle = sender.send(attempt, {
      onHead: () => undefined,
      onData: () => undefined,
      onEnd: () => undefined,
      onFailure: ({ detail }) => {
        clearTimeout(timer);
        resolve(detail);
      },
    });
    setTimeout(() => handle.cancel(), CUT_OFF_WITHIN_MS + 1).unref();
  });
  sender.close();
  return failure;
}

const INTERIM = Buffer.from('HTTP/1.1 100 Continue\r\n\r\n');

test.serial('an attempt ends at a backend that sends one-byte chunks without end', async (t) => {
  const backend = new RawBackend(({ id }, socket) => {
    socket.write(streamHead(id));
    flood(socket, chunk('x'));
  });
  t.teardown(() => backend.stop());
  t.regex((await failureAt(await backend.start())) ?? '', /too many small pieces/);
});

test.serial('an attempt ends at a backend that sends interim responses without end', async (t) => {
  const backend = new RawBackend((_request, socket) => flood(socket, INTERIM));
  t.teardown(() => backend.stop());
  t.regex((await failureAt(await backend.start())) ?? '', /too many interim responses/);
});

for (const [name, head, piece] of [
  ['interim responses', '', INTERIM],
  ['one-byte chunks', 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n', chunk('x')],
] as const) {
  test.serial(
    `a call ends before its timeout at a neighbour that sends ${name} without end`,
    async (t) => {
      const server = new RawBackend((_request, socket) => {
        socket.write(head);
        flood(socket, piece);
      });
      t.teardown(() => server.stop());
      const call = { address: await server.start(), path: '/report' };
      const result = await callJson(call, CUT_OFF_WITHIN_MS, new Agent());
      t.true(result.err);
      t.regex(String(result.val), /too many/);
    },
  );
}

test('a stream of many small pieces over a long time stays within its limits', (t) => {
  let nowMs = 0;
  const limiter = new ResponsePieceLimiter(() => nowMs);
  for (let piece = 0; piece < 100_000; piece += 1) {
    nowMs += 2;
    t.is(limiter.countPiece(8), undefined);
  }
});

test('a stream that arrives at once after a stall stays within its limits', (t) => {
  const limiter = new ResponsePieceLimiter(() => 0);
  for (let piece = 0; piece < 2_000; piece += 1) {
    t.is(limiter.countPiece(8), undefined);
  }
  t.truthy(limiter.countPiece(8));
});

test('large pieces are not limited', (t) => {
  const limiter = new ResponsePieceLimiter(() => 0);
  for (let piece = 0; piece < 10_000; piece += 1) {
    t.is(limiter.countPiece(1_024), undefined);
  }
});
