import test from 'ava';
import { Agent } from './support/played-agent.js';

test('silence that one gateway meets neither stops grants nor counts for others, and asks for a look', (t) => {
  const agent = new Agent();
  agent.admit(1, 8, 8);
  agent.admit(2, 0, 8);
  for (let index = 0; index < 8; index += 1) {
    agent.hear(1, { kind: 'released', isSilent: true }, 0);
  }
  agent.demand(2, [0]);
  t.deepEqual(agent.grants(), [2]);
  t.is(agent.toldAvailability(), 'open');
  t.is(agent.toldFailureShare(), 0);
  t.is(agent.looksWanted, 8);
  t.true(agent.ledger.needsReport(0));
  agent.ledger.takeReading({ kind: 'load', requests: 0 }, 10);
  t.false(agent.ledger.needsReport(10));
});

test('silence that two gateways meet with no answer between is a failure of the engine', (t) => {
  const agent = new Agent();
  agent.admit(1, 2, 8);
  agent.admit(2, 2, 8);
  agent.hear(1, { kind: 'released', isSilent: true }, 0);
  agent.hear(2, { kind: 'released', isSilent: true }, 100);
  agent.demand(2, [0]);
  t.deepEqual(agent.grants(), []);
});

test('an answer to any gateway between two words of silence clears the engine', (t) => {
  const agent = new Agent();
  agent.admit(1, 2, 8);
  agent.admit(2, 2, 8);
  agent.hear(1, { kind: 'released', isSilent: true }, 0);
  agent.hear(2, { kind: 'released', hasFailed: false }, 50);
  agent.hear(2, { kind: 'released', isSilent: true }, 100);
  agent.demand(2, [0]);
  t.deepEqual(agent.grants(), [2]);
});

test('silence that a gateway met long ago does not speak for another that meets it now', (t) => {
  const agent = new Agent();
  agent.admit(1, 2, 8);
  agent.admit(2, 2, 8);
  agent.hear(1, { kind: 'released', isSilent: true }, 0);
  agent.hear(2, { kind: 'released', isSilent: true }, 3_100);
  agent.demand(2, [0]);
  t.deepEqual(agent.grants(), [2]);
});

test('an engine on trial that is silent rests on', (t) => {
  const agent = new Agent();
  agent.admit(1, 8, 8);
  for (let index = 0; index < 8; index += 1) {
    agent.hear(1, { kind: 'released', hasFailed: true }, 0);
  }
  agent.ledger.takeReading({ kind: 'load', requests: 0 }, 310);
  agent.hear(1, { kind: 'released', isSilent: true }, 330);
  t.is(agent.toldAvailability(), 'closed');
});
