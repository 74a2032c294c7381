/** Tests of the store client against a store that reports epochs. */
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { PlatformStore } from '../platform/store-client.js';
import { StoreRestoredError, StoreUnavailableError } from '../src/cluster/cluster-store.js';
import { FakeStore } from './support/fake-platform.js';
import { turns } from './support/loop-turns.js';
import { positionAt } from './support/store-positions.js';

const TIMEOUT_MS = 1_000;
/** Turns of the event loop within which the reset of an idle connection is read. */
const TURNS_UNTIL_RESET_IS_READ = 20;

async function startStore(t: ExecutionContext) {
  const fakeStore = new FakeStore();
  const store = new PlatformStore(await fakeStore.start(), TIMEOUT_MS);
  t.teardown(() => fakeStore.stop());
  return { fakeStore, store };
}

/** Lists until it succeeds: the first call may fail on a connection that was reset. */
async function reconnect(store: PlatformStore): Promise<void> {
  while (!(await store.list()).ok) {
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
}

test('listings, watches and their records have the epoch that the store reports', async (t) => {
  const { fakeStore, store } = await startStore(t);
  fakeStore.epoch = 3;
  fakeStore.put('a', 1);
  const listed = (await store.list()).unwrap();
  t.deepEqual([listed.epoch, listed.revision, listed.records[0]?.epoch], [3, 1, 3]);
  const watched = store.watch(positionAt(1, 3), 500);
  fakeStore.put('b', 2);
  t.like((await watched).unwrap(), { epoch: 3, revision: 2 });
});

test('a response without an epoch has epoch 0, and is an error after a response with one', async (t) => {
  const { fakeStore, store } = await startStore(t);
  fakeStore.put('a', 1);
  t.is((await store.list()).unwrap().epoch, 0);
  fakeStore.epoch = 1;
  t.is((await store.list()).unwrap().epoch, 1);
  fakeStore.epoch = undefined;
  const failed = await store.list();
  t.true(failed.val instanceof StoreUnavailableError);
});

test('a listing fails if the epoch changes between its pages', async (t) => {
  const { fakeStore, store } = await startStore(t);
  fakeStore.epoch = 1;
  ['a', 'b', 'c', 'd', 'e'].forEach((key) => fakeStore.put(key, key));
  fakeStore.onCall = () => {
    fakeStore.epoch = fakeStore.calls.length;
  };
  const failed = await store.list();
  t.true(failed.val instanceof StoreRestoredError);
});

test('a write that expects an earlier epoch fails without a call to the store', async (t) => {
  const { fakeStore, store } = await startStore(t);
  fakeStore.epoch = 1;
  const first = (await store.put('own', 'first', positionAt(0, 1))).unwrap();
  t.deepEqual(first, positionAt(1, 1));
  fakeStore.restore(60_000);
  fakeStore.put('own', 'somebody else');
  await reconnect(store);
  t.like((await store.list()).unwrap(), positionAt(1, 2));
  const calls = fakeStore.calls.length;
  const refused = await store.put('own', 'second', first);
  t.true(refused.val instanceof StoreRestoredError);
  t.is(fakeStore.calls.length, calls);
  t.is(fakeStore.read('own'), 'somebody else');
});

test('a write fails if the response has a later epoch than the expected position', async (t) => {
  const { fakeStore, store } = await startStore(t);
  fakeStore.epoch = 1;
  const first = (await store.put('own', '"first"', positionAt(0, 1))).unwrap();
  fakeStore.restore(60_000);
  fakeStore.put('own', 'somebody else');
  await turns(TURNS_UNTIL_RESET_IS_READ);
  const written = await store.put('own', '"second"', first);
  t.true(written.val instanceof StoreRestoredError);
});
