/** The record of crashing requests in a store that is restored from a backup. */
import test from 'ava';
import { StoreConflictError } from '../src/cluster/cluster-store.js';
import { isNoPosition, isSamePosition, NO_POSITION } from '../src/cluster/store-position.js';
import type { StorePosition } from '../src/cluster/store-position.js';
import { DEFAULT_CRASH_RECORD_OPTIONS } from '../src/gateway/crashes/crash-record.js';
import { decodeCrashRecord } from '../src/gateway/crashes/crash-record-format.js';
import type { FingerprintCrashes } from '../src/gateway/crashes/crash-tally.js';
import { promptPartFingerprint } from '../src/gateway/crashes/prompt-part-fingerprint.js';
import type { BackendDirectory } from '../src/gateway/dispatch/backend-directory.js';
import { GatewayCrashes } from '../src/gateway/gateway-crashes.js';
import type { GatewayCrashesDependencies } from '../src/gateway/gateway-crashes.js';
import { err, ok } from '../src/result.js';
import type { DecisionLog } from '../src/telemetry/decision-log.js';
import { VirtualClock } from '../src/sim/virtual-clock.js';
import { positionAt } from './support/store-positions.js';

const REQUEST: FingerprintCrashes = { fingerprint: 'request', crashes: 3, clearances: 0 };
const OTHER: FingerprintCrashes = { fingerprint: 'other', crashes: 3, clearances: 0 };
const PART: FingerprintCrashes = {
  fingerprint: promptPartFingerprint('engines', 'part'),
  crashes: 4,
  clearances: 0,
  endedBackends: ['a', 'b', 'c', 'd'],
};
const TALLIES = [REQUEST, PART];

/** The stored record, in a store that can be restored, and the gateways that follow it. */
class RestorableStore {
  readonly clock = new VirtualClock();
  readonly gateways: GatewayCrashes[];
  writes = 0;
  private position: StorePosition = positionAt(10, 1);
  private delivered: StorePosition = NO_POSITION;
  private text: string | undefined;
  private backup: string | undefined;

  constructor(gateways: number) {
    this.gateways = Array.from({ length: gateways }, () => this.createGateway());
  }

  /** Returns the same store, read by one gateway that has just started. */
  withNewGateways(): this {
    this.gateways.splice(0, this.gateways.length, this.createGateway());
    this.delivered = NO_POSITION;
    this.deliver();
    return this;
  }

  backUp(): void {
    this.backup = this.text;
  }

  /** Restores the backup under a new epoch, in which revisions start again. */
  restore(): void {
    this.position = positionAt(5, this.position.epoch + 1);
    this.text = this.backup;
    this.deliver();
  }

  removeAsOperator(): void {
    this.text = undefined;
    this.advance();
    this.deliver();
  }

  /** Delivers what has changed since the last delivery. */
  deliver(): void {
    if (isSamePosition(this.delivered, this.position)) {
      return;
    }
    this.delivered = this.position;
    const record = decodeCrashRecord(this.text, this.position);
    this.gateways.forEach((gateway) => gateway.applyRecord(record));
  }

  stored(): string[] {
    const { requests } = decodeCrashRecord(this.text, this.position);
    return (requests ?? []).map(({ fingerprint }) => fingerprint).sort();
  }

  async run(): Promise<void> {
    for (let turn = 0; turn < 10; turn += 1) {
      await this.clock.runUntil(this.clock.now() + 500);
      this.deliver();
    }
  }

  private advance(): void {
    this.position = positionAt(this.position.revision + 1, this.position.epoch);
  }

  private write(text: string, expected: StorePosition) {
    this.writes += 1;
    const isNew = this.text === undefined;
    const current = isNew ? positionAt(0, this.position.epoch) : this.position;
    const isFirst = isNew && isNoPosition(expected);
    if (!isFirst && !isSamePosition(expected, current)) {
      return err(new StoreConflictError('changed'));
    }
    this.text = text;
    this.advance();
    return ok(this.position);
  }

  private createGateway(): GatewayCrashes {
    const dependencies: Omit<GatewayCrashesDependencies, 'directory' | 'metrics'> = {
      adapter: {
        writeOwnRecord: (_name, text, expected) => Promise.resolve(this.write(text, expected)),
      },
      clock: this.clock,
      log: { write: () => undefined } as unknown as DecisionLog,
      ownAddress: 'self',
      peerAddresses: () => [],
      broadcastToPeers: () => undefined,
      refuseWaiting: () => undefined,
      storeAgeMs: () => 0,
      openRequests: () => ({ handleBackendEnded: () => undefined }),
    };
    const directory = { find: () => undefined } as unknown as BackendDirectory;
    return new GatewayCrashes({ ...dependencies, directory } as GatewayCrashesDependencies);
  }
}

/** Returns for each gateway which of the tallies it refuses. */
function refusedAt({ gateways }: RestorableStore, tallies = TALLIES): boolean[][] {
  return gateways.map(({ requests }) =>
    tallies.map(({ fingerprint }) => requests.isFingerprintRefused(fingerprint)),
  );
}

/** Returns a store that holds the tallies, which its gateways know; its backup has `backedUp`. */
async function storeWith(
  tallies: readonly FingerprintCrashes[],
  backedUp: readonly FingerprintCrashes[] = [],
) {
  const store = new RestorableStore(2);
  for (const each of [backedUp, tallies]) {
    store.backUp();
    store.gateways[0]!.requests.mergeTallies(each, 'own');
    store.gateways[1]!.requests.mergeTallies(each, 'peer');
    await store.run();
  }
  return store;
}

test('tallies that a restored store lacks stay and are written again', async (t) => {
  const store = await storeWith(TALLIES);
  t.is(store.stored().length, 2);
  store.restore();
  t.deepEqual(refusedAt(store), [
    [true, true],
    [true, true],
  ]);
  await store.run();
  t.deepEqual(store.stored(), TALLIES.map(({ fingerprint }) => fingerprint).sort());
  t.deepEqual(refusedAt(store), [
    [true, true],
    [true, true],
  ]);
});

test('tallies stay when a store is restored several times', async (t) => {
  const store = await storeWith(TALLIES);
  for (let restores = 0; restores < 3; restores += 1) {
    store.restore();
  }
  await store.run();
  store.restore();
  await store.run();
  t.is(store.stored().length, 2);
  t.deepEqual(refusedAt(store), [
    [true, true],
    [true, true],
  ]);
});

test('tallies that an older record of a restored store lacks are written again', async (t) => {
  const store = await storeWith([REQUEST, PART], [OTHER]);
  t.is(store.stored().length, 3);
  store.restore();
  await store.run();
  t.is(store.stored().length, 3);
});

test('a gateway that starts after the restore learns the tallies that were written again', async (t) => {
  const store = await storeWith(TALLIES);
  store.restore();
  await store.run();
  t.deepEqual(refusedAt(store.withNewGateways()), [[true, true]]);
});

test('an operator clears all tallies by removing the record, before and after a restore', async (t) => {
  for (const restores of [0, 1]) {
    const store = await storeWith(TALLIES);
    if (restores > 0) {
      store.restore();
      await store.run();
    }
    store.removeAsOperator();
    await store.run();
    t.deepEqual(refusedAt(store), [
      [false, false],
      [false, false],
    ]);
    t.deepEqual(store.stored(), []);
  }
});

test('a record that is lost without tallies worth storing causes no write', async (t) => {
  const store = await storeWith([{ fingerprint: 'once', crashes: 1, clearances: 0 }]);
  store.restore();
  await store.run();
  t.is(store.writes, 0);
});

test('tallies that exceed the size of the record are not written over and over', async (t) => {
  const { maxRequests } = DEFAULT_CRASH_RECORD_OPTIONS;
  const tallies = Array.from({ length: maxRequests }, (_, index) => ({
    ...REQUEST,
    fingerprint: `r${index}`,
  }));
  const store = await storeWith(tallies, [OTHER]);
  const before = store.writes;
  store.restore();
  await store.run();
  t.is(store.stored().length, maxRequests);
  t.true(store.writes - before <= 4, `${store.writes - before} writes`);
});
