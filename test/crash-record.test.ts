import test from 'ava';
import { StoreConflictError, StoreUnavailableError } from '../src/cluster/cluster-store.js';
import {
  CrashRecordWriter,
  DEFAULT_CRASH_RECORD_OPTIONS,
} from '../src/gateway/crashes/crash-record.js';
import type { StoredCrashes } from '../src/gateway/crashes/crash-record.js';
import {
  decodeCrashRecord,
  encodeCrashRecord,
} from '../src/gateway/crashes/crash-record-format.js';
import { err, ok } from '../src/result.js';
import { VirtualClock } from '../src/sim/virtual-clock.js';
import { positionAt } from './support/store-positions.js';
import type { StorePosition } from '../src/cluster/store-position.js';

const { maxAgeMs, maxRequests } = DEFAULT_CRASH_RECORD_OPTIONS;

/** The stored record and the writers of several gateways. */
class StoreHarness {
  readonly clock = new VirtualClock();
  readonly writers: CrashRecordWriter[];
  text: string | undefined;
  revision = 0;
  writes = 0;
  isDown = false;
  /** Number of writes after which the store is down, so that endless writes end. */
  maxWrites = Infinity;
  /** Whether writes succeed but their responses are lost. */
  losesResponses = false;
  timeOfDayMs = 1_000_000;

  constructor(gateways: number) {
    this.writers = Array.from({ length: gateways }, () => this.createWriter());
  }

  createWriter(): CrashRecordWriter {
    return new CrashRecordWriter(
      {
        write: (requests, expected) => Promise.resolve(this.write(requests, expected)),
        onWritten: () => undefined,
        timeOfDayMs: () => this.timeOfDayMs,
      },
      this.clock,
    );
  }

  /** Delivers the stored record to every gateway. */
  deliverRecord(): void {
    this.writers.forEach((writer) =>
      writer.applyRecord(decodeCrashRecord(this.text, positionAt(this.revision))),
    );
  }

  stored(): StoredCrashes[] {
    return [...(decodeCrashRecord(this.text, positionAt(this.revision)).requests ?? [])];
  }

  async runUntilSettled(): Promise<void> {
    for (let turn = 0; turn < 20; turn += 1) {
      await this.clock.runUntil(this.clock.now() + 500);
      this.deliverRecord();
    }
  }

  private write(requests: readonly StoredCrashes[], expected: StorePosition) {
    this.writes += 1;
    if (this.isDown || this.writes > this.maxWrites) {
      return err(new StoreUnavailableError('down'));
    }
    const current = this.text === undefined ? 0 : this.revision;
    if (expected.revision !== current) {
      return err(new StoreConflictError('changed'));
    }
    this.revision += 1;
    this.text = encodeCrashRecord(requests);
    return this.losesResponses
      ? err(new StoreUnavailableError('no answer'))
      : ok(positionAt(this.revision));
  }
}

function tally(fingerprint: string, crashes: number, clearances = 0) {
  return { fingerprint, crashes, clearances };
}

test('a request is stored from its second crash on, not after the first', async (t) => {
  const world = new StoreHarness(1);
  world.writers[0]!.addTallies([tally('a', 1), tally('b', 1)]);
  await world.runUntilSettled();
  t.is(world.writes, 0);
  world.writers[0]!.addTallies([tally('a', 2)]);
  await world.runUntilSettled();
  t.like(world.stored(), [tally('a', 2)]);
  t.is(world.writes, 1);
});

test('concurrent writes of several gateways are merged, with the highest tally per request', async (t) => {
  const world = new StoreHarness(3);
  world.writers.forEach((writer, index) =>
    writer.addTallies([tally(`own-${index}`, 3), tally('same', 2 + index)]),
  );
  await world.runUntilSettled();
  const stored = world.stored().map(({ fingerprint, crashes }) => `${fingerprint} ${crashes}`);
  t.deepEqual(stored.sort(), ['own-0 3', 'own-1 3', 'own-2 3', 'same 4']);
});

test('after an outage or lost responses the record is written to the store, with a bounded number of calls', async (t) => {
  const world = new StoreHarness(1);
  world.isDown = true;
  world.writers[0]!.addTallies([tally('a', 3)]);
  await world.runUntilSettled();
  t.true(world.writes <= 8);
  world.isDown = false;
  world.losesResponses = true;
  await world.runUntilSettled();
  t.like(world.stored(), [tally('a', 3)]);
  const { writes } = world;
  await world.runUntilSettled();
  t.is(world.writes, writes);
});

test('a clearance is written only for requests in the stored record', async (t) => {
  const world = new StoreHarness(2);
  world.writers[0]!.addTallies([tally('a', 3)]);
  await world.runUntilSettled();
  world.writers[1]!.addTallies([tally('a', 0, 1), tally('never-stored', 0, 1)]);
  await world.runUntilSettled();
  t.like(world.stored(), [tally('a', 0, 1)]);
});

test('a starting gateway loads all unexpired requests, and the record size stays bounded', async (t) => {
  const world = new StoreHarness(1);
  world.writers[0]!.addTallies([tally('old', 3)]);
  await world.runUntilSettled();
  world.timeOfDayMs += maxAgeMs + 1;
  const many = Array.from({ length: maxRequests + 50 }, (_unused, index) => tally(`${index}`, 3));
  world.writers[0]!.addTallies(many);
  await world.runUntilSettled();
  const newWriter = world.createWriter();
  const loaded = newWriter.applyRecord(decodeCrashRecord(world.text, positionAt(world.revision)));
  t.is(loaded.length, maxRequests);
  t.false(loaded.some(({ fingerprint }) => fingerprint === 'old'));
  t.true(world.text!.length < 40_000);
});

test('a record that operators removed is recreated without its former requests', async (t) => {
  const world = new StoreHarness(1);
  world.writers[0]!.addTallies([tally('a', 3)]);
  await world.runUntilSettled();
  world.text = undefined;
  world.revision += 1;
  world.deliverRecord();
  world.writers[0]!.addTallies([tally('b', 2)]);
  await world.runUntilSettled();
  t.like(world.stored(), [tally('b', 2)]);
});

test('a malformed record is rejected as a whole, a malformed entry is skipped', (t) => {
  for (const text of ['', 'x', '[]', 'null', '{"requests":7}']) {
    t.throws(() => decodeCrashRecord(text, positionAt(1)), undefined, text);
  }
  const good = { ...tally('a', 2), changedAtMs: 5 };
  const bad = [
    null,
    7,
    {},
    { ...good, crashes: '2' },
    { ...good, crashes: -1 },
    { ...good, clearances: 0.5 },
  ];
  t.deepEqual(
    decodeCrashRecord(JSON.stringify({ requests: [...bad, good] }), positionAt(1)).requests,
    [good],
  );
});

test('a tally that the record has no room for, or that has expired, is not written over and over', async (t) => {
  for (const [laterMs, others] of [
    [1, maxRequests],
    [maxAgeMs + 1, 2],
  ] as const) {
    const world = new StoreHarness(2);
    world.isDown = true;
    world.writers[0]!.addTallies([tally('old', 3)]);
    await world.clock.runUntil(50);
    world.isDown = false;
    world.timeOfDayMs += laterMs;
    world.writers[1]!.addTallies(
      Array.from({ length: others }, (_, index) => tally(`r${index}`, 2)),
    );
    await world.clock.runUntil(100);
    world.deliverRecord();
    world.maxWrites = world.writes + 10;
    await world.runUntilSettled();
    t.true(world.writes < world.maxWrites, `${world.writes} writes`);
    t.is(world.stored().length, others);
  }
});
