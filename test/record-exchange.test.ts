import test from 'ava';
import { RecordExchange } from '../src/cluster/record-exchange.js';
import type { RecordsFetch } from '../src/cluster/record-exchange.js';
import { ReplicatedRecords } from '../src/cluster/replicated-records.js';
import { VirtualClock } from '../src/sim/virtual-clock.js';
import { at } from './support/positions.js';

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
  const asked: string[] = [];
  const hear = (revision: number, name = 'a') =>
    exchange.hearReach(name, { completeTo: at(revision), currentTo: at(revision) }, (fetch) => {
      fetches.push(fetch);
      asked.push(name);
    });
  return { clock, records, fetches, asked, news, exchange, hear };
}

test('a replica whose store is dark asks at once, and only one that is ahead', (t) => {
  const { fetches, hear, records } = startExchange(false);
  records.applyListing([], at(5));
  hear(5);
  t.deepEqual(fetches, []);
  hear(6);
  t.deepEqual(fetches, [{ kind: 'fetch', since: at(5) }]);
});

test('while the store answers, changes are given time to come from there', async (t) => {
  const { clock, fetches, hear, records } = startExchange(true);
  hear(6);
  await clock.runUntil(100);
  records.applyListing([], at(6));
  await clock.runUntil(1_000);
  t.deepEqual(fetches, []);
  hear(7);
  await clock.runUntil(2_000);
  t.deepEqual(fetches, [{ kind: 'fetch', since: at(6) }]);
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

test('replicas that are ahead are asked in turn until one answers', async (t) => {
  const { clock, asked, hear, exchange } = startExchange(false);
  hear(6, 'deaf');
  hear(6, 'b');
  hear(7, 'c');
  await clock.runUntil(500);
  hear(6, 'deaf');
  await clock.runUntil(900);
  t.deepEqual(asked, ['deaf', 'b', 'c']);
  t.is(exchange.behindMs, 900);
  exchange.receive({
    kind: 'records',
    since: at(0),
    completeTo: at(7),
    currentTo: at(7),
    isWhole: true,
    epochStart: at(0),
    records: [],
  });
  await clock.runUntil(3_000);
  t.is(asked.length, 3);
  t.is(exchange.behindMs, 0);
});

test('values that are known without their removals are asked for as well', (t) => {
  const { fetches, exchange, records } = startExchange(false);
  records.applyListing([], at(5));
  exchange.hearReach('a', { completeTo: at(5), currentTo: at(7) }, (fetch) => fetches.push(fetch));
  t.deepEqual(fetches, [{ kind: 'fetch', since: at(5) }]);
  const added = { key: 'a', ...at(7), value: 'v' };
  const answer = {
    kind: 'records',
    since: at(5),
    isWhole: false,
    records: [added],
    epochStart: at(0),
  } as const;
  exchange.receive({ ...answer, completeTo: at(5), currentTo: at(7) });
  t.deepEqual(records.reach, { completeTo: at(5), currentTo: at(7) });
  t.is(exchange.behindMs, 0);
});

test('one that answers with less than it told is not asked again at once', async (t) => {
  const { clock, asked, hear, exchange } = startExchange(false);
  hear(6);
  exchange.receive({
    kind: 'records',
    since: at(0),
    completeTo: at(5),
    currentTo: at(5),
    isWhole: true,
    epochStart: at(0),
    records: [],
  });
  await clock.runUntil(2_000);
  t.is(asked.length, 1);
});

test('a replica that never answers is asked once for each word of it', async (t) => {
  const { clock, asked, hear } = startExchange(false);
  hear(6, 'a');
  hear(6, 'b');
  await clock.runUntil(20_000);
  t.deepEqual(asked, ['a', 'b']);
  hear(6, 'a');
  t.deepEqual(asked, ['a', 'b', 'a']);
});

test('what was fetched is taken in, and answers what others ask', (t) => {
  const { exchange, news, records } = startExchange(false);
  const record = { key: 'a', ...at(4), value: 'v' };
  exchange.receive({
    kind: 'records',
    since: at(0),
    completeTo: at(4),
    currentTo: at(4),
    isWhole: false,
    epochStart: at(0),
    records: [record],
  });
  t.deepEqual(news, ['a']);
  t.deepEqual(records.completeTo, at(4));
  t.deepEqual(exchange.answer({ kind: 'fetch', since: at(3) }).records, [record]);
  t.deepEqual(exchange.answer({ kind: 'fetch', since: at(4) }).records, []);
});
