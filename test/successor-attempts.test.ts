/** Attempts that run beside one at a silent backend, and which of the two is used. */
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { softwareVersionOf } from '../src/streams/software-version.js';
import { backendOf, GatewayHarness, routeOf } from './support/gateway-harness.js';
import type { ProxiedRequest } from '../src/gateway/attempt/proxied-request.js';
import type { RecordedAttempt, RecordedReply } from './support/gateway-harness.js';

const STREAM = routeOf({
  kind: 'stream',
  isResumable: true,
  targetLatencyMs: 500,
  maxPauseMs: 200,
  timeoutMs: 20_000,
});
const VERSION = softwareVersionOf({ id: 'a', version: 'v1' });
const SAFE = routeOf({ kind: 'safe', targetLatencyMs: 2_000, timeoutMs: 8_000 });
const EVENT_1 = 'id: 1\ndata: a\n\n';
const EVENT_2 = 'id: 2\ndata: b\n\n';
const EVENT_3 = 'id: 3\ndata: c\n\n';
const OK_HEAD = { status: 200, rawHeaders: [], headers: {} };
const NOT_RUN = { status: 503, rawHeaders: [], headers: { 'not-run': '1' } };
const RESET = { mayHaveRun: true, isPortClosed: false, detail: 'reset' };
/** Time by which a second attempt of a silent stream is sent, in milliseconds. */
const MOVED_MS = 1_300;
/** Longest time for which two backends may work on one stream, in milliseconds. */
const MAX_SHARED_MS = 400;

interface MovedStream {
  readonly world: GatewayHarness;
  readonly reply: RecordedReply;
  readonly request: ProxiedRequest;
  readonly disconnect: () => void;
  readonly first: RecordedAttempt;
  readonly second: RecordedAttempt;
}

/** Starts a stream at `a` that sends an event and falls silent, until it is sent to `b` as well. */
async function moveStream(
  options: { readonly bornAtMs?: number; readonly isReported?: boolean } = {},
): Promise<MovedStream> {
  const { bornAtMs, isReported = true } = options;
  const [a, b] = ['a', 'b'].map((id) => backendOf(id, { slots: 1, bornAtMs }));
  const world = new GatewayHarness(a!, b!);
  if (!isReported) {
    world.unreportedBackendIds.add('b');
  }
  const { reply, request } = world.request({ route: STREAM });
  const [first] = world.attempts;
  first!.handlers.onHead(OK_HEAD);
  first!.handlers.onData(Buffer.from(EVENT_1));
  await world.clock.runUntil(MOVED_MS);
  const second = world.attempts[1]!;
  return {
    world,
    reply,
    request,
    disconnect: () => request.handleCallerDisconnect(),
    first: first!,
    second,
  };
}

/** Starts a safe request at `a` that is not answered, until it is sent to `b` as well. */
async function moveUnanswered(): Promise<Pick<MovedStream, 'world' | 'first' | 'second'>> {
  const world = new GatewayHarness(backendOf('a', { slots: 1 }), backendOf('b', { slots: 1 }));
  world.request({ route: SAFE });
  await world.clock.runUntil(MOVED_MS);
  const [first, second] = world.attempts;
  return { world, first: first!, second: second! };
}

function sendEvents(attempt: RecordedAttempt, ...events: string[]): void {
  attempt.handlers.onData(Buffer.from(events.join('')));
}

/** Lets the first backend complete the stream. */
function completeFirst(t: ExecutionContext, { first, reply }: MovedStream): void {
  t.deepEqual([first.isCancelled, reply.isAborted], [false, false]);
  sendEvents(first, EVENT_2);
  first.handlers.onEnd();
  t.deepEqual([reply.body, reply.isEnded, reply.isAborted], [EVENT_1 + EVENT_2, true, false]);
}

test('a stream at a silent draining backend is not broken off because the next backend is silent too', async (t) => {
  const stream = await moveStream();
  const { world } = stream;
  world.dispatcher.updateBackend('a', backendOf('a', { slots: 1, state: 'draining' }), MOVED_MS);
  await world.clock.runUntil(8_000);
  completeFirst(t, stream);
  t.true(stream.second.isCancelled);
});

test('a stream is not broken off because the slot at its silent backend was taken while the next one refused it', async (t) => {
  const stream = await moveStream();
  stream.second.handlers.onHead(NOT_RUN);
  stream.world.request({ route: routeOf({ kind: 'unsafe' }) });
  await stream.world.clock.runUntil(8_000);
  completeFirst(t, stream);
});

test('the attempt at a silent backend ends with the first event of the next one, not before', async (t) => {
  const { reply, first, second } = await moveStream();
  second.handlers.onHead(OK_HEAD);
  sendEvents(second, EVENT_2.slice(0, 5));
  t.false(first.isCancelled);
  sendEvents(second, EVENT_2.slice(5));
  t.true(first.isCancelled);
  sendEvents(second, EVENT_3);
  second.handlers.onEnd();
  t.deepEqual([reply.body, reply.isEnded], [EVENT_1 + EVENT_2 + EVENT_3, true]);
});

test('no event reaches the caller twice when the silent backend goes on before the next one', async (t) => {
  const stream = await moveStream();
  stream.second.handlers.onHead(OK_HEAD);
  sendEvents(stream.second, EVENT_2.slice(0, 5));
  completeFirst(t, stream);
  t.true(stream.second.isCancelled);
});

test('two backends do not work on one stream for longer than the limit once the next one has accepted it', async (t) => {
  const { world, first, second, reply } = await moveStream();
  second.handlers.onHead(OK_HEAD);
  await world.clock.runUntil(MOVED_MS + MAX_SHARED_MS);
  t.true(first.isCancelled);
  sendEvents(second, EVENT_2);
  second.handlers.onEnd();
  t.deepEqual([reply.body, reply.isEnded], [EVENT_1 + EVENT_2, true]);
});

test('events of another software version than that of the stream are not used', async (t) => {
  const stream = await moveStream({ bornAtMs: 5, isReported: false });
  const { second } = stream;
  second.handlers.onHead(OK_HEAD);
  sendEvents(second, EVENT_2);
  t.is(stream.reply.body, EVENT_1);
  second.handlers.onProcess!({ bornAtMs: 9, source: 'agent' });
  t.true(second.isCancelled);
  completeFirst(t, stream);
});

test('events of a process that is identified later are used once it is known to run the same version', async (t) => {
  const { first, second, reply } = await moveStream({ bornAtMs: 5, isReported: false });
  second.handlers.onHead(OK_HEAD);
  sendEvents(second, EVENT_2);
  t.false(first.isCancelled);
  second.handlers.onProcess!({ bornAtMs: 5, source: 'agent' });
  second.handlers.onEnd();
  t.deepEqual([first.isCancelled, reply.body, reply.isEnded], [true, EVENT_1 + EVENT_2, true]);
});

test('a stream goes on at the next backend when the silent one fails', async (t) => {
  const { world, first, second, reply } = await moveStream();
  first.handlers.onFailure(RESET);
  await world.clock.runUntil(MOVED_MS + 1_000);
  second.handlers.onHead(OK_HEAD);
  sendEvents(second, EVENT_2);
  second.handlers.onEnd();
  t.deepEqual([world.attempts.length, reply.body], [2, EVENT_1 + EVENT_2]);
});

test('both attempts end at the deadline, and both slots are released', async (t) => {
  const { world, first, second, reply } = await moveStream();
  await world.clock.runUntil(STREAM.timeoutMs);
  t.deepEqual([first.isCancelled, second.isCancelled, reply.isAborted], [true, true, true]);
  t.deepEqual(
    ['a', 'b'].map((id) => world.directory.find(id)!.outstanding),
    [0, 0],
  );
});

test('both attempts end when the caller disconnects', async (t) => {
  const { world, disconnect, first, second } = await moveStream();
  disconnect();
  t.deepEqual([first.isCancelled, second.isCancelled], [true, true]);
  t.deepEqual(
    ['a', 'b'].map((id) => world.directory.find(id)!.outstanding),
    [0, 0],
  );
});

test('a safe request that a second backend may have run is not refused as not run', async (t) => {
  const world = new GatewayHarness(backendOf('a', { slots: 1 }), backendOf('b', { slots: 1 }));
  const { reply } = world.request({ route: SAFE });
  await world.clock.runUntil(MOVED_MS);
  world.attempts[1]!.handlers.onFailure(RESET);
  world.attempts[0]!.handlers.onHead(NOT_RUN);
  await world.clock.runUntil(SAFE.timeoutMs);
  t.is(reply.status, 502);
});

test('the response of a backend that failed is not lost because the one beside it fails too', async (t) => {
  const world = new GatewayHarness(backendOf('a', { slots: 1 }), backendOf('b', { slots: 1 }));
  const { reply } = world.request({ route: SAFE });
  await world.clock.runUntil(MOVED_MS);
  t.is(world.attempts.length, 2);
  world.answer(0, 500, 'bad');
  world.attempts[1]!.handlers.onFailure(RESET);
  t.deepEqual([reply.status, reply.body], [500, 'bad']);
});

test('a retry that did not reach the next backend is given back, and not charged again', async (t) => {
  const { world, second } = await moveStream();
  world.dispatcher.updateBackend('c', backendOf('c', { slots: 1 }), MOVED_MS);
  second.handlers.onFailure({ mayHaveRun: false, isPortClosed: true, detail: 'refused' });
  await world.clock.runUntil(MOVED_MS + 300);
  t.is(world.attempts.at(-1)!.backend.id, 'c');
  t.deepEqual([world.chargedRetries, world.repeatsLeft], [1, 9]);
});

test('an attempt beside a silent backend ends when the path to the next backend is lost', async (t) => {
  const stream = await moveStream();
  const { path } = stream.world.directory.find('b')!;
  path.suspect('connection-hung', stream.world.clock.now());
  path.notifyLost();
  t.true(stream.second.isCancelled);
  completeFirst(t, stream);
});

test('what the next backend states of itself is heard although its response is not used', async (t) => {
  const stream = await moveStream();
  const statement = { isLeaving: true };
  stream.second.handlers.onHead({
    ...NOT_RUN,
    headers: { 'not-run': '1', statement: statement as unknown as string },
  });
  t.true(stream.world.directory.find('b')!.condition.isLeaving);
  completeFirst(t, stream);
});

test('a response of the next backend that rejects a stream is not taken for a failure of that backend', async (t) => {
  const world = new GatewayHarness(backendOf('a', { slots: 1 }), backendOf('b', { slots: 1 }));
  const { reply } = world.request({ route: STREAM });
  await world.clock.runUntil(MOVED_MS);
  world.answer(1, 404, 'no such document');
  t.deepEqual([reply.status, reply.body, reply.isEnded], [404, 'no such document', true]);
  t.false(world.endedAttempts.some(({ backend, isBad }) => backend.id === 'b' && isBad === true));
});

test('a request does not wait until its deadline for a next backend that ended before the silent one failed', async (t) => {
  const { world, request, first, second, reply } = await moveStream();
  request.handleBackendEnded('b', 'agent');
  first.handlers.onFailure(RESET);
  await world.clock.runUntil(MOVED_MS + 500);
  t.deepEqual([second.isCancelled, reply.isAborted], [true, true]);
});

test('a next backend of the right version is not given up for held events of a process of another version', async (t) => {
  const [a, b] = ['a', 'b'].map((id) => backendOf(id, { slots: 1, bornAtMs: 5 }));
  const world = new GatewayHarness(a!, b!);
  world.unreportedBackendIds.add('a');
  const { reply } = world.request({ route: STREAM, resumedVersion: VERSION });
  await world.clock.runUntil(MOVED_MS);
  const [first, second] = world.attempts;
  first!.handlers.onHead(OK_HEAD);
  sendEvents(first!, EVENT_1);
  first!.handlers.onProcess!({ bornAtMs: 9, source: 'agent' });
  t.deepEqual([first!.isCancelled, second!.isCancelled, reply.isAborted], [true, false, false]);
  second!.handlers.onHead(OK_HEAD);
  sendEvents(second!, EVENT_1);
  second!.handlers.onEnd();
  t.deepEqual([reply.body, reply.isEnded], [EVENT_1, true]);
});

test('a stream goes on at its silent backend if that is identified while the next one has sent nothing', async (t) => {
  const [a, b] = ['a', 'b'].map((id) => backendOf(id, { slots: 1, bornAtMs: 5 }));
  const world = new GatewayHarness(a!, b!);
  world.unreportedBackendIds.add('a');
  const { reply } = world.request({ route: STREAM, resumedVersion: VERSION });
  await world.clock.runUntil(MOVED_MS);
  const [first, second] = world.attempts;
  first!.handlers.onHead(OK_HEAD);
  sendEvents(first!, EVENT_1);
  t.is(reply.body, '');
  first!.handlers.onProcess!({ bornAtMs: 5, source: 'agent' });
  t.deepEqual([reply.body, second!.isCancelled], [EVENT_1, true]);
});

test('a request that reached only the next backend is not charged as a retry', async (t) => {
  const { world, first, second } = await moveUnanswered();
  first.handlers.onFailure({ mayHaveRun: false, isPortClosed: false, detail: 'no connection' });
  second.handlers.onHead(OK_HEAD);
  second.handlers.onEnd();
  t.deepEqual([world.repeatsLeft, world.chargedRetries - world.refundedRetries], [10, 0]);
});
