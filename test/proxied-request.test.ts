import test from 'ava';
import { backendOf, GatewayHarness, routeOf } from './support/gateway-harness.js';

const UNSAFE = routeOf({ kind: 'unsafe' });
const STREAM = routeOf({ kind: 'stream', targetLatencyMs: 500 });
const RESUMABLE = routeOf({ kind: 'stream', isResumable: true, targetLatencyMs: 500 });
const RESET_FAILURE = { mayHaveRun: true, isPortClosed: false, detail: 'reset' };
const CONNECTION_REFUSED = { mayHaveRun: false, isPortClosed: true, detail: 'refused' };
const EVENT_1 = 'id: 1\ndata: a\n\n';
const EVENT_2 = 'id: 2\ndata: b\n\n';

function twoBackends(): GatewayHarness {
  return new GatewayHarness(backendOf('a'), backendOf('b'));
}

test('a response reaches the caller with its status and body', (t) => {
  const world = twoBackends();
  const { reply } = world.request();
  world.answer(0, 200, 'hello');
  t.deepEqual([reply.status, reply.body, reply.isEnded], [200, 'hello', true]);
});

test('a request without a response ends at its timeout as possibly executed', async (t) => {
  const world = twoBackends();
  const { reply } = world.request({ route: UNSAFE });
  await world.clock.runUntil(2_010);
  t.is(reply.status, 504);
  t.true(world.attempts[0]!.isCancelled);
});

test('a request whose deadline passed before it was admitted is refused and not sent', (t) => {
  const world = twoBackends();
  const { reply } = world.request({ deadlineAtMs: world.clock.now() });
  t.is(world.attempts.length, 0);
  t.is(reply.status, 503);
});

test('a request that was never sent is refused with a Retry-After', async (t) => {
  const world = new GatewayHarness();
  const { reply } = world.request({ route: UNSAFE });
  await world.clock.runUntil(2_010);
  t.is(reply.status, 503);
  t.true(reply.headers.includes('retry-after-ms'));
});

test('a non-retryable request is not sent again after an incomplete response', (t) => {
  const world = twoBackends();
  const { reply } = world.request({ route: UNSAFE });
  world.attempts[0]!.handlers.onFailure(RESET_FAILURE);
  t.is(world.attempts.length, 1);
  t.is(reply.status, 502);
});

test('a non-retryable request is sent elsewhere if nothing was sent', (t) => {
  const world = twoBackends();
  world.request({ route: UNSAFE });
  world.attempts[0]!.handlers.onFailure(CONNECTION_REFUSED);
  t.not(world.attempts[1]!.backend.id, world.attempts[0]!.backend.id);
});

test('a request skips any number of closed ports, and later requests are not sent there', (t) => {
  const ids = ['a', 'b', 'c', 'd', 'e', 'f', 'g'];
  const world = new GatewayHarness(...ids.map((id) => backendOf(id)));
  const { reply } = world.request({ route: UNSAFE });
  for (let index = 0; index < 6; index += 1) {
    world.attempts[index]!.handlers.onFailure(CONNECTION_REFUSED);
  }
  world.answer(6, 200, 'served');
  t.is(reply.body, 'served');
  world.request({ route: UNSAFE });
  t.is(world.attempts[7]!.backend.id, world.attempts[6]!.backend.id);
});

test('a backend with a closed port is ejected for a while, however fast it was', (t) => {
  const world = twoBackends();
  world.dispatcher.learnSpeed('a', 1, 10);
  world.dispatcher.learnSpeed('b', 1, 50);
  world.request({ route: UNSAFE });
  t.is(world.attempts[0]!.backend.id, 'a');
  world.attempts[0]!.handlers.onFailure(CONNECTION_REFUSED);
  t.true(world.directory.find('a')!.health.isEjected(world.clock.now()));
  world.answer(1, 200, 'served');
  world.request({ route: UNSAFE });
  t.is(world.attempts[2]!.backend.id, 'b');
});

test('a request is refused after a few failed connects', (t) => {
  const ids = ['a', 'b', 'c', 'd', 'e', 'f', 'g'];
  const world = new GatewayHarness(...ids.map((id) => backendOf(id)));
  const { reply } = world.request({ route: UNSAFE });
  for (let index = 0; index < 5; index += 1) {
    world.attempts[index]!.handlers.onFailure({ ...CONNECTION_REFUSED, isPortClosed: false });
  }
  t.is(world.attempts.length, 5);
  t.is(reply.status, 503);
});

test('a not-executed response is a 503 with a Retry-After if no other attempt is allowed', (t) => {
  const world = twoBackends();
  const { reply } = world.request({ route: routeOf({ kind: 'unsafe', maxAttempts: 1 }) });
  world.answer(0, 503, '', { 'not-run': '1' });
  t.is(reply.status, 503);
  t.true(reply.headers.includes('retry-after-ms'));
});

test('a misdirected request is released without a success or failure for the backend', (t) => {
  const world = twoBackends();
  world.engines = true;
  world.dispatcher.connectAgent('a', 0);
  world.request({ route: UNSAFE });
  world.answer(0, 421, '', { 'not-run': '1' });
  t.deepEqual(world.agentMessages.at(-1), ['a', { kind: 'released', hasFailed: undefined }]);
});

test('a connect timeout is reported to the agent as silence, not as an engine failure', (t) => {
  const world = twoBackends();
  world.engines = true;
  world.dispatcher.connectAgent('a', 0);
  world.dispatcher.connectAgent('b', 0);
  world.request({ route: UNSAFE });
  const failure = {
    mayHaveRun: false,
    isPortClosed: false,
    isSilent: true,
    detail: 'no connection',
  };
  world.attempts[0]!.handlers.onFailure(failure);
  t.deepEqual(
    world.agentMessages.find(([, { kind }]) => kind === 'released'),
    ['a', { kind: 'released', isSilent: true }],
  );
  t.is(world.attempts[1]!.backend.id, 'b');
});

test('a response with the id of another request is never forwarded', (t) => {
  const world = twoBackends();
  const { reply } = world.request({ route: UNSAFE });
  world.answer(0, 200, 'for somebody else', { request: 'other' });
  t.is(reply.status, 502);
  t.false(reply.body.includes('somebody'));
  t.true(world.attempts[0]!.isCancelled);
});

test('a safe request is retried elsewhere after an error', (t) => {
  const world = twoBackends();
  const { reply } = world.request();
  world.answer(0, 500, 'bad');
  world.answer(1, 200, 'good');
  t.deepEqual([reply.status, reply.body], [200, 'good']);
});

test('a safe request whose attempts all fail gets the last backend response', (t) => {
  const world = twoBackends();
  const { reply } = world.request();
  world.answer(0, 500, 'bad');
  world.answer(1, 500, 'worse');
  t.deepEqual([reply.status, reply.body], [500, 'worse']);
});

test('a safe request is not retried without retry budget', (t) => {
  const world = twoBackends();
  world.repeatsLeft = 0;
  const { reply } = world.request();
  world.answer(0, 500, 'bad');
  t.deepEqual([reply.status, reply.body, world.attempts.length], [500, 'bad', 1]);
});

test('a safe request moves away from a backend that sends nothing', async (t) => {
  const world = twoBackends();
  const { reply } = world.request();
  await world.clock.runUntil(70);
  t.deepEqual([world.attempts.length, world.attempts[0]!.isCancelled], [2, false]);
  world.answer(1, 200, 'good');
  t.deepEqual([reply.status, world.attempts[0]!.isCancelled], [200, true]);
});

test('a stream forwards complete events only', (t) => {
  const world = twoBackends();
  const { reply } = world.request({ route: STREAM });
  const { handlers } = world.attempts[0]!;
  handlers.onHead({ status: 200, rawHeaders: [], headers: {} });
  handlers.onData(Buffer.from(`${EVENT_1}id: 2\nda`));
  t.is(reply.body, EVENT_1);
});

test('an interrupted stream that is not resumable is aborted and never completed', (t) => {
  const world = twoBackends();
  const { reply } = world.request({ route: STREAM });
  const { handlers } = world.attempts[0]!;
  handlers.onHead({ status: 200, rawHeaders: [], headers: {} });
  handlers.onData(Buffer.from(EVENT_1));
  handlers.onFailure(RESET_FAILURE);
  t.true(reply.isAborted);
  t.false(reply.isEnded);
  t.is(world.attempts.length, 1);
});

test('a stream that ends inside an event is not completed', (t) => {
  const world = twoBackends();
  const { reply } = world.request({ route: STREAM });
  world.answer(0, 200, `${EVENT_1}id: 2`);
  t.true(reply.isAborted);
  t.false(reply.isEnded);
});

test('a resumable stream resumes elsewhere after its last complete event within one response', (t) => {
  const world = twoBackends();
  const { reply } = world.request({ route: RESUMABLE });
  const { handlers } = world.attempts[0]!;
  handlers.onHead({ status: 200, rawHeaders: ['seal', 'first'], headers: {} });
  handlers.onData(Buffer.from(`${EVENT_1}id: 2\nda`));
  handlers.onFailure(RESET_FAILURE);
  t.deepEqual(world.attempts[1]!.headers.slice(-2), ['last-event', '1']);
  world.answer(1, 200, EVENT_2);
  t.deepEqual([reply.body, reply.isEnded], [EVENT_1 + EVENT_2, true]);
  t.deepEqual(reply.headers, ['seal', 'first']);
});

test('a stalled stream is not cancelled while no other backend has a free slot', async (t) => {
  const world = new GatewayHarness(backendOf('a', { slots: 1 }), backendOf('b', { slots: 1 }));
  const { reply } = world.request({ route: RESUMABLE });
  world.request({ route: UNSAFE });
  t.not(world.attempts[0]!.backend.id, world.attempts[1]!.backend.id);
  const { handlers } = world.attempts[0]!;
  handlers.onHead({ status: 200, rawHeaders: [], headers: {} });
  handlers.onData(Buffer.from(EVENT_1));
  await world.clock.runUntil(1_600);
  t.deepEqual([world.attempts[0]!.isCancelled, reply.isAborted], [false, false]);
  handlers.onData(Buffer.from(EVENT_2));
  handlers.onEnd();
  t.deepEqual([reply.body, reply.isEnded], [EVENT_1 + EVENT_2, true]);
});

test('a stalled stream resumes elsewhere once another backend has a free slot', async (t) => {
  const world = new GatewayHarness(backendOf('a', { slots: 1 }), backendOf('b', { slots: 1 }));
  const { reply } = world.request({ route: RESUMABLE });
  world.request({ route: UNSAFE });
  const { handlers } = world.attempts[0]!;
  handlers.onHead({ status: 200, rawHeaders: [], headers: {} });
  handlers.onData(Buffer.from(EVENT_1));
  await world.clock.runUntil(1_400);
  world.answer(1, 200, 'done');
  await world.clock.runUntil(1_700);
  t.false(world.attempts[0]!.isCancelled);
  world.answer(2, 200, EVENT_2);
  t.true(world.attempts[0]!.isCancelled);
  t.deepEqual([reply.body, reply.isEnded], [EVENT_1 + EVENT_2, true]);
});

test('a stalled stream is not cancelled if its tenant has no quota for a retry', async (t) => {
  const world = twoBackends();
  world.hasQuota = false;
  const { reply } = world.request({ route: RESUMABLE });
  const { handlers } = world.attempts[0]!;
  handlers.onHead({ status: 200, rawHeaders: [], headers: {} });
  handlers.onData(Buffer.from(EVENT_1));
  await world.clock.runUntil(1_800);
  t.deepEqual([world.attempts[0]!.isCancelled, reply.isAborted], [false, false]);
  handlers.onData(Buffer.from(EVENT_2));
  handlers.onEnd();
  t.deepEqual([reply.body, reply.isEnded], [EVENT_1 + EVENT_2, true]);
  t.is(world.chargedRetries, 1);
});

test('an error response to a resumed stream aborts it and never completes it', (t) => {
  const world = twoBackends();
  const { reply } = world.request({ route: RESUMABLE });
  const { handlers } = world.attempts[0]!;
  handlers.onHead({ status: 200, rawHeaders: [], headers: {} });
  handlers.onData(Buffer.from(EVENT_1));
  handlers.onFailure(RESET_FAILURE);
  world.answer(1, 500, 'bad');
  t.deepEqual([reply.body, reply.isEnded, reply.isAborted], [EVENT_1, false, true]);
});

test('a stream resumes on a third backend after an error of the second', (t) => {
  const world = new GatewayHarness(backendOf('a'), backendOf('b'), backendOf('c'));
  const { reply } = world.request({ route: { ...RESUMABLE, maxAttempts: 3 } });
  const { handlers } = world.attempts[0]!;
  handlers.onHead({ status: 200, rawHeaders: [], headers: {} });
  handlers.onData(Buffer.from(EVENT_1));
  handlers.onFailure(RESET_FAILURE);
  world.answer(1, 500, 'bad');
  world.answer(2, 200, EVENT_2);
  t.deepEqual([reply.body, reply.isEnded], [EVENT_1 + EVENT_2, true]);
});

test('each attempt is sent the remaining time', async (t) => {
  const world = twoBackends();
  world.request();
  await world.clock.runUntil(70);
  const remainingMs = Number(world.attempts[1]!.headers[1]);
  t.true(remainingMs > 1_900 && remainingMs <= 1_940);
});

test('a caller disconnect cancels the attempt at once', (t) => {
  const world = twoBackends();
  const { request } = world.request();
  request.handleCallerDisconnect();
  t.true(world.attempts[0]!.isCancelled);
  t.is(world.requestEnds[0]?.reason, 'caller-left');
});

test('a request that gets no slot is refused as not executed long before its deadline', async (t) => {
  const world = new GatewayHarness(backendOf('a', { slots: 1 }));
  world.request({ route: UNSAFE });
  const { reply } = world.request({ route: routeOf({ priority: 2 }) });
  await world.clock.runUntil(1_200);
  t.is(reply.status, 503);
  t.is(world.requestEnds.find(({ reason }) => reason === 'overloaded')?.attempts, 0);
});

/** Keeps the only slot occupied with requests of the highest tier, one every 20 ms. */
async function overload(world: GatewayHarness, forMs: number): Promise<void> {
  const urgent = routeOf({ kind: 'unsafe', priority: 0, targetLatencyMs: 1_000 });
  world.request({ route: urgent });
  const untilMs = world.clock.now() + forMs;
  for (let index = world.attempts.length - 1; world.clock.now() < untilMs; index += 1) {
    world.request({ route: urgent });
    world.request({ route: urgent });
    await world.clock.runUntil(world.clock.now() + 20);
    world.answer(index, 200, '');
  }
}

test('a request is refused on arrival under overload by more urgent requests', async (t) => {
  const world = new GatewayHarness(backendOf('a', { slots: 1 }));
  await overload(world, 2_000);
  const { reply } = world.request({ route: routeOf({ priority: 2 }) });
  t.is(reply.status, 503);
});

test('the Retry-After of a refusal leaves the caller time for a retry', async (t) => {
  const world = new GatewayHarness(backendOf('a', { slots: 1 }));
  await overload(world, 4_000);
  const { reply } = world.request({ route: routeOf({ priority: 2, timeoutMs: 900 }) });
  const retryAfterMs = reply.headers[reply.headers.indexOf('retry-after-ms') + 1];
  t.true(Number(retryAfterMs) >= 100 && Number(retryAfterMs) <= 300, retryAfterMs);
});

test('a late retry is queued behind requests of its tier that can still be on time', async (t) => {
  const world = new GatewayHarness(backendOf('a', { slots: 1 }));
  world.request({ route: UNSAFE });
  await world.clock.runUntil(500);
  world.request({ route: UNSAFE, path: '/returned', firstAttemptAtMs: 0 });
  await world.clock.runUntil(510);
  world.request({ route: UNSAFE, path: '/first-try' });
  world.answer(0, 200, '');
  t.is(world.attempts[1]!.path, '/first-try');
});

test('a retry is charged to its tenant and is not started if the quota is insufficient', (t) => {
  const world = twoBackends();
  const safe = routeOf({ kind: 'safe' });
  world.request({ route: safe });
  world.attempts[0]!.handlers.onFailure(RESET_FAILURE);
  t.is(world.attempts.length, 2);
  t.is(world.chargedRetries, 1);
  world.hasQuota = false;
  const { reply } = world.request({ route: safe });
  world.attempts[2]!.handlers.onFailure(RESET_FAILURE);
  t.is(world.attempts.length, 3);
  t.is(reply.status, 502);
});

test('a request that no backend executed is sent elsewhere without a charge', (t) => {
  const world = twoBackends();
  world.request({ route: UNSAFE });
  world.attempts[0]!.handlers.onFailure(CONNECTION_REFUSED);
  t.is(world.attempts.length, 2);
  t.is(world.chargedRetries, 0);
});

test('a stream of small events without end is broken off before its deadline', (t) => {
  const world = twoBackends();
  const { reply } = world.request({ route: STREAM });
  const { handlers } = world.attempts[0]!;
  handlers.onHead({ status: 200, rawHeaders: [], headers: {} });
  handlers.onData(Buffer.from('data: x\n\n'.repeat(10_000)));
  t.true(reply.isAborted);
  t.true(world.attempts[0]!.isCancelled);
});
