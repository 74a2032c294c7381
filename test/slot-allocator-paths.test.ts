import test from 'ava';
import { SlotAllocatorHarness } from './support/slot-allocator-harness.js';

test('missing responses at one gateway only cause probes, and neither stop grants nor count as failures', (t) => {
  const agent = new SlotAllocatorHarness();
  agent.admit(1, 8, 8);
  agent.admit(2, 0, 8);
  for (let index = 0; index < 8; index += 1) {
    agent.receive(1, { kind: 'released', isSilent: true }, 0);
  }
  agent.demand(2, [0]);
  t.deepEqual(agent.grants(), [2]);
  t.is(agent.lastAvailability(), 'open');
  t.is(agent.lastFailureShare(), 0);
  t.is(agent.probesRequested, 8);
  t.true(agent.allocator.needsProbe(0));
  agent.allocator.applyProbeResult({ kind: 'load', requests: 0 }, 10);
  t.false(agent.allocator.needsProbe(10));
});

test('missing responses at two gateways with no response in between count as an engine failure', (t) => {
  const agent = new SlotAllocatorHarness();
  agent.admit(1, 2, 8);
  agent.admit(2, 2, 8);
  agent.receive(1, { kind: 'released', isSilent: true }, 0);
  agent.receive(2, { kind: 'released', isSilent: true }, 100);
  agent.demand(2, [0]);
  t.deepEqual(agent.grants(), []);
});

test('a response to any gateway clears earlier reports of missing responses', (t) => {
  const agent = new SlotAllocatorHarness();
  agent.admit(1, 2, 8);
  agent.admit(2, 2, 8);
  agent.receive(1, { kind: 'released', isSilent: true }, 0);
  agent.receive(2, { kind: 'released', hasFailed: false }, 50);
  agent.receive(2, { kind: 'released', isSilent: true }, 100);
  agent.demand(2, [0]);
  t.deepEqual(agent.grants(), [2]);
});

test('an expired report of a missing response does not count', (t) => {
  const agent = new SlotAllocatorHarness();
  agent.admit(1, 2, 8);
  agent.admit(2, 2, 8);
  agent.receive(1, { kind: 'released', isSilent: true }, 0);
  agent.receive(2, { kind: 'released', isSilent: true }, 3_100);
  agent.demand(2, [0]);
  t.deepEqual(agent.grants(), [2]);
});

test('a trial request without a response keeps the engine closed', (t) => {
  const agent = new SlotAllocatorHarness();
  agent.admit(1, 8, 8);
  for (let index = 0; index < 8; index += 1) {
    agent.receive(1, { kind: 'released', hasFailed: true }, 0);
  }
  agent.allocator.applyProbeResult({ kind: 'load', requests: 0 }, 310);
  agent.receive(1, { kind: 'released', isSilent: true }, 330);
  t.is(agent.lastAvailability(), 'closed');
});

test('a process that reports no start time is not given that of the process before it', (t) => {
  const agent = new SlotAllocatorHarness();
  agent.admit(1);
  agent.allocator.applyProbeResult({ kind: 'load', requests: 0, bornAtMs: 5 }, 10);
  agent.allocator.applyProbeResult({ kind: 'closed' }, 20);
  agent.allocator.applyProbeResult({ kind: 'load', requests: 0 }, 30);
  const states = agent.sent.flatMap(([, message]) => (message.kind === 'state' ? [message] : []));
  t.true(states.some(({ bornAtMs }) => bornAtMs === 5));
  t.deepEqual([states.at(-1)!.availability, states.at(-1)!.bornAtMs], ['open', undefined]);
});
