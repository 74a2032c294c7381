import test from 'ava';
import { SlotAllocatorHarness } from './support/slot-allocator-harness.js';

/** An agent whose only slot is taken, with a nearby gateway and one in another region. */
function agentOverRegions(): SlotAllocatorHarness {
  const agent = new SlotAllocatorHarness();
  agent.admitFrom(1, 'far', 1);
  agent.admitFrom(2, 'near', 1);
  agent.receive(2, { kind: 'taken' });
  return agent;
}

test('among requests of equal priority, a nearby gateway gets the slot before one in another region', (t) => {
  const agent = agentOverRegions();
  agent.demand(1, [1], 20);
  agent.demand(2, [1], 0);
  agent.receive(2, { kind: 'released' }, 1_000);
  t.deepEqual(agent.grants(), [2]);
});

test('a request from another region goes first if it has waited longer by more than the round trip cost', (t) => {
  const agent = agentOverRegions();
  agent.demand(1, [1], 30);
  agent.demand(2, [1], 0);
  agent.receive(2, { kind: 'released' }, 1_000);
  t.deepEqual(agent.grants(), [1]);
});

test('a request with a lower tier number goes first from any region', (t) => {
  const agent = agentOverRegions();
  agent.demand(1, [0], 0);
  agent.demand(2, [1], 500);
  agent.receive(2, { kind: 'released' }, 1_000);
  t.deepEqual(agent.grants(), [1]);
});

test('nearby gateways with a constant backlog do not starve one in another region', (t) => {
  const agent = agentOverRegions();
  const arrivedAtMs = new Map<number, number[]>([
    [1, []],
    [2, []],
  ]);
  const served = new Map([
    [1, 0],
    [2, 0],
  ]);
  let holderConnection = 2;
  // Each gateway gets a request every 10 ms, and one slot is free every 10 ms.
  for (let nowMs = 1_000; nowMs < 2_000; nowMs += 10) {
    for (const [connection, queue] of arrivedAtMs) {
      queue.push(nowMs);
      const ranks = queue.slice(0, 8).map((arrived) => {
        return { tier: 1, rankInTier: 0, waitedMs: nowMs - arrived, startInMs: 1_000 };
      });
      const demand = { kind: 'demand', ranks, grantsSeen: served.get(connection)! } as const;
      agent.receive(connection, demand, nowMs);
    }
    agent.receive(holderConnection, { kind: 'released' }, nowMs);
    holderConnection = agent.grants().at(-1)!;
    arrivedAtMs.get(holderConnection)!.shift();
    served.set(holderConnection, served.get(holderConnection)! + 1);
    agent.receive(holderConnection, { kind: 'grant-used' }, nowMs);
  }
  t.true(served.get(1)! >= 45, `${served.get(1)} of 100`);
  t.true(served.get(2)! >= 45);
});

test('the timeout for answering a grant includes the round trip to the gateway', (t) => {
  for (const [connection, zone] of [
    [1, 'far'],
    [2, 'near'],
  ] as const) {
    const agent = new SlotAllocatorHarness();
    agent.admitFrom(connection, zone, 2);
    agent.demand(connection, [1]);
    agent.demand(connection, [1], 0, 1);
    const before = agent.grants().length;
    agent.receive(connection, { kind: 'demand', ranks: [], grantsSeen: before }, 1_130);
    const ranks = [{ tier: 1, rankInTier: 0, waitedMs: 0, startInMs: 1_000 }];
    agent.receive(connection, { kind: 'released' }, 1_130);
    agent.receive(connection, { kind: 'demand', ranks, grantsSeen: before }, 1_130);
    t.is(agent.grants().length - before, zone === 'far' ? 1 : 0);
  }
});

test('a state message reports the round trip measured from answers to grants', (t) => {
  const agent = new SlotAllocatorHarness();
  agent.admitFrom(1, 'far', 2);
  agent.demand(1, [1]);
  agent.receive(1, { kind: 'grant-used' }, 1_010);
  agent.allocator.sendHeartbeat(0, 1_010);
  const reported = agent.sent.flatMap(([, message]) =>
    message.kind === 'state' && message.roundTripMs !== undefined ? [message.roundTripMs] : [],
  );
  t.deepEqual(reported, [13]);
});
