import test from 'ava';
import { headerValue } from '../src/http/header-value.js';
import { KnownBackend } from '../src/gateway/dispatch/known-backend.js';
import type { Backend } from '../src/routing/backend.js';
import { softwareVersionOf } from '../src/streams/software-version.js';
import { backendOf, GatewayHarness, routeOf } from './support/gateway-harness.js';

const RESUMABLE = routeOf({
  kind: 'stream',
  isResumable: true,
  targetLatencyMs: 500,
  maxAttempts: 3,
});
const HEAD = { status: 200, rawHeaders: [], headers: {} };
const RESET_FAILURE = { mayHaveRun: true, isPortClosed: false, detail: 'reset' };
const EVENT_1 = 'id: 1\ndata: a\n\n';
const EVENT_2 = 'id: 2\ndata: b\n\n';

test('a stream that sent an event is not resumed at a backend of another version', (t) => {
  const world = new GatewayHarness(
    backendOf('old-1', { version: 'v1' }),
    ...['a', 'b', 'c', 'd', 'e', 'f'].map((id) => backendOf(id, { version: 'v2' })),
  );
  world.dispatcher.learnSpeed('old-1', 1, 1);
  const { reply } = world.request({ route: RESUMABLE });
  const { backend, handlers } = world.attempts[0]!;
  t.is(backend.version, 'v1');
  handlers.onHead(HEAD);
  handlers.onData(Buffer.from(EVENT_1));
  handlers.onFailure(RESET_FAILURE);
  t.deepEqual(
    world.attempts.map((attempt) => attempt.backend.version),
    ['v1'],
  );
  t.true(reply.isAborted);
});

test('a stream that sent an event resumes at another backend of its version', (t) => {
  const world = new GatewayHarness(
    backendOf('old-1', { version: 'v1' }),
    backendOf('old-2', { version: 'v1' }),
    ...['a', 'b', 'c', 'd', 'e', 'f'].map((id) => backendOf(id, { version: 'v2' })),
  );
  world.dispatcher.learnSpeed('old-1', 1, 1);
  world.dispatcher.learnSpeed('old-2', 1, 50);
  world.dispatcher.learnSpeed('a', 1, 2);
  const { reply } = world.request({ route: RESUMABLE });
  const { backend, handlers } = world.attempts[0]!;
  t.is(backend.id, 'old-1');
  handlers.onHead(HEAD);
  handlers.onData(Buffer.from(EVENT_1));
  handlers.onFailure(RESET_FAILURE);
  t.is(world.attempts[1]?.backend.id, 'old-2');
  world.answer(1, 200, EVENT_2);
  t.deepEqual([reply.body, reply.isEnded], [EVENT_1 + EVENT_2, true]);
});

/** Starts a stream that has sent one event at backend `a` of version v1. */
function streamAt(...backends: Backend[]) {
  const world = new GatewayHarness(backendOf('a', { version: 'v1' }), ...backends);
  world.dispatcher.learnSpeed('a', 1, 1);
  backends.forEach(({ id }) => world.dispatcher.learnSpeed(id, 1, 50));
  const { reply } = world.request({ route: RESUMABLE });
  const { handlers } = world.attempts[0]!;
  handlers.onHead(HEAD);
  handlers.onData(Buffer.from(EVENT_1));
  return { world, reply, handlers };
}

function backendIds(world: GatewayHarness): string[] {
  return world.attempts.map(({ backend }) => backend.id);
}

test('a stream that sent no event yet is retried at any version', (t) => {
  const world = new GatewayHarness(backendOf('a'), backendOf('b', { version: 'v2' }));
  const { reply } = world.request({ route: RESUMABLE });
  const { handlers } = world.attempts[0]!;
  handlers.onHead(HEAD);
  handlers.onData(Buffer.from('id: 1\nda'));
  handlers.onFailure(RESET_FAILURE);
  world.answer(1, 200, EVENT_1);
  t.deepEqual([reply.body, reply.isEnded], [EVENT_1, true]);
});

test('a stalled stream is not cancelled for a free slot of another version', async (t) => {
  const { world, reply, handlers } = streamAt(backendOf('b', { version: 'v2' }));
  await world.clock.runUntil(1_600);
  t.false(world.attempts[0]!.isCancelled);
  handlers.onData(Buffer.from(EVENT_2));
  handlers.onEnd();
  t.deepEqual([reply.body, reply.isEnded], [EVENT_1 + EVENT_2, true]);
});

test('a stream that waits for a slot of its version does not use a granted slot of another one', (t) => {
  const { world, handlers } = streamAt(
    backendOf('b', { version: 'v1', slots: 1 }),
    backendOf('c', { version: 'v2' }),
  );
  world.engines = true;
  world.dispatcher.connectAgent('c', 0);
  world.dispatcher.finish('b', 'unknown', 0);
  world.directory.find('b')!.outstanding = 1;
  handlers.onFailure(RESET_FAILURE);
  t.is(world.dispatcher.countWaiting('s'), 1);
  t.false(
    world.agentMessages.some(
      ([, message]) => message.kind === 'demand' && message.ranks.length > 0,
    ),
  );
  world.dispatcher.receiveFromAgent('c', { kind: 'granted' }, 0);
  t.deepEqual(world.agentMessages.at(-1), ['c', { kind: 'grant-returned' }]);
  t.deepEqual(backendIds(world), ['a']);
});

test('a stream ends at once when the last backend of its version goes while it waits', async (t) => {
  const { world, reply, handlers } = streamAt(
    backendOf('b', { version: 'v1', slots: 1 }),
    backendOf('c', { version: 'v2' }),
  );
  world.directory.find('b')!.outstanding = 1;
  handlers.onFailure(RESET_FAILURE);
  const draining = (id: string) => backendOf(id, { version: 'v1', state: 'draining', revision: 2 });
  world.dispatcher.updateBackend('a', draining('a'), 0);
  world.dispatcher.updateBackend('b', draining('b'), 0);
  await world.clock.runUntil(110);
  t.true(reply.isAborted);
  t.is(world.requestEnds[0]?.reason, 'stream-unavailable');
  t.deepEqual(backendIds(world), ['a']);
});

test('a version that a rollout closed to new requests continues the streams that it began', (t) => {
  const { world, reply, handlers } = streamAt(
    backendOf('b', { version: 'v1' }),
    backendOf('c', { version: 'v2' }),
  );
  world.versionUses.set('v1', 'closed');
  handlers.onFailure(RESET_FAILURE);
  t.deepEqual(backendIds(world), ['a', 'b']);
  world.answer(1, 200, EVENT_2);
  t.deepEqual([reply.body, reply.isEnded], [EVENT_1 + EVENT_2, true]);
  world.request({ route: RESUMABLE });
  t.is(world.attempts[2]!.backend.id, 'c');
});

test('a backend that announces no version continues no stream of another backend', (t) => {
  const world = new GatewayHarness(
    backendOf('a', { version: '' }),
    backendOf('b', { version: '' }),
  );
  const { reply } = world.request({ route: RESUMABLE });
  const { handlers } = world.attempts[0]!;
  handlers.onHead(HEAD);
  handlers.onData(Buffer.from(EVENT_1));
  handlers.onFailure(RESET_FAILURE);
  t.is(world.attempts.length, 1);
  t.true(reply.isAborted);
});

test('a stream that its caller resumes runs only at the version that began it', (t) => {
  const world = new GatewayHarness(
    backendOf('a', { version: 'v1' }),
    backendOf('b', { version: 'v2' }),
  );
  world.dispatcher.learnSpeed('a', 1, 1);
  world.dispatcher.learnSpeed('b', 1, 50);
  const resumedVersion = softwareVersionOf({ id: 'b', version: 'v2' });
  const { reply } = world.request({
    route: RESUMABLE,
    lastEventId: headerValue('1'),
    resumedVersion,
  });
  t.deepEqual(backendIds(world), ['b']);
  world.answer(0, 200, EVENT_2);
  t.is(reply.body, EVENT_2);
});

test('a stream that its caller resumes is refused at once as not executed if its version is gone', (t) => {
  const world = new GatewayHarness(backendOf('a', { version: 'v1' }));
  const resumedVersion = softwareVersionOf({ id: 'b', version: 'v2' });
  const { reply } = world.request({
    route: RESUMABLE,
    lastEventId: headerValue('1'),
    resumedVersion,
  });
  t.deepEqual([reply.status, world.attempts.length], [503, 0]);
  t.deepEqual(reply.headers.slice(0, 2), ['retry-after-ms', '0']);
  t.is(world.requestEnds[0]?.reason, 'stream-unavailable');
});

test('a backend that was seen to end continues no stream until it is announced again', (t) => {
  const { world, reply, handlers } = streamAt(backendOf('b', { version: 'v1', bornAtMs: 1 }));
  world.dispatcher.finish('b', 'unreachable', 0);
  handlers.onFailure(RESET_FAILURE);
  t.deepEqual(backendIds(world), ['a']);
  t.true(reply.isAborted);
});

test('a stream of a process that restarted unannounced is not taken for one of the announced version', (t) => {
  const world = new GatewayHarness(backendOf('a', { version: 'v1', bornAtMs: 1 }));
  world.engines = true;
  // The process that follows reports no start time.
  world.unreportedBackendIds.add('a');
  world.dispatcher.connectAgent('a', 0);
  const state = {
    kind: 'state',
    occupied: 0,
    messagesSeen: 0,
    speed: {},
    failureShare: 0,
  } as const;
  const receive = (availability: 'closed' | 'open', hasEnded: boolean) =>
    world.dispatcher.receiveFromAgent('a', { ...state, availability, hasEnded }, 0);
  receive('closed', true);
  receive('open', false);
  world.dispatcher.updateBackend('b', backendOf('b', { version: 'v1' }), 0);
  world.directory.find('b')!.outstanding = 2;
  const { reply } = world.request({ route: RESUMABLE });
  const { backend, handlers } = world.attempts[0]!;
  t.is(backend.id, 'a');
  world.directory.find('b')!.outstanding = 0;
  handlers.onHead(HEAD);
  handlers.onData(Buffer.from(EVENT_1));
  handlers.onFailure(RESET_FAILURE);
  t.is(world.attempts.length, 1);
  t.true(reply.isAborted);
});

const UNANNOUNCED_PROCESS = { bornAtMs: 2, source: 'agent' } as const;

/** Starts a stream at `a`, whose process is found to be one that was not announced. */
function streamAtUnannounced(reportBefore: 'event' | 'failure') {
  const world = new GatewayHarness(
    backendOf('a', { version: 'v1', bornAtMs: 1 }),
    backendOf('b', { version: 'v1', bornAtMs: 1 }),
  );
  world.unreportedBackendIds.add('a');
  world.dispatcher.learnSpeed('a', 1, 1);
  world.dispatcher.learnSpeed('b', 1, 50);
  const { reply } = world.request({ route: RESUMABLE });
  const { backend, handlers } = world.attempts[0]!;
  const report = () => handlers.onProcess!(UNANNOUNCED_PROCESS);
  handlers.onHead(HEAD);
  if (reportBefore === 'event') {
    report();
  }
  handlers.onData(Buffer.from(EVENT_1));
  if (reportBefore === 'failure') {
    report();
  }
  handlers.onFailure(RESET_FAILURE);
  return { world, reply, backend };
}

for (const reportBefore of ['event', 'failure'] as const) {
  test(`a stream of an unannounced process, reported before its ${reportBefore}, continues at no announced version`, (t) => {
    const { world, reply, backend } = streamAtUnannounced(reportBefore);
    t.is(backend.id, 'a');
    t.is(world.attempts.length, 1);
    t.true(reply.isAborted);
    t.is(world.begunStreams.length, reportBefore === 'event' ? 1 : 2);
  });
}

test('a stream that resumes at a process found to be unannounced leaves it before its first event', (t) => {
  const { world, reply, handlers } = streamAt(
    backendOf('b', { version: 'v1', bornAtMs: 1 }),
    backendOf('c', { version: 'v1' }),
  );
  world.unreportedBackendIds.add('b');
  world.dispatcher.learnSpeed('b', 1, 1);
  handlers.onFailure(RESET_FAILURE);
  const resumed = world.attempts.at(-1)!;
  t.is(resumed.backend.id, 'b');
  resumed.handlers.onHead(HEAD);
  resumed.handlers.onData(Buffer.from(EVENT_2));
  resumed.handlers.onProcess!(UNANNOUNCED_PROCESS);
  t.true(resumed.isCancelled);
  t.is(world.attempts.at(-1)!.backend.id, 'c');
  world.answer(world.attempts.length - 1, 200, EVENT_2);
  t.deepEqual([reply.body, reply.isEnded], [EVENT_1 + EVENT_2, true]);
});

test("an agent's report of the announced process, or of an earlier one, changes no version", (t) => {
  const known = new KnownBackend(backendOf('a', { version: 'v1', bornAtMs: 5 }), 0);
  t.false(known.noteRunningProcess(5));
  t.false(known.noteRunningProcess(4));
  t.is(known.softwareVersion, softwareVersionOf({ id: 'a', version: 'v1' }));
  t.true(known.noteRunningProcess(6));
  t.false(known.noteRunningProcess(6));
  t.not(known.softwareVersion, softwareVersionOf({ id: 'a', version: 'v1' }));
});

test('a stream found at an unannounced process is sent to no more backends than its route allows', (t) => {
  const world = new GatewayHarness(
    backendOf('a', { version: 'v1', bornAtMs: 1 }),
    backendOf('b', { version: 'v1', bornAtMs: 1 }),
    backendOf('c', { version: 'v1', bornAtMs: 1 }),
  );
  world.dispatcher.learnSpeed('a', 1, 1);
  world.dispatcher.learnSpeed('b', 1, 2);
  world.dispatcher.learnSpeed('c', 1, 50);
  world.unreportedBackendIds.add('b');
  world.unreportedBackendIds.add('c');
  const { reply } = world.request({ route: { ...RESUMABLE, maxAttempts: 2 } });
  const { handlers } = world.attempts[0]!;
  handlers.onHead(HEAD);
  handlers.onData(Buffer.from(EVENT_1));
  handlers.onFailure(RESET_FAILURE);
  t.is(world.attempts.length, 2);
  world.attempts[1]!.handlers.onProcess!(UNANNOUNCED_PROCESS);
  t.is(world.attempts.length, 2);
  t.true(reply.isAborted);
});

/** Starts a stream at `a`, whose process has not been identified; `b` announces the same version. */
function streamAtUnidentified() {
  const world = new GatewayHarness(
    backendOf('a', { version: 'v1', bornAtMs: 1 }),
    backendOf('b', { version: 'v1', bornAtMs: 1 }),
  );
  world.unreportedBackendIds.add('a');
  world.dispatcher.learnSpeed('a', 1, 1);
  world.dispatcher.learnSpeed('b', 1, 50);
  const { reply } = world.request({ route: RESUMABLE });
  const { handlers } = world.attempts[0]!;
  handlers.onHead(HEAD);
  handlers.onData(Buffer.from(EVENT_1));
  return { world, reply, handlers };
}

test('a stream whose process nobody identified is not continued, whatever its backend announces', (t) => {
  const { world, reply, handlers } = streamAtUnidentified();
  handlers.onProcess!(undefined);
  t.is(reply.body, EVENT_1);
  handlers.onFailure(RESET_FAILURE);
  t.deepEqual([world.attempts.length, reply.isAborted], [1, true]);
  t.is(world.requestEnds[0]?.reason, 'backend-failed');
});

test('a stream whose process nobody identified is not sent to a backend whose process is not known either', (t) => {
  const { world, reply, handlers } = streamAtUnidentified();
  world.dispatcher.finish('b', 'unreachable', 0);
  handlers.onFailure(RESET_FAILURE);
  t.deepEqual([world.attempts.length, reply.isAborted], [1, true]);
});

test('a stream whose process is identified as the announced one after its first event continues elsewhere', (t) => {
  const { world, reply, handlers } = streamAtUnidentified();
  handlers.onProcess!({ bornAtMs: 1, source: 'engine' });
  handlers.onFailure(RESET_FAILURE);
  t.deepEqual(backendIds(world), ['a', 'b']);
  world.answer(1, 200, EVENT_2);
  t.deepEqual([reply.body, reply.isEnded], [EVENT_1 + EVENT_2, true]);
});

/** A stream that sent one event at `a` and goes on at `b`, whose process is not identified yet. */
function streamResumedAtUnidentified() {
  const { world, reply, handlers } = streamAt(backendOf('b', { version: 'v1', bornAtMs: 1 }));
  world.unreportedBackendIds.add('b');
  handlers.onFailure(RESET_FAILURE);
  const resumed = world.attempts[1]!;
  resumed.handlers.onHead(HEAD);
  resumed.handlers.onData(Buffer.from(EVENT_2));
  return { world, reply, resumed };
}

test('events of a resumed stream are held until their process is identified', (t) => {
  const { reply, resumed } = streamResumedAtUnidentified();
  resumed.handlers.onEnd();
  t.deepEqual([reply.body, reply.isEnded], [EVENT_1, false]);
  resumed.handlers.onProcess!({ bornAtMs: 1, source: 'agent' });
  t.deepEqual([reply.body, reply.isEnded], [EVENT_1 + EVENT_2, true]);
});

test('held events of a process that nobody can identify are not sent to the caller', (t) => {
  const { world, reply, resumed } = streamResumedAtUnidentified();
  resumed.handlers.onProcess!(undefined);
  t.deepEqual([reply.body, reply.isAborted, resumed.isCancelled], [EVENT_1, true, true]);
  t.is(world.requestEnds[0]?.reason, 'stream-unavailable');
});

test('held events of an attempt that fails are dropped, and the next one continues after the last sent', (t) => {
  const { world, reply, handlers } = streamAt(
    backendOf('b', { version: 'v1', bornAtMs: 1 }),
    backendOf('c', { version: 'v1', bornAtMs: 1 }),
  );
  world.unreportedBackendIds.add('b');
  world.dispatcher.learnSpeed('b', 1, 1);
  handlers.onFailure(RESET_FAILURE);
  const resumed = world.attempts[1]!;
  t.is(resumed.backend.id, 'b');
  resumed.handlers.onHead(HEAD);
  resumed.handlers.onData(Buffer.from(EVENT_2));
  resumed.handlers.onFailure(RESET_FAILURE);
  t.is(reply.body, EVENT_1);
  world.answer(2, 200, EVENT_2);
  t.deepEqual([reply.body, reply.isEnded], [EVENT_1 + EVENT_2, true]);
});

test('a stream that its caller resumes is held until the process is identified, and refused if it cannot be', (t) => {
  const world = new GatewayHarness(backendOf('a', { version: 'v1', bornAtMs: 1 }));
  world.unreportedBackendIds.add('a');
  const { reply } = world.request({
    route: RESUMABLE,
    lastEventId: headerValue('1'),
    resumedVersion: softwareVersionOf({ id: 'b', version: 'v1' }),
  });
  const { handlers } = world.attempts[0]!;
  handlers.onHead(HEAD);
  handlers.onData(Buffer.from(EVENT_2));
  t.is(reply.body, '');
  handlers.onProcess!(undefined);
  t.deepEqual([reply.status, world.attempts.length], [502, 1]);
});

test('an unannounced process has the same version at every gateway, whatever it saw end before', (t) => {
  const backend = backendOf('a', { version: 'v1', bornAtMs: 5 });
  const [one, other] = [new KnownBackend(backend, 0), new KnownBackend(backend, 0)];
  one.noteProcessEnded();
  one.noteProcessEnded();
  one.noteRunningProcess(6);
  other.noteRunningProcess(6);
  t.is(one.softwareVersion, other.softwareVersion);
  other.noteRunningProcess(7);
  t.not(one.softwareVersion, other.softwareVersion);
});

test('a process that was seen to end is not known again by its start time', (t) => {
  const known = new KnownBackend(backendOf('a', { version: 'v1', bornAtMs: 5 }), 0);
  const announced = known.softwareVersion;
  t.is(known.versionOfProcess(5), announced);
  known.noteProcessEnded();
  t.false(known.noteRunningProcess(5));
  t.not(known.softwareVersion, announced);
  t.not(known.versionOfProcess(5), announced);
  t.true(known.noteRunningProcess(6));
  t.is(known.softwareVersion, known.versionOfProcess(6));
});

test('a stream of a process that follows one that was seen to end, with the same start time, is not continued', (t) => {
  const world = new GatewayHarness(
    backendOf('a', { version: 'v1', bornAtMs: 1 }),
    backendOf('b', { version: 'v1', bornAtMs: 1 }),
  );
  world.dispatcher.learnSpeed('a', 1, 1);
  world.dispatcher.learnSpeed('b', 1, 50);
  world.directory.find('a')!.noteProcessEnded();
  const { reply } = world.request({ route: RESUMABLE });
  const { backend, handlers } = world.attempts[0]!;
  t.is(backend.id, 'a');
  handlers.onHead(HEAD);
  handlers.onData(Buffer.from(EVENT_1));
  handlers.onFailure(RESET_FAILURE);
  t.deepEqual([world.attempts.length, reply.isAborted], [1, true]);
});

test('a process that is reported after its attempt was replaced does not end the next one', (t) => {
  const world = new GatewayHarness(
    backendOf('a', { version: 'v1', bornAtMs: 1 }),
    backendOf('b', { version: 'v1', bornAtMs: 1 }),
  );
  world.unreportedBackendIds.add('a').add('b');
  const { reply } = world.request({
    route: RESUMABLE,
    lastEventId: headerValue('1'),
    resumedVersion: softwareVersionOf({ id: 'a', version: 'v1' }),
  });
  const [first] = world.attempts;
  first!.handlers.onFailure({ ...RESET_FAILURE, mayHaveRun: false });
  first!.handlers.onProcess!(UNANNOUNCED_PROCESS);
  t.deepEqual([world.attempts.length, reply.isEnded], [2, false]);
  t.false(world.attempts[1]!.isCancelled);
});
