import { Agent } from 'node:http';
import test from 'ava';
import { callJson } from '../src/cluster/json-call.js';
import { createHttpEngineProbe } from '../src/slot-agent/engine-probe.js';
import { blockLoop } from './support/block-loop.js';
import { RawBackend } from './support/raw-backend.js';

const TIMEOUT_MS = 300;
const PATH = '/report';
const UPGRADE = 'HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n';
const REPORT = 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}';

/** Fails if `promise` does not settle within a few time limits of a call. */
function settles<T>(promise: Promise<T>): Promise<T> {
  const never = new Promise<never>((_resolve, reject) =>
    setTimeout(() => reject(new Error('the call never ended')), TIMEOUT_MS * 4),
  );
  return Promise.race([promise, never]);
}

for (const [name, bytes] of [
  ['switches protocols', UPGRADE],
  ['sends interim responses only', 'HTTP/1.1 103 Early Hints\r\n\r\n'],
  ['sends no HTTP', 'nothing of the kind\r\n\r\n'],
  ['breaks the response off', 'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{'],
] as const) {
  test(`a call ends in a typed failure when the other side ${name}`, async (t) => {
    const server = new RawBackend((_request, socket) => {
      socket.write(bytes);
    });
    t.teardown(() => server.stop());
    const call = { address: await server.start(), path: PATH };
    const result = await settles(callJson(call, TIMEOUT_MS, new Agent()));
    t.true(result.err);
  });
}

test('an engine that switched protocols once is probed again', async (t) => {
  let answers = 0;
  const engine = new RawBackend((_request, socket) => {
    answers += 1;
    socket.write(answers === 1 ? UPGRADE : REPORT);
  });
  t.teardown(() => engine.stop());
  const probe = createHttpEngineProbe({ address: await engine.start(), path: PATH }, () => ({
    kind: 'load',
    requests: 0,
  }));
  t.is((await settles(probe())).kind, 'load');
  t.is(answers, 2);
});

test.serial(
  'a response that arrived while the process was stalled is not taken for silence',
  async (t) => {
    const server = new RawBackend((_request, socket) => {
      socket.write(REPORT);
      blockLoop(TIMEOUT_MS * 2);
    });
    t.teardown(() => server.stop());
    const call = { address: await server.start(), path: PATH };
    const result = await settles(callJson(call, TIMEOUT_MS, new Agent()));
    t.true(result.ok);
  },
);
