/** A replica of the store's records when the store is restored from a backup. */
import fc from 'fast-check';
import test from 'ava';
import { ReplicatedRecords } from '../src/cluster/replicated-records.js';
import type { CompareOwnerVersions, StoreRecord } from '../src/cluster/replicated-records.js';
import { isLater } from '../src/cluster/store-position.js';
import { positionAt } from './support/store-positions.js';

/** Values of versioned keys begin with the version number that their owner wrote. */
const compareLeadingNumber: CompareOwnerVersions = (left, right) => {
  const [leftVersion, rightVersion] = [left, right].map(({ value }) =>
    Number.parseInt(value ?? '', 10),
  );
  const difference = leftVersion! - rightVersion!;
  return Number.isNaN(difference) ? undefined : difference;
};

function recordOf(key: string, revision: number, epoch: number, value: string): StoreRecord {
  return { key, ...positionAt(revision, epoch), value };
}

/** Returns a replica that is complete through revision 10 of the first epoch. */
function replicaOf(...records: StoreRecord[]): ReplicatedRecords {
  const replica = new ReplicatedRecords(compareLeadingNumber);
  replica.applyListing(records, positionAt(10, 1));
  return replica;
}

function valueOf(replica: ReplicatedRecords, key: string): string | undefined {
  return replica.snapshot().find((record) => record.key === key)?.value;
}

test('a change written after the restore is applied, though a higher revision was known', (t) => {
  const replica = replicaOf(recordOf('config', 10, 1, '5 five'));
  replica.mergeListing([recordOf('config', 4, 2, '3 three')], positionAt(6, 2));
  const [applied] = replica.applyChanges(
    [recordOf('config', 7, 2, '6 six')],
    positionAt(6, 2),
    positionAt(7, 2),
  );
  t.is(applied?.value, '6 six');
  t.deepEqual(replica.progress, { completeTo: positionAt(10, 1), currentTo: positionAt(7, 2) });
});

test('records of the backup that are older, by owner version or by revision, replace nothing before settling', (t) => {
  const replica = replicaOf(recordOf('config', 8, 1, '5 five'), recordOf('order', 9, 1, 'newer'));
  const backup = [recordOf('config', 4, 2, '3 three'), recordOf('order', 5, 2, 'older')];
  t.deepEqual(replica.mergeListing(backup, positionAt(6, 2)), []);
  t.is(replica.countRetained(), 2);
  t.false(replica.isSettled);
  replica.applyListing(backup, positionAt(6, 2));
  t.deepEqual([valueOf(replica, 'config'), valueOf(replica, 'order')], ['3 three', 'older']);
  t.true(replica.isSettled);
});

test('a record that its owner wrote again before the first listing is applied, though its revision is lower', (t) => {
  const replica = replicaOf(recordOf('backend', 9, 1, '7 ready'));
  const [applied] = replica.mergeListing(
    [recordOf('backend', 6, 2, '8 draining')],
    positionAt(6, 2),
  );
  t.is(applied?.value, '8 draining');
});

test('a record that the backup lacks is retained until the replica has settled', (t) => {
  const replica = replicaOf(recordOf('a', 3, 1, 'v'), recordOf('lost', 9, 1, 'v'));
  t.deepEqual(replica.mergeListing([recordOf('a', 3, 2, 'v')], positionAt(6, 2)), [
    { ...recordOf('a', 3, 2, 'v'), isUnchanged: true },
  ]);
  t.is(valueOf(replica, 'lost'), 'v');
  replica.applyListing([recordOf('a', 3, 2, 'v')], positionAt(6, 2));
  t.is(valueOf(replica, 'lost'), undefined);
});

test('a removed backend stays removed, though the backup holds it', (t) => {
  const replica = replicaOf(recordOf('backend', 5, 1, '7 ready'));
  replica.applyChanges(
    [{ key: 'backend', ...positionAt(11, 1), value: undefined }],
    positionAt(10, 1),
    positionAt(11, 1),
  );
  replica.mergeListing([recordOf('backend', 5, 2, '7 ready')], positionAt(6, 2));
  t.is(valueOf(replica, 'backend'), undefined);
});

test('a replica that knows only the backup fetches newer records and does not spread the older ones', (t) => {
  const old = replicaOf(recordOf('backend', 9, 1, '8 draining'), recordOf('lost', 10, 1, 'v'));
  const backup = [recordOf('backend', 4, 2, '7 ready')];
  old.mergeListing(backup, positionAt(6, 2));
  const started = new ReplicatedRecords(compareLeadingNumber);
  started.mergeListing(backup, positionAt(6, 2));
  t.true(started.isBehind(old.progress));
  old.applyUpdate(started.updateSince(old.completeTo));
  t.is(valueOf(old, 'backend'), '8 draining');
  started.applyUpdate(old.updateSince(started.completeTo));
  t.deepEqual([valueOf(started, 'backend'), valueOf(started, 'lost')], ['8 draining', 'v']);
  t.false(started.isSettled);
});

test('a settled replica does not apply records that an unsettled one still retains', (t) => {
  const unsettled = replicaOf(recordOf('lost', 9, 1, 'v'), recordOf('config', 8, 1, '5 five'));
  unsettled.mergeListing([recordOf('config', 4, 2, '3 three')], positionAt(6, 2));
  const settled = replicaOf();
  settled.applyListing([recordOf('config', 4, 2, '3 three')], positionAt(6, 2));
  settled.applyUpdate(unsettled.updateSince(positionAt(0)));
  t.deepEqual([valueOf(settled, 'lost'), valueOf(settled, 'config')], [undefined, '3 three']);
  unsettled.applyUpdate(settled.updateSince(unsettled.completeTo));
  t.deepEqual([valueOf(unsettled, 'lost'), valueOf(unsettled, 'config')], [undefined, '3 three']);
  t.true(unsettled.isSettled);
});

/** A store that keeps all its states and can be restored to an earlier one. */
class RestorableStore {
  epoch = 1;
  private changes: Array<{ readonly key: string; readonly value: string | undefined }> = [];
  private writes = 0;

  get position() {
    return positionAt(this.changes.length, this.epoch);
  }

  put(key: string): void {
    this.writes += 1;
    this.changes.push({ key, value: `${this.writes} ${key}` });
  }

  remove(key: string): void {
    this.changes.push({ key, value: undefined });
  }

  restore(lostChanges: number): void {
    this.changes = this.changes.slice(0, Math.max(0, this.changes.length - lostChanges));
    this.epoch += 1;
  }

  changesAfter(revision: number): StoreRecord[] {
    return this.changes
      .map((change, index) => ({ ...change, ...positionAt(index + 1, this.epoch) }))
      .slice(revision);
  }

  list(): StoreRecord[] {
    const newest = new Map(this.changesAfter(0).map((record) => [record.key, record]));
    return [...newest.values()].filter(({ value }) => value !== undefined);
  }
}

test('settled replicas match the store, however often it is restored from backups', (t) => {
  const step = fc.record({
    act: fc.constantFrom('put', 'put', 'remove', 'restore', 'list', 'settle', 'watch', 'fetch'),
    key: fc.constantFrom('a', 'b', 'c'),
    replica: fc.integer({ min: 0, max: 2 }),
    other: fc.integer({ min: 0, max: 2 }),
    lost: fc.integer({ min: 0, max: 12 }),
  });
  fc.assert(
    fc.property(fc.array(step, { minLength: 30, maxLength: 80 }), (steps) => {
      const store = new RestorableStore();
      const replicas = [0, 1, 2].map(() => new ReplicatedRecords(compareLeadingNumber));
      for (const { act, key, replica, other, lost } of steps) {
        const records = replicas[replica]!;
        if (act === 'put') {
          store.put(key);
        } else if (act === 'remove') {
          store.remove(key);
        } else if (act === 'restore') {
          store.restore(lost);
        } else if (act === 'list') {
          records.mergeListing(store.list(), store.position);
        } else if (act === 'settle') {
          records.applyListing(store.list(), store.position);
        } else if (act === 'watch' && records.currentTo.epoch === store.epoch) {
          const since = records.currentTo;
          records.applyChanges(store.changesAfter(since.revision), since, store.position);
        } else if (act === 'fetch' && records.isBehind(replicas[other]!.progress)) {
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
        const hasAll = expected.every(({ key, value }) => valueOf(records, key) === value);
        return records.isSettled && live.length === expected.length && hasAll;
      });
    }),
    { seed: 20_261_203, numRuns: 1_000 },
  );
  t.pass();
});

test('the version of a key never decreases before settling, whatever the backups hold', (t) => {
  const step = fc.record({
    act: fc.constantFrom('put', 'put', 'restore', 'list', 'watch', 'fetch'),
    replica: fc.integer({ min: 0, max: 2 }),
    other: fc.integer({ min: 0, max: 2 }),
    lost: fc.integer({ min: 0, max: 12 }),
  });
  const versionOf = (records: ReplicatedRecords) =>
    Number.parseInt(valueOf(records, 'config') ?? '0', 10);
  fc.assert(
    fc.property(fc.array(step, { minLength: 20, maxLength: 60 }), (steps) => {
      const store = new RestorableStore();
      store.put('config');
      const replicas = [0, 1, 2].map(() => new ReplicatedRecords(compareLeadingNumber));
      replicas.forEach((records) => records.applyListing(store.list(), store.position));
      return steps.every(({ act, replica, other, lost }) => {
        const before = replicas.map(versionOf);
        const records = replicas[replica]!;
        if (act === 'put') {
          store.put('config');
        } else if (act === 'restore') {
          store.restore(lost);
        } else if (act === 'list') {
          records.mergeListing(store.list(), store.position);
        } else if (act === 'watch' && records.currentTo.epoch === store.epoch) {
          const since = records.currentTo;
          records.applyChanges(store.changesAfter(since.revision), since, store.position);
        } else if (act === 'fetch') {
          records.applyUpdate(replicas[other]!.updateSince(records.completeTo));
        }
        return replicas.every((each, index) => versionOf(each) >= before[index]!);
      });
    }),
    { seed: 20_261_203, numRuns: 1_000 },
  );
  t.pass();
});

test('positions are ordered by their epoch first', (t) => {
  t.true(isLater(positionAt(1, 2), positionAt(9, 1)));
  t.false(isLater(positionAt(9, 1), positionAt(1, 2)));
  t.true(isLater(positionAt(2, 1), positionAt(1, 1)));
  t.false(isLater(positionAt(1, 1), positionAt(1, 1)));
});
