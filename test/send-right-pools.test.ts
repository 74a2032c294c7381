import test from 'ava';
import { SendRightPools } from '../src/gateway/statements/send-right-pools.js';
import { VirtualClock } from '../src/sim/virtual-clock.js';

/** Pools of one gateway on a virtual clock. */
class World {
  readonly clock = new VirtualClock();
  limitPerS: number | undefined = 2;
  heldSinceMs: number | undefined = 0;
  readonly answers: Array<readonly [name: string, isGranted: boolean, atMs: number]> = [];
  readonly pools = new SendRightPools(
    { limitOf: () => this.limitPerS, heldSinceMs: () => this.heldSinceMs },
    this.clock,
  );

  ask(name: string, tier = 1): void {
    this.pools.ask('w', {
      name,
      place: { tier, rankInTier: 0 },
      answer: (isGranted) => this.answers.push([name, isGranted, this.clock.now()]),
    });
  }

  get granted(): string[] {
    return this.answers.filter(([, isGranted]) => isGranted).map(([name]) => name);
  }
}

test('a dealer begins with nothing and never has more than one right of a small limit in stock', async (t) => {
  const world = new World();
  world.ask('a');
  t.deepEqual(world.granted, []);
  await world.clock.runUntil(60_000);
  ['b', 'c', 'd'].forEach((name) => world.ask(name));
  t.deepEqual(world.granted, ['b']);
});

test('who waits for a right gets it in order of urgency, and is told no after a while', async (t) => {
  const world = new World();
  world.limitPerS = 10;
  world.ask('late', 2);
  world.ask('urgent', 0);
  await world.clock.runUntil(120);
  t.deepEqual(world.granted, ['urgent']);
  await world.clock.runUntil(190);
  t.deepEqual(world.answers.at(-1)?.slice(0, 2), ['late', false]);
});

test('a right that comes back is dealt out again, but only once', async (t) => {
  const world = new World();
  await world.clock.runUntil(1_000);
  world.ask('a');
  await world.clock.runUntil(1_500);
  world.ask('b');
  t.deepEqual(world.granted, ['b']);
  world.ask('c');
  world.pools.giveBack('w', 'b');
  world.pools.giveBack('w', 'b');
  world.ask('d');
  t.deepEqual(world.granted, ['b', 'c']);
});

test('a gateway that does not hold the rights deals out none, and one that loses them refuses who waits', (t) => {
  const world = new World();
  world.ask('a');
  world.heldSinceMs = undefined;
  world.pools.review();
  world.ask('b');
  t.deepEqual(
    world.answers.map(([name, isGranted]) => [name, isGranted]),
    [
      ['a', false],
      ['b', false],
    ],
  );
});

test('who waits may send at once when the limit ends', (t) => {
  const world = new World();
  world.ask('a');
  world.limitPerS = undefined;
  world.pools.review();
  t.deepEqual(world.granted, ['a']);
});
