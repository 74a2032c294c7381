import test from 'ava';
import { SlotAllocatorHarness } from './support/slot-allocator-harness.js';

test('no more slots are granted than the engine has', (t) => {
  const agent = new SlotAllocatorHarness();
  agent.admit(1);
  agent.demand(1, [0, 0, 0]);
  t.deepEqual(agent.grants(), [1, 1]);
  t.is(agent.allocator.occupied, 2);
});

test('a freed slot is granted to the lowest tier number, then to the longest wait', (t) => {
  const agent = new SlotAllocatorHarness();
  agent.admit(1, 1, 1);
  agent.admit(2, 0, 1);
  agent.admit(3, 0, 1);
  agent.demand(1, [2], 900);
  agent.demand(2, [1], 10);
  agent.demand(3, [1], 500);
  agent.receive(1, { kind: 'released' });
  agent.receive(3, { kind: 'released' });
  t.deepEqual(agent.grants(), [3, 2]);
});

test('grants in flight are matched to the first requests of a demand', (t) => {
  const agent = new SlotAllocatorHarness();
  agent.admit(1, 0, 1);
  agent.demand(1, [0]);
  agent.demand(1, [0], 0, 0);
  agent.receive(1, { kind: 'released' });
  t.deepEqual(agent.grants(), [1]);
});

test('slots of a disconnected gateway stay occupied until the engine reports fewer requests', (t) => {
  const agent = new SlotAllocatorHarness();
  agent.admit(1, 2);
  agent.allocator.disconnect(1, 0);
  agent.admit(2);
  agent.demand(2, [0]);
  t.true(agent.allocator.needsProbe(0));
  t.deepEqual(agent.grants(), []);
  agent.allocator.applyProbeResult({ kind: 'load', requests: 1 }, 1_000);
  t.deepEqual(agent.grants(), [2]);
});

test('a gateway that reconnects reclaims its slots', (t) => {
  const agent = new SlotAllocatorHarness();
  agent.admit(1, 2);
  agent.allocator.disconnect(1, 0);
  agent.admit(1, 2);
  t.is(agent.allocator.occupied, 2);
  t.false(agent.allocator.needsProbe(0));
});

test('a state message reports how many messages of the gateway its count includes', (t) => {
  const agent = new SlotAllocatorHarness();
  agent.admit(1);
  agent.receive(1, { kind: 'taken' });
  t.deepEqual(agent.sent.at(-1), [
    1,
    {
      kind: 'state',
      occupied: 1,
      messagesSeen: 1,
      speed: {},
      failureShare: 0,
      availability: 'open',
    },
  ]);
});

test('a gateway that connects gets the speed estimates of other gateways', (t) => {
  const agent = new SlotAllocatorHarness();
  agent.admit(1);
  agent.receive(1, { kind: 'speed', speed: { prefill: { baseMs: 5, msPerToken: 0.02 } } });
  agent.admit(2);
  const [to, message] = agent.sent.at(-1)!;
  t.is(to, 2);
  t.deepEqual(message.kind === 'state' ? message.speed : undefined, {
    prefill: { baseMs: 5, msPerToken: 0.02 },
  });
});

test('a gateway with an overdue grant gets no further grants until it answers', (t) => {
  const agent = new SlotAllocatorHarness();
  agent.admit(1, 0, 3);
  agent.admit(2, 0, 3);
  agent.receive(1, { kind: 'taken' }, 900);
  agent.receive(1, { kind: 'taken' }, 900);
  agent.demand(1, [0, 0], 900);
  t.deepEqual(agent.grants(), [1]);
  agent.receive(1, { kind: 'released' }, 1_050);
  agent.demand(2, [0], 10);
  t.deepEqual(agent.grants(), [1, 1]);
  agent.receive(2, { kind: 'taken' }, 1_130);
  agent.receive(2, { kind: 'released' }, 1_130);
  agent.receive(1, { kind: 'released' }, 1_140);
  t.deepEqual(agent.grants(), [1, 1, 2]);
});

test('a gateway without keepalives is considered lost', (t) => {
  const agent = new SlotAllocatorHarness();
  agent.admit(1, 0, 1);
  agent.demand(1, [0]);
  t.deepEqual(agent.allocator.findTimedOut(1_690), []);
  t.deepEqual(agent.allocator.findTimedOut(1_710), [1]);
});

test('a gateway that answers its grants and sends keepalives is not considered lost', (t) => {
  const agent = new SlotAllocatorHarness();
  agent.admit(1, 0, 1);
  agent.demand(1, [0]);
  agent.receive(1, { kind: 'grant-used' }, 1_010);
  for (const nowMs of [1_500, 2_000, 2_500]) {
    agent.receive(1, { kind: 'alive' }, nowMs);
    t.deepEqual(agent.allocator.findTimedOut(nowMs + 400), []);
  }
  t.deepEqual(agent.allocator.findTimedOut(3_300), [1]);
});

test('a gateway without slots and waiting requests needs no keepalives', (t) => {
  const agent = new SlotAllocatorHarness();
  agent.admit(1);
  t.deepEqual(agent.allocator.findTimedOut(60_000), []);
});

test('a returned grant frees its slot for another gateway', (t) => {
  const agent = new SlotAllocatorHarness();
  agent.admit(1, 0, 1);
  agent.admit(2, 0, 1);
  agent.demand(1, [0], 900);
  agent.demand(2, [0], 10);
  agent.receive(1, { kind: 'grant-returned' }, 1_010);
  t.deepEqual(agent.grants(), [1, 2]);
});

test('requests that a disconnected gateway still sends are counted from the engine status report', (t) => {
  const agent = new SlotAllocatorHarness();
  agent.admit(1, 1, 4);
  agent.admit(2, 1, 4);
  agent.allocator.disconnect(1, 0);
  agent.allocator.applyProbeResult({ kind: 'load', requests: 3 }, 100);
  t.is(agent.allocator.occupied, 3);
  agent.allocator.applyProbeResult({ kind: 'load', requests: 1 }, 200);
  t.is(agent.allocator.occupied, 1);
  t.is(agent.reconciled, 2);
  t.true(agent.allocator.needsProbe(5_000));
  t.false(agent.allocator.needsProbe(11_000));
});

function grantOrderOf(ranks: ReadonlyArray<[rankInTier: number, startInMs: number]>): number[] {
  const agent = new SlotAllocatorHarness();
  ranks.forEach((_rank, index) => agent.admit(index + 1, index === 0 ? 1 : 0, 1));
  ranks.forEach(([rankInTier, startInMs], index) => {
    const rank = { tier: 1, rankInTier, waitedMs: 10, startInMs };
    agent.receive(index + 1, { kind: 'demand', ranks: [rank], grantsSeen: 0 }, 1_000);
  });
  agent.receive(1, { kind: 'released' }, 1_000);
  return agent.grants();
}

test('a request of the next rank that is in time goes before a late one of a more urgent rank', (t) => {
  const [late, inTime] = [-100, 100];
  t.deepEqual(
    grantOrderOf([
      [0, late],
      [1, inTime],
    ]),
    [2],
  );
  t.deepEqual(
    grantOrderOf([
      [0, late],
      [2, inTime],
    ]),
    [1],
  );
});

test('a late request of the lower tier number goes before one in time of a higher number', (t) => {
  const agent = new SlotAllocatorHarness();
  agent.admit(1, 1, 1);
  agent.admit(2, 0, 1);
  const late = { tier: 0, rankInTier: 0, waitedMs: 900, startInMs: -100 };
  const inTime = { tier: 1, rankInTier: 0, waitedMs: 10, startInMs: 100 };
  agent.receive(1, { kind: 'demand', ranks: [late], grantsSeen: 0 }, 1_000);
  agent.receive(2, { kind: 'demand', ranks: [inTime], grantsSeen: 0 }, 1_000);
  agent.receive(1, { kind: 'released' }, 1_000);
  t.deepEqual(agent.grants(), [1]);
});

test('several changes are sent as one state message while many slots are free', (t) => {
  const agent = new SlotAllocatorHarness();
  agent.admit(1, 0, 8);
  agent.admit(2, 0, 8);
  agent.sent.length = 0;
  agent.receive(1, { kind: 'taken' });
  agent.receive(1, { kind: 'taken' });
  agent.receive(2, { kind: 'taken' });
  t.deepEqual(agent.sentCounts(), []);
  t.is(agent.scheduledUpdates, 1);
  agent.allocator.sendChanges(0);
  t.deepEqual(agent.sentCounts(), [
    [1, 3],
    [2, 3],
  ]);
});

test('every change is sent immediately if at most one slot is free', (t) => {
  const agent = new SlotAllocatorHarness();
  agent.admit(1, 0, 3);
  agent.receive(1, { kind: 'taken' });
  agent.sent.length = 0;
  agent.receive(1, { kind: 'taken' });
  t.deepEqual(agent.sentCounts(), [[1, 2]]);
  agent.receive(1, { kind: 'released' });
  t.deepEqual(agent.sentCounts().at(-1), [1, 1]);
});

test('a gateway that took and released a slot gets a state message that includes both', (t) => {
  const agent = new SlotAllocatorHarness();
  agent.admit(1, 0, 8);
  agent.admit(2, 0, 8);
  agent.sent.length = 0;
  agent.receive(1, { kind: 'taken' });
  agent.receive(1, { kind: 'released' });
  agent.allocator.sendChanges(0);
  t.deepEqual(agent.sentCounts(), [[1, 0]]);
});

test('failures seen by one gateway are sent to every gateway as a failure share', (t) => {
  const agent = new SlotAllocatorHarness();
  agent.admit(1, 4, 8);
  agent.admit(2, 0, 8);
  agent.receive(1, { kind: 'released', hasFailed: true });
  agent.receive(1, { kind: 'released', hasFailed: true });
  agent.receive(1, { kind: 'released', hasFailed: false });
  agent.receive(1, { kind: 'released' });
  agent.allocator.sendChanges(0);
  const shares = agent.sent.flatMap(([to, message]) =>
    message.kind === 'state' && to === 2 ? [message.failureShare] : [],
  );
  t.is(shares.at(-1), 2 / 7);
});

test('a failed request suspends grants until a probe succeeds', (t) => {
  const agent = new SlotAllocatorHarness();
  agent.admit(1, 1, 1);
  agent.demand(1, [0]);
  agent.receive(1, { kind: 'released', hasFailed: true });
  t.is(agent.probesRequested, 1);
  t.deepEqual(agent.grants(), []);
  agent.allocator.applyProbeResult({ kind: 'load', requests: 0 }, 10);
  t.deepEqual(agent.grants(), [1]);
});

test('gateways get a state message immediately when the engine crashes and when it is back', (t) => {
  const agent = new SlotAllocatorHarness();
  agent.admit(1, 1, 1);
  agent.demand(1, [0]);
  agent.receive(1, { kind: 'released', hasFailed: true });
  agent.allocator.applyProbeResult({ kind: 'closed' }, 10);
  t.is(agent.lastAvailability(), 'closed');
  t.true(agent.allocator.needsProbe(20));
  t.deepEqual(agent.grants(), []);
  agent.allocator.applyProbeResult({ kind: 'load', requests: 0 }, 70);
  t.is(agent.lastAvailability(), 'open');
  t.deepEqual(agent.grants(), [1]);
});

test('one probe without a response has no effect, two in succession close the engine', (t) => {
  const agent = new SlotAllocatorHarness();
  agent.admit(1, 1, 1);
  agent.allocator.applyProbeResult({ kind: 'silent' }, 10);
  t.is(agent.lastAvailability(), 'open');
  agent.allocator.applyProbeResult({ kind: 'silent' }, 70);
  t.is(agent.lastAvailability(), 'closed');
});

test('an engine that fails every request is closed despite its status report, then gets one trial request', (t) => {
  const agent = new SlotAllocatorHarness();
  agent.admit(1, 8, 8);
  agent.demand(1, [0, 0, 0]);
  for (let index = 0; index < 8; index += 1) {
    agent.receive(1, { kind: 'released', hasFailed: true }, 0);
  }
  agent.allocator.applyProbeResult({ kind: 'load', requests: 0 }, 10);
  t.deepEqual(agent.grants(), []);
  t.is(agent.lastAvailability(), 'closed');
  agent.allocator.applyProbeResult({ kind: 'load', requests: 0 }, 310);
  t.is(agent.lastAvailability(), 'trial');
  t.deepEqual(agent.grants(), [1]);
  agent.receive(1, { kind: 'grant-used' }, 320);
  agent.receive(1, { kind: 'released', hasFailed: true }, 330);
  t.is(agent.lastAvailability(), 'closed');
  agent.allocator.applyProbeResult({ kind: 'load', requests: 0 }, 900);
  t.is(agent.lastAvailability(), 'closed');
  agent.allocator.applyProbeResult({ kind: 'load', requests: 0 }, 940);
  agent.receive(1, { kind: 'grant-used' }, 950);
  agent.receive(1, { kind: 'released', hasFailed: false }, 990);
  t.is(agent.lastAvailability(), 'open');
});

test('an engine on trial reopens with the first event of a response', (t) => {
  const agent = new SlotAllocatorHarness();
  agent.admit(1, 8, 8);
  for (let index = 0; index < 8; index += 1) {
    agent.receive(1, { kind: 'released', hasFailed: true }, 0);
  }
  agent.allocator.applyProbeResult({ kind: 'load', requests: 0 }, 310);
  agent.receive(1, { kind: 'proven' }, 330);
  t.is(agent.lastAvailability(), 'open');
});

test('a slot is granted to the first request that restrictions permit at the backend', (t) => {
  const agent = new SlotAllocatorHarness();
  agent.restriction = (regions) =>
    regions === undefined || regions.has('here') ? undefined : 'outside-home';
  agent.admit(1);
  agent.admit(2);
  const rank = { tier: 0, rankInTier: 0, waitedMs: 0, startInMs: 1_000 };
  agent.receive(1, {
    kind: 'demand',
    ranks: [{ ...rank, allowedRegions: ['there'] }],
    grantsSeen: 0,
  });
  t.deepEqual(agent.grants(), []);
  agent.receive(2, { kind: 'demand', ranks: [{ ...rank, tier: 1 }], grantsSeen: 0 });
  t.deepEqual(agent.grants(), [2]);
});
