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
import { positionAt } from './support/store-positions.js';
import { NO_EPOCH, NO_POSITION } from '../src/cluster/store-position.js';
import type { StorePosition } from '../src/cluster/store-position.js';

type ScriptedResponse = Result<StoreRead, StoreUnavailableError | StoreHistoryGoneError> | 'never';

/**
 * A store with scripted responses. Records its calls, up to the first one that has no scripted
 * response.
 */
class ScriptedStore implements ClusterStore {
  readonly calls: string[] = [];
  /** Whether a call was made after the last scripted response. */
  hasEnded = false;

  constructor(
    private readonly clock: VirtualClock,
    private readonly script: ScriptedResponse[],
  ) {}

  async list(): Promise<Result<StoreRead, StoreUnavailableError>> {
    return (await this.next('list')) as Result<StoreRead, StoreUnavailableError>;
  }

  watch({ revision }: StorePosition): Promise<Result<StoreRead, StoreUnavailableError>> {
    return this.next(`watch ${revision}`) as Promise<Result<StoreRead, StoreUnavailableError>>;
  }

  private next(call: string): Promise<ScriptedResponse> {
    if (!this.hasEnded) {
      this.calls.push(call);
    }
    this.hasEnded ||= this.script.length === 0;
    const response = this.script.shift() ?? 'never';
    this.clock.markPromiseSettled();
    return response === 'never' ? new Promise(() => undefined) : Promise.resolve(response);
  }
}

const READ_AT_4 = ok({ records: [{ key: 'k', ...positionAt(4), value: 'v' }], ...positionAt(4) });
const NO_CHANGE_AT_4 = ok({ records: [], ...positionAt(4) });
const FAILED = err(new StoreUnavailableError('cut'));
const HISTORY_GONE = err(new StoreHistoryGoneError('gone'));

/** Handlers of the only follower, with an empty replica, of a store that reports no epochs. */
const HANDLERS: StoreFollowerHandlers = {
  onListing: () => undefined,
  onListingAfterOutage: () => undefined,
  onChanges: () => undefined,
  onChangesMissing: () => undefined,
  onEpochMismatch: () => undefined,
  onReplicaConfirmed: () => undefined,
  onReachabilityChange: () => undefined,
  countFollowers: () => 1,
  mustFollow: () => true,
  completeTo: () => NO_POSITION,
  knownEpoch: () => ({ epoch: NO_EPOCH, sinceMs: -Infinity }),
  onCall: () => undefined,
};

async function runFollower(
  script: ScriptedResponse[],
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
    onReachabilityChange: (isReachable: boolean) => {
      if (!store.hasEnded) {
        reachable.push(isReachable);
      }
    },
  };
  void new StoreFollower(store, handlers, clock, new SeededRandom(1)).run();
  clock.markPromiseSettled();
  for (let turn = 1; turn * 100 <= forMs; turn += 1) {
    clock.markPromiseSettled();
    await clock.runUntil(turn * 100);
  }
  return { calls: store.calls, reachable, listings };
}

test('the follower watches from the revision of its listing', async (t) => {
  const { calls } = await runFollower([READ_AT_4, NO_CHANGE_AT_4]);
  t.deepEqual(calls, ['list', 'watch 4', 'watch 4']);
});

test('the follower lists again after a failed watch, since the store may have dropped its history', async (t) => {
  const { calls, reachable } = await runFollower([READ_AT_4, FAILED, READ_AT_4]);
  t.deepEqual(calls, ['list', 'watch 4', 'list', 'watch 4']);
  t.deepEqual(reachable, [true, false, true]);
});

test('the follower lists again after a watch that returned a revision without its changes', async (t) => {
  const withoutChanges = ok({ records: [], ...positionAt(7) });
  const { calls } = await runFollower([READ_AT_4, withoutChanges, READ_AT_4]);
  t.deepEqual(calls, ['list', 'watch 4', 'list', 'watch 4']);
});

test('the follower lists again at once after the store dropped the history of a watch', async (t) => {
  const { calls, reachable } = await runFollower([READ_AT_4, HISTORY_GONE, READ_AT_4]);
  t.deepEqual(calls, ['list', 'watch 4', 'list', 'watch 4']);
  t.deepEqual(reachable, [true]);
});

test('the follower retries a listing that failed', async (t) => {
  const { calls } = await runFollower([FAILED, FAILED, READ_AT_4]);
  t.deepEqual(calls, ['list', 'list', 'list', 'watch 4']);
});

/** Returns when the follower received changes, with `followers` processes following the store. */
async function changeTimesMs(followers: number): Promise<{ calls: string[]; seenAtMs: number[] }> {
  const change = (revision: number) =>
    ok({ records: [{ key: 'k', ...positionAt(revision), value: 'v' }], ...positionAt(revision) });
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
    clock.markPromiseSettled();
    await clock.runUntil(turn * 100);
  }
  return { calls: store.calls, seenAtMs };
}

test('successive changes are coalesced into one watch', async (t) => {
  const { calls, seenAtMs } = await changeTimesMs(1);
  t.deepEqual(calls, ['list', 'watch 4', 'watch 5', 'watch 9']);
  const delayMs = seenAtMs[1]! - seenAtMs[0]!;
  t.true(delayMs >= 150 && delayMs <= 300);
});

test('followers coalesce changes for longer, up to a bound, when there are many', async (t) => {
  for (const followers of [31, 970]) {
    const { seenAtMs } = await changeTimesMs(followers);
    const delayMs = seenAtMs[1]! - seenAtMs[0]!;
    t.true(delayMs >= 400 && delayMs <= 2_000, `${delayMs}`);
  }
});

test('a listing after an outage removes no records until their owners had time to write them again', async (t) => {
  const failures = Array.from({ length: 6 }, () => FAILED);
  const watches = Array.from({ length: 80 }, () => READ_AT_4);
  const { listings } = await runFollower([READ_AT_4, FAILED, ...failures, READ_AT_4, ...watches]);
  t.deepEqual(listings, ['whole', 'after an outage', 'whole']);
});

test('successive outages do not postpone the full listing indefinitely', async (t) => {
  const outage = [...Array.from({ length: 4 }, () => FAILED), READ_AT_4, NO_CHANGE_AT_4];
  const outages = Array.from({ length: 40 }, () => outage).flat();
  const { listings } = await runFollower([READ_AT_4, ...outages], 14_000);
  t.true(listings.slice(1).includes('whole'), listings.join(', '));
  t.true(listings.includes('after an outage'));
});

test('a watch that fails while the store responds does not count as an outage', async (t) => {
  const { listings } = await runFollower([READ_AT_4, FAILED, READ_AT_4]);
  t.deepEqual(listings, ['whole', 'whole']);
});

/**
 * Runs a follower that is idle until `untilMs`, since peers read the store; returns its calls and
 * listings.
 */
async function runIdleFollower(
  script: ScriptedResponse[],
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
    completeTo: () => positionAt(completeTo),
  };
  void new StoreFollower(store, handlers, clock, new SeededRandom(1)).run();
  for (let turn = 1; turn <= 80; turn += 1) {
    clock.markPromiseSettled();
    await clock.runUntil(turn * 100);
  }
  return { calls: store.calls, listings };
}

test('a watch without a response is overdue soon after its wait, and the follower lists before it ends', async (t) => {
  const clock = new VirtualClock();
  const store = new ScriptedStore(clock, [READ_AT_4, 'never', READ_AT_4, NO_CHANGE_AT_4]);
  const reachable: boolean[] = [];
  const handlers: StoreFollowerHandlers = {
    ...HANDLERS,
    onReachabilityChange: (isReachable: boolean) => void reachable.push(isReachable),
  };
  const follower = new StoreFollower(store, handlers, clock, new SeededRandom(1));
  void follower.run();
  for (let turn = 1; turn <= 20; turn += 1) {
    clock.markPromiseSettled();
    await clock.runUntil(turn * 100);
  }
  t.deepEqual(store.calls.slice(0, 3), ['list', 'watch 4', 'list']);
  t.deepEqual(reachable.slice(0, 3), [true, false, true]);
});

/**
 * Follows a store with a response time of `responseMs`; counts the listings and how often the store
 * became unreachable.
 */
async function followSlowStore(responseMs: number): Promise<{ listed: number; lost: number }> {
  const clock = new VirtualClock();
  const seen = { listed: 0, lost: 0 };
  const respond = (read: ScriptedResponse) => {
    clock.markPromiseSettled();
    return sleep(clock, responseMs).then(() => {
      clock.markPromiseSettled();
      return read;
    });
  };
  const store = {
    list: () => respond(READ_AT_4),
    watch: (_since: StorePosition, waitMs: number) =>
      sleep(clock, waitMs).then(() => respond(NO_CHANGE_AT_4)),
  } as unknown as ClusterStore;
  const handlers: StoreFollowerHandlers = {
    ...HANDLERS,
    onListing: () => void (seen.listed += 1),
    onListingAfterOutage: () => void (seen.listed += 1),
    onReachabilityChange: (isReachable: boolean) => void (seen.lost += isReachable ? 0 : 1),
    completeTo: () => positionAt(4),
  };
  void new StoreFollower(store, handlers, clock, new SeededRandom(1)).run();
  for (let turn = 1; turn <= 200; turn += 1) {
    clock.markPromiseSettled();
    await clock.runUntil(turn * 100);
  }
  return seen;
}

test('a slow store is followed, and counts as unreachable only until its response time is known', async (t) => {
  for (const responseMs of [100, 600]) {
    const { listed, lost } = await followSlowStore(responseMs);
    t.true(listed >= 1 && listed <= 8, `${listed} listings, response time ${responseMs} ms`);
    t.true(lost <= 2, `unreachable ${lost} times`);
  }
});

test('an idle follower makes no calls, and then watches from the position received from peers', async (t) => {
  const { calls } = await runIdleFollower([NO_CHANGE_AT_4], 5_000, 4);
  t.deepEqual(calls, ['watch 4', 'watch 4']);
  t.deepEqual((await runIdleFollower([NO_CHANGE_AT_4], 50_000, 4)).calls, []);
});

test('an idle follower with an empty replica starts with a listing', async (t) => {
  t.deepEqual((await runIdleFollower([READ_AT_4], 5_000, 0)).calls[0], 'list');
});

test('a follower that becomes active in an outage removes no records on its first listing', async (t) => {
  const { listings } = await runIdleFollower([FAILED, READ_AT_4], 5_000, 4);
  t.is(listings[0], 'after an outage');
});

/**
 * Runs a follower whose process learns epochs from its own reads, and the epoch of `peerReport`
 * from a peer.
 */
async function runWithEpochs(
  script: ScriptedResponse[],
  peerReport: { readonly epoch: number; readonly atMs: number } = { epoch: 0, atMs: 0 },
  forMs = 6_000,
  clock = new VirtualClock(),
  store = new ScriptedStore(clock, script),
) {
  const events: string[] = [];
  let known = { epoch: NO_EPOCH, sinceMs: -Infinity };
  const learnEpoch = (epoch: number) => {
    known = epoch > known.epoch ? { epoch, sinceMs: clock.now() } : known;
  };
  const record = (what: string) => (read: StoreRead) => {
    events.push(`${what} ${read.epoch}/${read.revision}`);
    learnEpoch(read.epoch);
  };
  const handlers: StoreFollowerHandlers = {
    ...HANDLERS,
    onListing: record('whole'),
    onListingAfterOutage: record('listing'),
    onChanges: record('changes'),
    knownEpoch: () => known,
    onEpochMismatch: (call: string, expectedEpoch: number, read: StorePosition) =>
      void events.push(`${call} of ${expectedEpoch} dropped ${read.epoch}/${read.revision}`),
  };
  void new StoreFollower(store, handlers, clock, new SeededRandom(1)).run();
  for (let turn = 1; turn * 100 <= forMs; turn += 1) {
    clock.markPromiseSettled();
    await clock.runUntil(turn * 100);
    if (turn * 100 === peerReport.atMs) {
      learnEpoch(peerReport.epoch);
    }
  }
  return { calls: store.calls, events };
}

const readAt = (revision: number, epoch: number) =>
  ok({
    records: [{ key: 'k', ...positionAt(revision, epoch), value: 'v' }],
    ...positionAt(revision, epoch),
  });

test('the follower discards a watch response of another epoch and lists again', async (t) => {
  const { calls, events } = await runWithEpochs([readAt(9, 1), readAt(4, 2), readAt(4, 2)]);
  t.deepEqual(calls, ['list', 'watch 9', 'list', 'watch 4']);
  t.deepEqual(events, ['listing 1/9', 'watch of 1 dropped 2/4', 'listing 2/4']);
});

test('the follower discards a listing of an earlier epoch and lists again', async (t) => {
  const { calls, events } = await runWithEpochs([
    readAt(4, 2),
    HISTORY_GONE,
    readAt(9, 1),
    readAt(5, 2),
  ]);
  t.deepEqual(calls, ['list', 'watch 4', 'list', 'list', 'watch 5']);
  t.deepEqual(events, ['listing 2/4', 'list of 2 dropped 1/9', 'listing 2/5']);
});

test('a follower that learns a new epoch from a peer lists, and discards the watch of the earlier epoch', async (t) => {
  const nothing = ok({ records: [], ...positionAt(9, 1) });
  const script = [readAt(9, 1), nothing, ...Array.from({ length: 9 }, () => readAt(4, 2))];
  const clock = new VirtualClock();
  const waiting = sleep(clock, 1_000);
  const store = new ScriptedStore(clock, script);
  const watch = store.watch.bind(store);
  store.watch = (since) => {
    const response = watch(since);
    return store.calls.length === 2 ? waiting.then(() => response) : response;
  };
  const { calls, events } = await runWithEpochs(
    script,
    { epoch: 2, atMs: 500 },
    3_000,
    clock,
    store,
  );
  t.deepEqual(calls.slice(0, 4), ['list', 'watch 9', 'list', 'watch 4']);
  t.deepEqual(events.slice(0, 3), ['listing 1/9', 'watch of 1 dropped 1/9', 'listing 2/4']);
});

test('the first full listing of an epoch comes after owners had time to write their records again', async (t) => {
  const { reannounceMs } = DEFAULT_STORE_FOLLOWER_OPTIONS;
  const script = [readAt(9, 1), ...Array.from({ length: 40 }, () => readAt(9, 1))];
  const before = await runWithEpochs(script, undefined, reannounceMs - 100);
  t.false(before.events.some((entry) => entry.startsWith('whole')));
  const after = await runWithEpochs(script, undefined, reannounceMs + 1_000);
  t.true(after.events.includes('whole 1/9'));
});
