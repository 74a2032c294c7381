/** What a gateway presumes of a backend, and the requests that the backend goes on with. */
import test from 'ava';
import { headerValue } from '../src/http/header-value.js';
import { softwareVersionOf } from '../src/streams/software-version.js';
import { ExitHarness } from './support/exit-harness.js';
import { backendOf, GatewayHarness, routeOf } from './support/gateway-harness.js';

const UNSAFE = routeOf({ kind: 'unsafe', timeoutMs: 20_000 });
const PLAIN_STREAM = routeOf({ kind: 'stream', maxAttempts: 3, timeoutMs: 20_000 });
const RESUMABLE = { ...PLAIN_STREAM, isResumable: true, targetLatencyMs: 500 };
const OK_HEAD = { status: 200, rawHeaders: [], headers: {} };
const EVENT_1 = 'id: 1\ndata: a\n\n';
const EVENT_2 = 'id: 2\ndata: b\n\n';
const RESET = { mayHaveRun: true, isPortClosed: false, detail: 'reset' };
const REFUSED = { mayHaveRun: false, isPortClosed: true, detail: 'refused' };
/** Silence of a sound backend, in milliseconds. */
const SILENCE_MS = 1_500;
/** Time after which a process that does not report its start is not identified, in milliseconds. */
const IDENTIFICATION_MS = 350;
const START_MS = 5;
const W = `w@${START_MS}`;
/** Position of the request whose attempt is watched; the one before it ends meanwhile. */
const WATCHED = 1;

/** What becomes known of the backend `w` while it has a request. */
const PRESUMPTIONS: Readonly<Record<string, (world: ExitHarness) => void>> = {
  'its path is presumed lost': ({ gateway }) => {
    const { path } = gateway.directory.find(W)!;
    path.suspect('connection-hung', gateway.clock.now());
    path.notifyLost();
  },
  'its agent finds it silent': (world) =>
    world.receiveState(W, { availability: 'closed', bornAtMs: START_MS }),
  'its agent finds its port closed once': (world) =>
    world.receiveState(W, { availability: 'closed', hasEnded: true }),
  'its agent is lost': ({ gateway }) => gateway.dispatcher.disconnectAgent(W, gateway.clock.now()),
  'its announcement lapses': (world) => world.announce('w', undefined),
  'another backend is announced at its address': (world) =>
    world.announce('other', { address: 'w:1', bornAtMs: 9, version: 'v2' }),
  'a backend of another service is announced at its address': (world) =>
    world.announce('other', { address: 'w:1', bornAtMs: 9, service: 'ledger' }),
  'a connection of another request is refused': ({ gateway }) =>
    gateway.attempts[0]!.handlers.onFailure(REFUSED),
  'the connection of another request is reset': ({ gateway }) =>
    gateway.attempts[0]!.handlers.onFailure(RESET),
  'another request is answered by another process': ({ gateway }) =>
    gateway.answer(0, 421, '', { 'not-run': '1' }),
  'its port was found closed by a probe after a reset': ({ gateway }) => {
    gateway.attempts[0]!.handlers.onFailure(RESET);
    gateway.crashingRequests.recordBackendExit(W, 'port-closed');
  },
  'it states that it leaves': ({ gateway }) => state(gateway, { isLeaving: true }),
  'it states a limit': ({ gateway }) => state(gateway, { limitPerS: 0.1 }),
  'it asks for a rest': ({ gateway }) => state(gateway, { restMs: 5_000 }),
  'its version is closed by a rollout': ({ gateway }) => {
    gateway.dispatcher.changeOrders(
      () => void gateway.versionUses.set('v1', 'closed'),
      gateway.clock.now(),
    );
    gateway.requests.withdrawUnsent();
  },
  'its zone is evacuated': ({ gateway }) => {
    gateway.order('z', true);
    gateway.requests.withdrawUnsent();
  },
};

/** Delivers a response of `w` that states something about it. */
function state(
  world: GatewayHarness,
  stated: { isLeaving?: boolean; limitPerS?: number; restMs?: number },
): void {
  const statement = { limitPerS: undefined, isLeaving: false, restMs: undefined, ...stated };
  world.answer(0, stated.restMs === undefined ? 200 : 503, '', {
    statement: statement as never,
    ...(stated.restMs === undefined ? {} : { 'not-run': '1' }),
  });
}

/** Starts two requests at `w`; no other backend has a slot for them. */
function begin(route: typeof UNSAFE) {
  const world = new ExitHarness(route);
  world.gateway.engines = true;
  world.announce('w', { bornAtMs: START_MS, address: 'w:1' });
  world.connectAgent(W);
  world.receiveState(W, { bornAtMs: START_MS });
  world.request();
  const reply = world.request();
  world.gateway.dispatcher.updateBackend('full', backendOf('full', { slots: 1 }), 0);
  world.gateway.directory.find('full')!.outstanding = 1;
  return { world, reply };
}

for (const [presumption, presume] of Object.entries(PRESUMPTIONS)) {
  test(`an unsafe request at a silent backend is not ended because ${presumption}`, async (t) => {
    const { world, reply } = begin(UNSAFE);
    const { gateway } = world;
    await gateway.clock.runUntil(200);
    presume(world);
    await gateway.clock.runUntil(200 + SILENCE_MS);
    t.false(gateway.attempts[WATCHED]!.isCancelled);
    gateway.answer(WATCHED, 200, 'good');
    t.is(reply.body, 'good');
  });

  for (const route of [PLAIN_STREAM, RESUMABLE]) {
    const kind = route.isResumable ? 'a resumable' : 'an ordinary';
    test(`${kind} stream at a silent backend is not ended because ${presumption}`, async (t) => {
      const { world, reply } = begin(route);
      const { gateway } = world;
      const { handlers } = gateway.attempts[WATCHED]!;
      handlers.onHead(OK_HEAD);
      handlers.onData(Buffer.from(EVENT_1));
      await gateway.clock.runUntil(200);
      presume(world);
      await gateway.clock.runUntil(200 + SILENCE_MS);
      handlers.onData(Buffer.from(EVENT_2));
      handlers.onEnd();
      t.deepEqual([reply.isAborted, reply.isEnded, reply.body], [false, true, EVENT_1 + EVENT_2]);
    });
  }
}

/** Takes a stream up at `w`, the only backend of its version; `w` stands still. */
function takeUp() {
  const world = new GatewayHarness(backendOf('w', { bornAtMs: START_MS }));
  world.unreportedBackendIds.add('w');
  const { reply } = world.request({
    route: RESUMABLE,
    lastEventId: headerValue('1'),
    resumedVersion: softwareVersionOf({ id: 'w', version: 'v1' }),
  });
  return { world, reply };
}

test('a resumed stream is not ended because its backend stood still while its process was identified', async (t) => {
  const { world, reply } = takeUp();
  const [attempt] = world.attempts;
  await world.clock.runUntil(SILENCE_MS);
  t.deepEqual([attempt!.isCancelled, reply.isEnded], [false, false]);
  attempt!.handlers.onProcess!({ bornAtMs: START_MS, source: 'engine' });
  world.answer(0, 200, EVENT_2);
  t.deepEqual([reply.body, reply.isEnded], [EVENT_2, true]);
});

test('a new stream is not ended because its backend stood still while its process was identified', async (t) => {
  const world = new GatewayHarness(backendOf('w', { bornAtMs: START_MS }));
  world.unreportedBackendIds.add('w');
  const { reply } = world.request({ route: RESUMABLE });
  const { handlers } = world.attempts[0]!;
  await world.clock.runUntil(IDENTIFICATION_MS);
  handlers.onProcess!(undefined);
  await world.clock.runUntil(SILENCE_MS);
  world.answer(0, 200, EVENT_1);
  t.deepEqual([reply.body, reply.isEnded], [EVENT_1, true]);
});
