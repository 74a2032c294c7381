/** Gateway processes that are stopped while callers wait for responses or read them slowly. */
import { once } from 'node:events';
import type { ServerResponse } from 'node:http';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { request } from 'undici';
import { sleep, SYSTEM_CLOCK } from '../src/clock.js';
import { FakeBackend, FakeStore } from './support/fake-platform.js';
import { GatewayProcess } from './support/gateway-process.js';

const RESPONSE_BYTES = 240_000;
/** The responses are more than the buffers of a connection hold, some 6 MB. */
const RESPONSES = 60;
/** Later than new requests are served after the stop signal, well before the kill. */
const READ_AT_MS = 4_500;
const GRACE_MS = 8_000;

function configuration(): object {
  const route = { name: 'r', host: 'h', pathPrefix: '/a/', kind: 'safe', service: 's' };
  return {
    version: 1,
    routes: [{ ...route, timeoutMs: 40_000, targetLatencyMs: 30_000, maxAttempts: 1 }],
    services: [{ name: 's', maxConnections: 100 }],
    tenants: [{ name: 'shop', apiKeys: ['key'] }],
  };
}

type Handler = (request: { readonly path: string }, response: ServerResponse) => void;

const answerAtOnce: Handler = (_request, response) => {
  response.writeHead(200, { 'X-Weirvale-Server-Seal': 'seal' });
  response.end(Buffer.alloc(RESPONSE_BYTES, 'x'));
};

/** Starts a store, a backend and a gateway. */
async function startSystem(
  t: ExecutionContext,
  host: string,
  handler: Handler = answerAtOnce,
  slots = 100,
): Promise<GatewayProcess> {
  const store = new FakeStore();
  store.epoch = 1;
  const backend = new FakeBackend('w', handler);
  store.announce('w', { address: await backend.start(), slots });
  store.put('op/config', configuration());
  const gateway = await GatewayProcess.start(host, await store.start());
  t.teardown(() => {
    gateway.child.kill('SIGKILL');
    backend.stop();
    store.stop();
  });
  return gateway;
}

async function connectTo({ host, port }: GatewayProcess): Promise<Socket> {
  const socket = connect(port, host);
  socket.on('error', () => undefined);
  socket.pause();
  await once(socket, 'connect');
  return socket;
}

function requestText(id: string): string {
  return (
    'GET /a/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\n' +
    `X-Weirvale-Attempt-Id: ${id}\r\n\r\n`
  );
}

/** Reads until the connection ends or `bytes` were received; returns the number of bytes read. */
async function readAll(socket: Socket, bytes: number): Promise<number> {
  let received = 0;
  const isOver = new Promise<void>((resolve) => {
    socket.on('close', () => resolve());
    socket.on('data', (chunk: Buffer) => {
      received += chunk.length;
      if (received >= bytes) {
        resolve();
      }
    });
  });
  socket.resume();
  await isOver;
  return received;
}

test('a stopped gateway ends once callers that read slowly have their whole responses', async (t) => {
  const gateway = await startSystem(t, '127.0.3.61');
  const caller = await connectTo(gateway);
  const ids = Array.from({ length: RESPONSES }, (_, index) => `id-${index}`);
  caller.write(ids.map(requestText).join(''));
  await sleep(SYSTEM_CLOCK, 500);
  gateway.stop();
  const stoppedAtMs = Date.now();
  await sleep(SYSTEM_CLOCK, READ_AT_MS);
  t.true((await readAll(caller, RESPONSES * RESPONSE_BYTES)) >= RESPONSES * RESPONSE_BYTES);
  caller.destroy();
  t.deepEqual(await gateway.ended, [0, null]);
  t.true(Date.now() - stoppedAtMs < GRACE_MS - 1_000);
});

test('requests that still wait for a backend when the grace time ends are refused as not run', async (t) => {
  const sent = new Set<string>();
  const neverAnswer: Handler = ({ path }) => void sent.add(path);
  const gateway = await startSystem(t, '127.0.3.62', neverAnswer, 1);
  const { host, port } = gateway;
  const paths = Array.from({ length: 8 }, (_, index) => `/a/${index}`);
  const results = paths.map(async (path) => {
    const headers = { host: 'h', authorization: 'Bearer key', 'x-weirvale-attempt-id': path };
    const response = await request(`http://${host}:${port}${path}`, { headers });
    return `${response.statusCode} ${await response.body.text()}`;
  });
  const ends = Promise.allSettled(results);
  await sleep(SYSTEM_CLOCK, 500);
  gateway.stop();
  const answers = new Map((await ends).map((end, index) => [paths[index]!, end]));
  const waited = paths.filter((path) => !sent.has(path));
  t.true(waited.length > 0);
  for (const path of waited) {
    t.deepEqual(answers.get(path), { status: 'fulfilled', value: '503 {"error":"stopping"}' });
  }
  t.deepEqual(await gateway.ended, [0, null]);
});

test('requests that still run at a backend when the grace time ends get a status that promises nothing', async (t) => {
  const answerInPart: Handler = ({ path }, response) => {
    if (path === '/a/part') {
      response.writeHead(200, { 'X-Weirvale-Server-Seal': 'seal' });
      response.write('part');
    }
  };
  const gateway = await startSystem(t, '127.0.3.66', answerInPart);
  const { host, port } = gateway;
  const results = ['/a/part', '/a/none', '/a/none'].map(async (path, index) => {
    const headers = {
      host: 'h',
      authorization: 'Bearer key',
      'x-weirvale-attempt-id': `id-${index}`,
    };
    const response = await request(`http://${host}:${port}${path}`, { headers });
    return `${response.statusCode} ${await response.body.text()}`;
  });
  const ends = Promise.allSettled(results);
  await sleep(SYSTEM_CLOCK, 500);
  gateway.stop();
  const failed = { status: 'fulfilled', value: '502 {"error":"backend-failed"}' };
  t.deepEqual(await ends, [failed, failed, failed]);
  t.deepEqual(await gateway.ended, [0, null]);
});
