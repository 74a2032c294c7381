/** Requests in each stage while the configuration changes and sound backends are silent. */
import fc from 'fast-check';
import test from 'ava';
import type { Route, RoutingConfiguration } from '../src/routing/configuration.js';
import { backendOf, routeOf } from './support/gateway-harness.js';
import { configurationOf, serviceOf } from './support/open-gateway.js';
import type { OpenCaller } from './support/open-gateway.js';
import { SoundBackends } from './support/sound-backends.js';
import type { Silence } from './support/sound-backends.js';

const BACKENDS = ['a', 'b', 'c', 'd'];
const ROUTES: readonly Partial<Route>[] = [
  { name: 'safe', pathPrefix: '/safe/', kind: 'safe' },
  { name: 'unsafe', pathPrefix: '/unsafe/', kind: 'unsafe' },
  { name: 'stream', pathPrefix: '/stream/', kind: 'stream', isResumable: true },
  { name: 'plain', pathPrefix: '/plain/', kind: 'stream', isResumable: false },
];
const LAST_ARRIVAL_MS = 6_000;
const END_MS = 20_000;
const SEED = 1;
const RUNS = 600;
/** Timers of the virtual clock count tenths of milliseconds. */
const TIMER_STEP_MS = 0.2;

interface Change {
  readonly atMs: number;
  readonly kept: readonly number[];
  readonly service: string;
  readonly timeoutMs: number;
  readonly maxAttempts: number;
  readonly regions: readonly string[] | undefined;
  readonly isEngine: boolean;
  readonly hasTenant: boolean;
  readonly extraRoutes: number;
  readonly evacuated: string | undefined;
}

interface Arrival {
  readonly atMs: number;
  readonly path: string;
  readonly chargeMs: number;
}

const CHANGE: fc.Arbitrary<Change> = fc.record({
  atMs: fc.integer({ min: 0, max: LAST_ARRIVAL_MS + 2_000 }),
  kept: fc.subarray([0, 1, 2, 3]),
  service: fc.constantFrom('s', 't'),
  timeoutMs: fc.integer({ min: 600, max: 8_000 }),
  maxAttempts: fc.integer({ min: 1, max: 3 }),
  regions: fc.constantFrom(undefined, ['ra'], ['rb'], []),
  isEngine: fc.boolean(),
  hasTenant: fc.boolean(),
  extraRoutes: fc.constantFrom(0, 350),
  evacuated: fc.constantFrom(undefined, 'za', 'zb'),
});

const ARRIVAL: fc.Arbitrary<Arrival> = fc.record({
  atMs: fc.integer({ min: 0, max: LAST_ARRIVAL_MS }),
  path: fc.constantFrom('/safe/', '/unsafe/', '/stream/', '/plain/'),
  chargeMs: fc.constantFrom(0, 0, 80, 400),
});

const SILENCE: fc.Arbitrary<Silence> = fc
  .record({
    backend: fc.constantFrom(...BACKENDS),
    fromMs: fc.integer({ min: 0, max: LAST_ARRIVAL_MS }),
    durationMs: fc.integer({ min: 500, max: 2_000 }),
  })
  .map(({ backend, fromMs, durationMs }) => ({ backend, fromMs, untilMs: fromMs + durationMs }));

interface Day {
  readonly changes: readonly Change[];
  readonly arrivals: readonly Arrival[];
  readonly silences: readonly Silence[];
}

const DAY: fc.Arbitrary<Day> = fc.record({
  changes: fc.array(CHANGE, { maxLength: 6 }),
  arrivals: fc.array(ARRIVAL, { minLength: 1, maxLength: 30 }),
  silences: fc.array(SILENCE, { maxLength: 12 }),
});

function configurationAfter(version: number, change: Partial<Change>): RoutingConfiguration {
  const { kept = [0, 1, 2, 3], service = 's', extraRoutes = 0 } = change;
  const { timeoutMs = 8_000, maxAttempts = 2, regions, isEngine = false } = change;
  const common = {
    services: [{ service, weight: 1 }],
    timeoutMs,
    maxAttempts,
    allowedRegions: regions,
    targetLatencyMs: 400,
    maxPauseMs: 300,
  };
  const routes = kept.map((index) => routeOf({ ...ROUTES[index], ...common }));
  const extra = Array.from({ length: extraRoutes }, (_, index) =>
    routeOf({ name: `extra-${index}`, pathPrefix: `/extra-${index}/` }),
  );
  const services = ['s', 't'].map((name) => ({ ...serviceOf(name), isEngine }));
  const configuration = configurationOf(version, { routes: [...routes, ...extra], services });
  return change.hasTenant === false ? { ...configuration, tenants: [] } : configuration;
}

function createWorld(): SoundBackends {
  const world = new SoundBackends([
    backendOf('a', { zone: 'za', slots: 2 }),
    backendOf('b', { zone: 'zb', slots: 2 }),
    backendOf('c', { zone: 'za', slots: 1, service: 't' }),
    backendOf('d', { zone: 'zb', slots: 2, service: 't' }),
  ]);
  world.regions.set('za', 'ra').set('zb', 'rb');
  world.install(configurationAfter(2, {}));
  return world;
}

function applyChange(world: SoundBackends, change: Change): void {
  for (const zone of ['za', 'zb']) {
    world.order(zone, zone === change.evacuated);
  }
  world.requests.withdrawUnsent();
  world.install(configurationAfter(world.configuration.version! + 1, change));
}

/** Returns what is wrong with the response of a caller that stayed; undefined if nothing is. */
function problemOf({ reply }: OpenCaller, deadlineAtMs: number): string | undefined {
  const { isEnded, isAborted, endedAtMs = Infinity } = reply;
  if (!isEnded && !isAborted) {
    return 'neither answered nor refused';
  }
  if (endedAtMs > deadlineAtMs + TIMER_STEP_MS) {
    return `ended ${endedAtMs - deadlineAtMs} ms after its deadline`;
  }
  return isAborted && endedAtMs < deadlineAtMs - TIMER_STEP_MS ? 'broken off' : undefined;
}

/** Plays one day and returns the problems of its requests. */
async function play({ changes, arrivals, silences }: Day): Promise<string[]> {
  const world = createWorld();
  world.silences = silences;
  const callers: Array<{ readonly caller: OpenCaller; readonly deadlineAtMs: number }> = [];
  for (const change of changes) {
    world.clock.setTimeout(() => applyChange(world, change), change.atMs);
  }
  for (const { atMs, path, chargeMs } of arrivals) {
    world.clock.setTimeout(() => {
      world.chargeOnce = (onResult) => {
        const grant = () => onResult({ isGranted: true, giveBack: () => undefined });
        return chargeMs === 0 ? grant() : void world.clock.setTimeout(grant, chargeMs);
      };
      const route = world.configuration.table!.findRoute('a.example', path);
      const deadlineAtMs = world.clock.now() + (route?.timeoutMs ?? END_MS);
      callers.push({ caller: world.receive(path), deadlineAtMs });
    }, atMs);
  }
  await world.clock.runUntil(END_MS);
  return callers.flatMap(({ caller, deadlineAtMs }) => problemOf(caller, deadlineAtMs) ?? []);
}

test('each whole request is answered or refused while configurations change and backends are silent', async (t) => {
  await fc.assert(
    fc.asyncProperty(DAY, async (day) => {
      const problems = await play(day);
      return problems.length === 0 ? undefined : Promise.reject(new Error(problems.join('; ')));
    }),
    { seed: SEED, numRuns: RUNS },
  );
  t.pass();
});

test('a stream is not broken off at a silent backend because the slots elsewhere are taken', async (t) => {
  const arrivalAt = (atMs: number, path: string) => ({ atMs, path, chargeMs: 0 });
  const problems = await play({
    changes: [],
    arrivals: [
      arrivalAt(0, '/stream/'),
      arrivalAt(0, '/safe/'),
      { ...arrivalAt(1_351, '/safe/'), chargeMs: 80 },
      arrivalAt(0, '/stream/'),
    ],
    silences: [{ backend: 'a', fromMs: 945, untilMs: 2_201 }],
  });
  t.deepEqual(problems, []);
});
