/** Reports that a backend has ended, and the requests that it goes on with. */
import test from 'ava';
import { ExitHarness } from './support/exit-harness.js';
import { backendOf, GatewayHarness, routeOf } from './support/gateway-harness.js';

const STREAM = routeOf({
  kind: 'stream',
  isResumable: true,
  targetLatencyMs: 2_000,
  timeoutMs: 20_000,
});
const UNSAFE = routeOf({ kind: 'unsafe', timeoutMs: 20_000 });
const OK_HEAD = { status: 200, rawHeaders: [], headers: {} };
const EVENT_1 = 'id: 1\ndata: a\n\n';
const EVENT_2 = 'id: 2\ndata: b\n\n';
const CLOSED = { availability: 'closed', hasEnded: true } as const;
/** Interval of the messages of agents, in milliseconds. */
const REPORT_MS = 300;
/** Silence of a sound backend, in milliseconds. */
const SILENCE_MS = 1_500;

/** Lets time pass while the agent of `backendId` finds the port of its engine closed. */
async function reportClosedFor(world: ExitHarness, backendId: string, forMs: number) {
  const { clock } = world.gateway;
  const untilMs = clock.now() + forMs;
  while (clock.now() < untilMs) {
    world.receiveState(backendId, CLOSED);
    await clock.runUntil(clock.now() + REPORT_MS);
  }
}

/** Whether the attempt at `index` was not cancelled. */
function isRunning(world: GatewayHarness, index = 0): boolean {
  return !world.attempts[index]!.isCancelled;
}

test('a request is not ended because its backend, whose announcement was removed, closed its port', async (t) => {
  const world = new GatewayHarness(backendOf('a'));
  const { reply, request } = world.request({ route: UNSAFE });
  world.dispatcher.updateBackend('a', undefined, 0);
  request.handleBackendEnded('a', 'agent');
  await world.clock.runUntil(SILENCE_MS);
  world.answer(0, 200, 'good');
  t.is(reply.body, 'good');
});

test('a request is not ended at a draining backend whose address another process has taken', async (t) => {
  const world = new GatewayHarness(backendOf('a', { state: 'ready' }));
  const { reply, request } = world.request({ route: UNSAFE });
  world.dispatcher.updateBackend('a', backendOf('a', { state: 'draining' }), 0);
  request.handleBackendEnded('a', 'replaced');
  await world.clock.runUntil(SILENCE_MS);
  world.answer(0, 200, 'good');
  t.is(reply.body, 'good');
});

test('a request is not ended at a backend that was replaced under its name at another address', async (t) => {
  const world = new ExitHarness(UNSAFE);
  world.announce('w', { bornAtMs: 1_000, address: 'old:1' });
  const reply = world.request();
  world.announce('w', { bornAtMs: 2_000, address: 'new:1' });
  await world.gateway.clock.runUntil(SILENCE_MS);
  world.gateway.answer(0, 200, 'good');
  t.is(reply.body, 'good');
});

test('a stream is not ended at a draining backend that was replaced under its name and is silent', async (t) => {
  const world = new ExitHarness({ ...STREAM, isResumable: false, maxAttempts: 1 });
  world.announce('w', { bornAtMs: 1_000, address: 'old:1' });
  const reply = world.request();
  const { handlers } = world.gateway.attempts[0]!;
  handlers.onHead(OK_HEAD);
  handlers.onData(Buffer.from(EVENT_1));
  world.announce('w', { bornAtMs: 1_000, address: 'old:1', state: 'draining' });
  world.announce('w', { bornAtMs: 2_000, address: 'new:1' });
  await world.gateway.clock.runUntil(SILENCE_MS);
  handlers.onData(Buffer.from(EVENT_2));
  handlers.onEnd();
  t.deepEqual([reply.isAborted, reply.isEnded], [false, true]);
});

test('a request that may be lost with its backend ends once another process is announced at its address', async (t) => {
  const world = new ExitHarness(UNSAFE);
  world.announce('w', { bornAtMs: 1_000 });
  const reply = world.request();
  const { clock } = world.gateway;
  await clock.runUntil(5_000);
  world.viewedAtMs = 4_500;
  world.announce('w', { bornAtMs: 2_000 });
  await clock.runUntil(5_301);
  t.deepEqual([reply.status, isRunning(world.gateway)], [502, false]);
  const [event, fields] = world.logged.at(-1)!;
  t.is(event, 'backend-ended');
  t.like(fields, { evidence: 'replaced', backend: 'w@1000', storeAgeMs: 500 });
});

test('a request that a restarted backend runs is not ended by its announcement after an outage of the store', async (t) => {
  const world = new ExitHarness(UNSAFE);
  world.announce('w', { bornAtMs: 1_000 });
  const { clock } = world.gateway;
  // The store is away until 9,000 ms; the backend restarts at 4,000.
  await clock.runUntil(8_900);
  const reply = world.request();
  await clock.runUntil(9_000);
  world.announce('w', { bornAtMs: 2_000 });
  await clock.runUntil(9_000 + SILENCE_MS);
  world.gateway.answer(0, 200, 'good');
  t.is(reply.body, 'good');
});

test('a request to a restarted backend is not ended by the late report of the restart', async (t) => {
  const world = new ExitHarness(UNSAFE);
  world.gateway.engines = true;
  world.announce('w', { bornAtMs: 1_000 });
  world.connectAgent('w@1000');
  world.receiveState('w@1000', { bornAtMs: 1_000 });
  const { clock } = world.gateway;
  const early = world.request();
  await clock.runUntil(5_000);
  const late = world.request();
  await clock.runUntil(5_050);
  // The agent publishes the end of the former process and the next one together.
  world.receiveState('w@1000', { ...CLOSED, endedBornBeforeMs: 2_000 });
  world.receiveState('w@1000', { bornAtMs: 2_000 });
  await clock.runUntil(5_050 + SILENCE_MS);
  t.deepEqual([early.status, isRunning(world.gateway, 0)], [502, false]);
  world.gateway.answer(1, 200, 'good');
  t.is(late.body, 'good');
});

test('a request is not ended by a closed port while the gateway cannot know whether its backend drains', async (t) => {
  const world = new ExitHarness(UNSAFE);
  world.gateway.engines = true;
  world.announce('w', { bornAtMs: 1_000 });
  world.connectAgent('w@1000');
  world.receiveState('w@1000', { bornAtMs: 1_000 });
  const reply = world.request();
  await reportClosedFor(world, 'w@1000', 3_000);
  t.true(isRunning(world.gateway));
  world.viewedAtMs = world.gateway.clock.now();
  world.announce('w', { bornAtMs: 1_000, state: 'draining' });
  await reportClosedFor(world, 'w@1000', 1_000);
  world.gateway.answer(0, 200, 'good');
  t.is(reply.body, 'good');
  t.deepEqual(
    world.logged.map(([event]) => event).filter((event) => event.startsWith('backend-end')),
    ['backend-end-presumed'],
  );
});

test('a request behind a partition ends once the store shows that its backend with the closed port does not drain', async (t) => {
  const world = new ExitHarness(UNSAFE);
  world.gateway.engines = true;
  world.announce('w', { bornAtMs: 1_000 });
  world.connectAgent('w@1000');
  world.receiveState('w@1000', { bornAtMs: 1_000 });
  const reply = world.request();
  await world.gateway.clock.runUntil(100);
  await reportClosedFor(world, 'w@1000', 900);
  t.true(isRunning(world.gateway));
  world.viewedAtMs = 700;
  await reportClosedFor(world, 'w@1000', 600);
  t.deepEqual([reply.status, isRunning(world.gateway)], [502, false]);
  t.like(world.logged.find(([event]) => event === 'backend-ended')?.[1], {
    evidence: 'agent',
    reportedForMs: 900,
    running: 1,
  });
});

test('an earlier report of a closed port does not count once the port was open again', async (t) => {
  const world = new ExitHarness(UNSAFE);
  world.gateway.engines = true;
  world.announce('w', { bornAtMs: 1_000 });
  world.connectAgent('w@1000');
  world.receiveState('w@1000', { bornAtMs: 1_000 });
  world.request();
  const { clock } = world.gateway;
  world.receiveState('w@1000', CLOSED);
  await clock.runUntil(5_000);
  world.viewedAtMs = 4_900;
  await reportClosedFor(world, 'w@1000', 600);
  t.true(isRunning(world.gateway));
});
