import test from 'ava';
import type { Backend } from '../src/routing/backend.js';
import type { Service } from '../src/routing/configuration.js';
import { EngineColdness } from '../src/slot-agent/engine-coldness.js';
import { backendOf } from './support/gateway.js';

const COLD_MS = 3_000;
const SERVICE: Service = {
  name: 's',
  maxConnections: 10,
  isEngine: true,
  tokensPerEvent: 1,
  coldStartMs: COLD_MS,
  coldRequestsPerS: 14,
};

class Records {
  service: Service | undefined = SERVICE;
  backend: Backend | undefined;
  zoneReturnedAtMs: number | undefined;
}

function agentAt(startedAtMs: number): { records: Records; coldness: EngineColdness } {
  const records = new Records();
  const limits = { coldOver: 1.5, coldSlack: 5 };
  return { records, coldness: new EngineColdness(() => records, limits, startedAtMs) };
}

test('an agent that has just started takes its engine for cold', (t) => {
  const { coldness } = agentAt(100);
  t.is(coldness.coldness(3_099)?.reason, 'not-known');
  t.true(coldness.rules(3_099)?.isCold);
  t.false(coldness.rules(3_100)?.isCold);
});

test('an engine that was gone, or whose zone is in use again, is taken for cold', (t) => {
  const { records, coldness } = agentAt(0);
  coldness.noteGone(false, 9_000);
  coldness.noteGone(true, 10_000);
  t.is(coldness.coldness(10_000), undefined);
  coldness.noteGone(false, 11_000);
  t.is(coldness.coldness(13_999)?.reason, 'was-gone');
  t.is(coldness.coldness(14_000), undefined);
  records.zoneReturnedAtMs = 20_000;
  t.is(coldness.coldness(22_999)?.reason, 'zone-returned');
  t.is(coldness.coldness(23_000), undefined);
});

test('a new incarnation is cold until its announcement says that it no longer is', (t) => {
  const { records, coldness } = agentAt(0);
  records.backend = backendOf('first', { revision: 5 });
  coldness.noteRecords(10_000);
  records.backend = backendOf('second', { revision: 6, remainingColdMs: 2_500 });
  coldness.noteRecords(20_000);
  coldness.noteRecords(20_500);
  t.is(coldness.coldness(22_999)?.reason, 'new-incarnation');
  t.is(coldness.position?.revision, 6);
  records.backend = backendOf('second', { revision: 7 });
  coldness.noteRecords(21_000);
  t.is(coldness.coldness(21_000), undefined);
});

test('a gateway whose replica is ahead tells the agent, and one that has just connected names the bound', (t) => {
  const { records, coldness } = agentAt(0);
  records.service = undefined;
  t.is(coldness.rules(0), undefined);
  coldness.noteService({ coldStartMs: COLD_MS, coldRequestsPerS: 14 });
  t.is(coldness.rules(10_000)?.bound.total, 26);
  coldness.noteTold(undefined, 10_000);
  t.false(coldness.rules(10_000)?.isCold);
  coldness.noteTold(700, 10_000);
  t.true(coldness.rules(10_699)?.isCold);
  t.false(coldness.rules(10_700)?.isCold);
});

test('a service without slow starts has no rules', (t) => {
  const { records, coldness } = agentAt(0);
  records.service = { ...SERVICE, coldRequestsPerS: 0 };
  coldness.noteService({ coldStartMs: COLD_MS, coldRequestsPerS: 14 });
  t.is(coldness.rules(0), undefined);
});

test('the first announcement that an agent finds is trusted, also where it says that the engine is warm', (t) => {
  const { records, coldness } = agentAt(0);
  records.backend = backendOf('a', { revision: 5 });
  coldness.noteRecords(100);
  t.is(coldness.coldness(100), undefined);
  const cold = agentAt(0);
  cold.records.backend = backendOf('a', { revision: 5, remainingColdMs: 2_500 });
  cold.coldness.noteRecords(100);
  t.is(cold.coldness.coldness(2_599)?.reason, 'announced');
  const gone = agentAt(0);
  gone.coldness.noteGone(true, 50);
  gone.coldness.noteGone(false, 80);
  gone.records.backend = backendOf('a', { revision: 5 });
  gone.coldness.noteRecords(100);
  t.is(gone.coldness.coldness(3_079)?.reason, 'was-gone');
});
