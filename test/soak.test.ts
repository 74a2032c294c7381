import { execFileSync } from 'node:child_process';
import test from 'ava';
import {
  findOverdue,
  findSentToEvacuated,
  findSentToDraining,
  findColdOverloads,
  findViolations,
  runSoak,
} from '../bench/soak/soak-run.js';
import { findUnanswered } from '../bench/soak/soak-answers.js';
import { findOutsideRegions } from '../bench/soak/soak-regions.js';
import { findLateRoute } from '../bench/soak/soak-routes.js';
import { FAULT_KINDS } from '../bench/soak/soak-faults.js';
import { PAIRS_PER_SEED, PairTable, pairKey, pairsOfSeed } from '../bench/soak/soak-pairs.js';
import { isServable } from '../bench/soak/soak-servable.js';
import { findBrokenStreams } from '../bench/soak/soak-streams.js';
import { findIgnoredStatements } from '../bench/soak/soak-statements.js';
import type { Execution } from '../bench/soak/soak-backend.js';
import type { AnswerContext } from '../bench/soak/soak-answers.js';
import type { SoakStatement } from '../bench/soak/soak-statements.js';
import type { ObservedRequest } from '../bench/soak/soak-run.js';

const SEED = 7;
const BASE_PORT = 23_000;

test.serial('a short soak test with a fixed seed violates no guarantee', async (t) => {
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

test.serial('a short soak test with store restores violates no guarantee', async (t) => {
  execFileSync('node', ['platform/build.mjs']);
  const report = await runSoak({
    seed: SEED,
    sizes: { gateways: 4, engines: 3 },
    callers: 6,
    faultsMs: 8_000,
    restoresBackups: true,
    basePort: BASE_PORT + 1_000,
  });
  t.deepEqual(report.violations, []);
  t.true(report.faults.some(({ description }) => description.includes('then as')));
});

test.serial('a short soak test with malformed input violates no guarantee', async (t) => {
  execFileSync('node', ['platform/build.mjs']);
  const report = await runSoak({
    seed: SEED,
    sizes: { gateways: 2, engines: 3 },
    callers: 6,
    faultsMs: 6_000,
    sendsMalformed: true,
    basePort: BASE_PORT + 2_000,
  });
  t.deepEqual(report.violations, []);
  t.true(report.faults.some(({ description }) => description.includes('spoils')));
});

const SERVED_REQUEST: ObservedRequest = {
  id: 'calm',
  kind: 'safe',
  gateway: 0,
  sentAtMs: 100,
  endedAtMs: 120,
  status: 200,
  body: 'answer to calm',
};

function executionOf(requestId: string, tenant = 'shop'): Execution {
  return {
    requestId,
    backendId: 'e',
    path: '/',
    tenant,
    atMs: 0,
    countsAsColdStart: false,
    version: 'v1',
    closedAtMs: Infinity,
    brokenAtMs: Infinity,
  };
}

test('the checks of a soak test detect each kind of violation', (t) => {
  const unsafe: ObservedRequest = {
    ...SERVED_REQUEST,
    id: 'u',
    kind: 'unsafe',
    sentAtMs: 0,
    status: 503,
  };
  const cases: Array<[ObservedRequest, ReturnType<typeof executionOf>[], RegExp]> = [
    [{ ...unsafe, status: 502 }, [executionOf('u'), executionOf('u')], /ran 2 times/],
    [unsafe, [executionOf('u')], /received 503 but ran/],
    [{ ...unsafe, status: 200, body: 'answer to o' }, [], /not its own/],
    [{ ...unsafe, status: 502 }, [executionOf('u', 'other')], /another tenant/],
  ];
  for (const [request, executions, expected] of cases) {
    const violations = findViolations([request, SERVED_REQUEST], executions, 50);
    t.is(violations.length, 1);
    t.regex(violations[0]!, expected);
  }
  t.regex(findViolations([{ ...SERVED_REQUEST, status: 503 }], [], 50)[0]!, /only 0 of 1/);
  t.deepEqual(findViolations([SERVED_REQUEST], [executionOf('calm')], 50), []);
});

test('the check of answers detects a request without one, except after an end, a break or a time-out', (t) => {
  const stream: ObservedRequest = {
    ...SERVED_REQUEST,
    id: 'c1-1',
    kind: 'stream',
    sentAtMs: 1_000,
    endedAtMs: 2_500,
    status: 0,
    hasHead: true,
  };
  const unanswered = { ...stream, hasHead: false };
  const kill = { signal: 'SIGKILL', atMs: 2_000, restartedAtMs: 2_200 } as const;
  const stop = { ...kill, signal: 'SIGTERM' } as const;
  const linkBreak = { index: 3, fromMs: 1_500, untilMs: 1_600 };
  const context = {
    executionsOf: (id: string) => [{ ...executionOf(id), backendId: 'e-3x', atMs: 1_010 }],
    endsOf: () => [],
    breaks: [],
    silences: [],
  };
  const brokenRun = { ...executionOf('c1-1'), atMs: 1_010, closedAtMs: 2_500, brokenAtMs: 2_490 };
  const brokenOff = { executionsOf: () => [brokenRun] };
  const find = (sent: ObservedRequest, causes: Partial<AnswerContext> = {}) =>
    findUnanswered([sent, SERVED_REQUEST], { ...context, ...causes });
  t.deepEqual(find(stream), [
    'c1-1 (stream) was not answered: its response broke off after 1500 ms',
  ]);
  t.deepEqual(find(unanswered), [
    'c1-1 (stream) was not answered: it got no response after 1500 ms',
  ]);
  t.is(find(unanswered, { ...brokenOff, breaks: [linkBreak] }).length, 1);
  t.is(find(stream, { endsOf: () => [stop] }).length, 1);
  t.is(find(stream, { endsOf: () => [{ ...kill, atMs: 2_501, restartedAtMs: 2_700 }] }).length, 1);
  t.is(find(stream, { endsOf: () => [{ ...kill, atMs: 800, restartedAtMs: 999 }] }).length, 1);
  t.is(find(stream, { breaks: [{ ...linkBreak, index: 2 }] }).length, 1);
  t.is(find(stream, { breaks: [{ ...linkBreak, fromMs: 900, untilMs: 1_000 }] }).length, 1);
  t.deepEqual(find(stream, brokenOff), []);
  t.deepEqual(find(stream, { breaks: [linkBreak] }), []);
  t.deepEqual(find(unanswered, { endsOf: () => [kill] }), []);
  const stopped = { ...stop, restartedAtMs: 6_000 };
  const meetsClose = { ...unanswered, sentAtMs: 4_900, endedAtMs: 4_910 };
  const outlastsGrace = { ...unanswered, sentAtMs: 4_000, endedAtMs: 5_650 };
  t.deepEqual(find(meetsClose, { endsOf: () => [stopped] }), []);
  t.deepEqual(find(outlastsGrace, { endsOf: () => [stopped] }), []);
  t.deepEqual(find({ ...unanswered, isConnectionRefused: true }), []);
  t.deepEqual(find({ ...stream, endedAtMs: 3_460 }), []);
});

test('the check of answers detects a gateway that swallows the error of a wait, or ends early', (t) => {
  const sent: ObservedRequest = { ...SERVED_REQUEST, id: 'c1-1', sentAtMs: 1_000, status: 0 };
  const stop = { signal: 'SIGTERM', atMs: 900, restartedAtMs: 6_000 } as const;
  const context: AnswerContext = {
    executionsOf: (id) => [
      { ...executionOf(id), backendId: 'e-3', atMs: 1_010, brokenAtMs: 1_020 },
    ],
    endsOf: () => [],
    breaks: [{ index: 3, fromMs: 1_000, untilMs: 1_100 }],
    silences: [],
  };
  const whole = { ...sent, hasHead: true };
  const variants: Array<[string, ObservedRequest, Partial<AnswerContext>]> = [
    ['holds it until its caller gives up', { ...sent, endedAtMs: 6_000 }, {}],
    ['breaks off a response that was complete', { ...whole, endedAtMs: 1_200 }, {}],
    ['breaks off a complete response late', { ...whole, endedAtMs: 3_600 }, {}],
    ['ends at the stop signal', { ...sent, endedAtMs: 1_001 }, { endsOf: () => [stop] }],
    ['ends before its grace time', { ...sent, endedAtMs: 4_400 }, { endsOf: () => [stop] }],
  ];
  for (const [variant, observed, causes] of variants) {
    t.is(findUnanswered([observed], { ...context, ...causes }).length, 1, variant);
  }
});

test('the check of answers detects a stream that its gateway ended at a silent backend, whatever broke before', (t) => {
  const sent: ObservedRequest = {
    ...SERVED_REQUEST,
    id: 'c1-1',
    kind: 'long',
    sentAtMs: 1_000,
    endedAtMs: 4_400,
    status: 0,
    hasHead: true,
    body: eventsOf('c1-1', 1, 2, 'v1'),
  };
  const run = (index: number, atMs: number, changes: Partial<Execution> = {}): Execution => ({
    ...executionOf('c1-1'),
    backendId: `e-${index}`,
    atMs,
    ...changes,
  });
  const silence = { index: 1, fromMs: 2_000, untilMs: 3_400 };
  const isReported = (
    runs: readonly Execution[],
    breaks: AnswerContext['breaks'] = [],
    silences: AnswerContext['silences'] = [silence],
  ) => {
    const causes = { executionsOf: () => runs, endsOf: () => [], breaks, silences };
    return findUnanswered([sent], causes).length === 1;
  };
  const left = run(0, 1_010, { closedAtMs: 2_500 });
  const successor = run(1, 2_500, { closedAtMs: 2_850 });
  const brokenBefore = { ...left, closedAtMs: 2_400, brokenAtMs: 2_400 };
  const brokenAfter = [{ index: 0, fromMs: 3_000, untilMs: 3_500 }];
  t.true(isReported([left, successor]));
  t.true(isReported([left, successor], [], []));
  t.true(isReported([left, successor], brokenAfter));
  t.true(isReported([brokenBefore, successor]));
  t.true(isReported([brokenBefore, { ...successor, closedAtMs: Infinity }]));
  t.false(isReported([brokenBefore, successor], [], [{ ...silence, index: 2 }]));
  t.false(isReported([brokenBefore, successor], [], [{ ...silence, untilMs: 2_499 }]));
  t.false(isReported([left, { ...successor, brokenAtMs: 2_840 }]));
  t.false(isReported([left, successor], [{ index: 1, fromMs: 2_800, untilMs: 2_900 }]));
  t.false(isReported([brokenBefore, { ...successor, version: 'v2' }]));
  t.false(isReported([{ ...left, closedAtMs: 4_400, brokenAtMs: 4_390 }, successor]));
});

test('the check of answers allows a stream that is still at work when the grace time of a stop ends', (t) => {
  const sent: ObservedRequest = {
    ...SERVED_REQUEST,
    id: 'c1-1',
    kind: 'long',
    sentAtMs: 1_000,
    endedAtMs: 4_700,
    status: 0,
    hasHead: true,
  };
  const stop = { signal: 'SIGTERM', atMs: 1_050, restartedAtMs: 5_000 } as const;
  const find = (observed: ObservedRequest) =>
    findUnanswered([observed], {
      executionsOf: () => [],
      endsOf: () => [stop],
      breaks: [],
      silences: [],
    });
  t.deepEqual(find(sent), []);
  t.is(find({ ...sent, endedAtMs: 4_600 }).length, 1);
  t.is(find({ ...sent, kind: 'stream', endedAtMs: 3_300 }).length, 1);
});

test('50 seeds in a row draw each pair of kinds of faults, silence among them', (t) => {
  const seeds = Array.from({ length: 50 }, (_none, offset) => 13_007 + offset);
  const drawn = new Set(
    seeds.flatMap((seed) => pairsOfSeed(seed, FAULT_KINDS).map((pair) => pairKey(...pair))),
  );
  t.is(drawn.size, (FAULT_KINDS.length * (FAULT_KINDS.length - 1)) / 2);
  t.true(drawn.has('drainBackend+silenceBackend'));
  const kindsOf = (seed: number) => pairsOfSeed(seed, FAULT_KINDS).flat();
  const evacuations = seeds.map(
    (seed) => kindsOf(seed).filter((kind) => kind === 'evacuateZone').length,
  );
  t.true(Math.max(...evacuations) < PAIRS_PER_SEED);
});

test('the table of pairs counts the seeds in which two kinds were in effect together', (t) => {
  const fault = (kind: string, atMs: number) => ({ kind, description: '', atMs, durationMs: 500 });
  const table = new PairTable(['a', 'b', 'c']);
  table.addSeed([fault('b', 0), fault('a', 400), fault('a', 450), fault('c', 1_000)]);
  table.addSeed([fault('a', 0), fault('b', 500)]);
  t.deepEqual(table.missing, [
    ['a', 'c'],
    ['b', 'c'],
  ]);
  t.is(table.format(), ['a   -', 'b   2  -', 'c   0  0  -'].join('\n'));
});

test('the check of draining backends detects requests sent too late, except by a gateway with a fault', (t) => {
  const execution = (requestId: string, atMs: number) => ({ ...executionOf(requestId), atMs });
  const drained = new Map([['e', 1_000]]);
  const isUndisrupted = (requestId: string) => requestId !== 'touched';
  const executions = [
    execution('early', 3_000),
    execution('late', 3_500),
    execution('touched', 3_500),
  ];
  const violations = findSentToDraining(executions, drained, isUndisrupted);
  t.is(violations.length, 1);
  t.regex(violations[0]!, /^late ran at e 2500 ms/);
});

test('the check of overdue requests detects one that a gateway without faults held too long', (t) => {
  const held: ObservedRequest = { ...SERVED_REQUEST, sentAtMs: 100, endedAtMs: 20_000 };
  t.is(findOverdue(held, 0).length, 1);
  t.is(findOverdue(held, 150).length, 0);
  t.is(findOverdue(SERVED_REQUEST, 0).length, 0);
});

test('the check of allowed regions detects executions elsewhere, except within the bound or by a faulty gateway', (t) => {
  const execution = (requestId: string, backendId: string, atMs: number) => ({
    ...executionOf(requestId),
    path: `/moved/${requestId}`,
    backendId,
    atMs,
  });
  const changes = [
    { atMs: 0, regions: ['a', 'b'] },
    { atMs: 5_000, regions: ['a'] },
  ];
  const isUndisrupted = (requestId: string) => requestId !== 'touched';
  const executions = [
    execution('before', 'b', 4_900),
    execution('soon', 'b', 7_000),
    execution('late', 'b', 7_500),
    execution('touched', 'b', 7_500),
    execution('home', 'a', 7_500),
    { ...execution('free', 'b', 7_500), path: '/safe/free' },
    { ...execution('touched', 'b', 10), path: '/home/touched' },
    { ...execution('fixed', 'a', 10), path: '/home/fixed' },
  ];
  const violations = findOutsideRegions(executions, changes, (id) => id, isUndisrupted);
  t.deepEqual(violations, [
    'late (/moved/late) ran at b in region b, which is not an allowed region',
    'touched (/home/touched) ran at b in region b, which is not an allowed region',
  ]);
});

test('the check of evacuations detects requests sent too late to a zone, until the evacuation ends', (t) => {
  const evacuations = [{ index: 1, fromMs: 1_000, untilMs: 6_000 }];
  const find = (atMs: number, backendId = 'e-1xx', disruptedUntilMs = 0) =>
    findSentToEvacuated({ ...executionOf('q'), backendId, atMs }, evacuations, disruptedUntilMs);
  t.deepEqual(find(3_500), ['q ran at e-1xx 2500 ms after its zone was evacuated']);
  t.is(find(3_500, 'e-1xx', 3_400).length, 1);
  t.deepEqual(find(3_000), []);
  t.deepEqual(find(3_500, 'e-11'), []);
  t.deepEqual(find(3_500, 'e-1xx', 3_600), []);
  t.deepEqual(find(6_001), []);
});

test('the check of cold starts detects a backend that received more than the bound in a second', (t) => {
  const executions = (count: number, everyMs: number, countsAsColdStart = true) =>
    Array.from({ length: count }, (_none, index) => ({
      ...executionOf(`${index}`),
      atMs: index * everyMs,
      countsAsColdStart,
    }));
  t.deepEqual(findColdOverloads(executions(26, 1)), []);
  t.deepEqual(findColdOverloads(executions(100, 40)), []);
  t.deepEqual(findColdOverloads(executions(40, 1, false)), []);
  t.deepEqual(findColdOverloads(executions(27, 1)), ['e got 27 requests in a second while cold']);
});

test('the check of statements detects each statement that a gateway did not follow', (t) => {
  const context = {
    gatewayOf: (requestId: string) => Number(requestId[0]),
    sentAtMs: (requestId: string) => Number(requestId.split('-')[1]),
    isUndisruptedSince: (requestId: string) => requestId[0] !== '9',
  };
  const find = (statement: SoakStatement, arrivals: ReadonlyArray<readonly [string, number]>) =>
    findIgnoredStatements(
      'e',
      {
        statements: ['1', '9'].flatMap((gateway) =>
          [0, 8_000].map((atMs) => ({ requestId: `${gateway}-0`, atMs, statement })),
        ),
        arrivals: arrivals.map(([requestId, atMs]) => ({ requestId, atMs })),
      },
      context,
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
  t.regex(find({ kind: 'leaving' }, [['1-2300', 2_301]])[0]!, /2300 ms after its response stated/);
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

test('a request is servable if an allowed zone remains, and not if evacuations cover its allowed regions', (t) => {
  const changes = [{ atMs: 0, regions: ['a', 'b'] }];
  const changesToB = [...changes, { atMs: 9_000, regions: ['b'] }];
  const request = (kind: string) => ({ kind, sentAtMs: 10_000, endedAtMs: 10_100 });
  const inA = [{ index: 0, fromMs: 5_000, untilMs: Infinity }];
  t.true(isServable(request('home'), changes, []));
  t.false(isServable(request('home'), changes, inA));
  t.true(isServable(request('safe'), changes, inA));
  t.true(isServable(request('moved'), changes, inA));
  const inB = [{ index: 1, fromMs: 5_000, untilMs: 9_500 }];
  t.false(isServable(request('moved'), changesToB, inB));
  t.true(isServable(request('home'), changesToB, inB));
  t.false(isServable(request('safe'), changes, [...inA, ...inB]));
  t.true(isServable(request('home'), changes, [{ index: 0, fromMs: 1_000, untilMs: 7_000 }]));
});

test('the check of routes detects a gateway that does not apply a change, unless a fault excuses it', (t) => {
  const change = { version: 4, atMs: 1_000 };
  const known = { status: 503, reason: 'no-backend' };
  const unknown = { status: 404, reason: 'no-route' };
  const unconfirmed = { status: 503, reason: 'configuration-unconfirmed' };
  const times = { sentAtMs: 4_000, isSuperseded: false };
  const check = { gateway: 'g', change, ...times, added: known, dropped: unknown };
  t.deepEqual(findLateRoute(check, 0), []);
  t.is(findLateRoute({ ...check, added: unknown }, 0).length, 1);
  t.is(findLateRoute({ ...check, dropped: known }, 0).length, 1);
  t.is(findLateRoute({ ...check, dropped: known, isSuperseded: true }, 0).length, 1);
  t.deepEqual(findLateRoute({ ...check, added: unknown, isSuperseded: true }, 0), []);
  t.deepEqual(findLateRoute({ ...check, dropped: unconfirmed }, 0), []);
  t.deepEqual(findLateRoute({ ...check, added: unknown }, 4_500), []);
  t.deepEqual(findLateRoute({ ...check, added: unknown, sentAtMs: 3_000 }, 0), []);
});

function streamOf(id: string, body: string, changes: Partial<ObservedRequest> = {}) {
  return { ...SERVED_REQUEST, id, kind: 'stream', body, ...changes } as ObservedRequest;
}

function eventsOf(stream: string, from: number, to: number, version: string): string {
  return Array.from(
    { length: to - from + 1 },
    (_none, index) => `id: ${from + index}\ndata: ${stream} ${version}\n\n`,
  ).join('');
}

test('the check of streams detects joined versions, gaps, streams of others and early ends', (t) => {
  const broken = streamOf('c', eventsOf('c', 1, 4, 'v1'), { status: 0 });
  const resumes = { firstId: 'c', afterEvent: 4 };
  const resumed = (body: string) => streamOf('r', body, { resumes });
  t.deepEqual(findBrokenStreams([broken, resumed(eventsOf('c', 5, 8, 'v1'))]), []);
  const cases: Array<[ObservedRequest[], RegExp]> = [
    [[broken, resumed(eventsOf('c', 5, 8, 'v2'))], /events of versions v1 and v2/],
    [[streamOf('c', eventsOf('c', 1, 4, 'v1') + eventsOf('c', 5, 8, 'v2'))], /v1 and v2/],
    [[broken, resumed(eventsOf('c', 4, 8, 'v1'))], /holds events 1,2,3,4,4/],
    [[streamOf('c', eventsOf('o', 1, 8, 'v1'))], /not its own/],
    [[streamOf('c', eventsOf('c', 1, 7, 'v1'))], /ended after 7/],
  ];
  for (const [observed, expected] of cases) {
    t.regex(findBrokenStreams(observed)[0]!, expected);
  }
});
