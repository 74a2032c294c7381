import test from 'ava';
import { SendRightPools } from '../src/gateway/statements/send-right-pools.js';
import { VirtualClock } from '../src/sim/virtual-clock.js';

/** The pools of one gateway on a virtual clock. */
class PoolsHarness {
  readonly clock = new VirtualClock();
  limitPerS: number | undefined = 2;
  heldSinceMs: number | undefined = 0;
  readonly responses: Array<readonly [name: string, isGranted: boolean, atMs: number]> = [];
  readonly pools = new SendRightPools(
    { limitOf: () => this.limitPerS, heldSinceMs: () => this.heldSinceMs },
    this.clock,
  );

  request(name: string, tier = 1): void {
    this.pools.acquire('w', {
      name,
      place: { tier, rankInTier: 0 },
      respond: (isGranted) => this.responses.push([name, isGranted, this.clock.now()]),
    });
  }

  get granted(): string[] {
    return this.responses.filter(([, isGranted]) => isGranted).map(([name]) => name);
  }
}

test('a pool starts empty and never accumulates more than one right for a small limit', async (t) => {
  const world = new PoolsHarness();
  world.request('a');
  t.deepEqual(world.granted, []);
  await world.clock.runUntil(60_000);
  ['b', 'c', 'd'].forEach((name) => world.request(name));
  t.deepEqual(world.granted, ['b']);
});

test('queued right requests are granted by urgency and denied after the maximum wait', async (t) => {
  const world = new PoolsHarness();
  world.limitPerS = 10;
  world.request('late', 2);
  world.request('urgent', 0);
  await world.clock.runUntil(120);
  t.deepEqual(world.granted, ['urgent']);
  await world.clock.runUntil(190);
  t.deepEqual(world.responses.at(-1)?.slice(0, 2), ['late', false]);
});

test('a returned right is issued again, but only once', async (t) => {
  const world = new PoolsHarness();
  await world.clock.runUntil(1_000);
  world.request('a');
  await world.clock.runUntil(1_500);
  world.request('b');
  t.deepEqual(world.granted, ['b']);
  world.request('c');
  world.pools.returnRight('w', 'b');
  world.pools.returnRight('w', 'b');
  world.request('d');
  t.deepEqual(world.granted, ['b', 'c']);
});

test('a gateway that is not the issuer denies requests, and one that loses the role denies its queued requests', (t) => {
  const world = new PoolsHarness();
  world.request('a');
  world.heldSinceMs = undefined;
  world.pools.issueAll();
  world.request('b');
  t.deepEqual(
    world.responses.map(([name, isGranted]) => [name, isGranted]),
    [
      ['a', false],
      ['b', false],
    ],
  );
});

test('queued requests are granted immediately when the limit is lifted', (t) => {
  const world = new PoolsHarness();
  world.request('a');
  world.limitPerS = undefined;
  world.pools.issueAll();
  t.deepEqual(world.granted, ['a']);
});
