/** A replica of the store's records beside a store that comes back from a copy. */
import fc from 'fast-check';
import test from 'ava';
import { ReplicatedRecords } from '../src/cluster/replicated-records.js';
import type { CompareByOwner, StoreRecord } from '../src/cluster/replicated-records.js';
import { isLater } from '../src/cluster/store-position.js';
import { at } from './support/positions.js';

/** Values of keys that are counted begin with their owner's count. */
const byLeadingNumber: CompareByOwner = (left, right) => {
  const [leftCount, rightCount] = [left, right].map(({ value }) =>
    Number.parseInt(value ?? '', 10),
  );
  const difference = leftCount! - rightCount!;
  return Number.isNaN(difference) ? undefined : difference;
};

function recordOf(key: string, revision: number, epoch: number, value: string): StoreRecord {
  return { key, ...at(revision, epoch), value };
}

/** A replica that knew the store through revision 10 of its first epoch. */
function replicaOf(...records: StoreRecord[]): ReplicatedRecords {
  const replica = new ReplicatedRecords(byLeadingNumber);
  replica.applyListing(records, at(10, 1));
  return replica;
}

function valueOf(replica: ReplicatedRecords, key: string): string | undefined {
  return replica.snapshot().find((record) => record.key === key)?.value;
}

test('a change written after the return is news, though revision 10 was known', (t) => {
  const replica = replicaOf(recordOf('config', 10, 1, '5 five'));
  replica.addListing([recordOf('config', 4, 2, '3 three')], at(6, 2));
  const [news] = replica.applyChanges([recordOf('config', 7, 2, '6 six')], at(6, 2), at(7, 2));
  t.is(news?.value, '6 six');
  t.deepEqual(replica.reach, { completeTo: at(10, 1), currentTo: at(7, 2) });
});

test('what the copy holds in an older state, by its owner or by its revision, replaces nothing yet', (t) => {
  const replica = replicaOf(recordOf('config', 8, 1, '5 five'), recordOf('order', 9, 1, 'newer'));
  const copy = [recordOf('config', 4, 2, '3 three'), recordOf('order', 5, 2, 'older')];
  t.deepEqual(replica.addListing(copy, at(6, 2)), []);
  t.is(replica.countKept(), 2);
  t.false(replica.isSettled);
  replica.applyListing(copy, at(6, 2));
  t.deepEqual([valueOf(replica, 'config'), valueOf(replica, 'order')], ['3 three', 'older']);
  t.true(replica.isSettled);
});

test('what its owner wrote again before the first listing is news, though its revision is lower', (t) => {
  const replica = replicaOf(recordOf('backend', 9, 1, '7 ready'));
  const [news] = replica.addListing([recordOf('backend', 6, 2, '8 draining')], at(6, 2));
  t.is(news?.value, '8 draining');
});

test('what the copy lacks stays until the replica has settled', (t) => {
  const replica = replicaOf(recordOf('a', 3, 1, 'v'), recordOf('lost', 9, 1, 'v'));
  t.deepEqual(replica.addListing([recordOf('a', 3, 2, 'v')], at(6, 2)), [
    { ...recordOf('a', 3, 2, 'v'), isUnchanged: true },
  ]);
  t.is(valueOf(replica, 'lost'), 'v');
  replica.applyListing([recordOf('a', 3, 2, 'v')], at(6, 2));
  t.is(valueOf(replica, 'lost'), undefined);
});

test('a back end that had ended is not back because the copy lists it', (t) => {
  const replica = replicaOf(recordOf('backend', 5, 1, '7 ready'));
  replica.applyChanges([{ key: 'backend', ...at(11, 1), value: undefined }], at(10, 1), at(11, 1));
  replica.addListing([recordOf('backend', 5, 2, '7 ready')], at(6, 2));
  t.is(valueOf(replica, 'backend'), undefined);
});

test('one that knows only the copy learns from another what that lacks, and gives nothing of it back', (t) => {
  const old = replicaOf(recordOf('backend', 9, 1, '8 draining'), recordOf('lost', 10, 1, 'v'));
  const copy = [recordOf('backend', 4, 2, '7 ready')];
  old.addListing(copy, at(6, 2));
  const started = new ReplicatedRecords(byLeadingNumber);
  started.addListing(copy, at(6, 2));
  t.true(started.isBehind(old.reach));
  old.applyUpdate(started.updateSince(old.completeTo));
  t.is(valueOf(old, 'backend'), '8 draining');
  started.applyUpdate(old.updateSince(started.completeTo));
  t.deepEqual([valueOf(started, 'backend'), valueOf(started, 'lost')], ['8 draining', 'v']);
  t.false(started.isSettled);
});

test('one that has settled takes nothing back that another still keeps', (t) => {
  const keeping = replicaOf(recordOf('lost', 9, 1, 'v'), recordOf('config', 8, 1, '5 five'));
  keeping.addListing([recordOf('config', 4, 2, '3 three')], at(6, 2));
  const settled = replicaOf();
  settled.applyListing([recordOf('config', 4, 2, '3 three')], at(6, 2));
  settled.applyUpdate(keeping.updateSince(at(0)));
  t.deepEqual([valueOf(settled, 'lost'), valueOf(settled, 'config')], [undefined, '3 three']);
  keeping.applyUpdate(settled.updateSince(keeping.completeTo));
  t.deepEqual([valueOf(keeping, 'lost'), valueOf(keeping, 'config')], [undefined, '3 three']);
  t.true(keeping.isSettled);
});

/** A store whose every state is kept, and that may go back to one of them. */
class CopiedStore {
  epoch = 1;
  private changes: Array<{ readonly key: string; readonly value: string | undefined }> = [];
  private writes = 0;

  get position() {
    return at(this.changes.length, this.epoch);
  }

  put(key: string): void {
    this.writes += 1;
    this.changes.push({ key, value: `${this.writes} ${key}` });
  }

  remove(key: string): void {
    this.changes.push({ key, value: undefined });
  }

  restore(lost: number): void {
    this.changes = this.changes.slice(0, Math.max(0, this.changes.length - lost));
    this.epoch += 1;
  }

  changesAfter(revision: number): StoreRecord[] {
    return this.changes
      .map((change, index) => ({ ...change, ...at(index + 1, this.epoch) }))
      .slice(revision);
  }

  list(): StoreRecord[] {
    const newest = new Map(this.changesAfter(0).map((record) => [record.key, record]));
    return [...newest.values()].filter(({ value }) => value !== undefined);
  }
}

test('however often the store comes back from copies, replicas that have settled hold what it holds', (t) => {
  const step = fc.record({
    act: fc.constantFrom('put', 'put', 'remove', 'restore', 'list', 'count', 'watch', 'fetch'),
    key: fc.constantFrom('a', 'b', 'c'),
    replica: fc.integer({ min: 0, max: 2 }),
    other: fc.integer({ min: 0, max: 2 }),
    lost: fc.integer({ min: 0, max: 12 }),
  });
  fc.assert(
    fc.property(fc.array(step, { minLength: 30, maxLength: 80 }), (steps) => {
      const store = new CopiedStore();
      const replicas = [0, 1, 2].map(() => new ReplicatedRecords(byLeadingNumber));
      for (const { act, key, replica, other, lost } of steps) {
        const records = replicas[replica]!;
        if (act === 'put') {
          store.put(key);
        } else if (act === 'remove') {
          store.remove(key);
        } else if (act === 'restore') {
          store.restore(lost);
        } else if (act === 'list') {
          records.addListing(store.list(), store.position);
        } else if (act === 'count') {
          records.applyListing(store.list(), store.position);
        } else if (act === 'watch' && records.currentTo.epoch === store.epoch) {
          const since = records.currentTo;
          records.applyChanges(store.changesAfter(since.revision), since, store.position);
        } else if (act === 'fetch' && records.isBehind(replicas[other]!.reach)) {
          records.applyUpdate(replicas[other]!.updateSince(records.completeTo));
        }
      }
      replicas[0]!.applyListing(store.list(), store.position);
      for (const records of replicas.slice(1)) {
        records.applyUpdate(replicas[0]!.updateSince(records.completeTo));
      }
      return replicas.every((records) => {
        const live = records.snapshot().filter(({ value }) => value !== undefined);
        const expected = store.list();
        const holdsAll = expected.every(({ key, value }) => valueOf(records, key) === value);
        return records.isSettled && live.length === expected.length && holdsAll;
      });
    }),
    { seed: 20_261_203, numRuns: 1_000 },
  );
  t.pass();
});

test('whatever copies show, a counted value never falls before its owner had time to write it again', (t) => {
  const step = fc.record({
    act: fc.constantFrom('put', 'put', 'restore', 'list', 'watch', 'fetch'),
    replica: fc.integer({ min: 0, max: 2 }),
    other: fc.integer({ min: 0, max: 2 }),
    lost: fc.integer({ min: 0, max: 12 }),
  });
  const countOf = (records: ReplicatedRecords) =>
    Number.parseInt(valueOf(records, 'config') ?? '0', 10);
  fc.assert(
    fc.property(fc.array(step, { minLength: 20, maxLength: 60 }), (steps) => {
      const store = new CopiedStore();
      store.put('config');
      const replicas = [0, 1, 2].map(() => new ReplicatedRecords(byLeadingNumber));
      replicas.forEach((records) => records.applyListing(store.list(), store.position));
      return steps.every(({ act, replica, other, lost }) => {
        const before = replicas.map(countOf);
        const records = replicas[replica]!;
        if (act === 'put') {
          store.put('config');
        } else if (act === 'restore') {
          store.restore(lost);
        } else if (act === 'list') {
          records.addListing(store.list(), store.position);
        } else if (act === 'watch' && records.currentTo.epoch === store.epoch) {
          const since = records.currentTo;
          records.applyChanges(store.changesAfter(since.revision), since, store.position);
        } else if (act === 'fetch') {
          records.applyUpdate(replicas[other]!.updateSince(records.completeTo));
        }
        return replicas.every((each, index) => countOf(each) >= before[index]!);
      });
    }),
    { seed: 20_261_203, numRuns: 1_000 },
  );
  t.pass();
});

test('positions are ordered by their epoch first', (t) => {
  t.true(isLater(at(1, 2), at(9, 1)));
  t.false(isLater(at(9, 1), at(1, 2)));
  t.true(isLater(at(2, 1), at(1, 1)));
  t.false(isLater(at(1, 1), at(1, 1)));
});
