import fc from 'fast-check';
import test from 'ava';
import { isLater } from '../src/cluster/store-position.js';
import { ReplicatedRecords } from '../src/cluster/replicated-records.js';
import type { StoreRecord } from '../src/cluster/replicated-records.js';
import { positionAt } from './support/store-positions.js';

function recordOf(key: string, revision: number, value: string | undefined = 'v'): StoreRecord {
  return { key, ...positionAt(revision), value };
}

test('an older revision never replaces a newer one', (t) => {
  const records = new ReplicatedRecords();
  t.not(records.apply(recordOf('a', 5, 'new')), undefined);
  t.is(records.apply(recordOf('a', 4, 'old')), undefined);
  t.is(records.snapshot()[0]?.value, 'new');
});

test('a listing removes the keys that it lacks, unless a later change is known', (t) => {
  const records = new ReplicatedRecords();
  records.apply(recordOf('gone', 3));
  records.apply(recordOf('later', 9));
  const applied = records.applyListing([recordOf('here', 4)], positionAt(7));
  t.deepEqual(
    applied.map(({ key, value }) => [key, value]),
    [
      ['here', 'v'],
      ['gone', undefined],
    ],
  );
});

test('a removal is not undone by an older record that a peer still sends', (t) => {
  const records = new ReplicatedRecords();
  records.apply(recordOf('a', 3));
  records.apply({ key: 'a', ...positionAt(6), value: undefined });
  t.is(records.apply(recordOf('a', 3)), undefined);
  t.is(records.snapshot()[0]?.value, undefined);
});

test('the newest record of each key remains, whatever the order of arrival', (t) => {
  const change = fc.record({
    key: fc.constantFrom('a', 'b', 'c'),
    revision: fc.integer({ min: 1, max: 50 }),
  });
  fc.assert(
    fc.property(fc.array(change, { maxLength: 60 }), (changes) => {
      const records = new ReplicatedRecords();
      for (const { key, revision } of changes) {
        records.apply(recordOf(key, revision, `${key}${revision}`));
      }
      return records
        .snapshot()
        .every(({ key, revision }) =>
          changes.every((other) => other.key !== key || other.revision <= revision),
        );
    }),
  );
  t.pass();
});

test('a replica that is behind applies the records of another beyond its revision', (t) => {
  const newer = new ReplicatedRecords();
  newer.applyListing([recordOf('a', 3), recordOf('b', 4)], positionAt(5));
  newer.applyChanges(
    [recordOf('c', 7), { key: 'a', ...positionAt(8), value: undefined }],
    positionAt(5),
    positionAt(8),
  );
  const older = new ReplicatedRecords();
  older.applyListing([recordOf('a', 3), recordOf('b', 4)], positionAt(5));
  const update = newer.updateSince(older.completeTo);
  t.deepEqual(
    update.records.map(({ key }) => key),
    ['c', 'a'],
  );
  t.is(older.applyUpdate(update).length, 2);
  t.deepEqual(older.completeTo, positionAt(8));
});

test('changes after a gap do not advance `completeTo`', (t) => {
  const records = new ReplicatedRecords();
  records.applyListing([recordOf('a', 3)], positionAt(5));
  records.applyChanges([recordOf('b', 9)], positionAt(8), positionAt(9));
  t.deepEqual(records.completeTo, positionAt(5));
});

test('a replica behind pruned tombstones gets a complete update', (t) => {
  const newer = new ReplicatedRecords();
  newer.applyListing([recordOf('kept', 1), recordOf('removed', 2)], positionAt(2));
  const removals = Array.from({ length: 2_100 }, (_unused, index) => ({
    key: index === 0 ? 'removed' : `k${index}`,
    ...positionAt(3 + index),
    value: undefined,
  }));
  newer.applyChanges(removals, positionAt(2), positionAt(2_102));
  const older = new ReplicatedRecords();
  older.applyListing([recordOf('kept', 1), recordOf('removed', 2)], positionAt(2));
  const update = newer.updateSince(older.completeTo);
  t.true(update.isWhole);
  t.deepEqual(
    older.applyUpdate(update).map(({ key, value }) => [key, value]),
    [['removed', undefined]],
  );
});

test('a replica that started with a listing passes on removals that it never received', (t) => {
  const older = new ReplicatedRecords();
  older.applyListing([recordOf('kept', 1), recordOf('removed', 2)], positionAt(5));
  const started = new ReplicatedRecords();
  started.applyListing([recordOf('kept', 1)], positionAt(9));
  t.deepEqual(
    older.applyUpdate(started.updateSince(older.completeTo)).map(({ key, value }) => [key, value]),
    [['removed', undefined]],
  );
  t.deepEqual(older.completeTo, positionAt(9));
});

test('a removed key does not return to a replica that has read a listing without it', (t) => {
  const lagging = new ReplicatedRecords();
  lagging.applyListing([recordOf('here', 4), recordOf('removed', 14)], positionAt(18));
  const started = new ReplicatedRecords();
  const fetch = started.completeTo;
  started.applyListing([recordOf('here', 4)], positionAt(25));
  t.deepEqual(started.applyUpdate(lagging.updateSince(fetch)), []);
  t.is(started.apply(recordOf('removed', 14)), undefined);
  t.deepEqual(
    started.snapshot().map(({ key }) => key),
    ['here'],
  );
});

test('replicas complete to the same revision agree, whatever mix of listings, watches and fetches they applied', (t) => {
  const step = fc.record({
    act: fc.constantFrom('put', 'remove', 'list', 'watch', 'fetch'),
    key: fc.constantFrom('a', 'b', 'c'),
    replica: fc.integer({ min: 0, max: 2 }),
    other: fc.integer({ min: 0, max: 2 }),
  });
  fc.assert(
    fc.property(fc.array(step, { minLength: 30, maxLength: 60 }), (steps) => {
      const history: StoreRecord[] = [];
      const replicas = [0, 1, 2].map(() => new ReplicatedRecords());
      const existing = (revision: number) => {
        const newest = new Map(history.slice(0, revision).map((record) => [record.key, record]));
        return [...newest.values()].filter(({ value }) => value !== undefined);
      };
      for (const { act, key, replica, other } of steps) {
        const records = replicas[replica]!;
        const revision = history.length;
        if (act === 'put' || act === 'remove') {
          const value = act === 'put' ? `${revision}` : undefined;
          history.push({ key, ...positionAt(revision + 1), value });
        } else if (act === 'list') {
          records.applyListing(existing(revision), positionAt(revision));
        } else if (act === 'watch') {
          const since = records.completeTo;
          records.applyChanges(history.slice(since.revision), since, positionAt(revision));
        } else if (isLater(replicas[other]!.completeTo, records.completeTo)) {
          records.applyUpdate(replicas[other]!.updateSince(records.completeTo));
        }
      }
      return replicas.every((records) => {
        const live = records.snapshot().filter(({ value }) => value !== undefined);
        const expected = existing(records.completeTo.revision);
        return (
          live.length === expected.length &&
          expected.every((record) =>
            live.some(({ key, revision }) => key === record.key && revision === record.revision),
          )
        );
      });
    }),
    { seed: 20_261_202, numRuns: 500 },
  );
  t.pass();
});

test('a merged listing is passed on without removals; only a complete listing removes missing keys', (t) => {
  const holder = new ReplicatedRecords();
  holder.applyListing([{ key: 'gone', ...positionAt(1), value: 'v' }], positionAt(4));
  const receiver = new ReplicatedRecords();
  receiver.applyUpdate(holder.updateSince(positionAt(0)));
  const listed = [{ key: 'new', ...positionAt(7), value: 'v' }];
  t.deepEqual(holder.mergeListing(listed, positionAt(8)), listed);
  t.deepEqual(holder.progress, { completeTo: positionAt(4), currentTo: positionAt(8) });
  t.true(receiver.isBehind(holder.progress));
  t.deepEqual(receiver.applyUpdate(holder.updateSince(receiver.completeTo)), listed);
  t.deepEqual(receiver.progress, { completeTo: positionAt(4), currentTo: positionAt(8) });
  t.false(receiver.isBehind(holder.progress));
  t.true(receiver.snapshot().some(({ key, value }) => key === 'gone' && value !== undefined));
  holder.applyListing(listed, positionAt(9));
  t.deepEqual(holder.progress, { completeTo: positionAt(9), currentTo: positionAt(9) });
  receiver.applyUpdate(holder.updateSince(receiver.completeTo));
  t.false(receiver.snapshot().some(({ key, value }) => key === 'gone' && value !== undefined));
});

test('an update that starts after the position of a replica does not advance `currentTo`', (t) => {
  const records = new ReplicatedRecords();
  records.applyListing([], positionAt(3));
  const update = {
    since: positionAt(6),
    completeTo: positionAt(6),
    currentTo: positionAt(9),
    isWhole: false,
    records: [],
    epochStart: positionAt(0),
  };
  records.applyUpdate(update);
  t.deepEqual(records.progress, { completeTo: positionAt(3), currentTo: positionAt(3) });
});
