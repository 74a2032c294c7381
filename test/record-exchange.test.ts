import test from 'ava';
import { RecordExchange } from '../src/cluster/record-exchange.js';
import type { RecordsFetch } from '../src/cluster/record-exchange.js';
import { ReplicatedRecords } from '../src/cluster/replicated-records.js';
import { VirtualClock } from '../src/sim/virtual-clock.js';
import { positionAt } from './support/store-positions.js';

function startExchange(isStoreReachable: boolean) {
  const clock = new VirtualClock();
  const records = new ReplicatedRecords();
  const fetches: RecordsFetch[] = [];
  const applied: string[] = [];
  const exchange = new RecordExchange(
    records,
    {
      isStoreReachable: () => isStoreReachable,
      onApplied: (records) => applied.push(...records.map(({ key }) => key)),
    },
    clock,
  );
  const fetchedFrom: string[] = [];
  const reportProgress = (revision: number, name = 'a') =>
    exchange.handleProgress(
      name,
      { completeTo: positionAt(revision), currentTo: positionAt(revision) },
      (fetch) => {
        fetches.push(fetch);
        fetchedFrom.push(name);
      },
    );
  return { clock, records, fetches, fetchedFrom, applied, exchange, reportProgress };
}

test('a replica that cannot reach the store fetches at once, and only from a replica that is ahead', (t) => {
  const { fetches, reportProgress, records } = startExchange(false);
  records.applyListing([], positionAt(5));
  reportProgress(5);
  t.deepEqual(fetches, []);
  reportProgress(6);
  t.deepEqual(fetches, [{ kind: 'fetch', since: positionAt(5) }]);
});

test('a replica that can reach the store waits for changes from it before it fetches', async (t) => {
  const { clock, fetches, reportProgress, records } = startExchange(true);
  reportProgress(6);
  await clock.runUntil(100);
  records.applyListing([], positionAt(6));
  await clock.runUntil(1_000);
  t.deepEqual(fetches, []);
  reportProgress(7);
  await clock.runUntil(2_000);
  t.deepEqual(fetches, [{ kind: 'fetch', since: positionAt(6) }]);
});

test('only one fetch is pending at a time, and the next is sent after a timeout', async (t) => {
  const { clock, fetches, reportProgress } = startExchange(false);
  reportProgress(6);
  reportProgress(6);
  t.is(fetches.length, 1);
  await clock.runUntil(500);
  reportProgress(6);
  t.is(fetches.length, 2);
});

test('fetches go to the replicas that are ahead in turn until one responds', async (t) => {
  const { clock, fetchedFrom, reportProgress, exchange } = startExchange(false);
  reportProgress(6, 'unresponsive');
  reportProgress(6, 'b');
  reportProgress(7, 'c');
  await clock.runUntil(500);
  reportProgress(6, 'unresponsive');
  await clock.runUntil(900);
  t.deepEqual(fetchedFrom, ['unresponsive', 'b', 'c']);
  t.is(exchange.behindMs, 900);
  exchange.handleResponse({
    kind: 'records',
    since: positionAt(0),
    completeTo: positionAt(7),
    currentTo: positionAt(7),
    isWhole: true,
    epochStart: positionAt(0),
    records: [],
  });
  await clock.runUntil(3_000);
  t.is(fetchedFrom.length, 3);
  t.is(exchange.behindMs, 0);
});

test('a replica fetches values from a replica that is ahead in `currentTo` only', (t) => {
  const { fetches, exchange, records } = startExchange(false);
  records.applyListing([], positionAt(5));
  exchange.handleProgress('a', { completeTo: positionAt(5), currentTo: positionAt(7) }, (fetch) =>
    fetches.push(fetch),
  );
  t.deepEqual(fetches, [{ kind: 'fetch', since: positionAt(5) }]);
  const added = { key: 'a', ...positionAt(7), value: 'v' };
  const response = {
    kind: 'records',
    since: positionAt(5),
    isWhole: false,
    records: [added],
    epochStart: positionAt(0),
  } as const;
  exchange.handleResponse({ ...response, completeTo: positionAt(5), currentTo: positionAt(7) });
  t.deepEqual(records.progress, { completeTo: positionAt(5), currentTo: positionAt(7) });
  t.is(exchange.behindMs, 0);
});

test('a replica that responds with less than it reported gets no further fetch at once', async (t) => {
  const { clock, fetchedFrom, reportProgress, exchange } = startExchange(false);
  reportProgress(6);
  exchange.handleResponse({
    kind: 'records',
    since: positionAt(0),
    completeTo: positionAt(5),
    currentTo: positionAt(5),
    isWhole: true,
    epochStart: positionAt(0),
    records: [],
  });
  await clock.runUntil(2_000);
  t.is(fetchedFrom.length, 1);
});

test('a replica that never responds gets one fetch for each progress report', async (t) => {
  const { clock, fetchedFrom, reportProgress } = startExchange(false);
  reportProgress(6, 'a');
  reportProgress(6, 'b');
  await clock.runUntil(20_000);
  t.deepEqual(fetchedFrom, ['a', 'b']);
  reportProgress(6, 'a');
  t.deepEqual(fetchedFrom, ['a', 'b', 'a']);
});

test('fetched records are applied and served to other replicas', (t) => {
  const { exchange, applied, records } = startExchange(false);
  const record = { key: 'a', ...positionAt(4), value: 'v' };
  exchange.handleResponse({
    kind: 'records',
    since: positionAt(0),
    completeTo: positionAt(4),
    currentTo: positionAt(4),
    isWhole: false,
    epochStart: positionAt(0),
    records: [record],
  });
  t.deepEqual(applied, ['a']);
  t.deepEqual(records.completeTo, positionAt(4));
  t.deepEqual(exchange.handleFetch({ kind: 'fetch', since: positionAt(3) }).records, [record]);
  t.deepEqual(exchange.handleFetch({ kind: 'fetch', since: positionAt(4) }).records, []);
});
