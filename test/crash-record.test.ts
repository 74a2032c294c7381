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
import { at } from './support/positions.js';
import type { StorePosition } from '../src/cluster/store-position.js';

const { maxAgeMs, maxRequests } = DEFAULT_CRASH_RECORD_OPTIONS;

/** The store's one record, and the writers of several gateways. */
class RecordWorld {
  readonly clock = new VirtualClock();
  readonly writers: CrashRecordWriter[];
  text: string | undefined;
  revision = 0;
  writes = 0;
  isDown = false;
  /** Whether the store's answers are lost after the change. */
  losesAnswers = false;
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

  /** Every gateway hears of the record. */
  spread(): void {
    this.writers.forEach((writer) => writer.take(decodeCrashRecord(this.text, at(this.revision))));
  }

  stored(): StoredCrashes[] {
    return [...(decodeCrashRecord(this.text, at(this.revision)).requests ?? [])];
  }

  async settle(): Promise<void> {
    for (let turn = 0; turn < 20; turn += 1) {
      await this.clock.runUntil(this.clock.now() + 500);
      this.spread();
    }
  }

  private write(requests: readonly StoredCrashes[], expected: StorePosition) {
    this.writes += 1;
    if (this.isDown) {
      return err(new StoreUnavailableError('down'));
    }
    const current = this.text === undefined ? 0 : this.revision;
    if (expected.revision !== current) {
      return err(new StoreConflictError('changed'));
    }
    this.revision += 1;
    this.text = encodeCrashRecord(requests);
    return this.losesAnswers ? err(new StoreUnavailableError('no answer')) : ok(at(this.revision));
  }
}

function tally(fingerprint: string, crashes: number, clearances = 0) {
  return { fingerprint, crashes, clearances };
}

test('a first crash, of which there are many, is not written; a second is', async (t) => {
  const world = new RecordWorld(1);
  world.writers[0]!.add([tally('a', 1), tally('b', 1)]);
  await world.settle();
  t.is(world.writes, 0);
  world.writers[0]!.add([tally('a', 2)]);
  await world.settle();
  t.like(world.stored(), [tally('a', 2)]);
  t.is(world.writes, 1);
});

test('what several gateways learn at once is all kept, and the higher tally of one request', async (t) => {
  const world = new RecordWorld(3);
  world.writers.forEach((writer, index) =>
    writer.add([tally(`own-${index}`, 3), tally('same', 2 + index)]),
  );
  await world.settle();
  const kept = world.stored().map(({ fingerprint, crashes }) => `${fingerprint} ${crashes}`);
  t.deepEqual(kept.sort(), ['own-0 3', 'own-1 3', 'own-2 3', 'same 4']);
});

test('a store that is down, or loses its answers, gets the record once it is back, with few calls', async (t) => {
  const world = new RecordWorld(1);
  world.isDown = true;
  world.writers[0]!.add([tally('a', 3)]);
  await world.settle();
  t.true(world.writes <= 8);
  world.isDown = false;
  world.losesAnswers = true;
  await world.settle();
  t.like(world.stored(), [tally('a', 3)]);
  const { writes } = world;
  await world.settle();
  t.is(world.writes, writes);
});

test('a clearance is written where the store holds the request', async (t) => {
  const world = new RecordWorld(2);
  world.writers[0]!.add([tally('a', 3)]);
  await world.settle();
  world.writers[1]!.add([tally('a', 0, 1), tally('never-stored', 0, 1)]);
  await world.settle();
  t.like(world.stored(), [tally('a', 0, 1)]);
});

test('a gateway that starts learns of all that is not too old, and the record stays bounded', async (t) => {
  const world = new RecordWorld(1);
  world.writers[0]!.add([tally('old', 3)]);
  await world.settle();
  world.timeOfDayMs += maxAgeMs + 1;
  const many = Array.from({ length: maxRequests + 50 }, (_unused, index) => tally(`${index}`, 3));
  world.writers[0]!.add(many);
  await world.settle();
  const later = world.createWriter();
  const learned = later.take(decodeCrashRecord(world.text, at(world.revision)));
  t.is(learned.length, maxRequests);
  t.false(learned.some(({ fingerprint }) => fingerprint === 'old'));
  t.true(world.text!.length < 40_000);
});

test('a record that operators removed is written anew from the start', async (t) => {
  const world = new RecordWorld(1);
  world.writers[0]!.add([tally('a', 3)]);
  await world.settle();
  world.text = undefined;
  world.revision += 1;
  world.spread();
  world.writers[0]!.add([tally('b', 2)]);
  await world.settle();
  t.like(world.stored(), [tally('b', 2)]);
});

test('a record that is none is refused whole, an entry that is none alone', (t) => {
  for (const text of ['', 'x', '[]', 'null', '{"requests":7}']) {
    t.throws(() => decodeCrashRecord(text, at(1)), undefined, text);
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
  t.deepEqual(decodeCrashRecord(JSON.stringify({ requests: [...bad, good] }), at(1)).requests, [
    good,
  ]);
});
