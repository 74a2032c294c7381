import test from 'ava';
import { PathWatch } from '../src/gateway/dispatch/path-watch.js';
import type { SuspicionCause } from '../src/gateway/dispatch/path-state.js';
import type { Route } from '../src/routing/configuration.js';
import { backendOf, GatewayWorld, routeOf } from './support/gateway.js';

const UNSAFE = routeOf({ kind: 'unsafe', timeoutMs: 10_000, targetLatencyMs: 4_000 });
const SAFE = routeOf({ kind: 'safe', timeoutMs: 10_000, targetLatencyMs: 4_000 });
const STREAM = routeOf({
  kind: 'stream',
  isResumable: true,
  timeoutMs: 10_000,
  targetLatencyMs: 4_000,
  maxPauseMs: 2_000,
});
const BEAT_MS = 300;

/** A gateway before two engines in each of two zones, whose agents the test lets beat or fall silent. */
class TwoZones extends GatewayWorld {
  readonly suspected: Array<[string, SuspicionCause]> = [];
  readonly regained: string[] = [];
  readonly silent = new Set<string>();
  readonly paths = new PathWatch(this.directory, {
    onSuspected: ({ backend }, cause) => void this.suspected.push([backend.id, cause]),
    onRegained: ({ backend }) => void this.regained.push(backend.id),
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

  /** Lets the agents that are not silent beat, and the gateway look at its paths, until `untilMs`. */
  async beatUntil(untilMs: number): Promise<void> {
    while (this.clock.now() < untilMs) {
      const nowMs = Math.min(untilMs, this.clock.now() + 100);
      await this.clock.runUntil(nowMs);
      for (const { backend, path } of this.directory.list()) {
        if (!this.silent.has(backend.id) && nowMs % BEAT_MS === 0) {
          path.noteHeard(nowMs);
        }
      }
      this.paths.review(nowMs);
      this.dispatcher.tick(nowMs);
    }
  }

  /** The zone's agents are heard no more; the links say so for `declared` of them. */
  lose(zone: string, declared: readonly string[]): void {
    for (const { backend } of this.directory.list()) {
      if (backend.zone === zone) {
        this.silent.add(backend.id);
      }
    }
    for (const id of declared) {
      this.dispatcher.disconnectAgent(id, this.clock.now());
      this.pathOf(id).noteAgentSilent();
    }
  }

  usedSince(index: number): string[] {
    return this.attempts.slice(index).map(({ backend }) => backend.id);
  }

  /** Sends requests until one is at work at `id`, and gives its number. */
  requestAt(id: string, route: Route): number {
    for (let count = 0; count < 20; count += 1) {
      this.request({ route });
      if (this.attempts.at(-1)!.backend.id === id) {
        return this.attempts.length - 1;
      }
    }
    throw new Error(`no request came to ${id}`);
  }
}

async function heardWorld(): Promise<TwoZones> {
  const world = new TwoZones();
  await world.beatUntil(BEAT_MS);
  return world;
}

test('the first engine of a zone that falls silent speaks for all of which nothing was heard since', async (t) => {
  const world = await heardWorld();
  world.lose('y', ['far1']);
  await world.beatUntil(1_200);
  t.deepEqual(world.suspected, []);
  await world.beatUntil(1_300);
  t.deepEqual(world.suspected, [
    ['far1', 'agent-silent'],
    ['far2', 'zone-silent'],
  ]);
});

test('an engine of the same zone that is still heard is not suspected', async (t) => {
  const world = await heardWorld();
  world.lose('y', ['far1']);
  world.silent.delete('far2');
  await world.beatUntil(2_000);
  t.deepEqual(world.suspected, [['far1', 'agent-silent']]);
});

test('a connection that hangs while the agent misses its beat makes the path suspect sooner', async (t) => {
  const world = await heardWorld();
  world.lose('y', []);
  const index = world.requestAt('far1', UNSAFE);
  await world.beatUntil(900);
  world.attempts[index]!.handlers.onFailure({
    mayHaveRun: false,
    isPortClosed: false,
    isSilent: true,
    detail: 'no connection in time',
  });
  await world.beatUntil(1_000);
  t.deepEqual(world.suspected, [['far1', 'connection-hung']]);
});

test('a gateway that stood still, and so heard nobody, suspects no path', async (t) => {
  const world = await heardWorld();
  world.lose('y', ['far1', 'far2']);
  world.lose('z', ['near1', 'near2']);
  await world.beatUntil(3_000);
  t.deepEqual(world.suspected, []);
});

test('words that are as far apart as on a sound path make nothing suspect when a neighbour is lost', async (t) => {
  const world = await heardWorld();
  world.lose('y', ['far1']);
  await world.beatUntil(700);
  world.pathOf('far2').noteHeard(700);
  await world.beatUntil(1_300);
  t.deepEqual(world.suspected, [['far1', 'agent-silent']]);
});

test('an agent that ended its connection leaves the path trusted', async (t) => {
  const world = await heardWorld();
  world.silent.add('far1');
  world.dispatcher.disconnectAgent('far1', BEAT_MS);
  await world.beatUntil(3_000);
  t.deepEqual(world.suspected, []);
});

test('what may run only once goes elsewhere, and one repeatable request at a time tries a suspect path', async (t) => {
  const world = await heardWorld();
  world.lose('y', ['far1', 'far2']);
  await world.beatUntil(1_300);
  for (let count = 0; count < 12; count += 1) {
    world.request({ route: UNSAFE });
  }
  t.deepEqual(new Set(world.usedSince(0)), new Set(['near1', 'near2']));
  await world.beatUntil(1_800);
  const before = world.attempts.length;
  for (let count = 0; count < 12; count += 1) {
    world.request({ route: SAFE });
  }
  const tried = world.usedSince(before).filter((id) => id.startsWith('far'));
  t.deepEqual(tried.sort(), ['far1', 'far2']);
});

test('an answer on a suspect path ends the suspicion at once, also while its agent stays silent', async (t) => {
  const world = await heardWorld();
  const index = world.requestAt('far1', UNSAFE);
  world.lose('y', ['far1']);
  await world.beatUntil(1_300);
  t.true(world.pathOf('far1').isSuspect);
  world.answer(index, 200, 'late but whole');
  t.false(world.pathOf('far1').isSuspect);
  await world.beatUntil(3_000);
  t.false(world.pathOf('far1').isSuspect);
  t.true(world.regained.includes('far1'));
});

test('when every path is suspect all are used as if none were', async (t) => {
  const world = await heardWorld();
  for (const { path } of world.directory.list()) {
    path.suspect('agent-silent', world.clock.now());
  }
  for (let count = 0; count < 8; count += 1) {
    world.request({ route: UNSAFE });
  }
  t.is(new Set(world.usedSince(0)).size, 4);
  t.is(world.attempts.length, 8);
});

test('repeatable requests at work on a lost path go on elsewhere at once, others wait for their end', async (t) => {
  const world = await heardWorld();
  const safe = world.requestAt('far1', SAFE);
  const unsafe = world.requestAt('far1', UNSAFE);
  const before = world.attempts.length;
  world.lose('y', ['far1', 'far2']);
  await world.beatUntil(1_300);
  t.true(world.attempts[safe]!.isCancelled);
  t.false(world.attempts[unsafe]!.isCancelled);
  const moved = world.usedSince(before);
  t.true(moved.length > 0);
  t.true(moved.every((id) => id.startsWith('near')));
});

test('a stream that may be resumed goes on elsewhere after the last event that its caller has', async (t) => {
  const world = await heardWorld();
  const index = world.requestAt('far1', STREAM);
  const { handlers } = world.attempts[index]!;
  handlers.onHead({ status: 200, rawHeaders: [], headers: {} });
  handlers.onData(Buffer.from('id: 7\ndata: x\n\n'));
  const before = world.attempts.length;
  world.lose('y', ['far1', 'far2']);
  await world.beatUntil(1_300);
  const resumed = world.attempts.slice(before).find(({ headers }) => headers.includes('7'));
  t.true(resumed?.backend.id.startsWith('near'));
});

test('a request on a lost path that may run only once ends truthfully: it may have run', async (t) => {
  const world = await heardWorld();
  const { reply } = world.request({ route: { ...UNSAFE, timeoutMs: 2_500 } });
  const zone = world.attempts[0]!.backend.zone;
  const ids = world.directory.list().filter(({ backend }) => backend.zone === zone);
  world.lose(
    zone,
    ids.map(({ backend }) => backend.id),
  );
  await world.beatUntil(3_000);
  t.is(world.attempts.length, 1);
  t.is(reply.status, 504);
});

test('the repeats of requests on a lost path stay within the budget', async (t) => {
  const world = await heardWorld();
  for (let count = 0; count < 4; count += 1) {
    world.requestAt('far1', SAFE);
  }
  const before = world.attempts.length;
  world.repeatsLeft = 1;
  world.lose('y', ['far1', 'far2']);
  await world.beatUntil(1_300);
  t.is(world.attempts.length - before, 1);
});

test('engines beyond the subset fill in while the subset is out of reach', (t) => {
  const zones = ['z', 'y', 'x'];
  const world = new GatewayWorld(
    ...zones.flatMap((zone) =>
      Array.from({ length: 10 }, (_unused, index) => backendOf(`${zone}${index}`, { zone })),
    ),
  );
  world.engines = true;
  world.directory.assign('s');
  const assigned = () =>
    world.directory
      .list()
      .filter(({ isAssigned, path }) => isAssigned && !path.isSuspect)
      .map(({ backend }) => backend.zone);
  t.is(assigned().filter((zone) => zone === 'z').length, 10);
  for (const known of world.directory.list()) {
    if (known.backend.zone === 'z') {
      known.path.suspect('zone-silent', 0);
    }
  }
  world.directory.assign('s');
  t.is(assigned().length, 16);
  t.false(assigned().includes('z'));
});

test('engines of a lost zone that have no agent are suspected with it, and trusted once one is heard', async (t) => {
  const world = await heardWorld();
  world.dispatcher.updateBackend('far3', backendOf('far3', { zone: 'y' }), world.clock.now());
  world.silent.add('far3');
  world.lose('y', ['far1', 'far2']);
  await world.beatUntil(1_300);
  t.true(world.pathOf('far3').isSuspect);
  world.silent.delete('far2');
  await world.beatUntil(1_600);
  t.false(world.pathOf('far3').isSuspect);
});

test('an unsafe request whose connections hang is sent elsewhere each time, and counts none as an attempt', async (t) => {
  const world = await heardWorld();
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
  t.is(new Set(world.usedSince(0)).size, 4);
  world.answer(3, 200, 'whole');
  t.is(reply.status, 200);
  t.is(world.ends[0]!.attempts, 1);
});

test('a request that left a lost path shows it, and speaks neither against an engine nor its version', async (t) => {
  const world = await heardWorld();
  const index = world.requestAt('far1', SAFE);
  world.lose('y', ['far1', 'far2']);
  await world.beatUntil(1_300);
  t.true(world.attempts[index]!.isCancelled);
  for (let next = 0; next < world.attempts.length; next += 1) {
    if (!world.attempts[next]!.isCancelled) {
      world.answer(next, 200, 'whole');
    }
  }
  const outcomes = world.ends.flatMap(({ tries }) => tries.map(({ outcome }) => outcome));
  t.true(outcomes.includes('path-lost'));
  t.false(outcomes.includes('failed'));
  t.true(world.triesOver.some(({ isBad }) => isBad === undefined));
});
