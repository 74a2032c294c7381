import test from 'ava';
import { RecordExchange } from '../src/cluster/record-exchange.js';
import type { RecordsFetch } from '../src/cluster/record-exchange.js';
import { ReplicatedRecords } from '../src/cluster/replicated-records.js';
import { VirtualClock } from '../src/sim/virtual-clock.js';

function startExchange(isStoreReachable: boolean) {
  const clock = new VirtualClock();
  const records = new ReplicatedRecords();
  const fetches: RecordsFetch[] = [];
  const news: string[] = [];
  const exchange = new RecordExchange(
    records,
    {
      isStoreReachable: () => isStoreReachable,
      onNews: (learned) => news.push(...learned.map(({ key }) => key)),
    },
    clock,
  );
  const hear = (revision: number) =>
    exchange.hearRevision(revision, (fetch) => fetches.push(fetch));
  return { clock, records, fetches, news, exchange, hear };
}

test('a replica whose store is dark asks at once, and only one that is ahead', (t) => {
  const { fetches, hear, records } = startExchange(false);
  records.applyListing([], 5);
  hear(5);
  t.deepEqual(fetches, []);
  hear(6);
  t.deepEqual(fetches, [{ kind: 'fetch', since: 5 }]);
});

test('while the store answers, changes are given time to come from there', async (t) => {
  const { clock, fetches, hear, records } = startExchange(true);
  hear(6);
  await clock.runUntil(100);
  records.applyListing([], 6);
  await clock.runUntil(1_000);
  t.deepEqual(fetches, []);
  hear(7);
  await clock.runUntil(2_000);
  t.deepEqual(fetches, [{ kind: 'fetch', since: 6 }]);
});

test('one fetch is under way at a time, and another replica is asked when it is not answered', async (t) => {
  const { clock, fetches, hear } = startExchange(false);
  hear(6);
  hear(6);
  t.is(fetches.length, 1);
  await clock.runUntil(500);
  hear(6);
  t.is(fetches.length, 2);
});

test('what was fetched is taken in, and answers what others ask', (t) => {
  const { exchange, news, records } = startExchange(false);
  const record = { key: 'a', revision: 4, value: 'v' };
  exchange.receive({ kind: 'records', since: 0, completeTo: 4, isWhole: false, records: [record] });
  t.deepEqual(news, ['a']);
  t.is(records.completeTo, 4);
  t.deepEqual(exchange.answer({ kind: 'fetch', since: 3 }).records, [record]);
  t.deepEqual(exchange.answer({ kind: 'fetch', since: 4 }).records, []);
});
