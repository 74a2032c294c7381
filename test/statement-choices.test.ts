import test from 'ava';
import type { BackendStatement } from '../src/gateway/statements/backend-statement.js';
import { NO_STATEMENT } from '../src/gateway/statements/backend-statement.js';
import { DEFAULT_REQUEST_OPTIONS } from '../src/gateway/attempt/request-model.js';
import { StreamBinding } from '../src/gateway/attempt/stream-binding.js';
import { RequestWait } from '../src/gateway/attempt/request-wait.js';
import { backendOf, GatewayHarness, routeOf } from './support/gateway-harness.js';

/*
 * A backend's statement must be respected on every path by which a request is sent: the first
 * choice, a retry, a queued request, a slot that an agent granted before the statement arrived, and
 * the last remaining backend.
 */

const UNSAFE = routeOf({ kind: 'unsafe', maxAttempts: 1 });

/** Returns response headers that carry a statement. */
function headersStating(statement: Partial<BackendStatement>) {
  return { statement: { ...NO_STATEMENT, ...statement } as unknown as string };
}

function usedBackends(world: GatewayHarness): string[] {
  return world.attempts.map(({ backend }) => backend.id);
}

/** Creates a harness in which `a` has responded to one request with the statement. */
function worldAfter(statement: Partial<BackendStatement>, ...others: string[]): GatewayHarness {
  const world = new GatewayHarness(...['a', ...others].map((id) => backendOf(id)));
  world.dispatcher.learnSpeed('a', 1, 5);
  others.forEach((id) => world.dispatcher.learnSpeed(id, 1, 50));
  world.request({ route: UNSAFE });
  world.answer(0, 200, 'done', headersStating(statement));
  return world;
}

test('draining: the next request goes to another backend, or waits if there is none', (t) => {
  const world = worldAfter({ isLeaving: true }, 'b');
  world.request({ route: UNSAFE });
  t.deepEqual(usedBackends(world), ['a', 'b']);
  const alone = worldAfter({ isLeaving: true });
  alone.request({ route: UNSAFE });
  t.deepEqual(usedBackends(alone), ['a']);
});

test('draining: a retry of a request that failed on another backend is not sent there', (t) => {
  const world = worldAfter({ isLeaving: true }, 'b', 'c');
  world.request();
  world.answer(1, 500, 'broken');
  world.request();
  t.false(usedBackends(world).slice(1).includes('a'));
});

test('draining: the statement overrides a ready discovery entry, also after the entry is removed', (t) => {
  const world = worldAfter({ isLeaving: true });
  world.dispatcher.updateBackend('a', backendOf('a', { revision: 2 }), 10);
  world.dispatcher.updateBackend('a', undefined, 20);
  world.request({ route: UNSAFE });
  t.deepEqual(usedBackends(world), ['a']);
});

test('draining: a request queued for its slot goes to another backend, and its response in progress completes', (t) => {
  const world = new GatewayHarness(backendOf('a', { slots: 1 }));
  const running = world.request({ route: UNSAFE });
  world.request({ route: UNSAFE });
  world.attempts[0]!.handlers.onHead({
    status: 200,
    rawHeaders: [],
    headers: headersStating({ isLeaving: true }),
  });
  world.dispatcher.updateBackend('b', backendOf('b'), 10);
  t.deepEqual(usedBackends(world), ['a', 'b']);
  world.attempts[0]!.handlers.onData(Buffer.from('whole'));
  world.attempts[0]!.handlers.onEnd();
  t.is(running.reply.body, 'whole');
  t.true(running.reply.isEnded);
});

test('draining: a slot that its agent granted earlier is returned', (t) => {
  const world = new GatewayHarness(backendOf('a', { slots: 1 }));
  world.engines = true;
  world.dispatcher.connectAgent('a', 0);
  world.request({ route: UNSAFE });
  world.request({ route: UNSAFE });
  world.attempts[0]!.handlers.onHead({
    status: 200,
    rawHeaders: [],
    headers: headersStating({ isLeaving: true }),
  });
  world.dispatcher.receiveFromAgent('a', { kind: 'granted' }, 10);
  t.deepEqual(world.agentMessages.at(-1), ['a', { kind: 'grant-returned' }]);
  t.is(world.attempts.length, 1);
});

test('limit: nothing is sent without a right, and each right is used once', (t) => {
  const world = worldAfter({ limitPerS: 2 });
  world.request({ route: UNSAFE });
  t.is(world.attempts.length, 1);
  t.true(world.wantedRights.includes('a'));
  world.heldRights.add('a');
  world.dispatcher.serveAgain('s', 10);
  world.request({ route: UNSAFE });
  t.is(world.attempts.length, 2);
});

test('limit: a slot that the agent granted earlier is returned, and no further demand is reported', (t) => {
  const world = new GatewayHarness(backendOf('a', { slots: 1 }));
  world.engines = true;
  world.dispatcher.connectAgent('a', 0);
  world.request({ route: UNSAFE });
  world.request({ route: UNSAFE });
  world.attempts[0]!.handlers.onHead({
    status: 200,
    rawHeaders: [],
    headers: headersStating({ limitPerS: 2 }),
  });
  world.dispatcher.receiveFromAgent('a', { kind: 'granted' }, 10);
  const kinds = world.agentMessages.map(([, message]) => message.kind);
  t.true(kinds.includes('grant-returned'));
  const demands = world.agentMessages.flatMap(([, message]) =>
    message.kind === 'demand' ? [message.ranks.length] : [],
  );
  t.is(demands.at(-1), 0);
  t.is(world.attempts.length, 1);
});

test('a new instance at the same address does not inherit the statement', (t) => {
  const world = worldAfter({ isLeaving: true, limitPerS: 0 });
  world.dispatcher.updateBackend('a@2', backendOf('a@2', { address: 'a:1', revision: 5 }), 10);
  world.request({ route: UNSAFE });
  t.deepEqual(usedBackends(world), ['a', 'a@2']);
});

test('backoff: a refused request goes to another backend immediately, and no request is sent until the backoff ends', async (t) => {
  const world = new GatewayHarness(backendOf('a'), backendOf('b'));
  world.dispatcher.learnSpeed('a', 1, 5);
  world.dispatcher.learnSpeed('b', 1, 50);
  world.request({ route: routeOf({ kind: 'unsafe', maxAttempts: 2 }) });
  world.answer(0, 503, '', { ...headersStating({ restMs: 3_000 }), 'not-run': '1' });
  world.request({ route: UNSAFE });
  t.deepEqual(usedBackends(world), ['a', 'b', 'b']);
  await world.clock.runUntil(2_990);
  world.request({ route: UNSAFE });
  t.is(usedBackends(world).filter((id) => id === 'a').length, 1);
});

test('backoff: after it requests are sent one at a time, with rights, until one was served', async (t) => {
  const world = new GatewayHarness(backendOf('a'));
  world.request({ route: UNSAFE });
  world.answer(0, 503, '', { ...headersStating({ restMs: 500 }), 'not-run': '1' });
  await world.clock.runUntil(600);
  world.request({ route: UNSAFE });
  world.request({ route: UNSAFE });
  t.is(world.attempts.length, 1);
  world.heldRights.add('a');
  world.dispatcher.serveAgain('s', 600);
  t.is(world.attempts.length, 2);
  world.answer(1, 200, 'done');
  t.is(world.attempts.length, 3);
});

test('backoff: with all backends in backoff a caller at once gets the delay until the first is usable, or waits if it can', async (t) => {
  const world = new GatewayHarness(backendOf('a'));
  world.request({ route: UNSAFE });
  world.answer(0, 503, '', { ...headersStating({ restMs: 10_000 }), 'not-run': '1' });
  await world.clock.runUntil(100);
  const { reply } = world.request({ route: UNSAFE });
  t.is(reply.status, 503);
  const retryAfterMs = Number(reply.headers[reply.headers.indexOf('retry-after-ms') + 1]);
  t.true(retryAfterMs >= 9_900 && retryAfterMs < 10_300);
  const shortBackoff = new GatewayHarness(backendOf('a'));
  shortBackoff.request({ route: UNSAFE });
  shortBackoff.answer(0, 503, '', { ...headersStating({ restMs: 30 }), 'not-run': '1' });
  const waiting = shortBackoff.request({ route: UNSAFE });
  t.is(waiting.reply.status, 0);
});

test('backoff: the retry delay covers the first backend to return and at least the expected queue wait', (t) => {
  const retryDelayWith = (restLeftMs: number) => {
    const world = new GatewayHarness(backendOf('a'));
    world.directory.restLeftMs = () => restLeftMs;
    world.dispatcher.forecastOf = () => ({
      expectedWaitMs: () => 800,
      expectedLateWaitMs: () => 800,
      expectedRecoveryMs: () => 800,
    });
    const request = world.accept({ deadlineAtMs: 60_000 });
    const wait = new RequestWait({
      request,
      constraints: new StreamBinding(request),
      ports: world.requestPorts,
      options: DEFAULT_REQUEST_OPTIONS,
      answer: { lastEventAtMs: undefined, hasStarted: false },
      excluded: new Set(),
      onPlaced: () => undefined,
      onAbandoned: () => undefined,
    });
    return wait.retryAfterMs();
  };
  const delayAfterShortBackoffMs = retryDelayWith(5);
  t.true(delayAfterShortBackoffMs >= 800 && delayAfterShortBackoffMs <= 1_600);
  const delayAfterLongBackoffMs = retryDelayWith(10_000);
  t.true(delayAfterLongBackoffMs >= 10_000 && delayAfterLongBackoffMs <= 10_300);
});

test('backoff: a held right does not shorten it, and the backoff after a refusal applies as well', async (t) => {
  const world = new GatewayHarness(backendOf('a'));
  world.request({ route: UNSAFE });
  world.answer(0, 503, '', { ...headersStating({ restMs: 500 }), 'not-run': '1' });
  world.heldRights.add('a');
  world.request({ route: UNSAFE });
  t.is(world.attempts.length, 1);
  const refused = new GatewayHarness(backendOf('a'));
  refused.request({ route: UNSAFE });
  refused.answer(0, 503, '', { 'not-run': '1' });
  refused.request({ route: UNSAFE });
  t.is(refused.attempts.length, 1);
  await refused.clock.runUntil(20);
  refused.dispatcher.serveAgain('s', 20);
  t.is(refused.attempts.length, 2);
});
