/** Variants of stops beside slow callers: sizes, rates, streams, and two gateways in series. */
import type { ServerResponse } from 'node:http';
import test from 'ava';
import { sleep, SYSTEM_CLOCK } from '../src/clock.js';
import { FakeBackend, FakeStore } from './support/fake-platform.js';
import { GatewayProcess } from './support/gateway-process.js';
import { readSlowly } from './support/slow-reader.js';

const MB = 1_000_000;
/** Time that backends take; some responses end after new requests are served. */
const WORK_MS = 2_800;
const EVENT_INTERVAL_MS = 50;
const STOP_INTERVAL_MS = 1_000;
/** Reading begins when responses have ended and is over before the kill. */
const PACE = { delayMs: 3_800, bytesPerS: 6 * MB };

interface Read {
  /** Requests that are sent together on one connection. */
  readonly paths: readonly string[];
  /** When they are sent, after the stop signal. */
  readonly afterMs: number;
}

/** The responses of each connection are more than its buffers hold, some 6 MB. */
const READS: readonly Read[] = [
  { paths: Array<string>(3).fill(`/a/${4 * MB}`), afterMs: 0 },
  { paths: Array<string>(10).fill(`/a/${MB}`), afterMs: 100 },
  { paths: Array<string>(45).fill('/a/240000'), afterMs: 300 },
  { paths: ['/s/900000'], afterMs: 200 },
  { paths: ['/s/15000', ...Array<string>(45).fill('/a/240000')], afterMs: 100 },
];
const EVENTS = 12;

function configuration(): object {
  const route = {
    host: 'h',
    service: 's',
    timeoutMs: 15_000,
    targetLatencyMs: 100,
    maxAttempts: 1,
  };
  return {
    version: 1,
    routes: [
      { ...route, name: 'a', pathPrefix: '/a/', kind: 'safe' },
      { ...route, name: 's', pathPrefix: '/s/', kind: 'stream', maxPauseMs: 3_000 },
    ],
    services: [{ name: 's', maxConnections: 1_000 }],
    tenants: [{ name: 'shop', apiKeys: ['key'] }],
  };
}

function answer(path: string, response: ServerResponse): void {
  const size = Number(path.split('/')[2]);
  if (path.startsWith('/a/')) {
    setTimeout(() => {
      response.writeHead(200, { 'X-Weirvale-Server-Seal': 'seal' });
      response.end(Buffer.alloc(size, 'x'));
    }, WORK_MS);
    return;
  }
  const headers = { 'X-Weirvale-Server-Seal': 'seal', 'Content-Type': 'text/event-stream' };
  response.writeHead(200, headers);
  let sent = 0;
  const timer = setInterval(() => {
    sent += 1;
    response.write(`id: ${sent}\ndata: ${'x'.repeat(size)}\n\n`);
    if (sent === EVENTS) {
      clearInterval(timer);
      response.end();
    }
  }, EVENT_INTERVAL_MS);
}

function requestText(path: string, id: string): string {
  return (
    `GET ${path} HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\n` +
    `X-Weirvale-Attempt-Id: ${id}\r\n\r\n`
  );
}

async function stopAndRead(gateway: GatewayProcess) {
  gateway.stop();
  const reads = READS.map(async ({ paths, afterMs }, connection) => {
    await sleep(SYSTEM_CLOCK, afterMs);
    const idOf = (index: number) => `${gateway.host}-${connection}-${index}`;
    const text = paths.map((path, index) => requestText(path, idOf(index))).join('');
    return { paths, responses: await readSlowly(gateway, text, PACE) };
  });
  return Promise.all(reads);
}

test('callers that read slowly get whole responses of each size and kind when gateways stop in series', async (t) => {
  const store = new FakeStore();
  store.epoch = 1;
  const backend = new FakeBackend('w', ({ path }, response) => answer(path, response));
  store.announce('w', { address: await backend.start(), slots: 1_000 });
  store.put('op/config', configuration());
  const address = await store.start();
  const gateways = await Promise.all(
    ['127.0.3.63', '127.0.3.64'].map((host) => GatewayProcess.start(host, address)),
  );
  t.teardown(() => {
    gateways.forEach(({ child }) => child.kill('SIGKILL'));
    backend.stop();
    store.stop();
  });
  const [first, second] = gateways.map(async (gateway, index) => {
    await sleep(SYSTEM_CLOCK, index * STOP_INTERVAL_MS);
    return stopAndRead(gateway);
  });
  for (const read of [...(await first!), ...(await second!)]) {
    const whole = { status: 200, isComplete: true };
    t.deepEqual(read.responses, Array(read.paths.length).fill(whole), read.paths[0]);
  }
  for (const { ended } of gateways) {
    t.deepEqual(await ended, [0, null]);
  }
});
