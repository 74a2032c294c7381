/** Retries that were taken from the budget or charged to a tenant and are not made. */
import test from 'ava';
import { backendOf, GatewayHarness, routeOf } from './support/gateway-harness.js';
import { configurationOf, OpenGateway } from './support/open-gateway.js';

const SAFE = routeOf({ kind: 'safe', targetLatencyMs: 2_000, timeoutMs: 8_000 });
const UNSAFE = routeOf({ kind: 'unsafe', timeoutMs: 20_000 });
const STREAM = routeOf({
  kind: 'stream',
  isResumable: true,
  targetLatencyMs: 500,
  maxPauseMs: 200,
  timeoutMs: 8_000,
});
const EVENT_1 = 'id: 1\ndata: a\n\n';
const EVENT_2 = 'id: 2\ndata: b\n\n';
const OK_HEAD = { status: 200, rawHeaders: [], headers: {} };
const RESET = { mayHaveRun: true, isPortClosed: false, detail: 'reset' };
const BUDGET = 10;

function twoBackends(): GatewayHarness {
  return new GatewayHarness(backendOf('a', { slots: 1 }), backendOf('b', { slots: 1 }));
}

/** Starts a stream at `a` that has sent its first event. */
function beginStream(world: GatewayHarness) {
  const started = world.request({ route: STREAM });
  world.attempts[0]!.handlers.onHead(OK_HEAD);
  world.attempts[0]!.handlers.onData(Buffer.from(EVENT_1));
  return started;
}

/** Delays the charges of the world; returns what completes the one in progress. */
function delayCharges(world: GatewayHarness): (isGranted: boolean) => void {
  let complete: ((isGranted: boolean) => void) | undefined;
  world.charge = (onResult) => (complete = onResult);
  return (isGranted) => complete!(isGranted);
}

function balanceOf(world: GatewayHarness) {
  const { chargedRetries, refundedRetries, repeatsLeft } = world;
  return { chargedRetries, refundedRetries, repeatsLeft };
}

test('a retry that is charged after its request has ended is given back', async (t) => {
  const world = twoBackends();
  const completeCharge = delayCharges(world);
  const { reply } = world.request({ route: SAFE });
  world.attempts[0]!.handlers.onFailure(RESET);
  await world.clock.runUntil(SAFE.timeoutMs);
  t.true(reply.isEnded);
  completeCharge(true);
  t.deepEqual(balanceOf(world), { chargedRetries: 1, refundedRetries: 1, repeatsLeft: BUDGET });
});

test('a retry that is charged after its caller has left is given back', (t) => {
  const world = twoBackends();
  const completeCharge = delayCharges(world);
  const { request } = world.request({ route: SAFE });
  world.attempts[0]!.handlers.onFailure(RESET);
  request.handleCallerDisconnect();
  completeCharge(true);
  t.deepEqual(balanceOf(world), { chargedRetries: 1, refundedRetries: 1, repeatsLeft: BUDGET });
});

test('a charged retry that gets no slot is given back', async (t) => {
  const world = twoBackends();
  world.request({ route: SAFE });
  world.request({ route: UNSAFE });
  world.attempts[0]!.handlers.onFailure(RESET);
  await world.clock.runUntil(SAFE.timeoutMs);
  t.is(world.attempts.length, 2);
  t.deepEqual(balanceOf(world), { chargedRetries: 1, refundedRetries: 1, repeatsLeft: BUDGET });
});

test('a retry that was charged for a move is given back if the backend goes on', async (t) => {
  const world = twoBackends();
  const completeCharge = delayCharges(world);
  const { reply } = beginStream(world);
  await world.clock.runUntil(1_250);
  world.request({ route: UNSAFE });
  completeCharge(true);
  world.attempts[0]!.handlers.onData(Buffer.from(EVENT_2));
  world.attempts[0]!.handlers.onEnd();
  t.true(reply.isEnded);
  t.deepEqual(balanceOf(world), { chargedRetries: 1, refundedRetries: 1, repeatsLeft: BUDGET });
});

test('retries that a tenant may not make do not use up the budget of its service', async (t) => {
  const world = twoBackends();
  world.hasQuota = false;
  const { reply } = beginStream(world);
  await world.clock.runUntil(7_000);
  t.false(reply.isAborted);
  world.attempts[0]!.handlers.onData(Buffer.from(EVENT_2));
  world.attempts[0]!.handlers.onEnd();
  t.true(world.chargedRetries > 1);
  t.is(world.repeatsLeft, BUDGET);
});

test('an attempt that fails while its retry is charged is charged and taken from the budget once', async (t) => {
  const world = twoBackends();
  const completeCharge = delayCharges(world);
  const { reply } = beginStream(world);
  await world.clock.runUntil(1_250);
  world.attempts[0]!.handlers.onFailure(RESET);
  completeCharge(true);
  world.answer(1, 200, EVENT_2);
  t.deepEqual([reply.body, reply.isEnded], [EVENT_1 + EVENT_2, true]);
  t.deepEqual(balanceOf(world), {
    chargedRetries: 1,
    refundedRetries: 0,
    repeatsLeft: BUDGET - 1,
  });
});

test('a retry that is made stays charged', (t) => {
  const world = twoBackends();
  world.request({ route: SAFE });
  world.attempts[0]!.handlers.onFailure(RESET);
  world.answer(1, 200, 'done');
  t.deepEqual(balanceOf(world), {
    chargedRetries: 1,
    refundedRetries: 0,
    repeatsLeft: BUDGET - 1,
  });
});

test('the quota of a retry that is not made is refunded to the tenant', async (t) => {
  const world = new OpenGateway([backendOf('a', { slots: 1 })]);
  world.install(configurationOf(2, { routes: [SAFE] }));
  let [charged, refunded] = [0, 0];
  world.chargeOnce = (onResult) => {
    charged += 1;
    onResult({ isGranted: true, giveBack: () => void (refunded += 1) });
  };
  world.dispatcher.updateBackend('b', backendOf('b', { slots: 1 }), 0);
  world.receive();
  world.request({ route: UNSAFE });
  world.attempts[0]!.handlers.onFailure(RESET);
  await world.clock.runUntil(SAFE.timeoutMs);
  t.deepEqual([charged, refunded], [2, 1]);
});
