import test from 'ava';
import { randomInteger, SeededRandom } from '../src/random.js';
import { LimitedBackend } from './support/limited-backend.js';
import type { RightsFault } from './support/limited-backend.js';
import { QuotaFleet } from './support/quota-fleet.js';

const SETTLE_MS = 6_000;
const CALM_MS = 500;
const TROUBLE_MS = 10_000;
/** More of them are played by hand: `SEEDS=200 npx ava dist/test/send-rights-fleet.test.js`. */
const SEEDS = Number(process.env['SEEDS'] ?? 60);
const MAX_GATEWAYS = 16;
const LIMITS = [0, 0.3, 1, 2, 2.4, 5, 20];
const DEMAND_PER_S = 100;

/** What happens to the fleet, again and again. */
type Trouble = 'none' | 'kill-one' | 'kill-all' | 'pause' | 'cut' | 'cut-all' | 'join' | 'spoil';
const TROUBLES: readonly Trouble[] = [
  'none',
  'kill-one',
  'kill-all',
  'pause',
  'cut',
  'cut-all',
  'join',
  'spoil',
];

interface Played {
  readonly limitPerS: number;
  readonly share: number;
  readonly trouble: Trouble;
}

function strike(fleet: QuotaFleet, trouble: Trouble, random: SeededRandom): void {
  const one = () => fleet.gateways[randomInteger(random, 0, fleet.gateways.length - 1)]!;
  if (trouble === 'kill-one') {
    one().kill(randomInteger(random, 200, 3_000));
  } else if (trouble === 'kill-all') {
    fleet.gateways.forEach((gateway) => gateway.kill(randomInteger(random, 200, 900)));
  } else if (trouble === 'pause') {
    one().pause(randomInteger(random, 50, 2_500));
  } else if (trouble === 'cut') {
    const cut = one();
    cut.isCut = true;
    fleet.clock.setTimeout(() => (cut.isCut = false), randomInteger(random, 100, 9_000));
  } else if (trouble === 'cut-all') {
    fleet.gateways.forEach((gateway) => (gateway.isCut = true));
  } else if (trouble === 'join' && fleet.gateways.length < MAX_GATEWAYS * 2) {
    fleet.add();
  } else if (trouble === 'spoil') {
    fleet.spoilRecord();
  }
}

/** A back end names a limit while gateways start, die, stand still and are cut off, and words are lost. */
async function playSeed(
  seed: number,
  { fault, trouble: given }: { fault?: RightsFault; trouble?: Trouble } = {},
): Promise<Played> {
  const random = new SeededRandom(seed * 11 + 3);
  const gateways = randomInteger(random, 1, MAX_GATEWAYS);
  const limitPerS = LIMITS[randomInteger(random, 0, LIMITS.length - 1)]!;
  const trouble = given ?? TROUBLES[randomInteger(random, 0, TROUBLES.length - 1)]!;
  const fleet = new QuotaFleet({ seed, gateways });
  const backend = new LimitedBackend(fleet, fault);
  await fleet.run(SETTLE_MS);
  backend.beginDemand(DEMAND_PER_S);
  await fleet.run(CALM_MS);
  backend.limitPerS = limitPerS;
  await fleet.run(CALM_MS);
  fleet.lossShare = random.next() < 0.3 ? 0.1 : 0;
  fleet.every(randomInteger(random, 300, 2_000), () => strike(fleet, trouble, random));
  await fleet.run(TROUBLE_MS);
  return { limitPerS, share: backend.worstShare(limitPerS), trouble };
}

test('whatever starts, dies, stands still or is cut off, a back end gets no more than its limit allows', async (t) => {
  let worst = 0;
  for (let seed = 0; seed < SEEDS; seed += 1) {
    const { share, limitPerS, trouble } = await playSeed(seed);
    t.true(share <= 1, `seed ${seed}: ${share} of the bound of ${limitPerS}, ${trouble}`);
    worst = Math.max(worst, share);
  }
  t.log(`worst of ${SEEDS} seeds: ${worst} of the bound`);
});

const BROKEN: ReadonlyArray<readonly [string, RightsFault, Trouble]> = [
  ['a limit that each gateway takes for itself', { dealsAlone: true }, 'none'],
  ['a right that is used again', { reusesRights: true }, 'none'],
  ['an own share that is the whole limit', { ownShareIsWhole: true }, 'cut-all'],
];

for (const [name, fault, trouble] of BROKEN) {
  test(`the check finds ${name}`, async (t) => {
    const shares: number[] = [];
    for (let seed = 0; seed < SEEDS && (shares.at(-1) ?? 0) <= 1; seed += 1) {
      shares.push((await playSeed(seed, { fault, trouble })).share);
    }
    t.log(`seed ${shares.length - 1}: ${shares.at(-1)} of the bound`);
    t.true(shares.at(-1)! > 1);
  });
}

for (const gateways of [1, 3, 24]) {
  test(`a limit is used while there is demand, and lifted soon after it is named no more: ${gateways} gateways`, async (t) => {
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
