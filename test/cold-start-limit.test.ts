import test from 'ava';
import { COLD_BOUND, ColdFleet } from './support/cold-fleet.js';
import type { ColdFleetFault } from './support/cold-fleet.js';

const SEEDS = 200;
const RUN_MS = 5_000;
/** When the simulated engine is warm for everybody, in milliseconds. */
const ENGINE_WARM_MS = 35_000;
/** Time for a gateway and the agent to exchange messages, in milliseconds. */
const CONNECTED_MS = 1_000;

/** Runs one fleet per seed. */
async function run(
  seeds: number,
  fault: ColdFleetFault = {},
): Promise<Array<ColdFleet['peakStarts']>> {
  const peaks: Array<ColdFleet['peakStarts']> = [];
  for (let seed = 1; seed <= seeds; seed += 1) {
    const fleet = new ColdFleet(seed, fault);
    await fleet.clock.runUntil(RUN_MS);
    peaks.push(fleet.peakStarts);
  }
  return peaks;
}

/**
 * Returns the runs in which a cold engine was sent more than the limit, or than one part of it
 * allows.
 */
function findViolations(runs: ReadonlyArray<ColdFleet['peakStarts']>): unknown[] {
  const { total, granted, ungranted } = COLD_BOUND;
  return runs.filter(
    ({ all, linked, unlinked }) => all > total || linked > granted || unlinked > ungranted,
  );
}

test('a cold engine gets at most the limit per second despite faults and restarts', async (t) => {
  const runs = await run(SEEDS);
  t.deepEqual(findViolations(runs), []);
  const atGrantedLimit = runs.filter(({ all }) => all >= COLD_BOUND.granted);
  t.true(
    atGrantedLimit.length > SEEDS / 2,
    `only ${atGrantedLimit.length} runs reach the granted part of the limit`,
  );
});

test('the check detects gateways that take free slots of a cold engine', async (t) => {
  t.not(findViolations(await run(20, { takesSlotsUngranted: true })).length, 0);
});

test('the check detects gateways that use the shares of all others', async (t) => {
  t.not(findViolations(await run(20, { ignoresPeers: true })).length, 0);
});

test('the check detects gateways that use delayed grants', async (t) => {
  t.not(findViolations(await run(60, { usesStaleGrants: true })).length, 0);
});

test('a gateway that restarts does not make an engine cold again by its old announcement', async (t) => {
  const fleet = new ColdFleet(1, {}, false);
  await fleet.clock.runUntil(ENGINE_WARM_MS);
  t.false(fleet.isColdForAgent);
  const gateway = fleet.restartGateway(0);
  t.true(gateway.isEngineCold, 'it has not heard the agent yet');
  await fleet.clock.runUntil(ENGINE_WARM_MS + CONNECTED_MS);
  t.false(fleet.isColdForAgent, 'the agent has counted the announced time once');
  t.false(gateway.isEngineCold, 'the gateway takes over the count of the agent');
});
