import test from 'ava';
import { SlotLedger } from '../src/slot-agent/slot-ledger.js';
import type { AgentToGateway, SlotMessage } from '../src/slot-agent/slot-messages.js';

class Agent {
  readonly sent: Array<[number, AgentToGateway]> = [];
  readonly ledger = new SlotLedger((connection, message) => this.sent.push([connection, message]));

  admit(connection: number, held = 0, slots = 2): void {
    this.hear(connection, {
      kind: 'hello',
      gateway: `g${connection}`,
      peersAddress: '',
      held,
      slots,
    });
  }

  hear(connection: number, message: SlotMessage, nowMs = 0): void {
    this.ledger.receive(connection, message, nowMs);
  }

  demand(connection: number, tiers: number[], waitedMs = 0, grantsSeen = 0): void {
    const ranks = tiers.map((tier) => ({ tier, rankInTier: 0, waitedMs, startInMs: 1_000 }));
    this.hear(connection, { kind: 'demand', ranks, grantsSeen }, 1_000);
  }

  grants(): number[] {
    return this.sent.flatMap(([to, message]) => (message.kind === 'granted' ? [to] : []));
  }
}

test('no more slots are granted than there are', (t) => {
  const agent = new Agent();
  agent.admit(1);
  agent.demand(1, [0, 0, 0]);
  t.deepEqual(agent.grants(), [1, 1]);
  t.is(agent.ledger.occupied, 2);
});

test('a freed slot goes to the lowest tier number, then to the longest wait', (t) => {
  const agent = new Agent();
  agent.admit(1, 1, 1);
  agent.admit(2, 0, 1);
  agent.admit(3, 0, 1);
  agent.demand(1, [2], 900);
  agent.demand(2, [1], 10);
  agent.demand(3, [1], 500);
  agent.hear(1, { kind: 'released' });
  agent.hear(3, { kind: 'released' });
  t.deepEqual(agent.grants(), [3, 2]);
});

test('grants under way answer the first requests of a demand', (t) => {
  const agent = new Agent();
  agent.admit(1, 0, 1);
  agent.demand(1, [0]);
  agent.demand(1, [0], 0, 0);
  agent.hear(1, { kind: 'released' });
  t.deepEqual(agent.grants(), [1]);
});

test('slots of a gateway that is gone stay occupied until the engine reports less', (t) => {
  const agent = new Agent();
  agent.admit(1, 2);
  agent.ledger.disconnect(1);
  agent.admit(2);
  agent.demand(2, [0]);
  t.true(agent.ledger.needsReport);
  t.deepEqual(agent.grants(), []);
  agent.ledger.reconcile(1, 1_000);
  t.deepEqual(agent.grants(), [2]);
});

test('a gateway that connects again takes its slots over', (t) => {
  const agent = new Agent();
  agent.admit(1, 2);
  agent.ledger.disconnect(1);
  agent.admit(1, 2);
  t.is(agent.ledger.occupied, 2);
  t.false(agent.ledger.needsReport);
});

test('gateways are told how many of their messages a count reflects', (t) => {
  const agent = new Agent();
  agent.admit(1);
  agent.hear(1, { kind: 'taken' });
  t.deepEqual(agent.sent.at(-1), [1, { kind: 'state', occupied: 1, messagesSeen: 1, speed: {} }]);
});

test('a gateway that connects is told what others learned of the engine', (t) => {
  const agent = new Agent();
  agent.admit(1);
  agent.hear(1, { kind: 'speed', speed: { prefillMsPerToken: 0.02 } });
  agent.admit(2);
  const [to, message] = agent.sent.at(-1)!;
  t.is(to, 2);
  t.deepEqual(message.kind === 'state' ? message.speed : undefined, { prefillMsPerToken: 0.02 });
});
