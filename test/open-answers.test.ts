import test from 'ava';
import { backendOf, GatewayWorld, routeOf } from './support/gateway.js';

/*
 * Callers' streams were cut in the middle, without an end, while their back ends were being stopped by plan. A back end said
 * that it leaves; it took no new connections from then on and served on what it had. The agent beside it found its port
 * closed and told every gateway that it had ended, and gateways cut what was still open there .3 s later. Cause: that it
 * takes no new connections was taken for its end, and bytes that arrive were not taken for its life.
 *
 * Evidence: of one such stream 14,354 bytes had come with no pause over 89 ms when it was cut, 2.2 s after the back end had
 * said that it leaves and .3 s after its agent had found it closed; its entry went .2 s later.
 */

const STREAM = routeOf({ kind: 'stream', isResumable: false, maxAttempts: 1, timeoutMs: 8_000 });
const HEAD = { status: 200, rawHeaders: [], headers: {} };

/** A stream that is under way at a back end. */
function openStream(state: 'ready' | 'draining') {
  const world = new GatewayWorld(backendOf('a'));
  const { reply, request } = world.request({ route: STREAM, endsAtMs: 8_000 });
  const { handlers } = world.attempts[0]!;
  handlers.onHead(HEAD);
  handlers.onData(Buffer.from('id: 1\ndata: x\n\n'));
  world.dispatcher.updateBackend('a', backendOf('a', { state, revision: 2 }), 0);
  return { world, reply, request, handlers };
}

test('what is open at a back end that leaves is served to its end, though its port is closed', async (t) => {
  const { world, reply, request, handlers } = openStream('draining');
  request.noteBackendEnded('a', 'agent');
  // Longer than the time in which a lost one would be given up.
  await world.clock.runUntil(700);
  handlers.onData(Buffer.from('id: 2\ndata: y\n\n'));
  handlers.onEnd();
  t.false(reply.isAborted);
  t.true(reply.isEnded);
});

test('bytes that arrive show that a back end lives, whatever was concluded from its port', async (t) => {
  const { world, reply, request, handlers } = openStream('ready');
  request.noteBackendEnded('a', 'agent');
  for (const atMs of [200, 400, 600, 800]) {
    await world.clock.runUntil(atMs);
    handlers.onData(Buffer.from(`id: ${atMs}\ndata: y\n\n`));
  }
  t.false(reply.isAborted);
  await world.clock.runUntil(1_200);
  t.true(reply.isAborted);
});
