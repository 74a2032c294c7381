import { connect } from 'node:net';
import type { ServerResponse } from 'node:http';
import test from 'ava';
import { request } from 'undici';
import { PlatformStore } from '../platform/store-client.js';
import { platformGateways } from './support/platform-gateway.js';
import type { RunningGateway } from './support/platform-gateway.js';
import { StandinStore, StandinWorker } from './support/platform-standin.js';

const HOST = '127.0.3.1';
/** Ports below those that the system hands out, on an address of this file's own: nobody else takes them. */
const { start: startGateway, isReady } = platformGateways(HOST, 28_000);
const KEY = 'secret-key';

async function until(isTrue: () => Promise<boolean> | boolean): Promise<void> {
  const endAt = Date.now() + 8_000;
  while (!(await isTrue())) {
    if (Date.now() > endAt) {
      throw new Error('did not come true in 8 s');
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
  const answer = await call(gateway, headers);
  await answer.body.dump();
  return answer.statusCode;
}

function answerWell(_seen: unknown, response: ServerResponse): void {
  response.writeHead(200, { 'X-Weirvale-Server-Seal': 'seal' });
  response.end('good');
}

test('a request reaches its worker unchanged, under the key’s tenant and what is left of the time', async (t) => {
  const store = new StandinStore();
  const worker = new StandinWorker('w-1', answerWell);
  store.put('op/config', configuration(1));
  store.announce('w-1', { service: 's', address: await worker.start(), slots: 2 });
  const gateway = await startGateway('g', await store.start());
  await until(() => isReady(gateway));
  const answer = await call(gateway);
  t.is(answer.statusCode, 200);
  t.is(await answer.body.text(), 'good');
  t.is(answer.headers['x-weirvale-server-seal'], 'seal');
  const seen = worker.received[0]!;
  t.deepEqual([seen.method, seen.path, seen.body], ['POST', '/a/x?y=1', 'the body']);
  t.is(seen.headers['x-weirvale-attempt-id'], 'id-1');
  t.is(seen.headers['x-weirvale-tenant'], 'shop');
  t.is(seen.headers['x-weirvale-expect-instance'], 'w-1');
  t.is(seen.headers.authorization, undefined);
  const leftMs = Number(seen.headers['x-weirvale-deadline-ms']);
  t.true(leftMs > 1_000 && leftMs <= 1_500);
  gateway.gateway.stop(() => undefined);
  worker.stop();
  store.stop();
});

test('no configuration, no route and an unknown key have their typed answers', async (t) => {
  const store = new StandinStore();
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

test('a configuration that cannot be read leaves the last one in force, and versions never fall', async (t) => {
  const store = new StandinStore();
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

test('a change made while the watch was cut and its history dropped is in force within a second', async (t) => {
  const store = new StandinStore();
  store.put('op/config', configuration(1));
  const gateway = await startGateway('g', await store.start());
  await until(() => isReady(gateway));
  store.mood = 'silent';
  store.put('op/config', configuration(2, { tenants: [{ name: 'shop', apiKeys: ['new'] }] }));
  store.forgetHistory();
  store.mood = 'answers';
  const startedAt = Date.now();
  await until(async () => (await statusOf(gateway)) === 401);
  t.true(Date.now() - startedAt < 1_000);
  gateway.gateway.stop(() => undefined);
  store.stop();
});

test('a gateway that cannot know whether a route or a key exists claims nothing of them', async (t) => {
  const store = new StandinStore();
  const worker = new StandinWorker('w-1', answerWell);
  store.put('op/config', configuration(1));
  store.announce('w-1', { service: 's', address: await worker.start(), slots: 2 });
  const gateway = await startGateway('g', await store.start());
  await until(() => isReady(gateway));
  const callsBefore = store.calls.length;
  const started = Date.now();
  while (Date.now() - started < 1_000) {
    t.is(await statusOf(gateway, { host: 'other.example' }), 404);
    t.is(await statusOf(gateway, { authorization: 'Bearer other' }), 401);
  }
  t.true(store.calls.length - callsBefore <= 3, 'requests for what never existed cause no calls');
  store.mood = 'silent';
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
  store.mood = 'answers';
  await until(async () => (await statusOf(gateway, { authorization: 'Bearer other' })) === 200);
  t.is(await statusOf(gateway, { host: 'other.example' }), 404);
  gateway.gateway.stop(() => undefined);
  worker.stop();
  store.stop();
});

test('a gateway that the store turns away learns of drains and configurations from its peers', async (t) => {
  const [store, darkStore] = [new StandinStore(), new StandinStore()];
  darkStore.mood = 'refuses';
  const [leaving, staying] = [
    new StandinWorker('w-1', answerWell),
    new StandinWorker('w-2', answerWell),
  ];
  const leavingAddress = await leaving.start();
  store.put('op/config', configuration(1));
  store.announce('w-1', { service: 's', address: leavingAddress, slots: 2 });
  const informed = await startGateway('g-1', await store.start());
  const dark = await startGateway('g-2', await darkStore.start(), [informed.peers]);
  await until(() => isReady(dark));
  t.is(await statusOf(dark), 200);
  const stayingAddress = await staying.start();
  store.announce('w-1', {
    service: 's',
    address: leavingAddress,
    slots: 2,
    state: 'draining',
  });
  // Whoever knows this change knows the drain, which has the lower revision.
  store.announce('w-2', { service: 's', address: stayingAddress, slots: 2 });
  await until(async () => (await statusOf(dark)) === 200 && staying.received.length > 0);
  const before = leaving.received.length;
  for (let index = 0; index < 5; index += 1) {
    t.is(await statusOf(dark), 200);
  }
  t.is(leaving.received.length, before);
  [informed, dark].forEach(({ gateway }) => gateway.stop(() => undefined));
  [leaving, staying].forEach((worker) => worker.stop());
  [store, darkStore].forEach((each) => each.stop());
});

/** Whether a gateway has learned that a zone is to get nothing. */
function knowsEvacuated({ gateway }: RunningGateway, zone: string): boolean {
  const inside = gateway as unknown as {
    readonly evacuations: { readonly zones: { isEvacuated(zone: string): boolean } };
  };
  return inside.evacuations.zones.isEvacuated(zone);
}

test('an evacuation reaches every gateway, also one that the store turns away or that starts, and ends with its record', async (t) => {
  const [store, darkStore] = [new StandinStore(), new StandinStore()];
  darkStore.mood = 'refuses';
  const [inside, outside] = [
    new StandinWorker('w-1', answerWell),
    new StandinWorker('w-2', answerWell),
  ];
  store.put('op/config', configuration(1));
  const worker = async (each: StandinWorker, zone: string) =>
    store.announce(each.id, { service: 's', address: await each.start(), slots: 9, zone });
  await worker(inside, 'za');
  await worker(outside, 'zb');
  const [address, darkAddress] = [await store.start(), await darkStore.start()];
  const informed = await startGateway('g-1', address);
  const started = [informed];
  // Also after a failure: what goes on running would keep the process from ending.
  t.teardown(() => {
    started.forEach(({ gateway }) => gateway.stop(() => undefined));
    [inside, outside].forEach((each) => each.stop());
    [store, darkStore].forEach((each) => each.stop());
  });
  const dark = await startGateway('g-2', darkAddress, [informed.peers]);
  started.push(dark);
  await until(async () => (await isReady(dark)) && (await isReady(informed)));
  const sentInside = async (...gateways: RunningGateway[]) => {
    const before = inside.received.length;
    for (let index = 0; index < 20; index += 1) {
      for (const gateway of gateways) {
        t.is(await statusOf(gateway), 200);
      }
    }
    return inside.received.length - before;
  };
  t.true((await sentInside(informed, dark)) > 0);
  // Neither a zone that nobody knows, nor an order without a zone, nor one taken back at once, does any harm.
  store.put('op/evacuate/nowhere', {});
  store.put('op/evacuate/', {});
  store.put('op/evacuate/zb', {});
  store.remove('op/evacuate/zb');
  store.put('op/evacuate/za', {});
  store.remove('op/evacuate/za');
  store.put('op/evacuate/za', {});
  // That nothing goes there for a moment may be chance, and whoever starts learns only what these two know.
  await until(() => Promise.resolve([informed, dark].every((each) => knowsEvacuated(each, 'za'))));
  t.is(await sentInside(informed, dark), 0);
  const late = await startGateway('g-3', address);
  const lateAndDark = await startGateway('g-4', darkAddress, [informed.peers]);
  started.push(late, lateAndDark);
  await until(() => isReady(late));
  t.is(await sentInside(late), 0);
  await until(() => isReady(lateAndDark));
  t.is(await sentInside(lateAndDark), 0);
  store.put('op/evacuate/zb', {});
  const all = [informed, dark, late, lateAndDark];
  await until(async () =>
    (await Promise.all(all.map((each) => statusOf(each)))).every((status) => status === 503),
  );
  // The removal is lost with the history: a listing takes its place. The other zone stays evacuated, so that
  // only the one that was taken back can answer.
  store.mood = 'silent';
  store.remove('op/evacuate/za');
  store.forgetHistory();
  store.mood = 'answers';
  for (const gateway of all) {
    await until(async () => (await statusOf(gateway)) === 200);
    t.is(await sentInside(gateway), 20);
  }
});

test('a worker found to be another one is not asked for the same again, and the request goes on', async (t) => {
  const store = new StandinStore();
  const worker = new StandinWorker('w-new', answerWell);
  const address = await worker.start();
  store.put('op/config', configuration(1));
  store.announce('w-new', { service: 's', address, slots: 2 });
  store.announce('w-old', { service: 's', address, slots: 2 });
  const gateway = await startGateway('g', await store.start());
  await until(() => isReady(gateway));
  t.is(await statusOf(gateway), 200);
  t.is(await statusOf(gateway), 200);
  t.is(worker.received.length, 3);
  gateway.gateway.stop(() => undefined);
  worker.stop();
  store.stop();
});

test('a planned stop turns readiness off at once, serves on, and ends what runs', async (t) => {
  const store = new StandinStore();
  const worker = new StandinWorker('w-1', (_seen, response) => {
    setTimeout(() => answerWell(undefined, response), 300);
  });
  store.put('op/config', configuration(1));
  store.announce('w-1', { service: 's', address: await worker.start(), slots: 2 });
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
  worker.stop();
  store.stop();
});

test('a request smuggled behind a body reaches no worker', async (t) => {
  const store = new StandinStore();
  const worker = new StandinWorker('w-1', answerWell);
  store.put('op/config', configuration(1));
  store.announce('w-1', { service: 's', address: await worker.start(), slots: 2 });
  const gateway = await startGateway('g', await store.start());
  await until(() => isReady(gateway));
  const [, , authority] = gateway.callers.split('/');
  const [host, port] = authority!.split(':');
  const answer = await new Promise<string>((resolve) => {
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
  t.true(answer.startsWith('HTTP/1.1 400'));
  t.is(worker.received.length, 0);
  gateway.gateway.stop(() => undefined);
  worker.stop();
  store.stop();
});

test('an ordered roll-out is told in the store, and the new version gets a small share', async (t) => {
  const store = new StandinStore();
  const [old, target] = [
    new StandinWorker('w-1', answerWell),
    new StandinWorker('w-2', answerWell),
  ];
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
  [old, target].forEach((worker) => worker.stop());
  store.stop();
});

test('records of the store are read in pages', async (t) => {
  const standin = new StandinStore();
  for (let index = 0; index < 8; index += 1) {
    standin.put(`servers/w-${index}`, { service: 's', address: '10.0.0.1:1' });
  }
  standin.remove('servers/w-3');
  const read = (await new PlatformStore(await standin.start(), 500).list()).unwrap();
  t.is(read.records.length, 7);
  t.is(read.revision, 9);
  standin.stop();
});
