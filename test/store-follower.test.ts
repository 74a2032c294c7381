import test from 'ava';
import { StoreHistoryGoneError, StoreUnavailableError } from '../src/cluster/cluster-store.js';
import { DEFAULT_STORE_FOLLOWER_OPTIONS, StoreFollower } from '../src/cluster/store-follower.js';
import type { StoreFollowerHandlers } from '../src/cluster/store-follower.js';
import type { ClusterStore, StoreRead } from '../src/cluster/cluster-store.js';
import { sleep } from '../src/clock.js';
import { SeededRandom } from '../src/random.js';
import { err, ok } from '../src/result.js';
import type { Result } from '../src/result.js';
import { VirtualClock } from '../src/sim/virtual-clock.js';
import { at } from './support/positions.js';
import { NO_EPOCH, NO_POSITION } from '../src/cluster/store-position.js';
import type { StorePosition } from '../src/cluster/store-position.js';

type Answer = Result<StoreRead, StoreUnavailableError | StoreHistoryGoneError> | 'never';

/** A store that answers as the script says and notes its calls up to the first that the script does not know. */
class ScriptedStore implements ClusterStore {
  readonly calls: string[] = [];
  /** Whether a call was made that the script does not know. */
  hasEnded = false;

  constructor(
    private readonly clock: VirtualClock,
    private readonly script: Answer[],
  ) {}

  async list(): Promise<Result<StoreRead, StoreUnavailableError>> {
    return (await this.next('list')) as Result<StoreRead, StoreUnavailableError>;
  }

  watch({ revision }: StorePosition): Promise<Result<StoreRead, StoreUnavailableError>> {
    return this.next(`watch ${revision}`) as Promise<Result<StoreRead, StoreUnavailableError>>;
  }

  private next(call: string): Promise<Answer> {
    if (!this.hasEnded) {
      this.calls.push(call);
    }
    this.hasEnded ||= this.script.length === 0;
    const answer = this.script.shift() ?? 'never';
    this.clock.notePromise();
    return answer === 'never' ? new Promise(() => undefined) : Promise.resolve(answer);
  }
}

const READ_AT_4 = ok({ records: [{ key: 'k', ...at(4), value: 'v' }], ...at(4) });
const NOTHING_AT_4 = ok({ records: [], ...at(4) });
const FAILED = err(new StoreUnavailableError('cut'));
const FORGOTTEN = err(new StoreHistoryGoneError('gone'));

/** Handlers of a follower that is alone and knows nothing, before a store that counts no epochs. */
const HANDLERS: StoreFollowerHandlers = {
  onListing: () => undefined,
  onListingAfterOutage: () => undefined,
  onChanges: () => undefined,
  onChangesMissing: () => undefined,
  onOtherEpoch: () => undefined,
  onConfirmed: () => undefined,
  onReachable: () => undefined,
  countFollowers: () => 1,
  mustFollow: () => true,
  completeTo: () => NO_POSITION,
  knownEpoch: () => ({ epoch: NO_EPOCH, sinceMs: -Infinity }),
  onCall: () => undefined,
};

async function callsOf(
  script: Answer[],
  forMs = 8_000,
): Promise<{ calls: string[]; reachable: boolean[]; listings: string[] }> {
  const clock = new VirtualClock();
  const store = new ScriptedStore(clock, script);
  const reachable: boolean[] = [];
  const listings: string[] = [];
  const handlers: StoreFollowerHandlers = {
    ...HANDLERS,
    onListing: () => void listings.push('whole'),
    onListingAfterOutage: () => void listings.push('after an outage'),
    onReachable: (isReachable: boolean) => {
      if (!store.hasEnded) {
        reachable.push(isReachable);
      }
    },
  };
  void new StoreFollower(store, handlers, clock, new SeededRandom(1)).run();
  clock.notePromise();
  for (let turn = 1; turn * 100 <= forMs; turn += 1) {
    clock.notePromise();
    await clock.runUntil(turn * 100);
  }
  return { calls: store.calls, reachable, listings };
}

test('a listing is followed by watches from its revision', async (t) => {
  const { calls } = await callsOf([READ_AT_4, NOTHING_AT_4]);
  t.deepEqual(calls, ['list', 'watch 4', 'watch 4']);
});

test('a watch that was cut is followed by a listing, since history may be gone', async (t) => {
  const { calls, reachable } = await callsOf([READ_AT_4, FAILED, READ_AT_4]);
  t.deepEqual(calls, ['list', 'watch 4', 'list', 'watch 4']);
  t.deepEqual(reachable, [true, false, true]);
});

test('a watch that names a revision without its changes is followed by a listing', async (t) => {
  const skipping = ok({ records: [], ...at(7) });
  const { calls } = await callsOf([READ_AT_4, skipping, READ_AT_4]);
  t.deepEqual(calls, ['list', 'watch 4', 'list', 'watch 4']);
});

test('history that is gone is followed by a listing at once', async (t) => {
  const { calls, reachable } = await callsOf([READ_AT_4, FORGOTTEN, READ_AT_4]);
  t.deepEqual(calls, ['list', 'watch 4', 'list', 'watch 4']);
  t.deepEqual(reachable, [true]);
});

test('a store that does not answer is asked again', async (t) => {
  const { calls } = await callsOf([FAILED, FAILED, READ_AT_4]);
  t.deepEqual(calls, ['list', 'list', 'list', 'watch 4']);
});

/** Times of the watches' answers while `followers` processes follow the store. */
async function changesSeenAtMs(
  followers: number,
): Promise<{ calls: string[]; seenAtMs: number[] }> {
  const change = (revision: number) =>
    ok({ records: [{ key: 'k', ...at(revision), value: 'v' }], ...at(revision) });
  const clock = new VirtualClock();
  const store = new ScriptedStore(clock, [READ_AT_4, change(5), change(9)]);
  const seenAtMs: number[] = [];
  const handlers: StoreFollowerHandlers = {
    ...HANDLERS,
    onChanges: () => void seenAtMs.push(clock.now()),
    countFollowers: () => followers,
  };
  void new StoreFollower(store, handlers, clock, new SeededRandom(1)).run();
  for (let turn = 1; turn <= 30; turn += 1) {
    clock.notePromise();
    await clock.runUntil(turn * 100);
  }
  return { calls: store.calls, seenAtMs };
}

test('changes that follow each other are gathered into one call', async (t) => {
  const { calls, seenAtMs } = await changesSeenAtMs(1);
  t.deepEqual(calls, ['list', 'watch 4', 'watch 5', 'watch 9']);
  const pauseMs = seenAtMs[1]! - seenAtMs[0]!;
  t.true(pauseMs >= 150 && pauseMs <= 300);
});

test('of many followers each gathers for longer, up to a bound', async (t) => {
  for (const followers of [31, 970]) {
    const { seenAtMs } = await changesSeenAtMs(followers);
    const pauseMs = seenAtMs[1]! - seenAtMs[0]!;
    t.true(pauseMs >= 400 && pauseMs <= 2_000, `${pauseMs}`);
  }
});

test('after an outage a listing does not remove what may have lapsed, until owners had time', async (t) => {
  const failures = Array.from({ length: 6 }, () => FAILED);
  const watches = Array.from({ length: 80 }, () => READ_AT_4);
  const { listings } = await callsOf([READ_AT_4, FAILED, ...failures, READ_AT_4, ...watches]);
  t.deepEqual(listings, ['whole', 'after an outage', 'whole']);
});

test('the listing that counts is not put off for ever by outages in a row', async (t) => {
  const outage = [...Array.from({ length: 4 }, () => FAILED), READ_AT_4, NOTHING_AT_4];
  const outages = Array.from({ length: 40 }, () => outage).flat();
  const { listings } = await callsOf([READ_AT_4, ...outages], 14_000);
  t.true(listings.slice(1).includes('whole'), listings.join(', '));
  t.true(listings.includes('after an outage'));
});

test('a watch that is cut while the store answers is no outage', async (t) => {
  const { listings } = await callsOf([READ_AT_4, FAILED, READ_AT_4]);
  t.deepEqual(listings, ['whole', 'whole']);
});

/** A follower that others read the store for until `untilMs`; returns its calls and listings. */
async function restingCallsOf(
  script: Answer[],
  untilMs: number,
  completeTo: number,
): Promise<{ calls: string[]; listings: string[] }> {
  const clock = new VirtualClock();
  const store = new ScriptedStore(clock, script);
  const listings: string[] = [];
  const handlers: StoreFollowerHandlers = {
    ...HANDLERS,
    onListing: () => void listings.push('whole'),
    onListingAfterOutage: () => void listings.push('after an outage'),
    mustFollow: () => clock.now() >= untilMs,
    completeTo: () => at(completeTo),
  };
  void new StoreFollower(store, handlers, clock, new SeededRandom(1)).run();
  for (let turn = 1; turn <= 80; turn += 1) {
    clock.notePromise();
    await clock.runUntil(turn * 100);
  }
  return { calls: store.calls, listings };
}

test('a watch that is not answered is overdue soon after its wait, and the store is listed beside it', async (t) => {
  const clock = new VirtualClock();
  const store = new ScriptedStore(clock, [READ_AT_4, 'never', READ_AT_4, NOTHING_AT_4]);
  const reachable: boolean[] = [];
  const handlers: StoreFollowerHandlers = {
    ...HANDLERS,
    onReachable: (isReachable: boolean) => void reachable.push(isReachable),
  };
  const follower = new StoreFollower(store, handlers, clock, new SeededRandom(1));
  void follower.run();
  for (let turn = 1; turn <= 20; turn += 1) {
    clock.notePromise();
    await clock.runUntil(turn * 100);
  }
  t.deepEqual(store.calls.slice(0, 3), ['list', 'watch 4', 'list']);
  t.deepEqual(reachable.slice(0, 3), [true, false, true]);
});

/** A store whose answers take `answerMs`; what was listed, and how often it counted as lost. */
async function followSlowStore(answerMs: number): Promise<{ listed: number; lost: number }> {
  const clock = new VirtualClock();
  const seen = { listed: 0, lost: 0 };
  const answer = (read: Answer) => {
    clock.notePromise();
    return sleep(clock, answerMs).then(() => {
      clock.notePromise();
      return read;
    });
  };
  const store = {
    list: () => answer(READ_AT_4),
    watch: (_since: StorePosition, waitMs: number) =>
      sleep(clock, waitMs).then(() => answer(NOTHING_AT_4)),
  } as unknown as ClusterStore;
  const handlers: StoreFollowerHandlers = {
    ...HANDLERS,
    onListing: () => void (seen.listed += 1),
    onListingAfterOutage: () => void (seen.listed += 1),
    onReachable: (isReachable: boolean) => void (seen.lost += isReachable ? 0 : 1),
    completeTo: () => at(4),
  };
  void new StoreFollower(store, handlers, clock, new SeededRandom(1)).run();
  for (let turn = 1; turn <= 200; turn += 1) {
    clock.notePromise();
    await clock.runUntil(turn * 100);
  }
  return seen;
}

test('a store whose answers take long is followed, and counts as lost only until that is known', async (t) => {
  for (const answerMs of [100, 600]) {
    const { listed, lost } = await followSlowStore(answerMs);
    t.true(listed >= 1 && listed <= 8, `${listed} listings of ${answerMs} ms`);
    t.true(lost <= 2, `lost ${lost} times`);
  }
});

test('while others follow the store it is not called, and then watched from what they told', async (t) => {
  const { calls } = await restingCallsOf([NOTHING_AT_4], 5_000, 4);
  t.deepEqual(calls, ['watch 4', 'watch 4']);
  t.deepEqual((await restingCallsOf([NOTHING_AT_4], 50_000, 4)).calls, []);
});

test('one that others told nothing lists', async (t) => {
  t.deepEqual((await restingCallsOf([READ_AT_4], 5_000, 0)).calls[0], 'list');
});

test('one that begins to follow in an outage does not believe what the first listing lacks', async (t) => {
  const { listings } = await restingCallsOf([FAILED, READ_AT_4], 5_000, 4);
  t.is(listings[0], 'after an outage');
});

/** What a follower does whose process hears of epochs by its own reads, and of `heardEpoch` by others at a moment. */
async function playEpochs(
  script: Answer[],
  heard: { readonly epoch: number; readonly atMs: number } = { epoch: 0, atMs: 0 },
  forMs = 6_000,
  clock = new VirtualClock(),
  store = new ScriptedStore(clock, script),
) {
  const taken: string[] = [];
  let known = { epoch: NO_EPOCH, sinceMs: -Infinity };
  const learn = (epoch: number) => {
    known = epoch > known.epoch ? { epoch, sinceMs: clock.now() } : known;
  };
  const take = (what: string) => (read: StoreRead) => {
    taken.push(`${what} ${read.epoch}/${read.revision}`);
    learn(read.epoch);
  };
  const handlers: StoreFollowerHandlers = {
    ...HANDLERS,
    onListing: take('whole'),
    onListingAfterOutage: take('listing'),
    onChanges: take('changes'),
    knownEpoch: () => known,
    onOtherEpoch: (call: string, asked: number, read: StorePosition) =>
      void taken.push(`${call} of ${asked} dropped ${read.epoch}/${read.revision}`),
  };
  void new StoreFollower(store, handlers, clock, new SeededRandom(1)).run();
  for (let turn = 1; turn * 100 <= forMs; turn += 1) {
    clock.notePromise();
    await clock.runUntil(turn * 100);
    if (turn * 100 === heard.atMs) {
      learn(heard.epoch);
    }
  }
  return { calls: store.calls, taken };
}

const readAt = (revision: number, epoch: number) =>
  ok({ records: [{ key: 'k', ...at(revision, epoch), value: 'v' }], ...at(revision, epoch) });

test('a watch that is answered in another epoch brings nothing, and a listing follows', async (t) => {
  const { calls, taken } = await playEpochs([readAt(9, 1), readAt(4, 2), readAt(4, 2)]);
  t.deepEqual(calls, ['list', 'watch 9', 'list', 'watch 4']);
  t.deepEqual(taken, ['listing 1/9', 'watch of 1 dropped 2/4', 'listing 2/4']);
});

test('an answer of an epoch that is over is dropped', async (t) => {
  const { calls, taken } = await playEpochs([readAt(4, 2), FORGOTTEN, readAt(9, 1), readAt(5, 2)]);
  t.deepEqual(calls, ['list', 'watch 4', 'list', 'list', 'watch 5']);
  t.deepEqual(taken, ['listing 2/4', 'list of 2 dropped 1/9', 'listing 2/5']);
});

test('one that hears of an epoch from others lists, and goes on with no watch of the former one', async (t) => {
  const nothing = ok({ records: [], ...at(9, 1) });
  const script = [readAt(9, 1), nothing, ...Array.from({ length: 9 }, () => readAt(4, 2))];
  const clock = new VirtualClock();
  const waiting = sleep(clock, 1_000);
  const store = new ScriptedStore(clock, script);
  const watch = store.watch.bind(store);
  store.watch = (since) => {
    const answer = watch(since);
    return store.calls.length === 2 ? waiting.then(() => answer) : answer;
  };
  const { calls, taken } = await playEpochs(script, { epoch: 2, atMs: 500 }, 3_000, clock, store);
  t.deepEqual(calls.slice(0, 4), ['list', 'watch 9', 'list', 'watch 4']);
  t.deepEqual(taken.slice(0, 3), ['listing 1/9', 'watch of 1 dropped 1/9', 'listing 2/4']);
});

test('the first listing of an epoch that counts comes once the owners had their time', async (t) => {
  const { reannounceMs } = DEFAULT_STORE_FOLLOWER_OPTIONS;
  const answers = [readAt(9, 1), ...Array.from({ length: 40 }, () => readAt(9, 1))];
  const before = await playEpochs(answers, undefined, reannounceMs - 100);
  t.false(before.taken.some((word) => word.startsWith('whole')));
  const after = await playEpochs(answers, undefined, reannounceMs + 1_000);
  t.true(after.taken.includes('whole 1/9'));
});
