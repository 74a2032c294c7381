import fc from 'fast-check';
import test from 'ava';
import { inOrderOfEffect } from '../src/gateway/news-order.js';
import type { DecodedNews } from '../src/gateway/news-order.js';
import { BackendDirectory } from '../src/gateway/dispatch/backend-directory.js';
import { SlotSupply } from '../src/gateway/dispatch/slot-supply.js';
import { GatewayEvacuations } from '../src/gateway/gateway-evacuations.js';
import { Places } from '../src/routing/places.js';
import type { SlotAnswer, SlotDemand } from '../src/slot-agent/slot-messages.js';
import { backendOf, GatewayWorld, routeOf } from './support/gateway.js';
import { at } from './support/positions.js';

const UNSAFE = routeOf({ kind: 'unsafe', targetLatencyMs: 1_000 });
const STREAM = routeOf({ kind: 'stream', isResumable: true });

function usedBackends(world: GatewayWorld): string[] {
  return world.attempts.map(({ backend }) => backend.id);
}

function stateOf(occupied: number): SlotAnswer {
  return {
    kind: 'state',
    failureShare: 0,
    availability: 'open',
    occupied,
    messagesSeen: 0,
    speed: {},
  };
}

/** A gateway before one engine in each of two zones; both are full, and their agents are connected. */
function worldOfFullEngines(): GatewayWorld {
  const world = new GatewayWorld(backendOf('a', { zone: 'za' }), backendOf('b', { zone: 'zb' }));
  world.engines = true;
  for (const id of ['a', 'b']) {
    world.dispatcher.connectAgent(id, 0);
    world.dispatcher.receiveFromAgent(id, stateOf(2), 0);
  }
  return world;
}

function lastDemand(world: GatewayWorld, backendId: string): SlotDemand | undefined {
  const demands = world.toAgents.flatMap(([id, message]) =>
    id === backendId && message.kind === 'demand' ? [message] : [],
  );
  return demands.at(-1);
}

test('a further try does not go to a zone that was evacuated meanwhile', (t) => {
  const world = new GatewayWorld(
    backendOf('a', { zone: 'za' }),
    backendOf('b', { zone: 'zb' }),
    backendOf('c', { zone: 'zc' }),
  );
  world.request();
  const first = usedBackends(world)[0]!;
  const next = ['a', 'b', 'c'].filter((id) => id !== first);
  world.order(`z${next[0]!}`, true);
  world.answer(0, 500, '');
  t.deepEqual(usedBackends(world), [first, next[1]]);
});

test('a stream that breaks is not resumed in a zone that was evacuated meanwhile', (t) => {
  const world = new GatewayWorld(backendOf('a', { zone: 'za' }), backendOf('b', { zone: 'zb' }));
  const { reply } = world.request({ route: STREAM });
  const [first] = usedBackends(world);
  world.order(first === 'a' ? 'zb' : 'za', true);
  const { handlers } = world.attempts[0]!;
  const headers = { 'content-type': 'text/event-stream' };
  handlers.onHead({ status: 200, rawHeaders: [], headers });
  handlers.onData(Buffer.from('id: 1\ndata: x\n\n'));
  handlers.onFailure({ mayHaveRun: true, isPortClosed: false, detail: 'broken' });
  t.is(world.attempts.length, 1);
  t.true(reply.isAborted);
});

test('what runs in an evacuated zone goes on to its end', (t) => {
  const world = new GatewayWorld(backendOf('a', { zone: 'za' }));
  const { reply } = world.request();
  world.order('za', true);
  t.false(world.attempts[0]!.isCancelled);
  world.answer(0, 200, 'whole');
  t.is(reply.body, 'whole');
});

test('a request that waits for a connection to an evacuated zone goes elsewhere, unsent', (t) => {
  const world = new GatewayWorld(backendOf('a', { zone: 'za', slots: 1 }));
  world.connecting.add('a');
  const { request } = world.request({ route: UNSAFE });
  world.dispatcher.updateBackend('b', backendOf('b', { zone: 'zb' }), 0);
  t.false(request.withdrawUnsent());
  world.order('za', true);
  t.true(request.withdrawUnsent());
  t.true(world.attempts[0]!.isCancelled);
  t.deepEqual(usedBackends(world), ['a', 'b']);
});

test('an order leaves alone what waits for a connection within the share of a roll-out that is used up', (t) => {
  const world = new GatewayWorld(backendOf('a', { zone: 'za' }));
  world.connecting.add('a');
  const { request } = world.request({ route: UNSAFE });
  world.versionUses.set('v1', 'closed');
  world.order('zb', true);
  t.false(request.withdrawUnsent());
  t.false(world.attempts[0]!.isCancelled);
});

test('news that came together: evacuations first, back ends last', (t) => {
  const news = ['backend', 'rollout-order', 'evacuation', 'configuration', 'backend', 'evacuation'];
  const numbered = news.map((kind, index) => ({
    index,
    decoded: { kind } as DecodedNews['decoded'],
  }));
  t.deepEqual(
    inOrderOfEffect(numbered).map(({ index }) => index),
    [2, 5, 1, 3, 0, 4],
  );
});

test('a request that was sent to an evacuated zone is not sent a second time', (t) => {
  const world = new GatewayWorld(backendOf('a', { zone: 'za' }), backendOf('b', { zone: 'zb' }));
  const { request } = world.request({ route: UNSAFE });
  world.order(world.attempts[0]!.backend.zone, true);
  t.false(request.withdrawUnsent());
  t.is(world.attempts.length, 1);
});

test('a grant of an engine in an evacuated zone is given back', (t) => {
  const world = worldOfFullEngines();
  world.request({ route: UNSAFE });
  world.order('za', true);
  world.dispatcher.receiveFromAgent('a', { kind: 'granted' }, 0);
  t.deepEqual(world.toAgents.at(-1), ['a', { kind: 'grant-returned' }]);
  t.is(world.attempts.length, 0);
  world.dispatcher.receiveFromAgent('b', { kind: 'granted' }, 0);
  t.deepEqual(usedBackends(world), ['b']);
});

test('agents of an evacuated zone are told that nothing waits for them, and all again afterwards', (t) => {
  const world = worldOfFullEngines();
  world.request({ route: UNSAFE });
  t.is(lastDemand(world, 'a')?.ranks.length, 1);
  world.order('za', true);
  t.deepEqual(lastDemand(world, 'a')?.ranks, []);
  t.is(lastDemand(world, 'b')?.ranks.length, 1);
  world.request({ route: UNSAFE });
  t.deepEqual(lastDemand(world, 'a')?.ranks, []);
  world.order('za', false);
  t.is(lastDemand(world, 'a')?.ranks.length, 2);
});

test('an agent is told of no request that may not be served in its region', (t) => {
  const world = worldOfFullEngines();
  world.regions.set('za', 'east').set('zb', 'west');
  world.request({ route: UNSAFE, allowedRegions: new Set(['east']) });
  t.is(lastDemand(world, 'a')?.ranks.length, 1);
  t.is(lastDemand(world, 'b'), undefined);
});

test('what waits is served at once by a zone that is taken back', (t) => {
  const world = new GatewayWorld(
    backendOf('a', { zone: 'za' }),
    backendOf('b', { zone: 'zb', slots: 1 }),
  );
  world.order('za', true);
  world.request({ route: UNSAFE });
  world.request({ route: UNSAFE });
  t.deepEqual(usedBackends(world), ['b']);
  world.order('za', false);
  t.deepEqual(usedBackends(world), ['b', 'a']);
});

test('a back end that left the list lately is not used in an evacuated zone', (t) => {
  const world = new GatewayWorld(backendOf('a', { zone: 'za' }));
  world.order('za', true);
  world.dispatcher.updateBackend('a', undefined, 0);
  world.request();
  t.is(world.attempts.length, 0);
});

test('a gateway in an evacuated zone works with engines of others in place of its own', (t) => {
  const world = new GatewayWorld();
  world.engines = true;
  for (const zone of ['z', 'zb', 'zc']) {
    for (let index = 0; index < 20; index += 1) {
      const id = `${zone}-${index}`;
      world.dispatcher.updateBackend(id, backendOf(id, { zone }), 0);
    }
  }
  const zonesWorkedWith = () =>
    world.directory.list().flatMap(({ isAssigned, backend }) => (isAssigned ? backend.zone : []));
  const before = zonesWorkedWith();
  t.true(before.filter((zone) => zone === 'z').length >= 16);
  world.order('z', true);
  t.false(zonesWorkedWith().includes('z'));
  t.true(zonesWorkedWith().length >= 16);
  world.order('z', false);
  t.deepEqual(zonesWorkedWith(), before);
});

test('engines of a zone that is taken back get nothing until their agents are connected', async (t) => {
  const world = new GatewayWorld(backendOf('a', { zone: 'za' }));
  world.engines = true;
  await world.clock.runUntil(1_000);
  world.order('za', true);
  world.order('za', false);
  world.request({ route: UNSAFE });
  t.is(world.attempts.length, 0);
  world.dispatcher.connectAgent('a', 1_005);
  world.dispatcher.tick(1_005);
  t.deepEqual(usedBackends(world), ['a']);
});

test('only back ends that are permitted count in what is expected', (t) => {
  const world = new GatewayWorld(backendOf('a', { zone: 'za' }), backendOf('b', { zone: 'zb' }));
  world.dispatcher.learnSpeed('a', 1, 10);
  world.dispatcher.learnSpeed('b', 1, 50);
  t.is(world.directory.permitted('s', undefined).length, 2);
  t.is(world.directory.expectedWholeMs('s', 1), 30);
  world.order('za', true);
  t.is(world.directory.permitted('s', undefined).length, 1);
  t.is(world.directory.expectedWholeMs('s', 1), 50);
  t.is(world.directory.countSlots('s'), 2);
});

test('a service whose zones are all evacuated refuses at once, as not run, and says when to come back', async (t) => {
  const world = new GatewayWorld(backendOf('a', { zone: 'za' }), backendOf('b', { zone: 'zb' }));
  world.order('za', true);
  world.order('zb', true);
  const { reply } = world.request({ route: UNSAFE });
  t.is(reply.status, 503);
  t.is(world.ends[0]?.reason, 'zone-evacuated');
  t.is(reply.headers[0], 'retry-after-ms');
  t.true(Number(reply.headers[1]) > 300);
  t.deepEqual(world.kept, ['zone-evacuated']);
  world.order('zb', false);
  world.request({ route: UNSAFE });
  t.deepEqual(usedBackends(world), ['b']);
  await world.clock.runUntil(100);
});

test('a request that waits when the last zone is evacuated is refused at its next look', async (t) => {
  const world = new GatewayWorld(backendOf('a', { zone: 'za', slots: 1 }));
  world.request({ route: UNSAFE });
  const { reply } = world.request({ route: UNSAFE });
  world.order('za', true);
  await world.clock.runUntil(101);
  t.is(reply.status, 503);
  t.is(world.ends[0]?.reason, 'zone-evacuated');
});

test('without any back end a service is not called evacuated', (t) => {
  const world = new GatewayWorld();
  world.order('za', true);
  t.false(world.directory.isEvacuated('s', undefined));
});

test('evacuations outside the regions that a request allows are not its reason', (t) => {
  const world = new GatewayWorld(backendOf('a', { zone: 'za' }), backendOf('b', { zone: 'zb' }));
  world.regions.set('za', 'east').set('zb', 'west');
  world.order('zb', true);
  t.true(world.directory.isEvacuated('s', new Set(['west'])));
  t.false(world.directory.isEvacuated('s', new Set(['east'])));
  t.false(world.directory.isEvacuated('s', new Set(['north'])));
});

test('slots that an order takes away are missed before the queue shows it, and come back with them', (t) => {
  const supply = new SlotSupply();
  supply.noteWaiting(true, 0);
  for (let atMs = 10; atMs <= 1_000; atMs += 10) {
    supply.noteBound(atMs);
  }
  const before = supply.slotsPerMs(1_000)!;
  supply.scale(0.5);
  const halved = supply.slotsPerMs(1_000)!;
  t.true(halved < before * 0.55, `${halved} of ${before}`);
  supply.scale(2);
  t.true(Math.abs(supply.slotsPerMs(1_000)! - before) < before * 0.01);
});

test('a dispatcher expects longer waits as soon as a zone is evacuated', async (t) => {
  const world = new GatewayWorld(
    backendOf('a', { zone: 'za', slots: 3 }),
    backendOf('b', { zone: 'zb', slots: 1 }),
  );
  for (let index = 0; index < 8; index += 1) {
    world.request({ route: UNSAFE });
  }
  await world.clock.runUntil(60);
  world.answer(0, 200, '');
  world.answer(1, 200, '');
  const place = { tier: 9, rankInTier: 0, arrivedAtMs: 60, startByMs: 9_999 };
  const waitMs = () => world.dispatcher.forecastOf('s').expectedWaitMs(place, 60);
  const before = waitMs();
  world.order('za', true);
  t.true(waitMs() > before * 1.5, `${waitMs()} after ${before}`);
});

test('whatever orders come in whatever order, no request is sent to a zone that is evacuated then', (t) => {
  const zones = ['za', 'zb', 'zc'];
  const step = fc.oneof(
    fc.record({
      kind: fc.constant('order' as const),
      zone: fc.constantFrom(...zones),
      isOrdered: fc.boolean(),
    }),
    fc.record({ kind: fc.constant('request' as const), isUnsafe: fc.boolean() }),
    fc.record({ kind: fc.constant('end' as const), index: fc.nat(30), isBad: fc.boolean() }),
    fc.record({ kind: fc.constant('grant' as const), zone: fc.constantFrom(...zones) }),
    fc.record({ kind: fc.constant('leave' as const), zone: fc.constantFrom(...zones) }),
  );
  const holds = fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
    const world = new GatewayWorld(...zones.map((zone) => backendOf(zone, { zone })));
    world.engines = true;
    world.dispatcher.connectAgent('za', 0);
    let isKept = true;
    const send = world.send.bind(world);
    world.send = (attempt, handlers) => {
      isKept &&= !world.isEvacuated(attempt.backend.zone);
      return send(attempt, handlers);
    };
    const ended = new Set<number>();
    for (const each of steps) {
      if (each.kind === 'order') {
        world.order(each.zone, each.isOrdered);
      } else if (each.kind === 'request') {
        world.request({ route: each.isUnsafe ? UNSAFE : routeOf({ maxAttempts: 3 }) });
      } else if (each.kind === 'grant') {
        world.dispatcher.receiveFromAgent(each.zone, { kind: 'granted' }, 0);
      } else if (each.kind === 'leave') {
        world.dispatcher.updateBackend(each.zone, undefined, 0);
      } else if (each.index < world.attempts.length && !ended.has(each.index)) {
        ended.add(each.index);
        world.answer(each.index, each.isBad ? 500 : 200, '');
      }
    }
    return isKept;
  });
  fc.assert(holds, { numRuns: 200 });
  t.pass();
});

test('a directory without orders permits every ready back end', (t) => {
  const directory = new BackendDirectory(
    { name: 'g', zone: 'z' },
    {
      isEngine: () => true,
      isEvacuated: () => false,
      regionOf: () => undefined,
      versionUse: () => 'open',
    },
  );
  directory.update('a', backendOf('a'), 0);
  t.is(directory.permitted('s', undefined).length, 1);
});

/** A gateway's evacuations before the world's back ends, and the lines that they write. */
function evacuationsOf(world: GatewayWorld) {
  const lines: Array<Readonly<Record<string, unknown>>> = [];
  const evacuations = new GatewayEvacuations({
    directory: world.directory,
    dispatcher: world.dispatcher,
    places: new Places(new Map([['za', 'east']])),
    clock: world.clock,
    log: { write: (event, _priority, fields) => void lines.push({ event, ...fields }) },
    storeAgeMs: () => 40,
    withdrawUnsent: () => 0,
  });
  world.isEvacuated = (zone) => evacuations.zones.isEvacuated(zone);
  return { evacuations, lines };
}

test('each order is told once: when it is acted on, when nothing runs there any more, and its end', async (t) => {
  const world = new GatewayWorld(backendOf('a', { zone: 'za' }));
  const { evacuations, lines } = evacuationsOf(world);
  world.request();
  evacuations.take({ zone: 'za', isOrdered: true, ...at(5) });
  evacuations.take({ zone: 'za', isOrdered: true, ...at(5) });
  evacuations.take({ zone: 'za', isOrdered: false, ...at(4) });
  t.is(lines.length, 1);
  t.like(lines[0], {
    event: 'zone-evacuation',
    evacuatedZone: 'za',
    isOrdered: true,
    revision: 5,
    backends: 1,
    running: 1,
    storeAgeMs: 40,
  });
  evacuations.tick();
  t.is(lines.length, 1);
  await world.clock.runUntil(30);
  world.answer(0, 200, '');
  evacuations.tick();
  evacuations.tick();
  t.deepEqual(lines.slice(1), [
    {
      event: 'zone-cleared',
      evacuatedZone: 'za',
      epoch: 0,
      revision: 5,
      afterMs: 30,
      isKnownZone: true,
    },
  ]);
  evacuations.take({ zone: 'za', isOrdered: false, ...at(6) });
  t.like(lines[2], { event: 'zone-evacuation', isOrdered: false, revision: 6, stoodForMs: 30 });
  world.request();
  t.is(world.attempts.length, 2);
});

test('an order that is taken back and given anew at once stands', (t) => {
  const world = new GatewayWorld(backendOf('a', { zone: 'za' }));
  const { evacuations } = evacuationsOf(world);
  evacuations.take({ zone: 'za', isOrdered: true, ...at(5) });
  evacuations.take({ zone: 'za', isOrdered: true, ...at(7) });
  evacuations.take({ zone: 'za', isOrdered: false, ...at(6) });
  world.request();
  t.is(world.attempts.length, 0);
});

test('an order for a zone that nobody knows says so once and changes nothing', (t) => {
  const world = new GatewayWorld(backendOf('a', { zone: 'za' }));
  const { evacuations, lines } = evacuationsOf(world);
  evacuations.take({ zone: 'nowhere', isOrdered: true, ...at(5) });
  evacuations.tick();
  evacuations.take({ zone: 'nowhere', isOrdered: true, ...at(5) });
  t.deepEqual(
    lines.map(({ event, isKnownZone }) => [event, isKnownZone]),
    [
      ['zone-evacuation', undefined],
      ['zone-cleared', false],
    ],
  );
  world.request();
  t.is(world.attempts.length, 1);
});

test('an order that a listing names before the back ends of its zone is not taken for one of an unknown zone', (t) => {
  const world = new GatewayWorld();
  const { evacuations, lines } = evacuationsOf(world);
  evacuations.take({ zone: 'zb', isOrdered: true, ...at(5) });
  world.dispatcher.updateBackend('b', backendOf('b', { zone: 'zb' }), 0);
  evacuations.tick();
  t.like(lines[1], { event: 'zone-cleared', isKnownZone: true });
});
