import test from 'ava';
import { PathMonitor } from '../src/gateway/dispatch/path-monitor.js';
import type { SuspicionCause } from '../src/gateway/dispatch/path-state.js';
import type { Route } from '../src/routing/configuration.js';
import { backendOf, GatewayHarness, routeOf } from './support/gateway-harness.js';

const UNSAFE = routeOf({ kind: 'unsafe', timeoutMs: 10_000, targetLatencyMs: 4_000 });
const SAFE = routeOf({ kind: 'safe', timeoutMs: 10_000, targetLatencyMs: 4_000 });
const STREAM = routeOf({
  kind: 'stream',
  isResumable: true,
  timeoutMs: 10_000,
  targetLatencyMs: 4_000,
  maxPauseMs: 2_000,
});
const HEARTBEAT_MS = 300;

/** A gateway with two engines in each of two zones, whose agents send heartbeats or fall silent. */
class TwoZones extends GatewayHarness {
  readonly suspected: Array<[string, SuspicionCause]> = [];
  readonly recovered: string[] = [];
  readonly silent = new Set<string>();
  readonly monitor = new PathMonitor(this.directory, {
    onSuspected: ({ backend }, cause) => void this.suspected.push([backend.id, cause]),
    onRecovered: ({ backend }) => void this.recovered.push(backend.id),
  });

  constructor() {
    super(
      ...['near1', 'near2'].map((id) => backendOf(id, { zone: 'z', slots: 20 })),
      ...['far1', 'far2'].map((id) => backendOf(id, { zone: 'y', slots: 20 })),
    );
    this.engines = true;
    for (const { backend } of this.directory.list()) {
      this.dispatcher.connectAgent(backend.id, 0);
    }
  }

  pathOf(id: string) {
    return this.directory.find(id)!.path;
  }

  /**
   * Delivers heartbeats of the agents that are not silent and evaluates the paths until `untilMs`.
   */
  async runUntil(untilMs: number): Promise<void> {
    while (this.clock.now() < untilMs) {
      const nowMs = Math.min(untilMs, this.clock.now() + 100);
      await this.clock.runUntil(nowMs);
      for (const { backend, path } of this.directory.list()) {
        if (!this.silent.has(backend.id) && nowMs % HEARTBEAT_MS === 0) {
          path.noteActivity(nowMs);
        }
      }
      this.monitor.checkPaths(nowMs);
      this.dispatcher.tick(nowMs);
    }
  }

  /** Stops the heartbeats of the zone's agents; the connections to those in `timedOut` time out. */
  silenceZone(zone: string, timedOut: readonly string[]): void {
    for (const { backend } of this.directory.list()) {
      if (backend.zone === zone) {
        this.silent.add(backend.id);
      }
    }
    for (const id of timedOut) {
      this.dispatcher.disconnectAgent(id, this.clock.now());
      this.pathOf(id).noteAgentTimeout();
    }
  }

  backendsUsedSince(index: number): string[] {
    return this.attempts.slice(index).map(({ backend }) => backend.id);
  }

  /** Sends requests until one is active at `id`, and returns its index. */
  sendRequestTo(id: string, route: Route): number {
    for (let count = 0; count < 20; count += 1) {
      this.request({ route });
      if (this.attempts.at(-1)!.backend.id === id) {
        return this.attempts.length - 1;
      }
    }
    throw new Error(`no request was sent to ${id}`);
  }
}

async function createActiveWorld(): Promise<TwoZones> {
  const world = new TwoZones();
  await world.runUntil(HEARTBEAT_MS);
  return world;
}

test('once one engine of a zone is lost, other silent engines of the zone are suspect too', async (t) => {
  const world = await createActiveWorld();
  world.silenceZone('y', ['far1']);
  await world.runUntil(1_200);
  t.deepEqual(world.suspected, []);
  await world.runUntil(1_300);
  t.deepEqual(world.suspected, [
    ['far1', 'agent-silent'],
    ['far2', 'zone-silent'],
  ]);
});

test('an engine of the same zone that still sends heartbeats is not suspected', async (t) => {
  const world = await createActiveWorld();
  world.silenceZone('y', ['far1']);
  world.silent.delete('far2');
  await world.runUntil(2_000);
  t.deepEqual(world.suspected, [['far1', 'agent-silent']]);
});

test('a hung connection during a missed heartbeat makes the path suspect sooner', async (t) => {
  const world = await createActiveWorld();
  world.silenceZone('y', []);
  const index = world.sendRequestTo('far1', UNSAFE);
  await world.runUntil(900);
  world.attempts[index]!.handlers.onFailure({
    mayHaveRun: false,
    isPortClosed: false,
    isSilent: true,
    detail: 'no connection in time',
  });
  await world.runUntil(1_000);
  t.deepEqual(world.suspected, [['far1', 'connection-hung']]);
});

test('a paused gateway, which receives nothing from any engine, suspects no path', async (t) => {
  const world = await createActiveWorld();
  world.silenceZone('y', ['far1', 'far2']);
  world.silenceZone('z', ['near1', 'near2']);
  await world.runUntil(3_000);
  t.deepEqual(world.suspected, []);
});

test('an engine with heartbeats at the longest healthy interval stays trusted in a lost zone', async (t) => {
  const world = await createActiveWorld();
  world.silenceZone('y', ['far1']);
  await world.runUntil(700);
  world.pathOf('far2').noteActivity(700);
  await world.runUntil(1_300);
  t.deepEqual(world.suspected, [['far1', 'agent-silent']]);
});

test('the path to an agent that closed its connection stays trusted', async (t) => {
  const world = await createActiveWorld();
  world.silent.add('far1');
  world.dispatcher.disconnectAgent('far1', HEARTBEAT_MS);
  await world.runUntil(3_000);
  t.deepEqual(world.suspected, []);
});

test('only one repeatable request at a time probes a suspect path', async (t) => {
  const world = await createActiveWorld();
  world.silenceZone('y', ['far1', 'far2']);
  await world.runUntil(1_300);
  for (let count = 0; count < 12; count += 1) {
    world.request({ route: UNSAFE });
  }
  t.deepEqual(new Set(world.backendsUsedSince(0)), new Set(['near1', 'near2']));
  await world.runUntil(1_800);
  const before = world.attempts.length;
  for (let count = 0; count < 12; count += 1) {
    world.request({ route: SAFE });
  }
  const probed = world.backendsUsedSince(before).filter((id) => id.startsWith('far'));
  t.deepEqual(probed.sort(), ['far1', 'far2']);
});

test('a response on a suspect path ends the suspicion even while the agent is silent', async (t) => {
  const world = await createActiveWorld();
  const index = world.sendRequestTo('far1', UNSAFE);
  world.silenceZone('y', ['far1']);
  await world.runUntil(1_300);
  t.true(world.pathOf('far1').isSuspect);
  world.answer(index, 200, 'late but whole');
  t.false(world.pathOf('far1').isSuspect);
  await world.runUntil(3_000);
  t.false(world.pathOf('far1').isSuspect);
  t.true(world.recovered.includes('far1'));
});

test('when every path is suspect, all of them are used', async (t) => {
  const world = await createActiveWorld();
  for (const { path } of world.directory.list()) {
    path.suspect('agent-silent', world.clock.now());
  }
  for (let count = 0; count < 8; count += 1) {
    world.request({ route: UNSAFE });
  }
  t.is(new Set(world.backendsUsedSince(0)).size, 4);
  t.is(world.attempts.length, 8);
});

test('only repeatable requests on a lost path move to other engines at once', async (t) => {
  const world = await createActiveWorld();
  const safe = world.sendRequestTo('far1', SAFE);
  const unsafe = world.sendRequestTo('far1', UNSAFE);
  const before = world.attempts.length;
  world.silenceZone('y', ['far1', 'far2']);
  await world.runUntil(1_300);
  t.false(world.attempts[safe]!.isCancelled);
  world.answer(before, 200, 'whole');
  t.true(world.attempts[safe]!.isCancelled);
  t.false(world.attempts[unsafe]!.isCancelled);
  const moved = world.backendsUsedSince(before);
  t.true(moved.length > 0);
  t.true(moved.every((id) => id.startsWith('near')));
});

test('a resumable stream on a lost path continues elsewhere after the last event', async (t) => {
  const world = await createActiveWorld();
  const index = world.sendRequestTo('far1', STREAM);
  const { handlers } = world.attempts[index]!;
  handlers.onHead({ status: 200, rawHeaders: [], headers: {} });
  handlers.onData(Buffer.from('id: 7\ndata: x\n\n'));
  const before = world.attempts.length;
  world.silenceZone('y', ['far1', 'far2']);
  await world.runUntil(1_300);
  const resumed = world.attempts.slice(before).find(({ headers }) => headers.includes('7'));
  t.true(resumed?.backend.id.startsWith('near'));
});

test('a non-repeatable request on a lost path ends with 504, since it may have run', async (t) => {
  const world = await createActiveWorld();
  const { reply } = world.request({ route: { ...UNSAFE, timeoutMs: 2_500 } });
  const zone = world.attempts[0]!.backend.zone;
  const ids = world.directory.list().filter(({ backend }) => backend.zone === zone);
  world.silenceZone(
    zone,
    ids.map(({ backend }) => backend.id),
  );
  await world.runUntil(3_000);
  t.is(world.attempts.length, 1);
  t.is(reply.status, 504);
});

test('retries of requests on a lost path stay within the retry budget', async (t) => {
  const world = await createActiveWorld();
  for (let count = 0; count < 4; count += 1) {
    world.sendRequestTo('far1', SAFE);
  }
  const before = world.attempts.length;
  world.repeatsLeft = 1;
  world.silenceZone('y', ['far1', 'far2']);
  await world.runUntil(1_300);
  t.is(world.attempts.length - before, 1);
});

test('engines outside the subset fill in while the subset is unreachable', (t) => {
  const zones = ['z', 'y', 'x'];
  const world = new GatewayHarness(
    ...zones.flatMap((zone) =>
      Array.from({ length: 10 }, (_unused, index) => backendOf(`${zone}${index}`, { zone })),
    ),
  );
  world.engines = true;
  world.directory.updateSubset('s');
  const reachableInSubset = () =>
    world.directory
      .list()
      .filter(({ isInSubset, path }) => isInSubset && !path.isSuspect)
      .map(({ backend }) => backend.zone);
  t.is(reachableInSubset().filter((zone) => zone === 'z').length, 10);
  for (const known of world.directory.list()) {
    if (known.backend.zone === 'z') {
      known.path.suspect('zone-silent', 0);
    }
  }
  world.directory.updateSubset('s');
  t.is(reachableInSubset().length, 16);
  t.false(reachableInSubset().includes('z'));
});

test('engines without an agent are suspected and trusted again with their zone', async (t) => {
  const world = await createActiveWorld();
  world.dispatcher.updateBackend('far3', backendOf('far3', { zone: 'y' }), world.clock.now());
  world.silent.add('far3');
  world.silenceZone('y', ['far1', 'far2']);
  await world.runUntil(1_300);
  t.true(world.pathOf('far3').isSuspect);
  world.silent.delete('far2');
  await world.runUntil(1_600);
  t.false(world.pathOf('far3').isSuspect);
});

test('a non-repeatable request leaves hung connections, which do not count as attempts', async (t) => {
  const world = await createActiveWorld();
  const { reply } = world.request({ route: { ...UNSAFE, maxAttempts: 1 } });
  const hung = {
    mayHaveRun: false,
    isPortClosed: false,
    isSilent: true,
    detail: 'no connection in time',
  };
  for (let index = 0; index < 3; index += 1) {
    world.attempts[index]!.handlers.onFailure(hung);
  }
  t.is(new Set(world.backendsUsedSince(0)).size, 4);
  world.answer(3, 200, 'whole');
  t.is(reply.status, 200);
  t.is(world.requestEnds[0]!.attempts, 1);
});

test('an attempt that left a lost path ends as path-lost, not as an engine failure', async (t) => {
  const world = await createActiveWorld();
  const index = world.sendRequestTo('far1', SAFE);
  world.silenceZone('y', ['far1', 'far2']);
  await world.runUntil(1_300);
  world.answer(world.attempts.length - 1, 200, 'whole');
  t.true(world.attempts[index]!.isCancelled);
  for (let next = 0; next < world.attempts.length; next += 1) {
    if (!world.attempts[next]!.isCancelled) {
      world.answer(next, 200, 'whole');
    }
  }
  const outcomes = world.requestEnds.flatMap(({ tries }) => tries.map(({ outcome }) => outcome));
  t.true(outcomes.includes('path-lost'));
  t.false(outcomes.includes('failed'));
  t.true(world.endedAttempts.some(({ isBad }) => isBad === undefined));
});
