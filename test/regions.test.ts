import test from 'ava';
import { unconstrained } from '../src/gateway/dispatch/dispatch-request.js';
import { RoundTripEstimate } from '../src/round-trip.js';
import { ZoneTopology } from '../src/routing/zone-topology.js';
import { UnknownZones } from '../src/routing/unknown-zones.js';
import type { EngineAvailability } from '../src/slot-agent/engine-health.js';
import { backendOf, GatewayHarness, routeOf } from './support/gateway-harness.js';

/**
 * Cost of another region beyond that of the own zone: 16 - 0.5 for the round trip, 10 for traffic.
 */
const REMOTE_EXTRA_COST_MS = 25.5;
/** Wait after which engines in other regions are used. */
const REMOTE_DELAY_MS = 26;
const TOKENS = 1_000;
const UNSAFE_ROUTE = routeOf({ kind: 'unsafe', targetLatencyMs: 2_000 });

/** A gateway in zone z of region north, with engines there and in region south. */
function worldOf(near: readonly string[], far: readonly string[], slots = 1): GatewayHarness {
  const world = new GatewayHarness();
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
    sendState(world, id, 0);
  }
  return world;
}

function sendState(
  world: GatewayHarness,
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

function usedBackends(world: GatewayHarness): string[] {
  return world.attempts.map(({ backend }) => backend.id);
}

/** Agents that were sent demand for a waiting request. */
function agentsWithDemand(world: GatewayHarness): string[] {
  return world.agentMessages.flatMap(([id, message]) =>
    message.kind === 'demand' && message.ranks.length > 0 ? [id] : [],
  );
}

test('an engine in another region is used if it is faster by more than the cost of the distance', (t) => {
  for (const [gainMs, expected] of [
    [REMOTE_EXTRA_COST_MS - 2, 'near'],
    [REMOTE_EXTRA_COST_MS + 2, 'far'],
  ] as const) {
    const world = worldOf(['near'], ['far']);
    const learned = (baseMs: number) => ({ prefill: { baseMs, msPerToken: 0.01 }, msPerUnit: 1 });
    world.directory.find('near')!.adoptLearned(learned(30 + gainMs));
    world.directory.find('far')!.adoptLearned(learned(30));
    world.request({ route: UNSAFE_ROUTE, promptTokens: TOKENS });
    t.deepEqual(usedBackends(world), [expected]);
  }
});

test('among equal engines in the own region the nearest is not filled before others are used', (t) => {
  const world = worldOf(['near'], [], 13);
  world.regions.set('next', 'north');
  world.dispatcher.updateBackend('next', backendOf('next', { zone: 'next', slots: 13 }), 0);
  world.dispatcher.connectAgent('next', 0);
  for (const id of ['near', 'next']) {
    world.directory
      .find(id)!
      .adoptLearned({ prefill: { baseMs: 50, msPerToken: 0.01 }, msPerUnit: 1 });
  }
  sendState(world, 'near', 9);
  sendState(world, 'next', 1);
  world.request({ route: UNSAFE_ROUTE, promptTokens: TOKENS });
  t.deepEqual(usedBackends(world), ['next']);
});

test('learned and shared engine times exclude the round trip to the engine', (t) => {
  const world = worldOf([], ['far']);
  world.dispatcher.learnFirstEventTime('far', TOKENS, 116);
  world.dispatcher.learnSpeed('far', 1, 216);
  const { prefill, msPerUnit } = world.directory.find('far')!.learned;
  t.is(prefill!.baseMs + prefill!.msPerToken * TOKENS, 100);
  t.is(msPerUnit, 200);
  t.is(world.directory.expectedFirstEventMs(unconstrained('s'), TOKENS), 116);
});

test('a request waits for full engines in its region before it is sent to another region', async (t) => {
  const world = worldOf(['near'], ['far']);
  sendState(world, 'near', 1);
  world.request({ route: UNSAFE_ROUTE });
  t.deepEqual(usedBackends(world), []);
  await world.clock.runUntil(REMOTE_DELAY_MS - 1);
  t.deepEqual(usedBackends(world), []);
  await world.clock.runUntil(REMOTE_DELAY_MS);
  t.deepEqual(usedBackends(world), ['far']);
});

test('the wait before using another region follows the measured round trip', async (t) => {
  const world = worldOf(['near'], ['far']);
  sendState(world, 'near', 1);
  world.request({ route: UNSAFE_ROUTE });
  world.directory.find('far')!.roundTrip.replaceEstimate(30);
  world.directory.updateRegionAvailability('s');
  await world.clock.runUntil(39);
  t.deepEqual(usedBackends(world), []);
  await world.clock.runUntil(40);
  t.deepEqual(usedBackends(world), ['far']);
});

test('a request is sent to another region in time even if timers fire early', async (t) => {
  const world = worldOf(['near'], ['far']);
  sendState(world, 'near', 1);
  const setTimer = world.clock.setTimeout.bind(world.clock);
  world.clock.setTimeout = (callback, delayMs) => setTimer(callback, Math.max(1, delayMs - 1));
  world.request({ route: UNSAFE_ROUTE });
  world.clock.setTimeout = setTimer;
  await world.clock.runUntil(REMOTE_DELAY_MS + 1);
  t.deepEqual(usedBackends(world), ['far']);
});

test('agents in the own region get demand first, those in other regions after the delay', async (t) => {
  const world = worldOf(['near'], ['far']);
  sendState(world, 'near', 1);
  sendState(world, 'far', 1);
  world.request({ route: UNSAFE_ROUTE });
  t.deepEqual(agentsWithDemand(world), ['near']);
  await world.clock.runUntil(REMOTE_DELAY_MS - 1);
  t.deepEqual(agentsWithDemand(world), ['near']);
  await world.clock.runUntil(REMOTE_DELAY_MS);
  t.deepEqual(agentsWithDemand(world), ['near', 'far']);
});

test('other regions are used without delay once the own region has no open engine', (t) => {
  for (const isFarFull of [false, true]) {
    const world = worldOf(['near'], ['far']);
    sendState(world, 'near', 0, 'closed');
    sendState(world, 'far', isFarFull ? 1 : 0);
    world.request({ route: UNSAFE_ROUTE });
    t.deepEqual(usedBackends(world), isFarFull ? [] : ['far']);
    t.is(agentsWithDemand(world).includes('far'), isFarFull);
  }
});

test('other regions are used without delay once every zone of the own region is evacuated', (t) => {
  for (const isFarFull of [false, true]) {
    const world = worldOf(['near'], ['far']);
    world.evacuatedZones.add('z');
    world.directory.updateRegionAvailability('s');
    sendState(world, 'far', isFarFull ? 1 : 0);
    world.request({ route: UNSAFE_ROUTE });
    t.deepEqual(usedBackends(world), isFarFull ? [] : ['far']);
    t.is(agentsWithDemand(world).includes('far'), isFarFull);
  }
});

test('a request allowed only in another region does not wait for engines of the own region', (t) => {
  const world = worldOf(['near'], ['far']);
  sendState(world, 'near', 1);
  sendState(world, 'far', 1);
  world.request({ route: UNSAFE_ROUTE, allowedRegions: new Set(['south']) });
  t.true(agentsWithDemand(world).includes('far'));
});

test('a gateway whose region has no open engine uses more remote engines until one is back', (t) => {
  const near = ['n1', 'n2'];
  const far = Array.from({ length: 40 }, (_unused, index) => `f${index}`);
  const world = worldOf(near, far);
  const countInSubset = (ids: readonly string[]) =>
    ids.filter((id) => world.directory.find(id)!.isInSubset).length;
  const before = countInSubset(far);
  near.forEach((id) => sendState(world, id, 0, 'closed'));
  t.is(countInSubset(far), 16);
  t.is(world.reachChanges.at(-1), false);
  t.is(countInSubset(near), 2);
  t.true(before < 16);
  sendState(world, 'n1', 0);
  t.is(countInSubset(far), before);
  t.deepEqual(world.reachChanges, [false, true]);
});

test('the wait for the agent of a new engine in another region includes the round trip', async (t) => {
  const world = worldOf([], []);
  world.dispatcher.updateBackend('far', backendOf('far', { zone: 'far' }), 0);
  await world.clock.runUntil(180);
  t.true(world.directory.find('far')!.isAgentAwaited(180));
  t.false(world.directory.find('far')!.isAgentAwaited(183));
});

test('the round trip to a backend without an agent is measured from connections to it', (t) => {
  const world = worldOf([], ['far']);
  world.request({ route: UNSAFE_ROUTE });
  t.is(world.attempts[0]!.roundTripMs, 16);
  world.attempts[0]!.handlers.onConnected!(10);
  t.is(world.directory.find('far')!.roundTrip.ms, 13);
});

test('a round-trip estimate follows shorter samples at once and longer ones gradually', (t) => {
  const roundTrip = new RoundTripEstimate('same-region');
  t.false(roundTrip.isMeasured);
  roundTrip.addSample(1_000);
  t.is(roundTrip.ms, 2.5);
  roundTrip.addSample(1.5);
  t.is(roundTrip.ms, 2);
  for (let count = 0; count < 200; count += 1) {
    roundTrip.addSample(20);
  }
  t.true(roundTrip.ms > 19);
  roundTrip.addSample(Number.NaN);
  t.true(roundTrip.ms > 19);
});

test('an unknown zone is reported once, and never if the settings define no zones', (t) => {
  const zones = new UnknownZones(new ZoneTopology(new Map([['z', 'north']])));
  t.false(zones.recordIfUnknown('z'));
  t.true(zones.recordIfUnknown('elsewhere'));
  t.false(zones.recordIfUnknown('elsewhere'));
  t.false(new UnknownZones(new ZoneTopology(new Map())).recordIfUnknown('elsewhere'));
});
