import { connect } from 'node:net';
import type { ServerResponse } from 'node:http';
import test from 'ava';
import { request } from 'undici';
import { PlatformStore } from '../platform/store-client.js';
import { platformGateways } from './support/platform-gateway.js';
import type { RunningGateway } from './support/platform-gateway.js';
import { FakeStore, FakeBackend } from './support/fake-platform.js';

const HOST = '127.0.3.1';
/** Ports below the ephemeral range, on an address that only this file uses, to avoid conflicts. */
const { start: startGateway, isReady } = platformGateways(HOST, 28_000);
const KEY = 'secret-key';

async function until(condition: () => Promise<boolean> | boolean): Promise<void> {
  const endAt = Date.now() + 8_000;
  while (!(await condition())) {
    if (Date.now() > endAt) {
      throw new Error('the condition did not become true within 8 s');
    }
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
}

function configuration(version: number, changes: object = {}): object {
  return {
    version,
    routes: [
      {
        name: 'r',
        host: 'a.example',
        pathPrefix: '/a/',
        kind: 'safe',
        timeoutMs: 2_000,
        targetLatencyMs: 500,
        maxAttempts: 2,
        service: 's',
      },
    ],
    services: [{ name: 's', maxConnections: 9 }],
    tenants: [{ name: 'shop', apiKeys: [KEY] }],
    ...changes,
  };
}

function call(gateway: RunningGateway, headers: Record<string, string> = {}, path = '/a/x?y=1') {
  return request(`${gateway.callers}${path}`, {
    method: 'POST',
    body: 'the body',
    headers: {
      host: 'a.example',
      authorization: `Bearer ${KEY}`,
      'x-weirvale-attempt-id': 'id-1',
      'x-weirvale-deadline-ms': '1500',
      'x-weirvale-tenant': 'forged',
      'x-weirvale-expect-instance': 'forged',
      ...headers,
    },
  });
}

async function statusOf(gateway: RunningGateway, headers: Record<string, string> = {}) {
  const response = await call(gateway, headers);
  await response.body.dump();
  return response.statusCode;
}

function respondOk(_seen: unknown, response: ServerResponse): void {
  response.writeHead(200, { 'X-Weirvale-Server-Seal': 'seal' });
  response.end('good');
}

test("a backend gets the request unchanged, with the key's tenant and time left", async (t) => {
  const store = new FakeStore();
  const backend = new FakeBackend('w-1', respondOk);
  store.put('op/config', configuration(1));
  store.announce('w-1', { service: 's', address: await backend.start(), slots: 2 });
  const gateway = await startGateway('g', await store.start());
  await until(() => isReady(gateway));
  const response = await call(gateway);
  t.is(response.statusCode, 200);
  t.is(await response.body.text(), 'good');
  t.is(response.headers['x-weirvale-server-seal'], 'seal');
  const seen = backend.received[0]!;
  t.deepEqual([seen.method, seen.path, seen.body], ['POST', '/a/x?y=1', 'the body']);
  t.is(seen.headers['x-weirvale-attempt-id'], 'id-1');
  t.is(seen.headers['x-weirvale-tenant'], 'shop');
  t.is(seen.headers['x-weirvale-expect-instance'], 'w-1');
  t.is(seen.headers.authorization, undefined);
  const leftMs = Number(seen.headers['x-weirvale-deadline-ms']);
  t.true(leftMs > 1_000 && leftMs <= 1_500);
  gateway.gateway.stop(() => undefined);
  backend.stop();
  store.stop();
});

test('a missing configuration gives 503, an unknown route 404, an unknown key 401', async (t) => {
  const store = new FakeStore();
  const gateway = await startGateway('g', await store.start());
  t.false(await isReady(gateway));
  t.is(await statusOf(gateway), 503);
  store.put('op/config', configuration(1));
  await until(() => isReady(gateway));
  t.is(await statusOf(gateway, { host: 'other.example' }), 404);
  t.is(await statusOf(gateway, { authorization: 'Bearer other' }), 401);
  gateway.gateway.stop(() => undefined);
  store.stop();
});

test('an invalid configuration or a lower version leaves the current one in force', async (t) => {
  const store = new FakeStore();
  store.put('op/config', configuration(3));
  const gateway = await startGateway('g', await store.start());
  await until(() => isReady(gateway));
  store.put('op/config', { version: 'four', routes: 7 });
  store.put('op/config', configuration(2, { tenants: [{ name: 'old', apiKeys: ['old-key'] }] }));
  await new Promise((resolve) => setTimeout(resolve, 200));
  t.is(await statusOf(gateway, { authorization: 'Bearer old-key' }), 401);
  t.not(await statusOf(gateway), 401);
  gateway.gateway.stop(() => undefined);
  store.stop();
});

test('a change made with the watch cut and history dropped is applied within 1 s', async (t) => {
  const store = new FakeStore();
  // Without a backend each request that looks for the change would wait for one before its answer.
  const backend = new FakeBackend('w-1', respondOk);
  store.put('op/config', configuration(1));
  store.announce('w-1', { service: 's', address: await backend.start(), slots: 2 });
  const gateway = await startGateway('g', await store.start());
  await until(() => isReady(gateway));
  await until(async () => (await statusOf(gateway)) === 200);
  store.behavior = 'silent';
  store.put('op/config', configuration(2, { tenants: [{ name: 'shop', apiKeys: ['new'] }] }));
  store.dropHistory();
  store.behavior = 'answers';
  const startedAt = Date.now();
  await until(async () => (await statusOf(gateway)) === 401);
  t.true(Date.now() - startedAt < 1_000);
  gateway.gateway.stop(() => undefined);
  backend.stop();
  store.stop();
});

test('an unknown route or key gives 503 while the configuration is unconfirmed', async (t) => {
  const store = new FakeStore();
  const backend = new FakeBackend('w-1', respondOk);
  store.put('op/config', configuration(1));
  store.announce('w-1', { service: 's', address: await backend.start(), slots: 2 });
  const gateway = await startGateway('g', await store.start());
  await until(() => isReady(gateway));
  const callsBefore = store.calls.length;
  const started = Date.now();
  while (Date.now() - started < 1_000) {
    t.is(await statusOf(gateway, { host: 'other.example' }), 404);
    t.is(await statusOf(gateway, { authorization: 'Bearer other' }), 401);
  }
  t.true(
    store.calls.length - callsBefore <= 3,
    'requests with an unknown route or key cause no store calls',
  );
  store.behavior = 'silent';
  await new Promise((resolve) => setTimeout(resolve, 3_600));
  t.is(await statusOf(gateway), 200);
  const unknown = await call(gateway, { host: 'other.example' });
  t.is(unknown.statusCode, 503);
  t.true(Number(unknown.headers['retry-after']) > 0);
  t.deepEqual(await unknown.body.json(), { error: 'configuration-unconfirmed' });
  t.is(await statusOf(gateway, { authorization: 'Bearer other' }), 503);
  store.put(
    'op/config',
    configuration(2, { tenants: [{ name: 'shop', apiKeys: [KEY, 'other'] }] }),
  );
  store.behavior = 'answers';
  await until(async () => (await statusOf(gateway, { authorization: 'Bearer other' })) === 200);
  t.is(await statusOf(gateway, { host: 'other.example' }), 404);
  gateway.gateway.stop(() => undefined);
  backend.stop();
  store.stop();
});

test('a gateway that the store refuses learns draining backends and configurations from peers', async (t) => {
  const [store, refusingStore] = [new FakeStore(), new FakeStore()];
  refusingStore.behavior = 'refuses';
  const [draining, staying] = [
    new FakeBackend('w-1', respondOk),
    new FakeBackend('w-2', respondOk),
  ];
  const drainingAddress = await draining.start();
  store.put('op/config', configuration(1));
  store.announce('w-1', { service: 's', address: drainingAddress, slots: 2 });
  const connected = await startGateway('g-1', await store.start());
  const disconnected = await startGateway('g-2', await refusingStore.start(), [connected.peers]);
  await until(() => isReady(disconnected));
  t.is(await statusOf(disconnected), 200);
  const stayingAddress = await staying.start();
  store.announce('w-1', {
    service: 's',
    address: drainingAddress,
    slots: 2,
    state: 'draining',
  });
  // A gateway that has this change also has the draining state, which has the lower revision.
  store.announce('w-2', { service: 's', address: stayingAddress, slots: 2 });
  await until(async () => (await statusOf(disconnected)) === 200 && staying.received.length > 0);
  const before = draining.received.length;
  for (let index = 0; index < 5; index += 1) {
    t.is(await statusOf(disconnected), 200);
  }
  t.is(draining.received.length, before);
  [connected, disconnected].forEach(({ gateway }) => gateway.stop(() => undefined));
  [draining, staying].forEach((backend) => backend.stop());
  [store, refusingStore].forEach((each) => each.stop());
});

/** Whether a gateway has the evacuation order of a zone. */
function hasEvacuationOrder({ gateway }: RunningGateway, zone: string): boolean {
  const internals = gateway as unknown as {
    readonly evacuations: { readonly zones: { isEvacuated(zone: string): boolean } };
  };
  return internals.evacuations.zones.isEvacuated(zone);
}

test('every gateway, late or disconnected, applies an evacuation until its removal', async (t) => {
  const [store, refusingStore] = [new FakeStore(), new FakeStore()];
  refusingStore.behavior = 'refuses';
  const [inside, outside] = [new FakeBackend('w-1', respondOk), new FakeBackend('w-2', respondOk)];
  store.put('op/config', configuration(1));
  const announceIn = async (each: FakeBackend, zone: string) =>
    store.announce(each.id, { service: 's', address: await each.start(), slots: 9, zone });
  await announceIn(inside, 'za');
  await announceIn(outside, 'zb');
  const [address, refusingAddress] = [await store.start(), await refusingStore.start()];
  const connected = await startGateway('g-1', address);
  const started = [connected];
  // Runs after a failure too: servers that are still open would keep the process from exiting.
  t.teardown(() => {
    started.forEach(({ gateway }) => gateway.stop(() => undefined));
    [inside, outside].forEach((each) => each.stop());
    [store, refusingStore].forEach((each) => each.stop());
  });
  const disconnected = await startGateway('g-2', refusingAddress, [connected.peers]);
  started.push(disconnected);
  await until(async () => (await isReady(disconnected)) && (await isReady(connected)));
  const sentInside = async (...gateways: RunningGateway[]) => {
    const before = inside.received.length;
    for (let index = 0; index < 20; index += 1) {
      for (const gateway of gateways) {
        t.is(await statusOf(gateway), 200);
      }
    }
    return inside.received.length - before;
  };
  t.true((await sentInside(connected, disconnected)) > 0);
  // An unknown zone, an order without a zone and an order removed at once have no effect.
  store.put('op/evacuate/nowhere', {});
  store.put('op/evacuate/', {});
  store.put('op/evacuate/zb', {});
  store.remove('op/evacuate/zb');
  store.put('op/evacuate/za', {});
  store.remove('op/evacuate/za');
  store.put('op/evacuate/za', {});
  // Waits for the orders themselves: a moment without requests may be chance, and the gateways that
  // start next get only the records that these two have.
  await until(() =>
    Promise.resolve([connected, disconnected].every((each) => hasEvacuationOrder(each, 'za'))),
  );
  t.is(await sentInside(connected, disconnected), 0);
  const late = await startGateway('g-3', address);
  const lateDisconnected = await startGateway('g-4', refusingAddress, [connected.peers]);
  started.push(late, lateDisconnected);
  await until(() => isReady(late));
  t.is(await sentInside(late), 0);
  await until(() => isReady(lateDisconnected));
  t.is(await sentInside(lateDisconnected), 0);
  store.put('op/evacuate/zb', {});
  const all = [connected, disconnected, late, lateDisconnected];
  await until(async () =>
    (await Promise.all(all.map((each) => statusOf(each)))).every((status) => status === 503),
  );
  // The removal is lost with the history, so that only a listing shows it. The other zone stays
  // evacuated, so that only the zone whose order was removed can serve.
  store.behavior = 'silent';
  store.remove('op/evacuate/za');
  store.dropHistory();
  store.behavior = 'answers';
  for (const gateway of all) {
    await until(async () => (await statusOf(gateway)) === 200);
    t.is(await sentInside(gateway), 20);
  }
});

test('a backend that responds with 421 gets no further attempt, and the request is retried on another', async (t) => {
  const store = new FakeStore();
  const backend = new FakeBackend('w-new', respondOk);
  const address = await backend.start();
  store.put('op/config', configuration(1));
  store.announce('w-new', { service: 's', address, slots: 2 });
  store.announce('w-old', { service: 's', address, slots: 2 });
  const gateway = await startGateway('g', await store.start());
  await until(() => isReady(gateway));
  t.is(await statusOf(gateway), 200);
  t.is(await statusOf(gateway), 200);
  t.is(backend.received.length, 3);
  gateway.gateway.stop(() => undefined);
  backend.stop();
  store.stop();
});

test('a planned stop fails readiness at once, but serves late and running requests', async (t) => {
  const store = new FakeStore();
  const backend = new FakeBackend('w-1', (_seen, response) => {
    setTimeout(() => respondOk(undefined, response), 300);
  });
  store.put('op/config', configuration(1));
  store.announce('w-1', { service: 's', address: await backend.start(), slots: 2 });
  const gateway = await startGateway('g', await store.start());
  await until(() => isReady(gateway));
  const running = statusOf(gateway);
  let hasStopped = false;
  gateway.gateway.stop(() => {
    hasStopped = true;
  });
  t.false(await isReady(gateway));
  t.is(await running, 200);
  const late = await call(gateway);
  t.is(await late.body.text(), 'good');
  t.is(late.headers.connection, 'close');
  await until(() => hasStopped);
  backend.stop();
  store.stop();
});

test('a request smuggled behind a body does not reach a backend', async (t) => {
  const store = new FakeStore();
  const backend = new FakeBackend('w-1', respondOk);
  store.put('op/config', configuration(1));
  store.announce('w-1', { service: 's', address: await backend.start(), slots: 2 });
  const gateway = await startGateway('g', await store.start());
  await until(() => isReady(gateway));
  const [, , authority] = gateway.callers.split('/');
  const [host, port] = authority!.split(':');
  const response = await new Promise<string>((resolve) => {
    const socket = connect(Number(port), host);
    let text = '';
    socket.on('data', (bytes) => (text += bytes.toString()));
    socket.on('close', () => resolve(text));
    socket.write(
      `POST /a/ HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer ${KEY}\r\n` +
        'Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n' +
        `GET /a/smuggled HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer ${KEY}\r\n\r\n`,
    );
  });
  t.true(response.startsWith('HTTP/1.1 400'));
  t.is(backend.received.length, 0);
  gateway.gateway.stop(() => undefined);
  backend.stop();
  store.stop();
});

test('a rollout records its state, and the new version gets a small share', async (t) => {
  const store = new FakeStore();
  const [old, target] = [new FakeBackend('w-1', respondOk), new FakeBackend('w-2', respondOk)];
  store.put('op/config', configuration(1));
  store.announce('w-1', { service: 's', address: await old.start(), slots: 9, version: 'v1' });
  store.put('op/rollout/s', { service: 's', targetVersion: 'v2', durationS: 60 });
  store.announce('w-2', {
    service: 's',
    address: await target.start(),
    slots: 9,
    version: 'v2',
  });
  const gateway = await startGateway('g', await store.start());
  await until(() => isReady(gateway));
  for (let index = 0; index < 60; index += 1) {
    t.is(await statusOf(gateway), 200);
  }
  await until(() => store.read('status/rollout/s') !== undefined);
  t.deepEqual(store.read('status/rollout/s'), { state: 'in_progress', targetVersion: 'v2' });
  t.true(target.received.length >= 1 && target.received.length <= 4, `${target.received.length}`);
  gateway.gateway.stop(() => undefined);
  [old, target].forEach((backend) => backend.stop());
  store.stop();
});

test('records of the store are listed in pages', async (t) => {
  const fakeStore = new FakeStore();
  for (let index = 0; index < 8; index += 1) {
    fakeStore.put(`servers/w-${index}`, { service: 's', address: '10.0.0.1:1' });
  }
  fakeStore.remove('servers/w-3');
  const read = (await new PlatformStore(await fakeStore.start(), 500).list()).unwrap();
  t.is(read.records.length, 7);
  t.is(read.revision, 9);
  fakeStore.stop();
});
