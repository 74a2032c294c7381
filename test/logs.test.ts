import { execFileSync, spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'ava';
import { LOG_EVENTS } from '../src/telemetry/decision-log.js';
import { LineRateLimiter } from '../src/telemetry/line-rate-limiter.js';

test('docs/LOGS.md lists exactly the events in LOG_EVENTS', (t) => {
  const page = readFileSync('docs/LOGS.md', 'utf8');
  const listed = [...page.matchAll(/^\| `([a-z-]+)`/gm)].map(([, name]) => name);
  t.deepEqual(listed, [...LOG_EVENTS]);
});

test('failure and state lines are logged after success lines have used up their share', (t) => {
  const limiter = new LineRateLimiter({ linesPerS: 10 });
  const accepted = Array.from({ length: 20 }, () => limiter.tryAcquire('success', 0)).filter(
    Boolean,
  ).length;
  t.is(accepted, 6);
  t.true(limiter.tryAcquire('failure', 0));
  t.true(limiter.tryAcquire('state', 0));
  t.is(limiter.drainDropped(), 14);
  t.true(limiter.tryAcquire('success', 1_001));
});

test('a log reader that stalls causes dropped lines, but no delay', async (t) => {
  const writer = spawn('node', ['dist/test/support/write-many-lines.js'], {
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  writer.stdout.pause();
  let report = '';
  writer.stderr.on('data', (bytes: Buffer) => (report += bytes.toString()));
  await new Promise((resolve) => writer.stderr.on('end', resolve));
  const { lost, longestPauseMs } = JSON.parse(report) as { lost: number; longestPauseMs: number };
  t.true(lost > 1_000);
  t.true(longestPauseMs < 200);
});

const ENDED = {
  name: 'weirvaled',
  process: 'edge-1',
  event: 'request-ended',
  request: 'q-1',
  route: 'r',
  service: 's',
  tier: 1,
  status: 502,
  reason: 'backend-failed',
  waitedMs: 2,
  totalMs: 40,
  longestPauseMs: 0,
  waiting: 0,
  configuration: 7,
  storeAgeMs: 900,
  tries: [
    { backend: 'w-1', afterMs: 2, occupied: 1, slots: 4, outcome: 'failed', detail: 'reset' },
  ],
  time: '2026-01-01T00:00:02.000Z',
};
const EJECTED = {
  name: 'weirvaled',
  process: 'edge-1',
  event: 'backend-ejected',
  backend: 'w-1',
  time: '2026-01-01T00:00:01.000Z',
};

test('logs explain shows the cost of a request that exceeded its quota, and what was left', (t) => {
  const file = join(mkdtempSync(join(tmpdir(), 'weirvale-logs-')), 'edge.log');
  const refused = {
    ...EJECTED,
    event: 'request-refused',
    request: 'q-1',
    reason: 'quota-spent',
    status: 429,
    quota: { tenant: 'shop', cost: 700, left: 30 },
  };
  writeFileSync(file, JSON.stringify(refused));
  const text = execFileSync('node', ['dist/src/bin/weirvale.js', 'logs', 'explain', 'q-1', file]);
  t.regex(text.toString(), /tenant shop: it would have cost 700, 30 were left/);
});

test('logs explain shows the crashes, at any gateway, because of which a request was refused', (t) => {
  const file = join(mkdtempSync(join(tmpdir(), 'weirvale-logs-')), 'edge.log');
  const crash = (second: number, fields: object) => ({
    name: 'weirvaled',
    process: `edge-${second}`,
    event: 'backend-crashed',
    backend: `w-${second}`,
    evidence: 'agent',
    request: `earlier-${second}`,
    fingerprint: 'f-1',
    crashes: second,
    afterMs: 130,
    time: `2026-01-01T00:00:0${second}.000Z`,
    ...fields,
  });
  const refused = {
    name: 'weirvaled',
    process: 'edge-1',
    event: 'request-refused',
    request: 'q-1',
    reason: 'crashes-back-ends',
    status: 503,
    fingerprint: 'f-1',
    time: '2026-01-01T00:00:05.000Z',
  };
  const lines = [1, 2, 3].map((second) => crash(second, {}));
  lines.push(crash(4, { fingerprint: 'f-2' }));
  writeFileSync(file, [...lines, refused].map((line) => JSON.stringify(line)).join('\n'));
  const text = execFileSync('node', ['dist/src/bin/weirvale.js', 'logs', 'explain', 'q-1', file], {
    encoding: 'utf8',
  });
  t.regex(text, /earlier runs of the same request, or of others .* had crashed the backends/);
  t.regex(text, /edge-3: crash 3, request earlier-3 crashed w-3 after 130 ms \(agent\)/);
  t.is([...text.matchAll(/: crash \d/g)].length, 3);
});

test('logs explain shows the crashes of all requests with the prompt part for which a request was refused', (t) => {
  const file = join(mkdtempSync(join(tmpdir(), 'weirvale-logs-')), 'edge.log');
  const crash = (second: number, ...promptParts: string[]) => ({
    name: 'weirvaled',
    process: `edge-${second}`,
    event: 'backend-crashed',
    backend: `w-${second}`,
    evidence: 'agent',
    request: `earlier-${second}`,
    fingerprint: `f-${second}`,
    promptParts,
    crashes: 1,
    afterMs: 130,
    time: `2026-01-01T00:00:0${second}.000Z`,
  });
  const refused = {
    name: 'weirvaled',
    process: 'edge-1',
    event: 'request-refused',
    request: 'q-1',
    reason: 'crashes-back-ends',
    status: 503,
    fingerprint: 'llm:bad0',
    time: '2026-01-01T00:00:05.000Z',
  };
  const lines = [crash(1, 'a', 'bad0'), crash(2, 'bad0'), crash(3, 'a'), refused];
  writeFileSync(file, lines.map((line) => JSON.stringify(line)).join('\n'));
  const text = execFileSync('node', ['dist/src/bin/weirvale.js', 'logs', 'explain', 'q-1', file], {
    encoding: 'utf8',
  });
  t.regex(text, /request earlier-1 crashed w-1/);
  t.regex(text, /request earlier-2 crashed w-2/);
  t.notRegex(text, /earlier-3/);
});

test('logs explain shows a retry after a lost path, and when the path was suspected', (t) => {
  const file = join(mkdtempSync(join(tmpdir(), 'weirvale-logs-')), 'edge.log');
  const retried = {
    ...ENDED,
    status: 200,
    reason: 'answered',
    tries: [
      {
        ...ENDED.tries[0],
        outcome: 'path-lost',
        detail: 'the path to it is lost',
        lastedMs: 640,
        silentMs: 600,
      },
      {
        ...ENDED.tries[0],
        backend: 'w-2',
        afterMs: 650,
        outcome: 'answered',
        detail: 'status 200',
      },
    ],
  };
  const suspected = {
    ...EJECTED,
    event: 'path-suspected',
    backendZone: 'east',
    cause: 'zone-silent',
    silentMs: 690,
  };
  writeFileSync(file, [retried, suspected].map((line) => JSON.stringify(line)).join('\n'));
  const tool = 'dist/src/bin/weirvale.js';
  const text = execFileSync('node', [tool, 'logs', 'explain', 'q-1', file], { encoding: 'utf8' });
  t.regex(text, /path-suspected w-1/);
  t.regex(
    text,
    /to w-1 \(estimated 1 of 4 slots occupied\): path-lost, the path to it is lost; ended after 640 ms, 600 ms without data/,
  );
  t.regex(text, /after 650 ms to w-2/);
});

test('logs explain shows the reason, the attempts and the state changes before them', (t) => {
  const file = join(mkdtempSync(join(tmpdir(), 'weirvale-logs-')), 'edge.log');
  const lines = [`  1.0 edge-1 ${JSON.stringify(ENDED)}`, 'no line', JSON.stringify(EJECTED)];
  writeFileSync(file, lines.join('\n'));
  const tool = 'dist/src/bin/weirvale.js';
  const text = execFileSync('node', [tool, 'logs', 'explain', 'q-1', file], { encoding: 'utf8' });
  t.regex(text, /backend-ejected w-1/);
  t.regex(text, /edge-1: response 502: the backend failed/);
  t.regex(text, /to w-1 \(estimated 1 of 4 slots occupied\): failed, reset/);
  t.regex(text, /configuration 7/);
  t.false(text.includes('allowed regions'));
  t.throws(() => execFileSync('node', [tool, 'logs', 'explain', 'other', file], { stdio: 'pipe' }));
});

test('logs explain shows that the store was restored before the request', (t) => {
  const file = join(mkdtempSync(join(tmpdir(), 'weirvale-logs-')), 'edge.log');
  const epoch = {
    ...EJECTED,
    event: 'store-epoch',
    backend: undefined,
    epoch: 2,
    revision: 36,
    kept: 4,
  };
  writeFileSync(file, [ENDED, epoch].map((line) => JSON.stringify(line)).join('\n'));
  const tool = 'dist/src/bin/weirvale.js';
  const text = execFileSync('node', [tool, 'logs', 'explain', 'q-1', file], { encoding: 'utf8' });
  t.regex(text, /store-epoch 2 \(revision 36, 4 records kept that the store lacks\)/);
});

test('logs explain shows the statement of a backend in its response, and when the condition began', (t) => {
  const file = join(mkdtempSync(join(tmpdir(), 'weirvale-logs-')), 'edge.log');
  const statement = { restMs: 3_000, isLeaving: false };
  const refused = {
    ...ENDED,
    status: 503,
    reason: 'backend-refused',
    tries: [
      {
        ...ENDED.tries[0],
        outcome: 'refused',
        detail: 'it did not run the request',
        stated: statement,
      },
    ],
  };
  const conditionChange = {
    ...EJECTED,
    event: 'backend-condition',
    source: 'peer',
    limitPerS: 2.4,
  };
  writeFileSync(file, [refused, conditionChange].map((line) => JSON.stringify(line)).join('\n'));
  const tool = 'dist/src/bin/weirvale.js';
  const text = execFileSync('node', [tool, 'logs', 'explain', 'q-1', file], { encoding: 'utf8' });
  t.regex(text, /backend-condition w-1: accepts 2.4 requests per second from all gateways\n/);
  t.regex(text, /its response stated: backoff for 3000 ms\n/);
});

test('logs explain shows which region restriction excluded which backend', (t) => {
  const refused = {
    ...ENDED,
    status: 503,
    reason: 'no-backend-at-home',
    tenant: 'acme',
    tries: [],
    homes: { route: ['eu', 'us'], tenant: ['eu'] },
    kept: [
      { backend: 'w-1', zone: 'eu-1', region: 'eu', reason: 'zone-evacuated', by: [] },
      { backend: 'w-2', zone: 'us-1', region: 'us', reason: 'outside-home', by: ['tenant'] },
      { backend: 'w-3', zone: '', reason: 'outside-home', by: ['route', 'tenant'] },
    ],
    keptMore: 4,
  };
  const file = join(mkdtempSync(join(tmpdir(), 'weirvale-logs-')), 'edge.log');
  writeFileSync(file, JSON.stringify(refused));
  const tool = 'dist/src/bin/weirvale.js';
  const text = execFileSync('node', [tool, 'logs', 'explain', 'q-1', file], { encoding: 'utf8' });
  t.regex(text, /503: no backend was available in its allowed regions/);
  t.regex(text, /allowed regions: route r allows eu, us; tenant acme allows eu\n/);
  t.regex(text, /excluded w-1 \(zone eu-1, region eu\): its zone is evacuated\n/);
  t.regex(text, /excluded w-2 \(zone us-1, region us\): its region is not allowed by the tenant\n/);
  t.regex(text, /excluded w-3 \(zone none, region unknown\): .* by the route and the tenant\n/);
  t.regex(text, /excluded 4 more/);
  t.regex(text, /configuration 7/);
});

test('logs explain shows the evacuation that caused a refusal, however old the order is', (t) => {
  const file = join(mkdtempSync(join(tmpdir(), 'weirvale-logs-')), 'edge.log');
  const refused = { ...ENDED, status: 503, reason: 'zone-evacuated', tries: [] };
  const order = {
    name: 'weirvaled',
    process: 'edge-1',
    event: 'zone-evacuation',
    evacuatedZone: 'hall-2',
    isOrdered: true,
    revision: 81,
    time: '2025-12-31T20:00:00.000Z',
  };
  writeFileSync(file, [JSON.stringify(refused), JSON.stringify(order)].join('\n'));
  const tool = 'dist/src/bin/weirvale.js';
  const text = execFileSync('node', [tool, 'logs', 'explain', 'q-1', file], { encoding: 'utf8' });
  t.regex(text, /zone-evacuation hall-2 ordered \(revision 81\)/);
  t.regex(text, /edge-1: response 503: operators had evacuated every zone/);
});
