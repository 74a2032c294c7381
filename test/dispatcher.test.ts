import test from 'ava';
import { headerValue } from '../src/http/header-value.js';
import { pairHash } from '../src/pair-hash.js';
import { KnownBackend } from '../src/gateway/dispatch/known-backend.js';
import { hasFreeCapacity } from '../src/gateway/dispatch/slot-capacity.js';
import { backendOf, GatewayHarness, routeOf } from './support/gateway-harness.js';

const SECOND = routeOf({ kind: 'unsafe', priority: 2, targetLatencyMs: 1_000 });
const FIRST = routeOf({ kind: 'unsafe', priority: 0 });

function usedBackends(world: GatewayHarness): string[] {
  return world.attempts.map(({ backend }) => backend.id);
}

/** Creates a gateway with one engine whose connected agent reports that every slot is occupied. */
function createWorldWithFullEngine(): GatewayHarness {
  const world = new GatewayHarness(backendOf('a'));
  world.engines = true;
  world.dispatcher.connectAgent('a', 0);
  world.dispatcher.receiveFromAgent(
    'a',
    {
      kind: 'state',
      failureShare: 0,
      availability: 'open',
      occupied: 2,
      messagesSeen: 0,
      speed: {},
    },
    0,
  );
  return world;
}

test('requests go to the backend with the fastest expected response', (t) => {
  const world = new GatewayHarness(backendOf('slow'), backendOf('fast'));
  world.dispatcher.learnSpeed('slow', 1, 50);
  world.dispatcher.learnSpeed('fast', 1, 10);
  world.request();
  world.request();
  t.deepEqual(usedBackends(world), ['fast', 'fast']);
});

test('a draining or unlisted backend gets no requests while others are ready', (t) => {
  const world = new GatewayHarness(backendOf('a'), backendOf('b'), backendOf('c'));
  world.dispatcher.updateBackend('a', backendOf('a', { state: 'draining' }), 0);
  world.dispatcher.updateBackend('b', undefined, 0);
  world.request();
  world.request();
  t.deepEqual(usedBackends(world), ['c', 'c']);
});

test('when every backend is unlisted at once, all stay usable for a grace period', async (t) => {
  const world = new GatewayHarness(backendOf('a'));
  world.dispatcher.updateBackend('a', undefined, 0);
  world.request();
  t.deepEqual(usedBackends(world), ['a']);
  await world.clock.runUntil(1_600);
  world.request();
  t.is(world.attempts.length, 1);
});

test('an unlisted backend that was draining is never used', (t) => {
  const world = new GatewayHarness(backendOf('a', { state: 'draining' }));
  world.dispatcher.updateBackend('a', undefined, 0);
  world.request();
  t.is(world.attempts.length, 0);
});

test('a freed slot goes to the waiting request of the highest tier', (t) => {
  const world = new GatewayHarness(backendOf('a', { slots: 1 }));
  world.request({ requestId: headerValue('running') });
  world.request({ route: SECOND, path: '/second' });
  world.request({ route: FIRST, path: '/first' });
  world.answer(0, 200, '');
  t.is(world.attempts[1]!.path, '/first');
});

test('a grant of a full engine serves the request that is first in the queue when it arrives', (t) => {
  const world = createWorldWithFullEngine();
  world.request({ route: SECOND, path: '/second' });
  t.deepEqual(world.agentMessages.at(-1)?.[1].kind, 'demand');
  world.request({ route: FIRST, path: '/first' });
  world.dispatcher.receiveFromAgent('a', { kind: 'granted' }, 0);
  t.deepEqual(
    world.attempts.map(({ path }) => path),
    ['/first'],
  );
});

test('a grant without a waiting request is returned', (t) => {
  const world = createWorldWithFullEngine();
  world.dispatcher.receiveFromAgent('a', { kind: 'granted' }, 0);
  t.deepEqual(world.agentMessages.at(-1), ['a', { kind: 'grant-returned' }]);
});

test('a taken slot that the agent state does not include yet counts as occupied', (t) => {
  const world = new GatewayHarness(backendOf('a'));
  world.engines = true;
  world.dispatcher.connectAgent('a', 0);
  world.request({ route: SECOND });
  world.request({ route: SECOND });
  world.dispatcher.receiveFromAgent(
    'a',
    {
      kind: 'state',
      failureShare: 0,
      availability: 'open',
      occupied: 1,
      messagesSeen: 1,
      speed: {},
    },
    0,
  );
  world.request({ route: SECOND });
  t.is(world.attempts.length, 2);
});

test('without a connected agent each gateway uses only its share of the slots of an engine', async (t) => {
  const world = new GatewayHarness(backendOf('a', { slots: 8 }));
  world.engines = true;
  world.gateways = 2;
  for (let index = 0; index < 9; index += 1) {
    world.request({ route: SECOND });
  }
  await world.clock.runUntil(190);
  world.dispatcher.tick(190);
  t.is(world.attempts.length, 5);
});

test('when gateways outnumber the slots of an engine without an agent, only some send to it', (t) => {
  const inputs = { isEngine: true, gateways: 27, shareWithoutAgent: 1.25 };
  const engine = new KnownBackend(backendOf('a', { slots: 10 }), 0);
  const names = Array.from({ length: 27 }, (_unused, index) => `gateway-${index}`);
  const allowed = names.filter((name) =>
    hasFreeCapacity(engine, { ...inputs, shareHash: pairHash(name, 'a') }, 1_000),
  );
  t.true(allowed.length >= 8 && allowed.length <= 17, `${allowed.length}`);
});

test('a new engine gets no requests until its agent connects, refuses or times out', (t) => {
  const world = new GatewayHarness(backendOf('a'), backendOf('b'), backendOf('c'));
  world.engines = true;
  for (let index = 0; index < 6; index += 1) {
    world.request({ route: SECOND });
  }
  t.is(world.attempts.length, 0);
  world.dispatcher.connectAgent('a', 5);
  world.dispatcher.tick(5);
  t.deepEqual(usedBackends(world), ['a', 'a']);
  world.dispatcher.disconnectAgent('b', 6);
  t.deepEqual([...new Set(usedBackends(world))], ['a', 'b']);
  world.dispatcher.tick(160);
  t.true(usedBackends(world).includes('c'));
});

test('an ejected backend gets no requests, unless all backends are ejected', (t) => {
  const world = new GatewayHarness(backendOf('bad', { slots: 9 }), backendOf('good', { slots: 9 }));
  for (let index = 0; index < 5; index += 1) {
    world.dispatcher.finish('bad', 'failed', 0);
  }
  world.request({ route: SECOND });
  t.deepEqual(usedBackends(world), ['good']);
  for (let index = 0; index < 5; index += 1) {
    world.dispatcher.finish('good', 'failed', 0);
  }
  world.request({ route: SECOND });
  t.is(world.attempts.length, 2);
});

test('of two incarnations at one address only the one announced later is used', (t) => {
  const world = new GatewayHarness(
    backendOf('new', { address: '10.0.0.1:80', revision: 8 }),
    backendOf('old', { address: '10.0.0.1:80', revision: 5 }),
  );
  world.request();
  world.request();
  t.deepEqual(usedBackends(world), ['new', 'new']);
});

test('an incarnation replaced at its address is not used, even if announced later', (t) => {
  const world = new GatewayHarness(
    backendOf('alive', { address: '10.0.0.1:80', revision: 5 }),
    backendOf('ended', { address: '10.0.0.1:80', revision: 8 }),
  );
  const { reply } = world.request({ route: SECOND });
  world.answer(0, 421, '');
  world.answer(1, 200, 'good');
  world.request();
  t.is(reply.body, 'good');
  t.deepEqual(usedBackends(world), ['ended', 'alive', 'alive']);
});

test('a prompt goes to the engine with the higher prompt speed learned by other gateways', (t) => {
  const world = new GatewayHarness(backendOf('slow'), backendOf('fast'));
  world.engines = true;
  for (const [id, msPerToken] of [
    ['slow', 0.09],
    ['fast', 0.02],
  ] as const) {
    world.dispatcher.connectAgent(id, 0);
    const speed = { prefill: { baseMs: 6, msPerToken } };
    world.dispatcher.receiveFromAgent(
      id,
      { kind: 'state', failureShare: 0, availability: 'open', occupied: 0, messagesSeen: 0, speed },
      0,
    );
  }
  world.request({ route: SECOND, promptTokens: 4_000 });
  t.deepEqual(usedBackends(world), ['fast']);
});

test('a long prompt is not sent where it would pause other streams for too long', async (t) => {
  const world = new GatewayHarness(backendOf('a'));
  world.engines = true;
  const route = routeOf({ kind: 'stream', targetLatencyMs: 900, maxPauseMs: 200 });
  world.dispatcher.connectAgent('a', 0);
  const speed = { prefill: { baseMs: 6, msPerToken: 0.09 }, eventMs: 50 };
  world.dispatcher.receiveFromAgent(
    'a',
    { kind: 'state', failureShare: 0, availability: 'open', occupied: 1, messagesSeen: 0, speed },
    0,
  );
  world.request({ route, promptTokens: 4_000, path: '/long' });
  world.request({ route, promptTokens: 500, path: '/short' });
  t.deepEqual(
    world.attempts.map(({ path }) => path),
    ['/short'],
  );
});

test('time without waiting requests does not lengthen the expected wait', async (t) => {
  const world = new GatewayHarness(backendOf('a', { slots: 1 }));
  for (let round = 0; round < 12; round += 1) {
    world.request({ route: SECOND });
    world.request({ route: SECOND });
    const running = world.attempts.length - 1;
    await world.clock.runUntil(world.clock.now() + 10);
    world.answer(running, 200, '');
    world.answer(running + 1, 200, '');
    await world.clock.runUntil(world.clock.now() + 5_000);
  }
  world.request({ route: SECOND });
  const waiting = {
    service: 's',
    allowedRegions: undefined,
    requiredVersion: undefined,
    tier: 2,
    rankInTier: 0,
    arrivedAtMs: world.clock.now(),
    startByMs: world.clock.now() + 1_000,
    units: 1,
    promptTokens: 0,
    firstDueAtMs: 0,
    maxPauseMs: 0,
    isRepeatable: false,
    excluded: new Set<string>(),
    onPlaced: () => undefined,
  };
  world.dispatcher.submit(waiting, world.clock.now());
  t.true(world.dispatcher.forecastOf('s').expectedWaitMs(waiting, world.clock.now()) < 20);
});

test('a request goes to an engine without recent failures, even if another is faster', (t) => {
  const world = new GatewayHarness(backendOf('fast'), backendOf('slow'));
  const state = { kind: 'state' as const, occupied: 0, messagesSeen: 0 };
  const speedOf = (msPerToken: number) => ({ prefill: { baseMs: 0, msPerToken }, msPerUnit: 0.01 });
  for (const id of ['fast', 'slow']) {
    world.dispatcher.connectAgent(id, 0);
  }
  const reportState = (id: string, msPerToken: number, failureShare: number) =>
    world.dispatcher.receiveFromAgent(
      id,
      { ...state, speed: speedOf(msPerToken), failureShare, availability: 'open' },
      0,
    );
  const route = routeOf({ kind: 'stream', targetLatencyMs: 1_000 });
  reportState('fast', 0.01, 0.05);
  reportState('slow', 0.1, 0);
  world.request({ route, promptTokens: 1_000 });
  t.is(world.attempts.at(-1)!.backend.id, 'fast');
  reportState('fast', 0.01, 0.3);
  world.request({ route, promptTokens: 1_000 });
  t.is(world.attempts.at(-1)!.backend.id, 'slow');
});

test('failures of a backend without an agent raise its cost and decay within seconds', async (t) => {
  const world = new GatewayHarness(backendOf('a', { slots: 8 }), backendOf('b', { slots: 8 }));
  const failing = world.directory.find('a')!;
  for (let index = 0; index < 4; index += 1) {
    failing.noteOutcome(true, 0);
  }
  world.request();
  t.is(world.attempts.at(-1)!.backend.id, 'b');
  t.true(failing.failureShare(0) > 0.4);
  await world.clock.runUntil(12_000);
  t.true(failing.failureShare(12_000) < 0.05);
});

test('an engine that its agent reports as closed gets no requests until it is open again', (t) => {
  const world = new GatewayHarness(backendOf('a'));
  world.engines = true;
  world.dispatcher.connectAgent('a', 0);
  const state = {
    kind: 'state',
    failureShare: 0,
    occupied: 0,
    messagesSeen: 0,
    speed: {},
  } as const;
  world.dispatcher.receiveFromAgent('a', { ...state, availability: 'closed' }, 0);
  world.request();
  t.is(world.attempts.length, 0);
  world.dispatcher.receiveFromAgent('a', { ...state, availability: 'open' }, 0);
  t.is(world.attempts.length, 1);
});

test('an engine on trial is probed with a repeatable request', (t) => {
  const world = new GatewayHarness(backendOf('failing'), backendOf('busy', { slots: 1 }));
  world.engines = true;
  const state = {
    kind: 'state',
    failureShare: 0,
    occupied: 0,
    messagesSeen: 0,
    speed: {},
  } as const;
  for (const id of ['failing', 'busy']) {
    world.dispatcher.connectAgent(id, 0);
  }
  world.dispatcher.receiveFromAgent('failing', { ...state, availability: 'trial' }, 0);
  world.dispatcher.receiveFromAgent('busy', { ...state, occupied: 1, availability: 'open' }, 0);
  world.request({ route: FIRST, path: '/once' });
  t.is(world.attempts.length, 0);
  world.request({ path: '/repeatable' });
  t.deepEqual(usedBackends(world), ['failing']);
  t.is(world.attempts[0]!.path, '/repeatable');
});

test('a grant of an engine on trial goes to a repeatable request, else to the last in the queue', (t) => {
  const world = createWorldWithFullEngine();
  const state = { kind: 'state', failureShare: 0, messagesSeen: 0, speed: {} } as const;
  world.dispatcher.receiveFromAgent('a', { ...state, occupied: 2, availability: 'trial' }, 0);
  world.request({ route: FIRST, path: '/first' });
  world.request({ route: SECOND, path: '/second' });
  world.dispatcher.receiveFromAgent('a', { kind: 'granted' }, 0);
  t.is(world.attempts[0]!.path, '/second');
  world.request({ path: '/repeatable' });
  world.dispatcher.receiveFromAgent('a', { kind: 'granted' }, 0);
  t.is(world.attempts[1]!.path, '/repeatable');
});
