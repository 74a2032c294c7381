import { execFileSync } from 'node:child_process';
import anyTest from 'ava';
import { runDepartures } from '../bench/soak/departure-run.js';
import type { DepartureRunOptions } from '../bench/soak/departure-run.js';

// One run at a time: gateways compete for processor time.
const test = anyTest.serial;

/** Requests that may cross the departures of their callers. */
const MAX_SENT_AFTER_DEPARTURE = 3;

const BURSTS: DepartureRunOptions = {
  gateways: 1,
  connections: 'new',
  kind: 'safe',
  callersPerBurst: 150,
  bursts: 2,
  departingShare: 0.7,
  runMsPerPeriod: 24,
  workMs: 20,
  slots: 100,
  bodyBytes: 200,
  seed: 1,
  basePort: 24_100,
};

test.before(() => void execFileSync('node', ['platform/build.mjs']));

test('a gateway short of processor time sends no request whose caller has left', async (t) => {
  const rows: readonly DepartureRunOptions[] = [
    BURSTS,
    { ...BURSTS, connections: 'kept', callersPerBurst: 400, basePort: 24_120 },
  ];
  for (const row of rows) {
    const { departed, sentAfterDeparture, folder } = await runDepartures(row);
    t.log(`${row.connections}: ${sentAfterDeparture} sent after ${departed} departures; ${folder}`);
    t.true(departed > 50);
    t.true(sentAfterDeparture <= MAX_SENT_AFTER_DEPARTURE);
  }
});
