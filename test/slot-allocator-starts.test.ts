import test from 'ava';
import { coldStartBound } from '../src/routing/cold-start.js';
import { SlotAllocatorHarness } from './support/slot-allocator-harness.js';

const BOUND = coldStartBound(
  { coldStartMs: 3_000, coldRequestsPerS: 3, isEngine: true },
  { coldOver: 1.5, coldSlack: 5 },
)!;

/** Harness with start rules and one gateway. */
function boundedAgent(isCold: boolean): SlotAllocatorHarness {
  const agent = new SlotAllocatorHarness();
  agent.rules = { bound: BOUND, isCold };
  agent.admit(1, 0, 20);
  return agent;
}

function sendDemand(agent: SlotAllocatorHarness, count: number, nowMs: number): void {
  const rank = { tier: 0, rankInTier: 0, waitedMs: 0, startInMs: 1_000 };
  const ranks = Array.from({ length: count }, () => rank);
  const grantsSeen = agent.grants().length;
  agent.receive(1, { kind: 'demand', ranks, grantsSeen, atMs: nowMs }, nowMs);
}

test('a restarted agent of a cold engine grants nothing until earlier grants have left the window', (t) => {
  const agent = boundedAgent(true);
  sendDemand(agent, 5, 100);
  t.deepEqual(agent.grants(), []);
  agent.allocator.resumeGrants(100 + agent.startDelayMs);
  t.is(agent.grants().length, BOUND.granted);
});

test('a cold engine gets at most its granted starts per second, and unanswered grants count', (t) => {
  const agent = boundedAgent(true);
  sendDemand(agent, 8, 2_000);
  t.is(agent.grants().length, 3);
  agent.receive(1, { kind: 'grant-used' }, 2_010);
  agent.receive(1, { kind: 'grant-returned' }, 2_020);
  t.is(agent.grants().length, 4, 'a returned grant is no start');
  for (let index = 0; index < 2; index += 1) {
    agent.receive(1, { kind: 'grant-used' }, 2_500);
  }
  agent.allocator.resumeGrants(3_025);
  t.is(agent.grants().length, 4);
  agent.allocator.resumeGrants(3_031);
  t.is(agent.grants().length, 5, 'the first was used at 2,010');
  agent.receive(1, { kind: 'grant-used' }, 3_040);
  agent.allocator.resumeGrants(3_515);
  t.is(agent.grants().length, 5, 'two were granted at 2,000 and used at 2,500');
  agent.allocator.resumeGrants(3_525);
  t.is(agent.grants().length, 7);
});

test('gateways get a state message immediately when the engine becomes cold or warm', (t) => {
  const agent = boundedAgent(true);
  t.is(agent.lastGrantsOnly(), 'cold');
  agent.rules = { bound: BOUND, isCold: false };
  agent.allocator.resumeGrants(2_000);
  t.is(agent.lastGrantsOnly(), undefined);
  for (let index = 0; index < BOUND.taken; index += 1) {
    agent.receive(1, { kind: 'taken' }, 2_000);
  }
  t.is(agent.lastGrantsOnly(), 'busy');
  sendDemand(agent, 8, 2_000);
  t.is(agent.grants().length, BOUND.warm - BOUND.taken);
  agent.allocator.sendHeartbeat(300, 4_000);
  t.is(agent.lastGrantsOnly(), undefined);
});

test('a grant carries the latest clock reading of its gateway', (t) => {
  const agent = boundedAgent(false);
  sendDemand(agent, 1, 2_000);
  t.deepEqual(agent.sent.at(-1), [1, { kind: 'granted', heardAtMs: 2_000 }]);
  agent.receive(1, { kind: 'grant-used' }, 2_010);
  sendDemand(agent, 30, 2_020);
  agent.receive(1, { kind: 'alive', atMs: 2_100 }, 2_101);
  agent.receive(1, { kind: 'grant-returned' }, 2_102);
  t.deepEqual(agent.sent.at(-1), [1, { kind: 'granted', heardAtMs: 2_100 }]);
});

test('the start limit of a warm engine is suspended while demand exceeds it, and applies again later', (t) => {
  const agent = boundedAgent(false);
  const serve = (count: number, nowMs: number) => {
    sendDemand(agent, count, nowMs);
    while (agent.allocator.describe(1)!.held > 0) {
      agent.receive(1, { kind: 'grant-used' }, nowMs);
      agent.receive(1, { kind: 'released' }, nowMs);
    }
  };
  serve(20, 2_000);
  t.is(agent.grants().length, BOUND.warm);
  agent.allocator.resumeGrants(2_900);
  t.is(agent.grants().length, BOUND.warm);
  serve(20, 3_010);
  t.is(agent.grants().length, BOUND.warm + 20, 'the limit delayed requests for a second');
  agent.allocator.sendHeartbeat(300, 3_300);
  t.is(agent.lastGrantsOnly(), undefined);
  serve(20, 20_000);
  t.is(agent.grants().length, 2 * BOUND.warm + 20);
  t.is(agent.lastGrantsOnly(), 'busy');
  agent.rules = { bound: BOUND, isCold: true };
  agent.allocator.resumeGrants(20_100);
  t.is(agent.lastGrantsOnly(), 'cold');
});

test('a restarted agent grants slots of a warm engine immediately', (t) => {
  const agent = boundedAgent(false);
  sendDemand(agent, 5, 100);
  t.is(agent.grants().length, 5);
});
