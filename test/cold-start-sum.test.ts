import test from 'ava';
import { COLD_BOUND, ColdFleet } from './support/cold-fleet.js';
import type { ColdFleetFault } from './support/cold-fleet.js';

const SEEDS = 200;
const RUN_MS = 5_000;

/** Runs one fleet for each seed. */
async function run(seeds: number, fault: ColdFleetFault = {}): Promise<Array<ColdFleet['most']>> {
  const most: Array<ColdFleet['most']> = [];
  for (let seed = 1; seed <= seeds; seed += 1) {
    const fleet = new ColdFleet(seed, fault);
    await fleet.clock.runUntil(RUN_MS);
    most.push(fleet.most);
  }
  return most;
}

/** Runs in which a cold engine was sent more than the bound, or one part of it was passed. */
function findBroken(runs: ReadonlyArray<ColdFleet['most']>): unknown[] {
  const { total, granted, ungranted } = COLD_BOUND;
  return runs.filter(
    ({ all, linked, unlinked }) => all > total || linked > granted || unlinked > ungranted,
  );
}

test('a cold engine is sent no more than the bound in any second, whoever is cut off or restarts', async (t) => {
  const runs = await run(SEEDS);
  t.deepEqual(findBroken(runs), []);
  const isUsed = runs.filter(({ all }) => all >= COLD_BOUND.granted);
  t.true(isUsed.length > SEEDS / 2, `only ${isUsed.length} runs come near it`);
});

test('the check finds gateways that take free slots of a cold engine', async (t) => {
  t.not(findBroken(await run(20, { takesFreely: true })).length, 0);
});

test('the check finds gateways that use the part of all others', async (t) => {
  t.not(findBroken(await run(20, { ignoresOthers: true })).length, 0);
});

test('the check finds gateways that use grants that were held up', async (t) => {
  t.not(findBroken(await run(60, { usesOldGrants: true })).length, 0);
});
