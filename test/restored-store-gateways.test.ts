/** Real gateway processes and a store that is restored from a backup. */
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { request } from 'undici';
import { platformGateways } from './support/platform-gateway.js';
import type { RunningGateway } from './support/platform-gateway.js';
import { FakeStore, FakeBackend } from './support/fake-platform.js';

const HOST = '127.0.3.31';
const { start, untilReady } = platformGateways(HOST, 28_000);
/**
 * Time limit until a change in the store is in force, and until a draining backend receives no more
 * requests.
 */
const BOUND_MS = 1_000;
const FIRST_KEY = 'first';

function configuration(version: number, key = FIRST_KEY): object {
  const route = { name: 'r', host: 'h', pathPrefix: '/a/', kind: 'safe', service: 's' };
  return {
    version,
    routes: [{ ...route, timeoutMs: 500, targetLatencyMs: 100, maxAttempts: 1 }],
    services: [{ name: 's', maxConnections: 9 }],
    tenants: [{ name: 'shop', apiKeys: [key] }],
  };
}

async function requestStatus({ callers }: RunningGateway, key: string): Promise<number> {
  const headers = { host: 'h', authorization: `Bearer ${key}`, 'x-weirvale-attempt-id': 'id' };
  const response = await request(`${callers}/a/x`, { headers });
  await response.body.dump();
  return response.statusCode;
}

function sleepMs(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}

/** Starts a store with epochs, two backends and three gateways. */
async function startFleet(t: ExecutionContext) {
  const store = new FakeStore();
  store.epoch = 1;
  const backends = ['w-1', 'w-2'].map(
    (id) => new FakeBackend(id, (_seen, response) => response.writeHead(200).end('good')),
  );
  for (const backend of backends) {
    store.announce(backend.id, { address: await backend.start() });
  }
  store.put('op/config', configuration(1));
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
  return { store, backends, gateways };
}

test('gateways apply changes written after the store was restored from a backup, and never revert to older ones', async (t) => {
  const { store, backends, gateways } = await startFleet(t);
  const settledAtMs = performance.now();
  await sleepMs(300);
  for (let version = 2; version <= 30; version += 1) {
    store.put('op/config', configuration(version, 'second'));
  }
  await sleepMs(600);
  t.deepEqual(
    await Promise.all(gateways.map((each) => requestStatus(each, FIRST_KEY))),
    [401, 401, 401],
  );
  store.behavior = 'resets';
  await sleepMs(400);
  store.restore(performance.now() - settledAtMs - 100);
  store.behavior = 'answers';
  await sleepMs(500);
  t.deepEqual(
    await Promise.all(gateways.map((each) => requestStatus(each, FIRST_KEY))),
    [401, 401, 401],
  );
  store.put('op/config', configuration(30, 'second'));
  await sleepMs(500);
  store.put('op/config', configuration(31, 'third'));
  const [draining] = backends;
  store.announce(draining!.id, { address: draining!.address, state: 'draining', sequence: 2 });
  await sleepMs(BOUND_MS);
  const received = draining!.received.length;
  for (let round = 0; round < 5; round += 1) {
    const statuses = await Promise.all(gateways.map((each) => requestStatus(each, 'third')));
    t.deepEqual(statuses, [200, 200, 200]);
  }
  t.deepEqual(
    await Promise.all(gateways.map((each) => requestStatus(each, 'second'))),
    [401, 401, 401],
  );
  t.is(draining!.received.length, received);
});
