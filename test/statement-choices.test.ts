import test from 'ava';
import type { BackendStatement } from '../src/gateway/statements/backend-statement.js';
import { NO_STATEMENT } from '../src/gateway/statements/backend-statement.js';
import { DEFAULT_REQUEST_OPTIONS } from '../src/gateway/attempt/request-model.js';
import { RequestWait } from '../src/gateway/attempt/request-wait.js';
import { backendOf, GatewayWorld, routeOf } from './support/gateway.js';

/*
 * What a back end says of itself in an answer is asked on each way on which a request goes out: the first choice, a further
 * try, what waits in the queue, a slot that an agent granted before that was heard, the last back end that is left.
 */

const UNSAFE = routeOf({ kind: 'unsafe', maxAttempts: 1 });

/** The head of an answer that says something of its back end. */
function saying(statement: Partial<BackendStatement>) {
  return { statement: { ...NO_STATEMENT, ...statement } as unknown as string };
}

function usedBackends(world: GatewayWorld): string[] {
  return world.attempts.map(({ backend }) => backend.id);
}

/** A world in which `a` has answered one request that says this. */
function worldAfter(statement: Partial<BackendStatement>, ...others: string[]): GatewayWorld {
  const world = new GatewayWorld(...['a', ...others].map((id) => backendOf(id)));
  world.dispatcher.learnSpeed('a', 1, 5);
  others.forEach((id) => world.dispatcher.learnSpeed(id, 1, 50));
  world.request({ route: UNSAFE });
  world.answer(0, 200, 'done', saying(statement));
  return world;
}

test('leaving: the next request goes elsewhere, and waits where nothing else is', (t) => {
  const world = worldAfter({ isLeaving: true }, 'b');
  world.request({ route: UNSAFE });
  t.deepEqual(usedBackends(world), ['a', 'b']);
  const alone = worldAfter({ isLeaving: true });
  alone.request({ route: UNSAFE });
  t.deepEqual(usedBackends(alone), ['a']);
});

test('leaving: a further try of a request that failed elsewhere does not go there', (t) => {
  const world = worldAfter({ isLeaving: true }, 'b', 'c');
  world.request();
  world.answer(1, 500, 'broken');
  world.request();
  t.false(usedBackends(world).slice(1).includes('a'));
});

test('leaving: the statement holds against an entry that says ready, and after that entry is gone', (t) => {
  const world = worldAfter({ isLeaving: true });
  world.dispatcher.updateBackend('a', backendOf('a', { revision: 2 }), 10);
  world.dispatcher.updateBackend('a', undefined, 20);
  world.request({ route: UNSAFE });
  t.deepEqual(usedBackends(world), ['a']);
});

test('leaving: a request that waited for a slot of it goes elsewhere, and its answer under way ends whole', (t) => {
  const world = new GatewayWorld(backendOf('a', { slots: 1 }));
  const running = world.request({ route: UNSAFE });
  world.request({ route: UNSAFE });
  world.attempts[0]!.handlers.onHead({
    status: 200,
    rawHeaders: [],
    headers: saying({ isLeaving: true }),
  });
  world.dispatcher.updateBackend('b', backendOf('b'), 10);
  t.deepEqual(usedBackends(world), ['a', 'b']);
  world.attempts[0]!.handlers.onData(Buffer.from('whole'));
  world.attempts[0]!.handlers.onEnd();
  t.is(running.reply.body, 'whole');
  t.true(running.reply.isEnded);
});

test('leaving: a slot that its agent had granted before is given back', (t) => {
  const world = new GatewayWorld(backendOf('a', { slots: 1 }));
  world.engines = true;
  world.dispatcher.connectAgent('a', 0);
  world.request({ route: UNSAFE });
  world.request({ route: UNSAFE });
  world.attempts[0]!.handlers.onHead({
    status: 200,
    rawHeaders: [],
    headers: saying({ isLeaving: true }),
  });
  world.dispatcher.receiveFromAgent('a', { kind: 'granted' }, 10);
  t.deepEqual(world.toAgents.at(-1), ['a', { kind: 'grant-returned' }]);
  t.is(world.attempts.length, 1);
});

test('limit: nothing is sent without a right, and each right serves once', (t) => {
  const world = worldAfter({ limitPerS: 2 });
  world.request({ route: UNSAFE });
  t.is(world.attempts.length, 1);
  t.true(world.wantedRights.includes('a'));
  world.heldRights.add('a');
  world.dispatcher.review('s', 10);
  world.request({ route: UNSAFE });
  t.is(world.attempts.length, 2);
});

test('limit: a slot that the agent had granted before is given back, and no demand is told any more', (t) => {
  const world = new GatewayWorld(backendOf('a', { slots: 1 }));
  world.engines = true;
  world.dispatcher.connectAgent('a', 0);
  world.request({ route: UNSAFE });
  world.request({ route: UNSAFE });
  world.attempts[0]!.handlers.onHead({
    status: 200,
    rawHeaders: [],
    headers: saying({ limitPerS: 2 }),
  });
  world.dispatcher.receiveFromAgent('a', { kind: 'granted' }, 10);
  const kinds = world.toAgents.map(([, message]) => message.kind);
  t.true(kinds.includes('grant-returned'));
  const demands = world.toAgents.flatMap(([, message]) =>
    message.kind === 'demand' ? [message.ranks.length] : [],
  );
  t.is(demands.at(-1), 0);
  t.is(world.attempts.length, 1);
});

test('a life that starts again under the same address begins without the statement', (t) => {
  const world = worldAfter({ isLeaving: true, limitPerS: 0 });
  world.dispatcher.updateBackend('a@2', backendOf('a@2', { address: 'a:1', revision: 5 }), 10);
  world.request({ route: UNSAFE });
  t.deepEqual(usedBackends(world), ['a', 'a@2']);
});

test('rest: a request that was turned away goes elsewhere at once, and nothing follows it until the rest is over', async (t) => {
  const world = new GatewayWorld(backendOf('a'), backendOf('b'));
  world.dispatcher.learnSpeed('a', 1, 5);
  world.dispatcher.learnSpeed('b', 1, 50);
  world.request({ route: routeOf({ kind: 'unsafe', maxAttempts: 2 }) });
  world.answer(0, 503, '', { ...saying({ restMs: 3_000 }), 'not-run': '1' });
  world.request({ route: UNSAFE });
  t.deepEqual(usedBackends(world), ['a', 'b', 'b']);
  await world.clock.runUntil(2_990);
  world.request({ route: UNSAFE });
  t.is(usedBackends(world).filter((id) => id === 'a').length, 1);
});

test('rest: after it requests come one by one with rights until one was served', async (t) => {
  const world = new GatewayWorld(backendOf('a'));
  world.request({ route: UNSAFE });
  world.answer(0, 503, '', { ...saying({ restMs: 500 }), 'not-run': '1' });
  await world.clock.runUntil(600);
  world.request({ route: UNSAFE });
  world.request({ route: UNSAFE });
  t.is(world.attempts.length, 1);
  world.heldRights.add('a');
  world.dispatcher.review('s', 600);
  t.is(world.attempts.length, 2);
  world.answer(1, 200, 'done');
  t.is(world.attempts.length, 3);
});

test('rest: with all resting a caller is told at once when the first is back, or waits if it can', async (t) => {
  const world = new GatewayWorld(backendOf('a'));
  world.request({ route: UNSAFE });
  world.answer(0, 503, '', { ...saying({ restMs: 10_000 }), 'not-run': '1' });
  await world.clock.runUntil(100);
  const { reply } = world.request({ route: UNSAFE });
  t.is(reply.status, 503);
  const pauseMs = Number(reply.headers[reply.headers.indexOf('retry-after-ms') + 1]);
  t.true(pauseMs >= 9_900 && pauseMs < 10_300);
  const short = new GatewayWorld(backendOf('a'));
  short.request({ route: UNSAFE });
  short.answer(0, 503, '', { ...saying({ restMs: 30 }), 'not-run': '1' });
  const waiting = short.request({ route: UNSAFE });
  t.is(waiting.reply.status, 0);
});

test('rest: callers come back when the first is back, but no sooner than a full queue asks for', (t) => {
  const pauseWith = (restLeftMs: number) => {
    const world = new GatewayWorld(backendOf('a'));
    world.directory.restLeftMs = () => restLeftMs;
    world.dispatcher.forecastOf = () => ({
      expectedWaitMs: () => 800,
      expectedLateWaitMs: () => 800,
      expectedRecoveryMs: () => 800,
    });
    const wait = new RequestWait({
      request: world.accept({ endsAtMs: 60_000 }),
      ports: world.requestPorts,
      options: DEFAULT_REQUEST_OPTIONS,
      answer: { lastEventAtMs: undefined, hasStarted: false },
      excluded: new Set(),
      onPlaced: () => undefined,
      onGivenUp: () => undefined,
    });
    return wait.retryAfterMs();
  };
  const afterPauseMs = pauseWith(5);
  t.true(afterPauseMs >= 800 && afterPauseMs <= 1_600);
  const afterRestMs = pauseWith(10_000);
  t.true(afterRestMs >= 10_000 && afterRestMs <= 10_300);
});

test('rest: a right that is held does not shorten it, and a pause after a refusal is kept as well', async (t) => {
  const world = new GatewayWorld(backendOf('a'));
  world.request({ route: UNSAFE });
  world.answer(0, 503, '', { ...saying({ restMs: 500 }), 'not-run': '1' });
  world.heldRights.add('a');
  world.request({ route: UNSAFE });
  t.is(world.attempts.length, 1);
  const refused = new GatewayWorld(backendOf('a'));
  refused.request({ route: UNSAFE });
  refused.answer(0, 503, '', { 'not-run': '1' });
  refused.request({ route: UNSAFE });
  t.is(refused.attempts.length, 1);
  await refused.clock.runUntil(20);
  refused.dispatcher.review('s', 20);
  t.is(refused.attempts.length, 2);
});
