import test from 'ava';
import { randomInteger, SeededRandom } from '../src/random.js';
import { LimitedBackend } from './support/limited-backend.js';
import type { RightsFault } from './support/limited-backend.js';
import { QuotaFleet } from './support/quota-fleet.js';

const SETTLE_MS = 6_000;
const QUIET_MS = 500;
const DISTURBANCE_MS = 10_000;
/** Run more seeds manually: `SEEDS=200 npx ava dist/test/send-rights-fleet.test.js`. */
const SEEDS = Number(process.env['SEEDS'] ?? 60);
const MAX_GATEWAYS = 16;
const LIMITS = [0, 0.3, 1, 2, 2.4, 5, 20];
const DEMAND_PER_S = 100;

/** Failure that recurs throughout a run. */
type Disturbance =
  'none' | 'kill-one' | 'kill-all' | 'pause' | 'cut' | 'cut-all' | 'join' | 'spoil';
const DISTURBANCES: readonly Disturbance[] = [
  'none',
  'kill-one',
  'kill-all',
  'pause',
  'cut',
  'cut-all',
  'join',
  'spoil',
];

interface SeedResult {
  readonly limitPerS: number;
  readonly share: number;
  readonly disturbance: Disturbance;
}

function applyDisturbance(fleet: QuotaFleet, disturbance: Disturbance, random: SeededRandom): void {
  const pickGateway = () => fleet.gateways[randomInteger(random, 0, fleet.gateways.length - 1)]!;
  if (disturbance === 'kill-one') {
    pickGateway().kill(randomInteger(random, 200, 3_000));
  } else if (disturbance === 'kill-all') {
    fleet.gateways.forEach((gateway) => gateway.kill(randomInteger(random, 200, 900)));
  } else if (disturbance === 'pause') {
    pickGateway().pause(randomInteger(random, 50, 2_500));
  } else if (disturbance === 'cut') {
    const gateway = pickGateway();
    gateway.isPartitioned = true;
    fleet.clock.setTimeout(
      () => (gateway.isPartitioned = false),
      randomInteger(random, 100, 9_000),
    );
  } else if (disturbance === 'cut-all') {
    fleet.gateways.forEach((gateway) => (gateway.isPartitioned = true));
  } else if (disturbance === 'join' && fleet.gateways.length < MAX_GATEWAYS * 2) {
    fleet.addGateway();
  } else if (disturbance === 'spoil') {
    fleet.corruptRecord();
  }
}

/**
 * Runs a backend with a limit while gateways start, crash, pause and are partitioned, and messages
 * are lost.
 */
async function runSeed(
  seed: number,
  { fault, disturbance: given }: { fault?: RightsFault; disturbance?: Disturbance } = {},
): Promise<SeedResult> {
  const random = new SeededRandom(seed * 11 + 3);
  const gateways = randomInteger(random, 1, MAX_GATEWAYS);
  const limitPerS = LIMITS[randomInteger(random, 0, LIMITS.length - 1)]!;
  const disturbance = given ?? DISTURBANCES[randomInteger(random, 0, DISTURBANCES.length - 1)]!;
  const fleet = new QuotaFleet({ seed, gateways });
  const backend = new LimitedBackend(fleet, fault);
  await fleet.run(SETTLE_MS);
  backend.beginDemand(DEMAND_PER_S);
  await fleet.run(QUIET_MS);
  backend.limitPerS = limitPerS;
  await fleet.run(QUIET_MS);
  fleet.lossShare = random.next() < 0.3 ? 0.1 : 0;
  fleet.every(randomInteger(random, 300, 2_000), () =>
    applyDisturbance(fleet, disturbance, random),
  );
  await fleet.run(DISTURBANCE_MS);
  return { limitPerS, share: backend.worstShare(limitPerS), disturbance };
}

test('a backend receives no more than its limit allows while gateways start, crash, pause and are partitioned', async (t) => {
  let worst = 0;
  for (let seed = 0; seed < SEEDS; seed += 1) {
    const { share, limitPerS, disturbance } = await runSeed(seed);
    t.true(share <= 1, `seed ${seed}: ${share} of the bound of ${limitPerS}, ${disturbance}`);
    worst = Math.max(worst, share);
  }
  t.log(`worst of ${SEEDS} seeds: ${worst} of the bound`);
});

const INJECTED_FAULTS: ReadonlyArray<readonly [string, RightsFault, Disturbance]> = [
  ['gateways that each issue the whole limit to themselves', { issuesToSelf: true }, 'none'],
  ['a right that is used repeatedly', { reusesRights: true }, 'none'],
  ['a fallback share that is the whole limit', { fallbackIsWholeLimit: true }, 'cut-all'],
];

for (const [name, fault, disturbance] of INJECTED_FAULTS) {
  test(`the check detects ${name}`, async (t) => {
    const shares: number[] = [];
    for (let seed = 0; seed < SEEDS && (shares.at(-1) ?? 0) <= 1; seed += 1) {
      shares.push((await runSeed(seed, { fault, disturbance })).share);
    }
    t.log(`seed ${shares.length - 1}: ${shares.at(-1)} of the bound`);
    t.true(shares.at(-1)! > 1);
  });
}

for (const gateways of [1, 3, 24]) {
  test(`a limit is used under demand, and lifted soon after it is no longer stated: ${gateways} gateways`, async (t) => {
    const fleet = new QuotaFleet({ seed: 5, gateways });
    const backend = new LimitedBackend(fleet);
    await fleet.run(SETTLE_MS);
    backend.beginDemand(DEMAND_PER_S);
    backend.limitPerS = 2;
    await fleet.run(4_000);
    const fromMs = fleet.clock.now();
    await fleet.run(10_000);
    const used = backend.rateSince(fromMs) / 2;
    t.log(`${used} of the limit used`);
    t.true(used >= 0.8 && used <= 1.1);
    backend.limitPerS = undefined;
    await fleet.run(2_000);
    const liftedAtMs = fleet.clock.now();
    await fleet.run(2_000);
    t.true(backend.rateSince(liftedAtMs) > DEMAND_PER_S / 2);
  });
}
