import test from 'ava';
import { request } from 'undici';
import { decodeRecord } from '../platform/record-formats.js';
import { PeerMesh } from '../src/cluster/peer-mesh.js';
import type { PeerHello } from '../src/cluster/peer-messages.js';
import { SYSTEM_CLOCK } from '../src/clock.js';
import { SeededRandom } from '../src/random.js';
import { FakeStore } from './support/fake-platform.js';
import { platformGateways } from './support/platform-gateway.js';
import { RawBackend, wholeResponse } from './support/raw-backend.js';
import { positionAt } from './support/store-positions.js';

const HOST = '127.0.3.52';
/** Ports below the ephemeral range, on an address that only this file uses, to avoid conflicts. */
const { start: startGateway, untilReady } = platformGateways(HOST, 28_000);
const REQUESTS = 30;

const ROUTE = {
  name: 'r',
  host: 'a.example',
  pathPrefix: '/a/',
  kind: 'safe',
  timeoutMs: 2_000,
  targetLatencyMs: 500,
  maxAttempts: 2,
  service: 's',
};
const CONFIGURATION = {
  version: 1,
  routes: [ROUTE],
  services: [{ name: 's', maxConnections: 50 }],
};

function decode(key: string, value: unknown) {
  return decodeRecord({ key, ...positionAt(1), value: JSON.stringify(value) });
}

for (const [name, id] of [
  ['beyond one byte', 'w-9\ufffd'],
  ['that control terminals', 'w-9\u0007'],
  ['of white space', 'w 9'],
] as const) {
  test(`a backend record whose name has characters ${name} ends no gateway and gets no request`, async (t) => {
    const store = new FakeStore();
    const sound = new RawBackend(({ id: requestId }, socket) => {
      socket.write(wholeResponse(requestId, 'good'));
    });
    const named = new RawBackend(({ id: requestId }, socket) => {
      socket.write(wholeResponse(requestId, 'odd'));
    });
    store.put('op/config', CONFIGURATION);
    store.announce('w-1', { address: await sound.start(), slots: 4 });
    store.announce(id, { address: await named.start(), slots: 50 });
    const gateway = await startGateway('g', await store.start());
    t.teardown(() => {
      gateway.gateway.stop(() => undefined);
      [sound, named].forEach((backend) => backend.stop());
      store.stop();
    });
    await untilReady([gateway]);
    const statuses = new Set<number>();
    for (let count = 0; count < REQUESTS; count += 1) {
      const headers = { host: 'a.example', 'x-weirvale-attempt-id': `id-${count}` };
      const response = await request(`${gateway.callers}/a/`, { headers });
      await response.body.dump();
      statuses.add(response.statusCode);
    }
    t.deepEqual([...statuses], [200]);
    t.is(named.receivedIds.length, 0);
  });
}

test('the refusal of a malformed configuration names the fields that are wrong', (t) => {
  const decoded = decode('op/config', {
    version: 2,
    routes: [{ ...ROUTE, host: 7 }, null],
    tenants: [{ name: 'shop', apiKeys: 5 }],
  });
  t.is(decoded.kind, 'invalid');
  const { problem } = decoded as { problem: string };
  for (const path of ['routes.0.host', 'routes.1', 'tenants.0.apiKeys']) {
    t.true(problem.includes(path), problem);
  }
});

test('a tenant whose name no header can carry makes the configuration invalid', (t) => {
  const tenants = [{ name: '東京', apiKeys: ['k'] }];
  t.is(decode('op/config', { ...CONFIGURATION, tenants }).kind, 'invalid');
});

test('numbers that no timer can hold do not pass the decoder', (t) => {
  const text = JSON.stringify({ ...CONFIGURATION, routes: [{ ...ROUTE, timeoutMs: 1e15 }] });
  const decoded = decodeRecord({ key: 'op/config', ...positionAt(1), value: text });
  t.is(decoded.kind, 'configuration');
  if (decoded.kind === 'configuration') {
    t.true(decoded.configuration.routes[0]!.timeoutMs < 2 ** 31);
  }
  const endless = '{"targetVersion":"v2","durationS":1e999}';
  t.is(decodeRecord({ key: 'op/rollout/s', ...positionAt(1), value: endless }).kind, 'invalid');
});

test('a peer address that is none is not connected to and ends no process', async (t) => {
  const self: PeerHello = {
    kind: 'hello',
    role: 'gateway',
    name: 'g',
    incarnation: 'g.1',
    address: '',
    zone: 'z',
  };
  const mesh = new PeerMesh(
    self,
    [],
    {
      onMessage: () => undefined,
      onReply: () => undefined,
      onOpened: () => undefined,
      onPeerChange: () => undefined,
    },
    SYSTEM_CLOCK,
    new SeededRandom(1),
  );
  t.teardown(() => mesh.stop());
  const malformed = ['', 'nowhere', '127.0.0.1:0', '127.0.0.1:99999', 'a.example:80', 7, null];
  t.notThrows(() => mesh.addAddresses(malformed as string[]));
  t.is(mesh.size, 1);
});
