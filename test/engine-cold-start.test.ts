import test from 'ava';
import type { Backend } from '../src/routing/backend.js';
import type { Service } from '../src/routing/configuration.js';
import { EngineColdStart } from '../src/slot-agent/engine-cold-start.js';
import { backendOf } from './support/gateway-harness.js';

const COLD_MS = 3_000;
const SERVICE: Service = {
  name: 's',
  maxConnections: 10,
  isEngine: true,
  tokensPerEvent: 1,
  coldStartMs: COLD_MS,
  coldRequestsPerS: 14,
};

const DEMAND = { kind: 'demand', ranks: [], grantsSeen: 0 } as const;

class FakeRecords {
  service: Service | undefined = SERVICE;
  backend: Backend | undefined;
  zoneReturnedAtMs: number | undefined;
}

function coldStartAt(startedAtMs: number): { records: FakeRecords; coldStart: EngineColdStart } {
  const records = new FakeRecords();
  const limits = { coldOver: 1.5, coldSlack: 5 };
  return { records, coldStart: new EngineColdStart(() => records, limits, startedAtMs) };
}

test('an agent considers its engine cold for coldStartMs after its own start', (t) => {
  const { coldStart } = coldStartAt(100);
  t.is(coldStart.coldState(3_099)?.reason, 'not-known');
  t.true(coldStart.startRules(3_099)?.isCold);
  t.false(coldStart.startRules(3_100)?.isCold);
});

test('an engine is considered cold after it was unreachable and after the evacuation of its zone ended', (t) => {
  const { records, coldStart } = coldStartAt(0);
  coldStart.setUnreachable(false, 9_000);
  coldStart.setUnreachable(true, 10_000);
  t.is(coldStart.coldState(10_000), undefined);
  coldStart.setUnreachable(false, 11_000);
  t.is(coldStart.coldState(13_999)?.reason, 'was-gone');
  t.is(coldStart.coldState(14_000), undefined);
  records.zoneReturnedAtMs = 20_000;
  t.is(coldStart.coldState(22_999)?.reason, 'zone-returned');
  t.is(coldStart.coldState(23_000), undefined);
});

test('a new incarnation is cold until an announcement without remaining cold time', (t) => {
  const { records, coldStart } = coldStartAt(0);
  records.backend = backendOf('first', { revision: 5 });
  coldStart.updateFromRecords(10_000);
  records.backend = backendOf('second', { revision: 6, remainingColdMs: 2_500 });
  coldStart.updateFromRecords(20_000);
  coldStart.updateFromRecords(20_500);
  t.is(coldStart.coldState(22_999)?.reason, 'new-incarnation');
  t.is(coldStart.announcementPosition?.revision, 6);
  records.backend = backendOf('second', { revision: 7 });
  coldStart.updateFromRecords(21_000);
  t.is(coldStart.coldState(21_000), undefined);
});

test('without own records, an agent uses the bound from a hello and the cold time from a demand', (t) => {
  const { records, coldStart } = coldStartAt(0);
  records.service = undefined;
  t.is(coldStart.startRules(0), undefined);
  coldStart.applyHello({ coldStartMs: COLD_MS, coldRequestsPerS: 14 });
  t.is(coldStart.startRules(10_000)?.bound.total, 26);
  coldStart.applyDemand(DEMAND, 10_000);
  t.false(coldStart.startRules(10_000)?.isCold);
  coldStart.applyDemand({ ...DEMAND, coldMs: 700 }, 10_000);
  t.true(coldStart.startRules(10_699)?.isCold);
  t.false(coldStart.startRules(10_700)?.isCold);
});

test('a service without a cold-start rate has no start rules', (t) => {
  const { records, coldStart } = coldStartAt(0);
  records.service = { ...SERVICE, coldRequestsPerS: 0 };
  coldStart.applyHello({ coldStartMs: COLD_MS, coldRequestsPerS: 14 });
  t.is(coldStart.startRules(0), undefined);
});

test('the first announcement ends the initial cold period, but not one after the engine was unreachable', (t) => {
  const { records, coldStart } = coldStartAt(0);
  records.backend = backendOf('a', { revision: 5 });
  coldStart.updateFromRecords(100);
  t.is(coldStart.coldState(100), undefined);
  const cold = coldStartAt(0);
  cold.records.backend = backendOf('a', { revision: 5, remainingColdMs: 2_500 });
  cold.coldStart.updateFromRecords(100);
  t.is(cold.coldStart.coldState(2_599)?.reason, 'announced');
  const gone = coldStartAt(0);
  gone.coldStart.setUnreachable(true, 50);
  gone.coldStart.setUnreachable(false, 80);
  gone.records.backend = backendOf('a', { revision: 5 });
  gone.coldStart.updateFromRecords(100);
  t.is(gone.coldStart.coldState(3_079)?.reason, 'was-gone');
});

test('an agent counts each announcement once, from its own replica or the first gateway that read it', (t) => {
  const { records, coldStart } = coldStartAt(0);
  const report = (revision: number, nowMs: number, epoch = 1) => {
    const announcedCold = { epoch, revision, remainingMs: 1_000 };
    coldStart.applyDemand({ ...DEMAND, announcedCold }, nowMs);
  };
  report(5, 10_000);
  t.deepEqual(coldStart.startRules(10_999)?.countedAnnouncement, { epoch: 1, revision: 5 });
  t.true(coldStart.startRules(10_999)?.isCold);
  report(5, 10_900);
  report(4, 10_900);
  t.false(coldStart.startRules(11_000)?.isCold);
  report(6, 12_000);
  t.true(coldStart.startRules(12_999)?.isCold, 'a later announcement counts');
  records.backend = backendOf('a', { epoch: 1, revision: 8 });
  coldStart.updateFromRecords(14_000);
  report(7, 14_000);
  t.false(coldStart.startRules(14_000)?.isCold, 'the own replica is ahead');
  report(1, 15_000, 2);
  t.true(coldStart.startRules(15_999)?.isCold, 'the store was restored and reuses revisions');
});

test('an engine is considered cold after a record under another name at its address, and after its own next one', (t) => {
  const { records, coldStart } = coldStartAt(0);
  const own = backendOf('w', { revision: 5 });
  records.backend = own;
  coldStart.updateFromRecords(10_000);
  t.is(coldStart.coldState(10_000), undefined);
  records.backend = backendOf('x', { revision: 6 });
  coldStart.updateFromRecords(20_000);
  t.is(coldStart.coldState(22_999)?.reason, 'new-incarnation');
  t.is(coldStart.coldState(23_000), undefined);
  records.backend = { ...own, revision: 7 };
  coldStart.updateFromRecords(30_000);
  t.is(coldStart.coldState(32_999)?.reason, 'new-incarnation');
  t.is(coldStart.coldState(33_000), undefined);
});

test('an engine that was silent and is the same process does not count as cold', (t) => {
  const { coldStart } = coldStartAt(0);
  coldStart.setUnreachable(true, 10_000, 5);
  coldStart.setUnreachable(false, 11_500, 5);
  t.is(coldStart.coldState(11_501), undefined);
  coldStart.setUnreachable(true, 12_000, 5);
  coldStart.setUnreachable(false, 13_500, 6);
  t.is(coldStart.coldState(13_501)?.reason, 'was-gone');
});

test('an engine whose port was closed while it was unreachable counts as cold', (t) => {
  const { coldStart } = coldStartAt(0);
  coldStart.setUnreachable(true, 10_000, 5);
  coldStart.setUnreachable(true, 10_500);
  coldStart.setUnreachable(true, 11_000, 5);
  coldStart.setUnreachable(false, 11_500, 5);
  t.is(coldStart.coldState(11_501)?.reason, 'was-gone');
});
