import test from 'ava';
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
