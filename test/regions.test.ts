import test from 'ava';
import { RoundTrip } from '../src/round-trip.js';
import { Places } from '../src/routing/places.js';
import { UnknownZones } from '../src/routing/unknown-zones.js';
import type { EngineAvailability } from '../src/slot-agent/engine-watch.js';
import { backendOf, GatewayWorld, routeOf } from './support/gateway.js';

/** By how much the way to another region is dearer than that inside the zone: 16 - 0.5, and 10 for bytes. */
const FAR_EXTRA_MS = 25.5;
/** After this wait engines of other regions are used. */
const FAR_PATIENCE_MS = 26;
const TOKENS = 1_000;
const PATIENT = routeOf({ kind: 'unsafe', targetLatencyMs: 2_000 });

/** A gateway in zone z of region north, with engines there and in another region. */
function worldOf(near: readonly string[], far: readonly string[], slots = 1): GatewayWorld {
  const world = new GatewayWorld();
  world.engines = true;
  world.regions.set('z', 'north').set('far', 'south');
  for (const id of near) {
    world.dispatcher.updateBackend(id, backendOf(id, { slots }), 0);
  }
  for (const id of far) {
    world.dispatcher.updateBackend(id, backendOf(id, { zone: 'far', slots }), 0);
  }
  for (const id of [...near, ...far]) {
    world.dispatcher.connectAgent(id, 0);
    tell(world, id, 0);
  }
  return world;
}

function tell(
  world: GatewayWorld,
  id: string,
  occupied: number,
  availability: EngineAvailability = 'open',
): void {
  const { messagesSent = 0 } = world.directory.find(id)?.agent ?? {};
  const state = { kind: 'state', occupied, availability, failureShare: 0, speed: {} } as const;
  world.dispatcher.receiveFromAgent(
    id,
    { ...state, messagesSeen: messagesSent },
    world.clock.now(),
  );
}

function usedBackends(world: GatewayWorld): string[] {
  return world.attempts.map(({ backend }) => backend.id);
}

/** Agents that were told of a waiting request. */
function askedAgents(world: GatewayWorld): string[] {
  return world.toAgents.flatMap(([id, message]) =>
    message.kind === 'demand' && message.ranks.length > 0 ? [id] : [],
  );
}

test('an engine in another region is used when it is faster by more than way and bytes', (t) => {
  for (const [gainMs, expected] of [
    [FAR_EXTRA_MS - 2, 'near'],
    [FAR_EXTRA_MS + 2, 'far'],
  ] as const) {
    const world = worldOf(['near'], ['far']);
    const line = (baseMs: number) => ({ prefill: { baseMs, msPerToken: 0.01 }, msPerUnit: 1 });
    world.directory.find('near')!.adopt(line(30 + gainMs));
    world.directory.find('far')!.adopt(line(30));
    world.request({ route: PATIENT, promptTokens: TOKENS });
    t.deepEqual(usedBackends(world), [expected]);
  }
});

test('of engines near by that are alike the nearest is not filled before the others are used', (t) => {
  const world = worldOf(['near'], [], 13);
  world.regions.set('next', 'north');
  world.dispatcher.updateBackend('next', backendOf('next', { zone: 'next', slots: 13 }), 0);
  world.dispatcher.connectAgent('next', 0);
  for (const id of ['near', 'next']) {
    world.directory.find(id)!.adopt({ prefill: { baseMs: 50, msPerToken: 0.01 }, msPerUnit: 1 });
  }
  tell(world, 'near', 9);
  tell(world, 'next', 1);
  world.request({ route: PATIENT, promptTokens: TOKENS });
  t.deepEqual(usedBackends(world), ['next']);
});

test('what is learned and shared of an engine does not hold the way there', (t) => {
  const world = worldOf([], ['far']);
  world.dispatcher.learnFirst('far', TOKENS, 116);
  world.dispatcher.learnSpeed('far', 1, 216);
  const { prefill, msPerUnit } = world.directory.find('far')!.learned;
  t.is(prefill!.baseMs + prefill!.msPerToken * TOKENS, 100);
  t.is(msPerUnit, 200);
  t.is(world.directory.expectedFirstMs('s', TOKENS), 116);
});

test('a request that finds the engines near by full waits for them before it crosses', async (t) => {
  const world = worldOf(['near'], ['far']);
  tell(world, 'near', 1);
  world.request({ route: PATIENT });
  t.deepEqual(usedBackends(world), []);
  await world.clock.runUntil(FAR_PATIENCE_MS - 1);
  t.deepEqual(usedBackends(world), []);
  await world.clock.runUntil(FAR_PATIENCE_MS);
  t.deepEqual(usedBackends(world), ['far']);
});

test('a request crosses as soon as it has waited for a way that proved longer meanwhile', async (t) => {
  const world = worldOf(['near'], ['far']);
  tell(world, 'near', 1);
  world.request({ route: PATIENT });
  world.directory.find('far')!.roundTrip.adopt(30);
  world.directory.reviewReach('s');
  await world.clock.runUntil(39);
  t.deepEqual(usedBackends(world), []);
  await world.clock.runUntil(40);
  t.deepEqual(usedBackends(world), ['far']);
});

test('a request crosses in time though timers fire early', async (t) => {
  const world = worldOf(['near'], ['far']);
  tell(world, 'near', 1);
  const setTimer = world.clock.setTimeout.bind(world.clock);
  world.clock.setTimeout = (callback, delayMs) => setTimer(callback, Math.max(1, delayMs - 1));
  world.request({ route: PATIENT });
  world.clock.setTimeout = setTimer;
  await world.clock.runUntil(FAR_PATIENCE_MS + 1);
  t.deepEqual(usedBackends(world), ['far']);
});

test('agents near by are asked for a slot first, those in other regions after a while', async (t) => {
  const world = worldOf(['near'], ['far']);
  tell(world, 'near', 1);
  tell(world, 'far', 1);
  world.request({ route: PATIENT });
  t.deepEqual(askedAgents(world), ['near']);
  await world.clock.runUntil(FAR_PATIENCE_MS - 1);
  t.deepEqual(askedAgents(world), ['near']);
  await world.clock.runUntil(FAR_PATIENCE_MS);
  t.deepEqual(askedAgents(world), ['near', 'far']);
});

test('once the engines of the region are gone others are used and asked without a pause', (t) => {
  for (const isFarFull of [false, true]) {
    const world = worldOf(['near'], ['far']);
    tell(world, 'near', 0, 'closed');
    tell(world, 'far', isFarFull ? 1 : 0);
    world.request({ route: PATIENT });
    t.deepEqual(usedBackends(world), isFarFull ? [] : ['far']);
    t.is(askedAgents(world).includes('far'), isFarFull);
  }
});

test('once every zone of the region is evacuated others are used and asked without a pause', (t) => {
  for (const isFarFull of [false, true]) {
    const world = worldOf(['near'], ['far']);
    world.evacuatedZones.add('z');
    world.directory.reviewReach('s');
    tell(world, 'far', isFarFull ? 1 : 0);
    world.request({ route: PATIENT });
    t.deepEqual(usedBackends(world), isFarFull ? [] : ['far']);
    t.is(askedAgents(world).includes('far'), isFarFull);
  }
});

test('a request that may be served in the other region only does not wait for one near by', (t) => {
  const world = worldOf(['near'], ['far']);
  tell(world, 'near', 1);
  tell(world, 'far', 1);
  world.request({ route: PATIENT, allowedRegions: new Set(['south']) });
  t.true(askedAgents(world).includes('far'));
});

test('a gateway whose region lost its engines works with more of the others until one is back', (t) => {
  const near = ['n1', 'n2'];
  const far = Array.from({ length: 40 }, (_unused, index) => `f${index}`);
  const world = worldOf(near, far);
  const countAssigned = (ids: readonly string[]) =>
    ids.filter((id) => world.directory.find(id)!.isAssigned).length;
  const before = countAssigned(far);
  near.forEach((id) => tell(world, id, 0, 'closed'));
  t.is(countAssigned(far), 16);
  t.is(world.reaches.at(-1), false);
  t.is(countAssigned(near), 2);
  t.true(before < 16);
  tell(world, 'n1', 0);
  t.is(countAssigned(far), before);
  t.deepEqual(world.reaches, [false, true]);
});

test('a new engine in another region is given the way there and back until its agent is heard', async (t) => {
  const world = worldOf([], []);
  world.dispatcher.updateBackend('far', backendOf('far', { zone: 'far' }), 0);
  await world.clock.runUntil(180);
  t.true(world.directory.find('far')!.isAgentAwaited(180));
  t.false(world.directory.find('far')!.isAgentAwaited(183));
});

test('the way to a back end without an agent is learned from the connections to it', (t) => {
  const world = worldOf([], ['far']);
  world.request({ route: PATIENT });
  t.is(world.attempts[0]!.roundTripMs, 16);
  world.attempts[0]!.handlers.onConnected!(10);
  t.is(world.directory.find('far')!.roundTrip.ms, 13);
});

test('a round trip follows the shortest samples at once and a longer way in time', (t) => {
  const way = new RoundTrip('same-region');
  t.false(way.isMeasured);
  way.learn(1_000);
  t.is(way.ms, 2.5);
  way.learn(1.5);
  t.is(way.ms, 2);
  for (let count = 0; count < 200; count += 1) {
    way.learn(20);
  }
  t.true(way.ms > 19);
  way.learn(Number.NaN);
  t.true(way.ms > 19);
});

test('a zone that the settings do not name is news once, and none is where they name no zones', (t) => {
  const zones = new UnknownZones(new Places(new Map([['z', 'north']])));
  t.false(zones.isNews('z'));
  t.true(zones.isNews('elsewhere'));
  t.false(zones.isNews('elsewhere'));
  t.false(new UnknownZones(new Places(new Map())).isNews('elsewhere'));
});
