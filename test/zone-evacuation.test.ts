import fc from 'fast-check';
import test from 'ava';
import { unconstrained } from '../src/gateway/dispatch/dispatch-request.js';
import { sortByApplyOrder } from '../src/gateway/apply-order.js';
import type { DecodedUpdate } from '../src/gateway/apply-order.js';
import { BackendDirectory } from '../src/gateway/dispatch/backend-directory.js';
import { SlotSupply } from '../src/gateway/dispatch/slot-supply.js';
import { GatewayEvacuations } from '../src/gateway/gateway-evacuations.js';
import { ZoneTopology } from '../src/routing/zone-topology.js';
import type { AgentSlotMessage, SlotDemand } from '../src/slot-agent/slot-messages.js';
import { backendOf, GatewayHarness, routeOf } from './support/gateway-harness.js';
import { positionAt } from './support/store-positions.js';

const UNSAFE_ROUTE = routeOf({ kind: 'unsafe', targetLatencyMs: 1_000 });
const STREAM_ROUTE = routeOf({ kind: 'stream', isResumable: true });

function usedBackends(world: GatewayHarness): string[] {
  return world.attempts.map(({ backend }) => backend.id);
}

function stateOf(occupied: number): AgentSlotMessage {
  return {
    kind: 'state',
    failureShare: 0,
    availability: 'open',
    occupied,
    messagesSeen: 0,
    speed: {},
  };
}

/** A gateway with one full engine in each of two zones, whose agents are connected. */
function worldOfFullEngines(): GatewayHarness {
  const world = new GatewayHarness(backendOf('a', { zone: 'za' }), backendOf('b', { zone: 'zb' }));
  world.engines = true;
  for (const id of ['a', 'b']) {
    world.dispatcher.connectAgent(id, 0);
    world.dispatcher.receiveFromAgent(id, stateOf(2), 0);
  }
  return world;
}

function lastDemand(world: GatewayHarness, backendId: string): SlotDemand | undefined {
  const demands = world.agentMessages.flatMap(([id, message]) =>
    id === backendId && message.kind === 'demand' ? [message] : [],
  );
  return demands.at(-1);
}

test('a retry does not go to a zone that was evacuated in the meantime', (t) => {
  const world = new GatewayHarness(
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

test('an interrupted stream is not resumed in a zone that was evacuated in the meantime', (t) => {
  const world = new GatewayHarness(backendOf('a', { zone: 'za' }), backendOf('b', { zone: 'zb' }));
  const { reply } = world.request({ route: STREAM_ROUTE });
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

test('a request in flight in an evacuated zone runs to completion', (t) => {
  const world = new GatewayHarness(backendOf('a', { zone: 'za' }));
  const { reply } = world.request();
  world.order('za', true);
  t.false(world.attempts[0]!.isCancelled);
  world.answer(0, 200, 'whole');
  t.is(reply.body, 'whole');
});

test('an unsent request that waits for a connection to an evacuated zone is sent elsewhere', (t) => {
  const world = new GatewayHarness(backendOf('a', { zone: 'za', slots: 1 }));
  world.unconnectableBackendIds.add('a');
  const { request } = world.request({ route: UNSAFE_ROUTE });
  world.dispatcher.updateBackend('b', backendOf('b', { zone: 'zb' }), 0);
  t.false(request.withdrawIfUnsent());
  world.order('za', true);
  t.true(request.withdrawIfUnsent());
  t.true(world.attempts[0]!.isCancelled);
  t.deepEqual(usedBackends(world), ['a', 'b']);
});

test('an order does not withdraw a connecting request whose version’s rollout share is used up', (t) => {
  const world = new GatewayHarness(backendOf('a', { zone: 'za' }));
  world.unconnectableBackendIds.add('a');
  const { request } = world.request({ route: UNSAFE_ROUTE });
  world.versionUses.set('v1', 'closed');
  world.order('zb', true);
  t.false(request.withdrawIfUnsent());
  t.false(world.attempts[0]!.isCancelled);
});

test('changes received together are applied with evacuations first and backends last', (t) => {
  const kinds = [
    'backend',
    'rollout-order',
    'evacuation',
    'configuration',
    'backend',
    'evacuation',
  ];
  const numbered = kinds.map((kind, index) => ({
    index,
    decoded: { kind } as DecodedUpdate['decoded'],
  }));
  t.deepEqual(
    sortByApplyOrder(numbered).map(({ index }) => index),
    [2, 5, 1, 3, 0, 4],
  );
});

test('a request already sent to a zone that is then evacuated is not sent a second time', (t) => {
  const world = new GatewayHarness(backendOf('a', { zone: 'za' }), backendOf('b', { zone: 'zb' }));
  const { request } = world.request({ route: UNSAFE_ROUTE });
  world.order(world.attempts[0]!.backend.zone, true);
  t.false(request.withdrawIfUnsent());
  t.is(world.attempts.length, 1);
});

test('a grant of an engine in an evacuated zone is returned', (t) => {
  const world = worldOfFullEngines();
  world.request({ route: UNSAFE_ROUTE });
  world.order('za', true);
  world.dispatcher.receiveFromAgent('a', { kind: 'granted' }, 0);
  t.deepEqual(world.agentMessages.at(-1), ['a', { kind: 'grant-returned' }]);
  t.is(world.attempts.length, 0);
  world.dispatcher.receiveFromAgent('b', { kind: 'granted' }, 0);
  t.deepEqual(usedBackends(world), ['b']);
});

test('agents of an evacuated zone get empty demand, and the full demand again afterwards', (t) => {
  const world = worldOfFullEngines();
  world.request({ route: UNSAFE_ROUTE });
  t.is(lastDemand(world, 'a')?.ranks.length, 1);
  world.order('za', true);
  t.deepEqual(lastDemand(world, 'a')?.ranks, []);
  t.is(lastDemand(world, 'b')?.ranks.length, 1);
  world.request({ route: UNSAFE_ROUTE });
  t.deepEqual(lastDemand(world, 'a')?.ranks, []);
  world.order('za', false);
  t.is(lastDemand(world, 'a')?.ranks.length, 2);
});

test('demand to an agent excludes requests that may not be served in its region', (t) => {
  const world = worldOfFullEngines();
  world.regions.set('za', 'east').set('zb', 'west');
  world.request({ route: UNSAFE_ROUTE, allowedRegions: new Set(['east']) });
  t.is(lastDemand(world, 'a')?.ranks.length, 1);
  t.is(lastDemand(world, 'b'), undefined);
});

test('a waiting request is sent at once to a zone whose evacuation ends', (t) => {
  const world = new GatewayHarness(
    backendOf('a', { zone: 'za' }),
    backendOf('b', { zone: 'zb', slots: 1 }),
  );
  world.order('za', true);
  world.request({ route: UNSAFE_ROUTE });
  world.request({ route: UNSAFE_ROUTE });
  t.deepEqual(usedBackends(world), ['b']);
  world.order('za', false);
  t.deepEqual(usedBackends(world), ['b', 'a']);
});

test('a recently removed backend in an evacuated zone is not used', (t) => {
  const world = new GatewayHarness(backendOf('a', { zone: 'za' }));
  world.order('za', true);
  world.dispatcher.updateBackend('a', undefined, 0);
  world.request();
  t.is(world.attempts.length, 0);
});

test('a gateway in an evacuated zone uses engines of other zones instead of its own', (t) => {
  const world = new GatewayHarness();
  world.engines = true;
  for (const zone of ['z', 'zb', 'zc']) {
    for (let index = 0; index < 20; index += 1) {
      const id = `${zone}-${index}`;
      world.dispatcher.updateBackend(id, backendOf(id, { zone }), 0);
    }
  }
  const subsetZones = () =>
    world.directory.list().flatMap(({ isInSubset, backend }) => (isInSubset ? backend.zone : []));
  const before = subsetZones();
  t.true(before.filter((zone) => zone === 'z').length >= 16);
  world.order('z', true);
  t.false(subsetZones().includes('z'));
  t.true(subsetZones().length >= 16);
  world.order('z', false);
  t.deepEqual(subsetZones(), before);
});

test('engines of a zone whose evacuation ends get nothing until their agents connect', async (t) => {
  const world = new GatewayHarness(backendOf('a', { zone: 'za' }));
  world.engines = true;
  await world.clock.runUntil(1_000);
  world.order('za', true);
  world.order('za', false);
  world.request({ route: UNSAFE_ROUTE });
  t.is(world.attempts.length, 0);
  world.dispatcher.connectAgent('a', 1_005);
  world.dispatcher.tick(1_005);
  t.deepEqual(usedBackends(world), ['a']);
});

test('expected response times count only permitted backends', (t) => {
  const world = new GatewayHarness(backendOf('a', { zone: 'za' }), backendOf('b', { zone: 'zb' }));
  world.dispatcher.learnSpeed('a', 1, 10);
  world.dispatcher.learnSpeed('b', 1, 50);
  t.is(world.directory.permitted(unconstrained('s')).length, 2);
  t.is(world.directory.expectedAnswerMs(unconstrained('s'), 1), 30);
  world.order('za', true);
  t.is(world.directory.permitted(unconstrained('s')).length, 1);
  t.is(world.directory.expectedAnswerMs(unconstrained('s'), 1), 50);
  t.is(world.directory.countSlots('s'), 2);
});

test('a request to a service whose zones are all evacuated gets 503 at once with retry-after-ms', async (t) => {
  const world = new GatewayHarness(backendOf('a', { zone: 'za' }), backendOf('b', { zone: 'zb' }));
  world.order('za', true);
  world.order('zb', true);
  const { reply } = world.request({ route: UNSAFE_ROUTE });
  t.is(reply.status, 503);
  t.is(world.requestEnds[0]?.reason, 'zone-evacuated');
  t.is(reply.headers[0], 'retry-after-ms');
  t.true(Number(reply.headers[1]) > 300);
  t.deepEqual(world.restrictedReasons, ['zone-evacuated']);
  world.order('zb', false);
  world.request({ route: UNSAFE_ROUTE });
  t.deepEqual(usedBackends(world), ['b']);
  await world.clock.runUntil(100);
});

test('a request that is waiting when the last zone is evacuated is refused at its next check', async (t) => {
  const world = new GatewayHarness(backendOf('a', { zone: 'za', slots: 1 }));
  world.request({ route: UNSAFE_ROUTE });
  const { reply } = world.request({ route: UNSAFE_ROUTE });
  world.order('za', true);
  await world.clock.runUntil(101);
  t.is(reply.status, 503);
  t.is(world.requestEnds[0]?.reason, 'zone-evacuated');
});

test('a service without backends does not count as evacuated', (t) => {
  const world = new GatewayHarness();
  world.order('za', true);
  t.false(world.directory.isEvacuated(unconstrained('s')));
});

test('evacuations outside the allowed regions of a request do not make its service evacuated', (t) => {
  const world = new GatewayHarness(backendOf('a', { zone: 'za' }), backendOf('b', { zone: 'zb' }));
  world.regions.set('za', 'east').set('zb', 'west');
  world.order('zb', true);
  t.true(world.directory.isEvacuated({ ...unconstrained('s'), allowedRegions: new Set(['west']) }));
  t.false(
    world.directory.isEvacuated({ ...unconstrained('s'), allowedRegions: new Set(['east']) }),
  );
  t.false(
    world.directory.isEvacuated({ ...unconstrained('s'), allowedRegions: new Set(['north']) }),
  );
});

test('the slot-supply estimate is scaled when an order removes slots and when they return', (t) => {
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

test('the wait forecast increases as soon as a zone is evacuated', async (t) => {
  const world = new GatewayHarness(
    backendOf('a', { zone: 'za', slots: 3 }),
    backendOf('b', { zone: 'zb', slots: 1 }),
  );
  for (let index = 0; index < 8; index += 1) {
    world.request({ route: UNSAFE_ROUTE });
  }
  await world.clock.runUntil(60);
  world.answer(0, 200, '');
  world.answer(1, 200, '');
  const priority = { tier: 9, rankInTier: 0, arrivedAtMs: 60, startByMs: 9_999 };
  const waitMs = () => world.dispatcher.forecastOf('s').expectedWaitMs(priority, 60);
  const before = waitMs();
  world.order('za', true);
  t.true(waitMs() > before * 1.5, `${waitMs()} after ${before}`);
});

test('no request is sent to an evacuated zone under random orders, grants and failures', (t) => {
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
  const property = fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
    const world = new GatewayHarness(...zones.map((zone) => backendOf(zone, { zone })));
    world.engines = true;
    world.dispatcher.connectAgent('za', 0);
    let isHonored = true;
    const send = world.send.bind(world);
    world.send = (attempt, handlers) => {
      isHonored &&= !world.isEvacuated(attempt.backend.zone);
      return send(attempt, handlers);
    };
    const ended = new Set<number>();
    for (const each of steps) {
      if (each.kind === 'order') {
        world.order(each.zone, each.isOrdered);
      } else if (each.kind === 'request') {
        world.request({ route: each.isUnsafe ? UNSAFE_ROUTE : routeOf({ maxAttempts: 3 }) });
      } else if (each.kind === 'grant') {
        world.dispatcher.receiveFromAgent(each.zone, { kind: 'granted' }, 0);
      } else if (each.kind === 'leave') {
        world.dispatcher.updateBackend(each.zone, undefined, 0);
      } else if (each.index < world.attempts.length && !ended.has(each.index)) {
        ended.add(each.index);
        world.answer(each.index, each.isBad ? 500 : 200, '');
      }
    }
    return isHonored;
  });
  fc.assert(property, { numRuns: 200 });
  t.pass();
});

test('a directory without evacuations permits every ready backend', (t) => {
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
  t.is(directory.permitted(unconstrained('s')).length, 1);
});

/** Evacuations that act on the backends of `world`, and the log lines that they write. */
function evacuationsOf(world: GatewayHarness) {
  const lines: Array<Readonly<Record<string, unknown>>> = [];
  const evacuations = new GatewayEvacuations({
    directory: world.directory,
    dispatcher: world.dispatcher,
    places: new ZoneTopology(new Map([['za', 'east']])),
    clock: world.clock,
    log: { write: (event, _priority, fields) => void lines.push({ event, ...fields }) },
    storeAgeMs: () => 40,
    withdrawUnsent: () => 0,
  });
  world.isEvacuated = (zone) => evacuations.zones.isEvacuated(zone);
  return { evacuations, lines };
}

test('each order is logged once when applied, when the zone has drained, and when it ends', async (t) => {
  const world = new GatewayHarness(backendOf('a', { zone: 'za' }));
  const { evacuations, lines } = evacuationsOf(world);
  world.request();
  evacuations.apply({ zone: 'za', isOrdered: true, ...positionAt(5) });
  evacuations.apply({ zone: 'za', isOrdered: true, ...positionAt(5) });
  evacuations.apply({ zone: 'za', isOrdered: false, ...positionAt(4) });
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
  evacuations.apply({ zone: 'za', isOrdered: false, ...positionAt(6) });
  t.like(lines[2], { event: 'zone-evacuation', isOrdered: false, revision: 6, stoodForMs: 30 });
  world.request();
  t.is(world.attempts.length, 2);
});

test('an order renewed after a removal stays in force if the removal arrives last', (t) => {
  const world = new GatewayHarness(backendOf('a', { zone: 'za' }));
  const { evacuations } = evacuationsOf(world);
  evacuations.apply({ zone: 'za', isOrdered: true, ...positionAt(5) });
  evacuations.apply({ zone: 'za', isOrdered: true, ...positionAt(7) });
  evacuations.apply({ zone: 'za', isOrdered: false, ...positionAt(6) });
  world.request();
  t.is(world.attempts.length, 0);
});

test('an order for an unknown zone is logged once as such and has no effect', (t) => {
  const world = new GatewayHarness(backendOf('a', { zone: 'za' }));
  const { evacuations, lines } = evacuationsOf(world);
  evacuations.apply({ zone: 'nowhere', isOrdered: true, ...positionAt(5) });
  evacuations.tick();
  evacuations.apply({ zone: 'nowhere', isOrdered: true, ...positionAt(5) });
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

test('a zone counts as known if its order is listed before its backends', (t) => {
  const world = new GatewayHarness();
  const { evacuations, lines } = evacuationsOf(world);
  evacuations.apply({ zone: 'zb', isOrdered: true, ...positionAt(5) });
  world.dispatcher.updateBackend('b', backendOf('b', { zone: 'zb' }), 0);
  evacuations.tick();
  t.like(lines[1], { event: 'zone-cleared', isKnownZone: true });
});
