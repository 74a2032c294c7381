/** Streams that callers resume at another gateway, over real sockets. */
import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { request } from 'undici';
import { FakeBackend, FakeStore } from './support/fake-platform.js';
import { platformGateways } from './support/platform-gateway.js';
import type { RunningGateway } from './support/platform-gateway.js';

const HOST = '127.0.3.41';
const { start, untilReady } = platformGateways(HOST, 28_000);
const EVENTS = 40;
const EVENT_INTERVAL_MS = 15;
const ROUTE = {
  name: 'r',
  host: 'h',
  pathPrefix: '/a/',
  kind: 'streaming',
  resumable: true,
  service: 's',
  timeoutMs: 3_000,
  targetLatencyMs: 500,
  gapAimMs: 500,
  maxAttempts: 3,
};

/** Starts a backend that streams events which name its version. */
function streamingBackend(id: string, version: string): FakeBackend {
  return new FakeBackend(id, ({ headers }, response) => {
    response.writeHead(200, { 'Content-Type': 'text/event-stream' });
    let number = Number(headers['last-event-id'] ?? 0);
    const timer = setInterval(() => {
      number += 1;
      response.write(`id: ${number}\ndata: ${version}\n\n`);
      if (number >= EVENTS) {
        clearInterval(timer);
        response.end();
      }
    }, EVENT_INTERVAL_MS);
    response.on('close', () => clearInterval(timer));
  });
}

/** Starts three gateways and four backends of each of two versions. */
async function startFleet(t: ExecutionContext): Promise<RunningGateway[]> {
  const store = new FakeStore();
  const backends: FakeBackend[] = [];
  for (const version of ['v1', 'v2']) {
    for (const number of [1, 2, 3, 4]) {
      const backend = streamingBackend(`${version}-${number}`, version);
      store.announce(backend.id, { address: await backend.start(), version, slots: 6 });
      backends.push(backend);
    }
  }
  store.put('op/config', {
    version: 1,
    routes: [ROUTE],
    services: [{ name: 's', maxConnections: 90 }],
    tenants: [{ name: 'shop', apiKeys: ['key'] }],
  });
  const address = await store.start();
  const gateways: RunningGateway[] = [];
  for (const name of ['a', 'b', 'c']) {
    gateways.push(await start(name, address, gateways[0] ? [gateways[0].peers] : []));
  }
  t.teardown(() => {
    gateways.forEach(({ gateway }) => gateway.stop(() => undefined));
    backends.forEach((backend) => backend.stop());
    store.stop();
  });
  await untilReady(gateways);
  await sleep(300);
  return gateways;
}

/** Reads events of a stream; cuts the connection after `most` of them. Returns their data. */
async function readEvents(
  { callers }: RunningGateway,
  headers: Record<string, string>,
  most: number,
): Promise<{ status: number; events: string[] }> {
  const response = await request(`${callers}/a/x`, {
    headers: { host: 'h', authorization: 'Bearer key', ...headers },
  });
  let text = '';
  const events = () => [...text.matchAll(/data: (\S+)\n\n/g)].map(([, version]) => version!);
  for await (const bytes of response.body) {
    text += String(bytes);
    if (events().length >= most) {
      break;
    }
  }
  return { status: response.statusCode, events: events() };
}

test('a stream that its caller resumes at another gateway holds events of one version only', async (t) => {
  const gateways = await startFleet(t);
  const resumeOnce = async (number: number) => {
    const id = `stream-${number}`;
    const begin = gateways[number % 3]!;
    const first = await readEvents(begin, { 'x-weirvale-attempt-id': id }, 5);
    const resumed = await readEvents(
      gateways[(number + 1) % 3]!,
      {
        'x-weirvale-attempt-id': `${id}-again`,
        'last-event-id': `${first.events.length}`,
        resumes: id,
      },
      EVENTS,
    );
    const events = [...first.events, ...resumed.events];
    return { status: resumed.status, count: events.length, versions: new Set(events).size };
  };
  const streams = await Promise.all(
    Array.from({ length: 18 }, (_none, index) => resumeOnce(index)),
  );
  t.deepEqual(
    streams.filter(({ versions }) => versions > 1),
    [],
  );
  t.deepEqual(
    streams.filter(({ status, count }) => status !== 200 || count !== EVENTS),
    [],
  );
});
