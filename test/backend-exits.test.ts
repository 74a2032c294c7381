/** Reports that a backend has ended, and the requests that it goes on with. */
import test from 'ava';
import { ExitHarness } from './support/exit-harness.js';
import { routeOf } from './support/gateway-harness.js';
import type { OpenGateway } from './support/open-gateway.js';

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
/** Silence of a sound backend, in milliseconds. */
const SILENCE_MS = 1_500;

/** Whether the attempt at `index` was not cancelled. */
function isRunning(world: OpenGateway, index = 0): boolean {
  return !world.attempts[index]!.isCancelled;
}

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
