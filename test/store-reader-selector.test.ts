import test from 'ava';
import {
  DEFAULT_STORE_READER_SELECTOR_OPTIONS,
  StoreReaderSelector,
} from '../src/cluster/store-reader-selector.js';

const HEARTBEAT_MS = 500;

/** Gateways that report to each other in each heartbeat whether they read the store. */
class ReaderFleet {
  private readonly selectors = new Map<string, StoreReaderSelector>();
  private nowMs = 0;
  /** Gateways whose calls the store refuses. */
  readonly refused = new Set<string>();
  readonly dead = new Set<string>();
  /** Whether heartbeats of `from` reach `to`. */
  canReach: (from: string, to: string) => boolean = () => true;

  constructor(
    count: number,
    private readonly regionOf: (name: string) => string | undefined = () => undefined,
  ) {
    for (let index = 0; index < count; index += 1) {
      const name = `g${index}`;
      const selector = new StoreReaderSelector(
        name,
        DEFAULT_STORE_READER_SELECTOR_OPTIONS,
        regionOf(name),
      );
      this.selectors.set(name, selector);
    }
  }

  get reading(): string[] {
    return this.alive.filter((name) =>
      this.selectors.get(name)!.mustRead(HEARTBEAT_MS, this.nowMs),
    );
  }

  get alive(): string[] {
    return [...this.selectors.keys()].filter((name) => !this.dead.has(name));
  }

  /** Exchanges `count` rounds of heartbeats. */
  exchangeHeartbeats(count: number): void {
    for (let round = 0; round < count; round += 1) {
      const reading = new Set(this.reading.filter((name) => !this.refused.has(name)));
      this.nowMs += HEARTBEAT_MS;
      for (const from of this.alive) {
        for (const to of this.alive.filter((name) => name !== from && this.canReach(from, name))) {
          this.selectors
            .get(to)!
            .receiveHeartbeat(from, reading.has(from), this.nowMs, this.regionOf(from));
        }
      }
    }
  }
}

test('at least eight gateways of a fleet of nine read the store', (t) => {
  const fleet = new ReaderFleet(9);
  fleet.exchangeHeartbeats(3);
  t.true(fleet.reading.length >= 8);
});

test('eight gateways of a large fleet read the store', (t) => {
  const fleet = new ReaderFleet(68);
  fleet.exchangeHeartbeats(3);
  t.is(fleet.reading.length, 8);
});

test('readers that die at the same time are replaced within five heartbeats', (t) => {
  const fleet = new ReaderFleet(68);
  fleet.exchangeHeartbeats(3);
  fleet.reading.forEach((name) => fleet.dead.add(name));
  fleet.exchangeHeartbeats(5);
  t.is(fleet.reading.length, 8);
});

test('readers that the store refuses are replaced until it accepts them again', (t) => {
  const fleet = new ReaderFleet(68);
  fleet.exchangeHeartbeats(3);
  const first = fleet.reading;
  first.slice(0, 5).forEach((name) => fleet.refused.add(name));
  fleet.exchangeHeartbeats(3);
  const successful = fleet.reading.filter((name) => !fleet.refused.has(name));
  t.true(successful.length >= 8);
  fleet.refused.clear();
  fleet.exchangeHeartbeats(4);
  t.deepEqual(fleet.reading, first);
});

test('each side of a network partition has its own readers', (t) => {
  const fleet = new ReaderFleet(68);
  fleet.exchangeHeartbeats(3);
  const side = (name: string) => Number(name.slice(1)) % 5 === 0;
  fleet.canReach = (from, to) => side(from) === side(to);
  fleet.exchangeHeartbeats(6);
  t.true(fleet.reading.filter(side).length >= 8);
  t.true(fleet.reading.filter((name) => !side(name)).length >= 8);
});

/** Region of a gateway, for sixty gateways in twenty regions of three. */
const regionOf = (name: string) => `r${Number(name.slice(1)) % 20}`;

test('each region has its own readers before it is partitioned, even a small one', (t) => {
  const fleet = new ReaderFleet(60, regionOf);
  fleet.exchangeHeartbeats(3);
  const perRegion = new Map<string, number>();
  for (const name of fleet.reading) {
    perRegion.set(regionOf(name), (perRegion.get(regionOf(name)) ?? 0) + 1);
  }
  t.is(perRegion.size, 20);
  t.true([...perRegion.values()].every((count) => count >= 2));
});

test('readers that die in a partitioned region are replaced by gateways of the region', (t) => {
  const fleet = new ReaderFleet(60, (name) => `r${Number(name.slice(1)) % 3}`);
  const isCutOff = (name: string) => Number(name.slice(1)) % 3 === 0;
  fleet.exchangeHeartbeats(3);
  fleet.canReach = (from, to) => isCutOff(from) === isCutOff(to);
  t.true(fleet.reading.filter(isCutOff).length >= 2);
  fleet.reading.filter(isCutOff).forEach((name) => fleet.dead.add(name));
  fleet.exchangeHeartbeats(4);
  t.true(fleet.reading.filter(isCutOff).length >= 2);
});

test('three regions add at most two readers to the eight of a fleet without regions', (t) => {
  const fleet = new ReaderFleet(29, (name) => `r${Number(name.slice(1)) % 3}`);
  fleet.exchangeHeartbeats(3);
  t.true(fleet.reading.length <= 10, `${fleet.reading.length}`);
});
