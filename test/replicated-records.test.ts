import fc from 'fast-check';
import test from 'ava';
import { isLater } from '../src/cluster/store-position.js';
import { ReplicatedRecords } from '../src/cluster/replicated-records.js';
import type { StoreRecord } from '../src/cluster/replicated-records.js';
import { at } from './support/positions.js';

function recordOf(key: string, revision: number, value: string | undefined = 'v'): StoreRecord {
  return { key, ...at(revision), value };
}

test('an older revision never replaces a newer one', (t) => {
  const records = new ReplicatedRecords();
  t.not(records.apply(recordOf('a', 5, 'new')), undefined);
  t.is(records.apply(recordOf('a', 4, 'old')), undefined);
  t.is(records.snapshot()[0]?.value, 'new');
});

test('a listing removes what it lacks, unless a later change is known', (t) => {
  const records = new ReplicatedRecords();
  records.apply(recordOf('gone', 3));
  records.apply(recordOf('later', 9));
  const news = records.applyListing([recordOf('here', 4)], at(7));
  t.deepEqual(
    news.map(({ key, value }) => [key, value]),
    [
      ['here', 'v'],
      ['gone', undefined],
    ],
  );
});

test('a removal is not undone by an old announcement that a peer still passes on', (t) => {
  const records = new ReplicatedRecords();
  records.apply(recordOf('a', 3));
  records.apply({ key: 'a', ...at(6), value: undefined });
  t.is(records.apply(recordOf('a', 3)), undefined);
  t.is(records.snapshot()[0]?.value, undefined);
});

test('whatever the order of arrival, the newest record of each key remains', (t) => {
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

test('a replica that is behind takes over what another holds beyond its revision', (t) => {
  const ahead = new ReplicatedRecords();
  ahead.applyListing([recordOf('a', 3), recordOf('b', 4)], at(5));
  ahead.applyChanges([recordOf('c', 7), { key: 'a', ...at(8), value: undefined }], at(5), at(8));
  const behind = new ReplicatedRecords();
  behind.applyListing([recordOf('a', 3), recordOf('b', 4)], at(5));
  const update = ahead.updateSince(behind.completeTo);
  t.deepEqual(
    update.records.map(({ key }) => key),
    ['c', 'a'],
  );
  t.is(behind.applyUpdate(update).length, 2);
  t.deepEqual(behind.completeTo, at(8));
});

test('changes after a gap do not make a replica complete', (t) => {
  const records = new ReplicatedRecords();
  records.applyListing([recordOf('a', 3)], at(5));
  records.applyChanges([recordOf('b', 9)], at(8), at(9));
  t.deepEqual(records.completeTo, at(5));
});

test('a replica behind removals that were forgotten takes over the whole', (t) => {
  const ahead = new ReplicatedRecords();
  ahead.applyListing([recordOf('kept', 1), recordOf('removed', 2)], at(2));
  const removals = Array.from({ length: 2_100 }, (_unused, index) => ({
    key: index === 0 ? 'removed' : `k${index}`,
    ...at(3 + index),
    value: undefined,
  }));
  ahead.applyChanges(removals, at(2), at(2_102));
  const behind = new ReplicatedRecords();
  behind.applyListing([recordOf('kept', 1), recordOf('removed', 2)], at(2));
  const update = ahead.updateSince(behind.completeTo);
  t.true(update.isWhole);
  t.deepEqual(
    behind.applyUpdate(update).map(({ key, value }) => [key, value]),
    [['removed', undefined]],
  );
});

test('a replica that began with a listing hands over removals that it never saw', (t) => {
  const behind = new ReplicatedRecords();
  behind.applyListing([recordOf('kept', 1), recordOf('removed', 2)], at(5));
  const started = new ReplicatedRecords();
  started.applyListing([recordOf('kept', 1)], at(9));
  t.deepEqual(
    behind
      .applyUpdate(started.updateSince(behind.completeTo))
      .map(({ key, value }) => [key, value]),
    [['removed', undefined]],
  );
  t.deepEqual(behind.completeTo, at(9));
});

test('whatever replicas learn from listings, watches and each other, those that are complete to one revision agree', (t) => {
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
          history.push({ key, ...at(revision + 1), value });
        } else if (act === 'list') {
          records.applyListing(existing(revision), at(revision));
        } else if (act === 'watch') {
          const since = records.completeTo;
          records.applyChanges(history.slice(since.revision), since, at(revision));
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

test('a listing that removes nothing is passed on, and only one that counts removes what it lacks', (t) => {
  const holder = new ReplicatedRecords();
  holder.applyListing([{ key: 'gone', ...at(1), value: 'v' }], at(4));
  const receiver = new ReplicatedRecords();
  receiver.applyUpdate(holder.updateSince(at(0)));
  const news = [{ key: 'new', ...at(7), value: 'v' }];
  t.deepEqual(holder.addListing(news, at(8)), news);
  t.deepEqual(holder.reach, { completeTo: at(4), currentTo: at(8) });
  t.true(receiver.isBehind(holder.reach));
  t.deepEqual(receiver.applyUpdate(holder.updateSince(receiver.completeTo)), news);
  t.deepEqual(receiver.reach, { completeTo: at(4), currentTo: at(8) });
  t.false(receiver.isBehind(holder.reach));
  t.true(receiver.snapshot().some(({ key, value }) => key === 'gone' && value !== undefined));
  holder.applyListing(news, at(9));
  t.deepEqual(holder.reach, { completeTo: at(9), currentTo: at(9) });
  receiver.applyUpdate(holder.updateSince(receiver.completeTo));
  t.false(receiver.snapshot().some(({ key, value }) => key === 'gone' && value !== undefined));
});

test('an update for a replica that reaches further back does not make this one current', (t) => {
  const records = new ReplicatedRecords();
  records.applyListing([], at(3));
  const update = {
    since: at(6),
    completeTo: at(6),
    currentTo: at(9),
    isWhole: false,
    records: [],
    epochStart: at(0),
  };
  records.applyUpdate(update);
  t.deepEqual(records.reach, { completeTo: at(3), currentTo: at(3) });
});
