import { execFileSync } from 'node:child_process';
import test from 'ava';
import { findViolations, runSoak } from '../bench/soak/soak-run.js';
import type { SeenRequest } from '../bench/soak/soak-run.js';

const SEED = 7;
const BASE_PORT = 23_000;

test('a short soak with a fixed seed breaks no promise', async (t) => {
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
  return { requestId, backendId: 'e', path: '/', tenant, atMs: 0 };
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
