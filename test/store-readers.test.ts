import test from 'ava';
import { DEFAULT_STORE_READERS_OPTIONS, StoreReaders } from '../src/cluster/store-readers.js';

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

  constructor(
    count: number,
    private readonly regionOf: (name: string) => string | undefined = () => undefined,
  ) {
    for (let index = 0; index < count; index += 1) {
      const name = `g${index}`;
      const readers = new StoreReaders(name, DEFAULT_STORE_READERS_OPTIONS, regionOf(name));
      this.readers.set(name, readers);
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
          this.readers.get(to)!.hear(from, reading.has(from), this.nowMs, this.regionOf(from));
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

/** Sixty gateways in twenty regions of three. */
const regionOf = (name: string) => `r${Number(name.slice(1)) % 20}`;

test('each region has readers of its own before it is cut off, also a small one', (t) => {
  const world = new ReadersWorld(60, regionOf);
  world.beats(3);
  const perRegion = new Map<string, number>();
  for (const name of world.reading) {
    perRegion.set(regionOf(name), (perRegion.get(regionOf(name)) ?? 0) + 1);
  }
  t.is(perRegion.size, 20);
  t.true([...perRegion.values()].every((count) => count >= 2));
});

test('in a region that is cut off readers that die are missed by its own gateways', (t) => {
  const world = new ReadersWorld(60, (name) => `r${Number(name.slice(1)) % 3}`);
  const isCutOff = (name: string) => Number(name.slice(1)) % 3 === 0;
  world.beats(3);
  world.hears = (from, to) => isCutOff(from) === isCutOff(to);
  t.true(world.reading.filter(isCutOff).length >= 2);
  world.reading.filter(isCutOff).forEach((name) => world.dead.add(name));
  world.beats(4);
  t.true(world.reading.filter(isCutOff).length >= 2);
});

test('regions cost few readers more than the store has without them', (t) => {
  const world = new ReadersWorld(29, (name) => `r${Number(name.slice(1)) % 3}`);
  world.beats(3);
  t.true(world.reading.length <= 10, `${world.reading.length}`);
});
