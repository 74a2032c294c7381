/** The adapter's calls of a store that names its epochs. */
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { PlatformStore } from '../platform/store-client.js';
import { StoreRestoredError, StoreUnavailableError } from '../src/cluster/cluster-store.js';
import { StandinStore } from './support/platform-standin.js';
import { at } from './support/positions.js';

const TIMEOUT_MS = 1_000;

async function startStore(t: ExecutionContext) {
  const standin = new StandinStore();
  const store = new PlatformStore(await standin.start(), TIMEOUT_MS);
  t.teardown(() => standin.stop());
  return { standin, store };
}

/** The connections of before are reset: the first call may find that out. */
async function reconnect(store: PlatformStore): Promise<void> {
  while (!(await store.list()).ok) {
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
}

test('records and answers have the position of the epoch that the store names', async (t) => {
  const { standin, store } = await startStore(t);
  standin.epoch = 3;
  standin.put('a', 1);
  const listed = (await store.list()).unwrap();
  t.deepEqual([listed.epoch, listed.revision, listed.records[0]?.epoch], [3, 1, 3]);
  const watched = store.watch(at(1, 3), 500);
  standin.put('b', 2);
  t.like((await watched).unwrap(), { epoch: 3, revision: 2 });
});

test('a store that names no epochs has none, and one that did before must go on to', async (t) => {
  const { standin, store } = await startStore(t);
  standin.put('a', 1);
  t.is((await store.list()).unwrap().epoch, 0);
  standin.epoch = 1;
  t.is((await store.list()).unwrap().epoch, 1);
  standin.epoch = undefined;
  const failed = await store.list();
  t.true(failed.val instanceof StoreUnavailableError);
});

test('pages of two epochs are no listing', async (t) => {
  const { standin, store } = await startStore(t);
  standin.epoch = 1;
  ['a', 'b', 'c', 'd', 'e'].forEach((key) => standin.put(key, key));
  standin.onCall = () => {
    standin.epoch = standin.calls.length;
  };
  const failed = await store.list();
  t.true(failed.val instanceof StoreRestoredError);
});

test('nothing is written after a position of a former epoch, whoever has its revision now', async (t) => {
  const { standin, store } = await startStore(t);
  standin.epoch = 1;
  const first = (await store.put('own', 'first', at(0, 1))).unwrap();
  t.deepEqual(first, at(1, 1));
  standin.restore(60_000);
  standin.put('own', 'somebody else');
  await reconnect(store);
  t.like((await store.list()).unwrap(), at(1, 2));
  const calls = standin.calls.length;
  const refused = await store.put('own', 'second', first);
  t.true(refused.val instanceof StoreRestoredError);
  t.is(standin.calls.length, calls);
  t.is(standin.read('own'), 'somebody else');
});

test('a write that met another epoch than it followed is no success', async (t) => {
  const { standin, store } = await startStore(t);
  standin.epoch = 1;
  const first = (await store.put('own', '"first"', at(0, 1))).unwrap();
  standin.restore(60_000);
  standin.put('own', 'somebody else');
  await new Promise((resolve) => setTimeout(resolve, 20));
  const written = await store.put('own', '"second"', first);
  t.true(written.val instanceof StoreRestoredError);
});
