import { execFileSync } from 'node:child_process';
import test from 'ava';
import {
  findHeld,
  findInEvacuated,
  findLateForLeaving,
  findRushes,
  findViolations,
  runSoak,
} from '../bench/soak/soak-run.js';
import { findOutsideHome } from '../bench/soak/soak-homes.js';
import { findLateRoute } from '../bench/soak/soak-routes.js';
import { isOwed } from '../bench/soak/soak-owed.js';
import { findUnheeded } from '../bench/soak/soak-statements.js';
import type { SoakStatement } from '../bench/soak/soak-statements.js';
import type { SeenRequest } from '../bench/soak/soak-run.js';

const SEED = 7;
const BASE_PORT = 23_000;

test.serial('a short soak with a fixed seed breaks no promise', async (t) => {
  execFileSync('node', ['platform/build.mjs']);
  const report = await runSoak({
    seed: SEED,
    sizes: { gateways: 2, engines: 3 },
    callers: 6,
    faultsMs: 6_000,
    basePort: BASE_PORT,
  });
  t.deepEqual(report.violations, []);
  t.true(report.requests > 200);
});

test.serial('a short soak whose store comes back from copies breaks no promise', async (t) => {
  execFileSync('node', ['platform/build.mjs']);
  const report = await runSoak({
    seed: SEED,
    sizes: { gateways: 4, engines: 3 },
    callers: 6,
    faultsMs: 8_000,
    hasCopies: true,
    basePort: BASE_PORT + 1_000,
  });
  t.deepEqual(report.violations, []);
  t.true(report.faults.some((fault) => fault.includes('then as')));
});

const CALM: SeenRequest = {
  id: 'calm',
  kind: 'safe',
  gateway: 0,
  sentAtMs: 100,
  endedAtMs: 120,
  status: 200,
  body: 'answer to calm',
};

function runOf(requestId: string, tenant = 'shop') {
  return { requestId, backendId: 'e', path: '/', tenant, atMs: 0, countsAsColdStart: false };
}

test('the checks of a soak see each kind of broken promise', (t) => {
  const unsafe: SeenRequest = { ...CALM, id: 'u', kind: 'unsafe', sentAtMs: 0, status: 503 };
  const cases: Array<[SeenRequest, ReturnType<typeof runOf>[], RegExp]> = [
    [{ ...unsafe, status: 502 }, [runOf('u'), runOf('u')], /ran 2 times/],
    [unsafe, [runOf('u')], /told 503 and ran/],
    [{ ...unsafe, status: 200, body: 'answer to o' }, [], /not its own/],
    [{ ...unsafe, status: 502 }, [runOf('u', 'other')], /another tenant/],
  ];
  for (const [seen, runs, expected] of cases) {
    const violations = findViolations([seen, CALM], runs, 50);
    t.is(violations.length, 1);
    t.regex(violations[0]!, expected);
  }
  t.regex(findViolations([{ ...CALM, status: 503 }], [], 50)[0]!, /only 0 of 1/);
  t.deepEqual(findViolations([CALM], [runOf('calm')], 50), []);
});

test('the check of leaving back ends sees what was sent too late, but not by a gateway that a fault touched', (t) => {
  const run = (requestId: string, atMs: number) => ({ ...runOf(requestId), atMs });
  const drained = new Map([['e', 1_000]]);
  const isCalm = (requestId: string) => requestId !== 'touched';
  const runs = [run('early', 3_000), run('late', 3_500), run('touched', 3_500)];
  const violations = findLateForLeaving(runs, drained, isCalm);
  t.is(violations.length, 1);
  t.regex(violations[0]!, /^late ran at e 2500 ms/);
});

test('the check of held requests sees one that an untouched gateway held too long', (t) => {
  const held: SeenRequest = { ...CALM, sentAtMs: 100, endedAtMs: 20_000 };
  t.is(findHeld(held, 0).length, 1);
  t.is(findHeld(held, 150).length, 0);
  t.is(findHeld(CALM, 0).length, 0);
});

test('the check of homes sees what ran outside, but not within the bound nor by a gateway that a fault touched', (t) => {
  const run = (requestId: string, backendId: string, atMs: number) => ({
    ...runOf(requestId),
    path: `/moved/${requestId}`,
    backendId,
    atMs,
  });
  const changes = [
    { atMs: 0, regions: ['a', 'b'] },
    { atMs: 5_000, regions: ['a'] },
  ];
  const isCalm = (requestId: string) => requestId !== 'touched';
  const runs = [
    run('before', 'b', 4_900),
    run('soon', 'b', 7_000),
    run('late', 'b', 7_500),
    run('touched', 'b', 7_500),
    run('home', 'a', 7_500),
    { ...run('free', 'b', 7_500), path: '/safe/free' },
    { ...run('touched', 'b', 10), path: '/home/touched' },
    { ...run('fixed', 'a', 10), path: '/home/fixed' },
  ];
  const violations = findOutsideHome(runs, changes, (id) => id, isCalm);
  t.deepEqual(violations, [
    'late (/moved/late) ran at b in region b, which is no home of it',
    'touched (/home/touched) ran at b in region b, which is no home of it',
  ]);
});

test('the check of evacuations sees what was sent too late to a zone, until it was taken back', (t) => {
  const evacuations = [{ index: 1, fromMs: 1_000, untilMs: 6_000 }];
  const find = (atMs: number, backendId = 'e-1xx', disturbedUntilMs = 0) =>
    findInEvacuated({ ...runOf('q'), backendId, atMs }, evacuations, disturbedUntilMs);
  t.deepEqual(find(3_500), ['q ran at e-1xx 2500 ms after its zone was evacuated']);
  t.is(find(3_500, 'e-1xx', 3_400).length, 1);
  t.deepEqual(find(3_000), []);
  t.deepEqual(find(3_500, 'e-11'), []);
  t.deepEqual(find(3_500, 'e-1xx', 3_600), []);
  t.deepEqual(find(6_001), []);
});

test('the check of cold back ends sees one that was sent more than the bound in a second', (t) => {
  const runs = (count: number, everyMs: number, countsAsColdStart = true) =>
    Array.from({ length: count }, (_none, index) => ({
      ...runOf(`${index}`),
      atMs: index * everyMs,
      countsAsColdStart,
    }));
  t.deepEqual(findRushes(runs(26, 1)), []);
  t.deepEqual(findRushes(runs(100, 40)), []);
  t.deepEqual(findRushes(runs(40, 1, false)), []);
  t.deepEqual(findRushes(runs(27, 1)), ['e got 27 requests in a second while cold']);
});

test('the check of what back ends say of themselves sees each statement that was not heeded', (t) => {
  const ports = {
    gatewayOf: (requestId: string) => Number(requestId[0]),
    sentAtMs: (requestId: string) => Number(requestId.split('-')[1]),
    isCalmSince: (requestId: string) => requestId[0] !== '9',
  };
  const find = (statement: SoakStatement, arrivals: ReadonlyArray<readonly [string, number]>) =>
    findUnheeded(
      'e',
      {
        told: ['1', '9'].flatMap((gateway) =>
          [0, 8_000].map((atMs) => ({ requestId: `${gateway}-0`, atMs, statement })),
        ),
        arrivals: arrivals.map(([requestId, atMs]) => ({ requestId, atMs })),
      },
      ports,
    );
  const every = (gateway: string, count: number, fromMs: number, stepMs: number) =>
    Array.from(
      { length: count },
      (_none, index) => [`${gateway}-0`, fromMs + index * stepMs] as const,
    );
  t.deepEqual(
    find({ kind: 'leaving' }, [
      ['1-2100', 2_300],
      ['2-5000', 5_001],
      ['9-5000', 5_001],
    ]),
    [],
  );
  t.regex(find({ kind: 'leaving' }, [['1-2300', 2_301]])[0]!, /2300 ms after its answer said/);
  t.deepEqual(find({ kind: 'rest', untilMs: 1_500 }, every('1', 2, 600, 10)), []);
  t.regex(find({ kind: 'rest', untilMs: 1_500 }, every('1', 3, 600, 10))[0]!, /got 3 requests/);
  t.deepEqual(find({ kind: 'rest', untilMs: 1_500 }, every('9', 3, 600, 10)), []);
  t.deepEqual(find({ kind: 'limit', perS: 1 }, every('1', 11, 3_100, 10)), []);
  t.regex(
    find({ kind: 'limit', perS: 1 }, every('1', 12, 3_100, 10))[0]!,
    /got 12 requests in 4 s/,
  );
  t.deepEqual(find({ kind: 'limit', perS: 1 }, every('2', 50, 3_100, 10)), []);
});

test('a request is owed where operators leave it a zone, and not where an order empties its home', (t) => {
  const changes = [{ atMs: 0, regions: ['a', 'b'] }];
  const moved = [...changes, { atMs: 9_000, regions: ['b'] }];
  const one = (kind: string) => ({ kind, sentAtMs: 10_000, endedAtMs: 10_100 });
  const inA = [{ index: 0, fromMs: 5_000, untilMs: Infinity }];
  t.true(isOwed(one('home'), changes, []));
  t.false(isOwed(one('home'), changes, inA));
  t.true(isOwed(one('safe'), changes, inA));
  t.true(isOwed(one('moved'), changes, inA));
  const inB = [{ index: 1, fromMs: 5_000, untilMs: 9_500 }];
  t.false(isOwed(one('moved'), moved, inB));
  t.true(isOwed(one('home'), moved, inB));
  t.false(isOwed(one('safe'), changes, [...inA, ...inB]));
  t.true(isOwed(one('home'), changes, [{ index: 0, fromMs: 1_000, untilMs: 7_000 }]));
});

test('a gateway that does not follow a change of routes is seen, unless something excuses it', (t) => {
  const change = { version: 4, atMs: 1_000 };
  const known = { status: 503, reason: 'no-backend' };
  const unknown = { status: 404, reason: 'no-route' };
  const unconfirmed = { status: 503, reason: 'configuration-unconfirmed' };
  const answer = { gateway: 'g', change, askedAtMs: 4_000, added: known, dropped: unknown };
  t.deepEqual(findLateRoute(answer, 0), []);
  t.is(findLateRoute({ ...answer, added: unknown }, 0).length, 1);
  t.is(findLateRoute({ ...answer, dropped: known }, 0).length, 1);
  t.deepEqual(findLateRoute({ ...answer, dropped: unconfirmed }, 0), []);
  t.deepEqual(findLateRoute({ ...answer, added: unknown }, 4_500), []);
  t.deepEqual(findLateRoute({ ...answer, added: unknown, askedAtMs: 3_000 }, 0), []);
});
