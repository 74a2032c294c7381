import test from 'ava';
import { backendOf, GatewayHarness, routeOf } from './support/gateway-harness.js';

/*
 * Guards against streams that the gateway cancels while their backend drains. A draining backend
 * accepts no new connections but completes its open streams. Its agent finds the port closed and
 * reports to every gateway that the backend has ended; a gateway that treats a closed port as the
 * end, and ignores data that still arrives, cancels the open streams .3 s later.
 *
 * Observed on one such stream: it was cancelled 2.2 s after the backend started draining and .3 s
 * after the agent found the port closed, with 14,354 bytes received and no pause over 89 ms. The
 * entry of the backend was removed .2 s later.
 */

const STREAM = routeOf({ kind: 'stream', isResumable: false, maxAttempts: 1, timeoutMs: 8_000 });
const HEAD = { status: 200, rawHeaders: [], headers: {} };

/** Starts a stream on a backend and sets the state of the backend. */
function openStream(state: 'ready' | 'draining') {
  const world = new GatewayHarness(backendOf('a'));
  const { reply, request } = world.request({ route: STREAM, deadlineAtMs: 8_000 });
  const { handlers } = world.attempts[0]!;
  handlers.onHead(HEAD);
  handlers.onData(Buffer.from('id: 1\ndata: x\n\n'));
  world.dispatcher.updateBackend('a', backendOf('a', { state, revision: 2 }), 0);
  return { world, reply, request, handlers };
}

test('an open stream of a draining backend completes although its port is closed', async (t) => {
  const { world, reply, request, handlers } = openStream('draining');
  request.handleBackendEnded('a', 'agent');
  // Longer than the grace period after which a stream of an ended backend is cancelled.
  await world.clock.runUntil(700);
  handlers.onData(Buffer.from('id: 2\ndata: y\n\n'));
  handlers.onEnd();
  t.false(reply.isAborted);
  t.true(reply.isEnded);
});

test('a stream that still receives data is not cancelled when its backend is reported as ended', async (t) => {
  const { world, reply, request, handlers } = openStream('ready');
  request.handleBackendEnded('a', 'agent');
  for (const atMs of [200, 400, 600, 800]) {
    await world.clock.runUntil(atMs);
    handlers.onData(Buffer.from(`id: ${atMs}\ndata: y\n\n`));
  }
  t.false(reply.isAborted);
  await world.clock.runUntil(1_200);
  t.true(reply.isAborted);
});
