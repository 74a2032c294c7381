/** Responses in progress at sound backends that send nothing for a while and then go on. */
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { backendOf, GatewayHarness, routeOf } from './support/gateway-harness.js';
import type { RecordedReply } from './support/gateway-harness.js';

const STREAM = routeOf({
  kind: 'stream',
  isResumable: true,
  targetLatencyMs: 500,
  maxPauseMs: 200,
  timeoutMs: 8_000,
});
const UNSAFE = routeOf({ kind: 'unsafe', timeoutMs: 8_000 });
const EVENT_1 = 'id: 1\ndata: a\n\n';
const EVENT_2 = 'id: 2\ndata: b\n\n';
const SILENCE_MS = 1_900;
const PROMPT_TOKENS = 40_000;
const OK_HEAD = { status: 200, rawHeaders: [], headers: {} };

/** Starts a stream at `a` that has sent its first event. */
function beginStream(world: GatewayHarness): RecordedReply {
  const { reply } = world.request({ route: STREAM, promptTokens: PROMPT_TOKENS });
  const { handlers, backend } = world.attempts[0]!;
  if (backend.id !== 'a') {
    throw new Error(`the stream began at ${backend.id}`);
  }
  handlers.onHead(OK_HEAD);
  handlers.onData(Buffer.from(EVENT_1));
  return reply;
}

/** Lets the backend of the newest attempt send the rest of the stream. */
function endStream(t: ExecutionContext, world: GatewayHarness, reply: RecordedReply): void {
  t.false(reply.isAborted);
  const attempt = world.attempts.at(-1)!;
  t.false(attempt.isCancelled);
  attempt.handlers.onHead(OK_HEAD);
  attempt.handlers.onData(Buffer.from(EVENT_2));
  attempt.handlers.onEnd();
  t.deepEqual([reply.body, reply.isEnded, reply.isAborted], [EVENT_1 + EVENT_2, true, false]);
}

/** Lets the backend of the first attempt, which is not cancelled, send the rest of the stream. */
function continueFirst(t: ExecutionContext, world: GatewayHarness, reply: RecordedReply): void {
  const [first] = world.attempts;
  t.deepEqual([first!.isCancelled, reply.isAborted], [false, false]);
  first!.handlers.onData(Buffer.from(EVENT_2));
  first!.handlers.onEnd();
  t.deepEqual([reply.body, reply.isEnded, reply.isAborted], [EVENT_1 + EVENT_2, true, false]);
}

/** Occupies one of two slots of `b` and makes `b` too slow to take a long prompt beside it. */
function occupyWithSlowPrompts(world: GatewayHarness): void {
  const { speed } = world.directory.find('b')!;
  speed.learnFirstEventTime(1_000, 1_000);
  speed.learnFirstEventTime(2_000, 2_000);
  world.directory.find('b')!.outstanding = 1;
}

test('a stream is not broken off because the only free slot elsewhere does not suit it', async (t) => {
  const world = new GatewayHarness(backendOf('a', { slots: 4 }), backendOf('b', { slots: 2 }));
  occupyWithSlowPrompts(world);
  const reply = beginStream(world);
  await world.clock.runUntil(SILENCE_MS);
  t.deepEqual([world.attempts.length, world.attempts[0]!.isCancelled], [1, false]);
  endStream(t, world, reply);
});

test('a retry is not charged while no free slot elsewhere suits the request', async (t) => {
  const world = new GatewayHarness(backendOf('a', { slots: 4 }), backendOf('b', { slots: 2 }));
  occupyWithSlowPrompts(world);
  beginStream(world);
  await world.clock.runUntil(SILENCE_MS);
  t.deepEqual([world.chargedRetries, world.repeatsLeft], [0, 10]);
});

test('a stream is not broken off because a slot elsewhere was taken while its retry was charged', async (t) => {
  const world = new GatewayHarness(backendOf('a', { slots: 1 }), backendOf('b', { slots: 1 }));
  let completeCharge: (() => void) | undefined;
  world.charge = (onResult) => (completeCharge = () => onResult(true));
  const reply = beginStream(world);
  await world.clock.runUntil(1_250);
  world.request({ route: UNSAFE });
  completeCharge!();
  await world.clock.runUntil(SILENCE_MS);
  t.deepEqual([world.attempts.length, world.attempts[0]!.isCancelled], [2, false]);
  world.answer(1, 200, 'done');
  t.false(reply.isAborted);
  world.attempts[0]!.handlers.onData(Buffer.from(EVENT_2));
  world.attempts[0]!.handlers.onEnd();
  t.deepEqual([reply.body, reply.isEnded], [EVENT_1 + EVENT_2, true]);
});

test('a stream that left a silent backend is not broken off because the next one refuses it', async (t) => {
  const world = new GatewayHarness(backendOf('a', { slots: 1 }), backendOf('b', { slots: 1 }));
  const reply = beginStream(world);
  await world.clock.runUntil(1_300);
  t.is(world.attempts.length, 2);
  world.attempts[1]!.handlers.onHead({ status: 503, rawHeaders: [], headers: { 'not-run': '1' } });
  await world.clock.runUntil(SILENCE_MS);
  t.is(world.attempts.length, 2);
  continueFirst(t, world, reply);
});

test('a stream that left a silent backend is not broken off because the next one is unreachable', async (t) => {
  const world = new GatewayHarness(backendOf('a', { slots: 1 }), backendOf('b', { slots: 1 }));
  const reply = beginStream(world);
  await world.clock.runUntil(1_300);
  t.is(world.attempts.length, 2);
  world.attempts[1]!.handlers.onFailure({
    mayHaveRun: false,
    isPortClosed: true,
    detail: 'refused',
  });
  await world.clock.runUntil(SILENCE_MS);
  t.is(world.attempts.length, 2);
  continueFirst(t, world, reply);
});

test('a stream on a path that is presumed lost is not broken off while no other backend has a slot', async (t) => {
  const world = new GatewayHarness(backendOf('a', { slots: 1 }), backendOf('b', { slots: 1 }));
  const reply = beginStream(world);
  world.request({ route: UNSAFE });
  const { path } = world.directory.find('a')!;
  path.suspect('connection-hung', world.clock.now());
  path.notifyLost();
  await world.clock.runUntil(SILENCE_MS);
  t.deepEqual([world.attempts.length, world.attempts[0]!.isCancelled], [2, false]);
  t.false(reply.isAborted);
  world.attempts[0]!.handlers.onData(Buffer.from(EVENT_2));
  world.attempts[0]!.handlers.onEnd();
  t.deepEqual([reply.body, reply.isEnded], [EVENT_1 + EVENT_2, true]);
});

test('a safe request is not refused at a silent backend because the only free slot does not suit it', async (t) => {
  const world = new GatewayHarness(backendOf('a', { slots: 4 }), backendOf('b', { slots: 2 }));
  occupyWithSlowPrompts(world);
  const route = routeOf({ kind: 'safe', maxPauseMs: 200, timeoutMs: 8_000 });
  const { reply } = world.request({ route, promptTokens: PROMPT_TOKENS });
  await world.clock.runUntil(SILENCE_MS);
  t.deepEqual(
    [world.attempts.length, world.attempts[0]!.isCancelled, reply.isEnded],
    [1, false, false],
  );
  world.answer(0, 200, 'late');
  t.deepEqual([reply.status, reply.body], [200, 'late']);
});

test('a stream whose caller reads slowly does not leave its backend as silent', async (t) => {
  const world = new GatewayHarness(backendOf('a'), backendOf('b'));
  const { reply } = world.request({ route: STREAM });
  reply.hasBackpressure = true;
  const { handlers } = world.attempts[0]!;
  handlers.onHead(OK_HEAD);
  handlers.onData(Buffer.from(EVENT_1));
  await world.clock.runUntil(3_000);
  t.deepEqual([world.attempts.length, world.attempts[0]!.isCancelled], [1, false]);
  reply.drain();
  await world.clock.runUntil(3_300);
  endStream(t, world, reply);
});

/** Makes `b` take `prefillMs` for the prompt of a stream. */
function learnPrefill(world: GatewayHarness, prefillMs: number): void {
  world.directory.find('b')!.speed.learnFirstEventTime(PROMPT_TOKENS, prefillMs);
}

/** Starts a stream at `a` that sends an event each second until `untilMs`; returns the events. */
async function streamUntil(world: GatewayHarness, untilMs: number) {
  const reply = beginStream(world);
  let events = EVENT_1;
  for (let ms = 1_000; ms <= untilMs; ms += 1_000) {
    await world.clock.runUntil(ms);
    const event = `id: ${ms}\ndata: x\n\n`;
    world.attempts[0]!.handlers.onData(Buffer.from(event));
    events += event;
  }
  return { reply, events };
}

for (const isPathLost of [false, true]) {
  const place = isPathLost ? 'on a path that is presumed lost' : 'at a silent backend';
  test(`a stream ${place} is not moved where its prompt cannot be read before its deadline`, async (t) => {
    const world = new GatewayHarness(backendOf('a', { slots: 4 }), backendOf('b', { slots: 2 }));
    learnPrefill(world, 4_000);
    const { reply, events } = await streamUntil(world, 6_000);
    if (isPathLost) {
      const { path } = world.directory.find('a')!;
      path.suspect('connection-hung', world.clock.now());
      path.notifyLost();
    }
    await world.clock.runUntil(7_800);
    t.false(reply.isAborted);
    t.deepEqual([world.attempts.length, world.attempts[0]!.isCancelled], [1, false]);
    world.attempts[0]!.handlers.onData(Buffer.from(EVENT_2));
    world.attempts[0]!.handlers.onEnd();
    t.deepEqual([reply.body, reply.isEnded], [events + EVENT_2, true]);
  });
}

test('a stream at a silent backend is moved while its prompt can be read again before its deadline', async (t) => {
  const world = new GatewayHarness(backendOf('a', { slots: 4 }), backendOf('b', { slots: 2 }));
  learnPrefill(world, 4_000);
  const { reply, events } = await streamUntil(world, 2_000);
  await world.clock.runUntil(7_400);
  t.is(world.attempts.length, 2);
  world.answer(1, 200, EVENT_2);
  t.deepEqual([reply.body, reply.isEnded], [events + EVENT_2, true]);
});

test('a safe request at a silent backend is not moved where its response cannot be complete in time', async (t) => {
  const world = new GatewayHarness(backendOf('a'), backendOf('b'));
  world.dispatcher.learnSpeed('a', 1, 100);
  world.dispatcher.learnSpeed('b', 1, 1_000);
  const route = routeOf({ kind: 'safe', targetLatencyMs: 2_000, timeoutMs: 2_000 });
  const { reply } = world.request({ route });
  await world.clock.runUntil(1_900);
  t.deepEqual([world.attempts.length, world.attempts[0]!.isCancelled], [1, false]);
  world.answer(0, 200, 'late');
  t.deepEqual([reply.status, reply.body], [200, 'late']);
});
