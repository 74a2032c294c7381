import test from 'ava';
import { StoreReaders } from '../src/cluster/store-readers.js';

const BEAT_MS = 500;

/** Gateways that tell each other at each beat whether they read the store. */
class ReadersWorld {
  private readonly readers = new Map<string, StoreReaders>();
  private nowMs = 0;
  /** Gateways that the store turns away. */
  readonly turnedAway = new Set<string>();
  readonly dead = new Set<string>();
  /** Whether two gateways hear each other. */
  hears: (from: string, to: string) => boolean = () => true;

  constructor(count: number) {
    for (let index = 0; index < count; index += 1) {
      this.readers.set(`g${index}`, new StoreReaders(`g${index}`));
    }
  }

  get reading(): string[] {
    return this.alive.filter((name) => this.readers.get(name)!.mustRead(BEAT_MS, this.nowMs));
  }

  get alive(): string[] {
    return [...this.readers.keys()].filter((name) => !this.dead.has(name));
  }

  /** Lets some beats pass. */
  beats(count: number): void {
    for (let beat = 0; beat < count; beat += 1) {
      const reading = new Set(this.reading.filter((name) => !this.turnedAway.has(name)));
      this.nowMs += BEAT_MS;
      for (const from of this.alive) {
        for (const to of this.alive.filter((name) => name !== from && this.hears(from, name))) {
          this.readers.get(to)!.hear(from, reading.has(from), this.nowMs);
        }
      }
    }
  }
}

test('few gateways all read the store', (t) => {
  const world = new ReadersWorld(9);
  world.beats(3);
  t.true(world.reading.length >= 8);
});

test('of many gateways eight read', (t) => {
  const world = new ReadersWorld(68);
  world.beats(3);
  t.is(world.reading.length, 8);
});

test('readers that die at once are missed within the silence limit', (t) => {
  const world = new ReadersWorld(68);
  world.beats(3);
  world.reading.forEach((name) => world.dead.add(name));
  world.beats(5);
  t.is(world.reading.length, 8);
});

test('those that the store turns away are made up for, and step back when it answers again', (t) => {
  const world = new ReadersWorld(68);
  world.beats(3);
  const first = world.reading;
  first.slice(0, 5).forEach((name) => world.turnedAway.add(name));
  world.beats(3);
  const answered = world.reading.filter((name) => !world.turnedAway.has(name));
  t.true(answered.length >= 8);
  world.turnedAway.clear();
  world.beats(4);
  t.deepEqual(world.reading, first);
});

test('each side of a partition has readers of its own', (t) => {
  const world = new ReadersWorld(68);
  world.beats(3);
  const side = (name: string) => Number(name.slice(1)) % 5 === 0;
  world.hears = (from, to) => side(from) === side(to);
  world.beats(6);
  t.true(world.reading.filter(side).length >= 8);
  t.true(world.reading.filter((name) => !side(name)).length >= 8);
});
