import test from 'ava';
import { headerValue } from '../src/http/header-value.js';
import { RequestAdmission } from '../src/gateway/admission/request-admission.js';
import type { AcceptedRequest } from '../src/gateway/attempt/accepted-request.js';
import { InterruptedRuns } from '../src/gateway/crashes/interrupted-runs.js';
import { ExitProber } from '../src/gateway/crashes/exit-prober.js';
import { CrashTable, DEFAULT_CRASH_TABLE_OPTIONS } from '../src/gateway/crashes/crash-table.js';
import { SeededRandom } from '../src/random.js';
import { DEFAULT_CALLER_LIMITS } from '../src/routing/configuration.js';
import { RoutingTable } from '../src/routing/routing-table.js';
import { VirtualClock } from '../src/sim/virtual-clock.js';
import { backendOf, GatewayHarness, PLAIN_PROTOCOL, routeOf } from './support/gateway-harness.js';

const RESET = { mayHaveRun: true, isPortClosed: false, detail: 'reset' };
const REFUSED = { mayHaveRun: false, isPortClosed: true, detail: 'refused' };
const UNSAFE = routeOf({ kind: 'unsafe', timeoutMs: 60_000 });
const CRASHING = { route: UNSAFE, body: Buffer.from('crashing') };
const HARMLESS = { route: UNSAFE, body: Buffer.from('harmless') };
const MINUTE_MS = 60_000;

function createWorld(): GatewayHarness {
  return new GatewayHarness(...['a', 'b', 'c', 'd', 'e'].map((id) => backendOf(id, { slots: 9 })));
}

/**
 * Sends one request and crashes its backend; `recordBackendExit` reports the exit as found by an
 * agent.
 */
function crash(world: GatewayHarness, changes: Partial<AcceptedRequest>): void {
  world.request(changes);
  const attempt = world.attempts.at(-1)!;
  attempt.handlers.onFailure(RESET);
  world.crashingRequests.recordBackendExit(attempt.backend.id, 'agent');
}

function lastStatus(world: GatewayHarness): number {
  return world.requestEnds.at(-1)!.status;
}

test('the fourth send of a request that crashed three backends is refused and reported as not executed', (t) => {
  const world = createWorld();
  for (let index = 0; index < 3; index += 1) {
    crash(world, CRASHING);
    t.is(lastStatus(world), 502);
  }
  const { reply } = world.request(CRASHING);
  t.is(world.attempts.length, 3);
  t.is(reply.status, 503);
  t.true(reply.headers.includes('retry-after-ms'));
  t.true(
    world.crashingRequests.isRefused({
      ...CRASHING,
      tenant: undefined,
      method: 'GET',
      path: '/a/',
      service: 's',
      sharedPromptParts: [],
    }),
  );
});

test('a request with another body, caller or path on the same route is served while one is refused', (t) => {
  const world = createWorld();
  for (let index = 0; index < 3; index += 1) {
    crash(world, CRASHING);
  }
  for (const changes of [
    HARMLESS,
    { ...CRASHING, tenant: headerValue('other') },
    { ...CRASHING, path: '/b' },
  ]) {
    world.request(changes);
    world.answer(world.attempts.length - 1, 200, 'good');
    t.is(lastStatus(world), 200);
  }
});

test('a cut-off response or an error response of a backend that keeps running is not a crash', (t) => {
  const world = createWorld();
  for (let index = 0; index < 8; index += 1) {
    world.request(CRASHING);
    world.attempts.at(-1)!.handlers.onFailure(RESET);
    world.request(CRASHING);
    world.answer(world.attempts.length - 1, 500, 'failed');
  }
  t.is(world.attempts.length, 16);
  t.is(world.crashes.length, 0);
  t.is(world.probedBackendIds.length, 8);
});

test('a planned shutdown does not count as a crash', (t) => {
  const world = createWorld();
  for (const id of ['a', 'b', 'c', 'd', 'e']) {
    world.request(CRASHING);
    const { backend, handlers } = world.attempts.at(-1)!;
    const leaving = { ...backend, state: 'draining' as const, revision: 2 };
    world.dispatcher.updateBackend(backend.id, leaving, 0);
    handlers.onFailure(RESET);
    world.crashingRequests.recordBackendExit(backend.id, 'agent');
    t.is(world.crashes.length, 0, id);
  }
});

test('requests in flight when many backends exit at once are not refused, even if many are identical', (t) => {
  const world = createWorld();
  for (let round = 0; round < 2; round += 1) {
    const before = world.attempts.length;
    for (let index = 0; index < 20; index += 1) {
      world.request(HARMLESS);
    }
    const running = world.attempts.slice(before);
    running.forEach(({ handlers }) => handlers.onFailure(RESET));
    new Set(running.map(({ backend }) => backend.id)).forEach((id) =>
      world.crashingRequests.recordBackendExit(id, 'agent'),
    );
  }
  t.true(world.crashes.length > 20);
  t.deepEqual(
    world.crashes.map(({ crashes }) => crashes).filter((crashes) => crashes > 2),
    [],
  );
  t.is(world.crashingRequests.count().refused, 0);
});

test('one completed response clears a request of its crashes, also on other backends', (t) => {
  const world = createWorld();
  crash(world, HARMLESS);
  crash(world, HARMLESS);
  world.request(HARMLESS);
  world.answer(2, 200, 'good');
  t.like(world.crashReports.at(-1)!, { crashes: 0, clearances: 1 });
  crash(world, HARMLESS);
  crash(world, HARMLESS);
  world.request(HARMLESS);
  t.is(world.attempts.length, 6);
});

test('an earlier completed response clears a request once, at whichever gateway it was served', (t) => {
  const [left, right] = [createWorld(), createWorld()];
  right.request(HARMLESS);
  right.answer(0, 200, 'good');
  crash(left, HARMLESS);
  right.crashingRequests.mergeTallies(left.crashingRequests.newestTallies(), 'peer');
  t.like(right.crashReports.at(-1)!, { crashes: 0, clearances: 1 });
  left.crashingRequests.mergeTallies(right.crashingRequests.newestTallies(), 'peer');
  for (let index = 0; index < 3; index += 1) {
    crash(left, HARMLESS);
    right.crashingRequests.mergeTallies(left.crashingRequests.newestTallies(), 'peer');
  }
  t.is(right.crashingRequests.count().refused, 1);
});

test('a run that began before a clearance does not restore the earlier crashes', (t) => {
  const world = createWorld();
  crash(world, HARMLESS);
  crash(world, HARMLESS);
  world.request(HARMLESS);
  const slowAttempt = world.attempts.at(-1)!;
  world.request(HARMLESS);
  world.answer(3, 200, 'good');
  slowAttempt.handlers.onFailure(RESET);
  world.crashingRequests.recordBackendExit(slowAttempt.backend.id, 'agent');
  t.like(world.crashReports.at(-1)!, { crashes: 1, clearances: 1 });
});

test('a closed port or another process at the address proves that a backend exited', (t) => {
  const world = createWorld();
  world.request(CRASHING);
  const first = world.attempts[0]!;
  first.handlers.onFailure(RESET);
  world.request(HARMLESS);
  const other = world.attempts[1]!;
  other.handlers.onFailure(REFUSED);
  const isSame = other.backend.id === first.backend.id;
  const successor = backendOf('next', { address: first.backend.address, revision: 2 });
  world.dispatcher.updateBackend('next', successor, 0);
  t.is(world.crashes.length, 1);
  t.is(world.crashes[0]!.evidence, isSame ? 'port-closed' : 'replaced');
});

test('an agent report proves that a backend exited', (t) => {
  const world = createWorld();
  world.engines = true;
  world.dispatcher.connectAgent('a', 0);
  world.request(CRASHING);
  const { backend, handlers } = world.attempts[0]!;
  world.dispatcher.connectAgent(backend.id, 0);
  handlers.onFailure(RESET);
  const state = {
    kind: 'state',
    occupied: 0,
    messagesSeen: 0,
    speed: {},
    failureShare: 0,
  } as const;
  world.dispatcher.receiveFromAgent(backend.id, { ...state, availability: 'closed' }, 1);
  t.is(world.crashes.length, 0, 'the engine may be paused or unresponsive');
  const ended = { ...state, availability: 'closed', hasEnded: true } as const;
  world.dispatcher.receiveFromAgent(backend.id, ended, 2);
  t.is(world.crashes[0]!.evidence, 'agent');
});

test('a refused request is not charged to its tenant', (t) => {
  const quota = { ratePerS: 1, burst: 1, unit: 'requests', plainTokens: 1 } as const;
  const tenants = [
    {
      name: headerValue('shop'),
      apiKeys: ['k'],
      priority: undefined,
      allowedRegions: undefined,
      quota,
    },
  ];
  const table = new RoutingTable({
    version: 1,
    routes: [routeOf()],
    services: [],
    tenants,
    limits: DEFAULT_CALLER_LIMITS,
  });
  let charged = 0;
  const refused = new Set(['crashing']);
  const admission = new RequestAdmission(
    new SeededRandom(1),
    { canServe: () => true },
    {
      refusalOf: ({ body }) =>
        refused.has(body.toString()) ? { reason: 'crashes-back-ends' } : undefined,
    },
  );
  const admit = (body: string) => {
    const admitted = admission.admit(
      {
        head: { method: 'GET', path: '/a/', host: 'a.example', rawHeaders: [], headers: {} },
        caller: { ...PLAIN_PROTOCOL.readRequest({}), apiKey: 'k' },
        body: Buffer.from(body),
        arrivedAtMs: 0,
      },
      table,
    );
    // Admitted requests are charged their stated cost.
    charged += admitted.ok ? admitted.val.quotaCost : 0;
    return admitted;
  };
  for (let index = 0; index < 5; index += 1) {
    const refusal = admit('crashing');
    t.is(!refusal.ok && refusal.val.reason, 'crashes-back-ends');
  }
  t.is(charged, 0);
  t.true(admit('harmless').ok);
  t.is(charged, 1);
});

test('an exit detected before a request was sent does not count against it', (t) => {
  const runs = new InterruptedRuns();
  runs.takeExited('a', 'agent', 0);
  t.is(runs.add({ backendId: 'a', sentAtMs: 1 }, false, 2), undefined);
  t.is(runs.add({ backendId: 'a', sentAtMs: -1 }, false, 2), 'agent');
});

test('evidence of an exit after the evidence window does not count against a request', (t) => {
  const runs = new InterruptedRuns();
  runs.add({ backendId: 'a', sentAtMs: 0 }, false, 0);
  runs.add({ backendId: 'b', sentAtMs: 0 }, true, 0);
  t.is(runs.takeExited('b', 'agent', 501).length, 0);
  t.is(runs.takeExited('a', 'agent', 5_000).length, 1);
  runs.add({ backendId: 'c', sentAtMs: 5_000 }, false, 5_000);
  t.is(runs.takeExited('c', 'agent', 10_001).length, 0);
});

test('a crash counts even if the caller disconnected just before', (t) => {
  const world = createWorld();
  for (let index = 0; index < 3; index += 1) {
    const { request } = world.request(CRASHING);
    request.handleCallerDisconnect();
    world.crashingRequests.recordBackendExit(world.attempts.at(-1)!.backend.id, 'agent');
  }
  world.request(CRASHING);
  t.is(world.attempts.length, 3);
});

test('queued runs of a request are refused immediately when it becomes known as crashing', (t) => {
  const world = new GatewayHarness(backendOf('a', { slots: 1 }));
  world.engines = true;
  world.dispatcher.connectAgent('a', 0);
  const { reply: running } = world.request({ ...HARMLESS });
  const { reply } = world.request({ ...CRASHING });
  t.is(reply.status, 0);
  const fingerprint = world.crashingRequests.fingerprintOf({
    ...CRASHING,
    tenant: undefined,
    method: 'GET',
    path: '/a/',
  });
  world.crashingRequests.mergeTallies([{ fingerprint, crashes: 3, clearances: 0 }], 'peer');
  t.is(reply.status, 503);
  t.is(running.status, 0);
});

test('a retry within one request adds to the crash of the preceding run', (t) => {
  const world = createWorld();
  const route = routeOf({ kind: 'safe', maxAttempts: 3 });
  world.request({ route, body: CRASHING.body });
  for (let index = 0; index < 3; index += 1) {
    world.attempts[index]!.handlers.onFailure(RESET);
    world.crashingRequests.recordBackendExit(world.attempts[index]!.backend.id, 'agent');
  }
  t.is(world.crashes.at(-1)!.crashes, 3);
  world.request({ route, body: CRASHING.body });
  t.is(world.attempts.length, 3);
});

test('a gateway with an outdated tally receives the newer one, and tallies merge to the same result in any order', (t) => {
  const [left, right] = [createWorld(), createWorld()];
  const tallies = [
    { fingerprint: 'f', crashes: 2, clearances: 0 },
    { fingerprint: 'f', crashes: 1, clearances: 1 },
    { fingerprint: 'f', crashes: 3, clearances: 0 },
  ];
  tallies.forEach((tally) => left.crashingRequests.mergeTallies([tally], 'peer'));
  [...tallies].reverse().forEach((tally) => right.crashingRequests.mergeTallies([tally], 'peer'));
  t.deepEqual(left.crashingRequests.newestTallies(), [
    { fingerprint: 'f', crashes: 1, clearances: 1 },
  ]);
  t.deepEqual(right.crashingRequests.newestTallies(), left.crashingRequests.newestTallies());
  t.deepEqual(
    left.crashingRequests.mergeTallies([tallies[2]!], 'peer'),
    left.crashingRequests.newestTallies(),
  );
});

test('a request stays refused while it keeps arriving, and its entry expires after ten minutes without arrivals', async (t) => {
  const world = createWorld();
  for (let index = 0; index < 3; index += 1) {
    crash(world, CRASHING);
  }
  for (let minute = 9; minute <= 36; minute += 9) {
    await world.clock.runUntil(minute * MINUTE_MS);
    world.crashingRequests.evictExpired();
    world.request(CRASHING);
  }
  t.is(world.attempts.length, 3);
  await world.clock.runUntil(47 * MINUTE_MS);
  world.crashingRequests.evictExpired();
  world.request(CRASHING);
  t.is(world.attempts.length, 4);
});

test('the crash table stays bounded with ten thousand crashing requests', (t) => {
  const table = new CrashTable();
  for (let index = 0; index < 10_000; index += 1) {
    table.merge({ fingerprint: `${index}`, crashes: 1, clearances: 0 }, index);
  }
  t.is(table.count().suspected, DEFAULT_CRASH_TABLE_OPTIONS.maxEntries);
  t.is(table.tallyOf('9999').crashes, 1);
  t.is(table.tallyOf('0').crashes, 0);
});

test('a backend without an agent is probed at most twice, with one probe sequence at a time', async (t) => {
  const clock = new VirtualClock();
  const probed: string[] = [];
  const closed: string[] = [];
  let state: 'open' | 'closed' = 'open';
  const prober = new ExitProber(
    {
      hasAgent: (id) => id === 'with-agent',
      probe: (address) => {
        probed.push(address);
        return Promise.resolve(state);
      },
      onPortClosed: (id) => void closed.push(id),
    },
    clock,
  );
  prober.start(backendOf('with-agent'));
  prober.start(backendOf('a'));
  prober.start(backendOf('a'));
  await clock.runUntil(50);
  await clock.runUntil(1_000);
  t.deepEqual([probed, closed], [['a:1', 'a:1'], []]);
  state = 'closed';
  prober.start(backendOf('a'));
  await clock.runUntil(2_000);
  t.deepEqual([probed.length, closed], [3, ['a']]);
});
