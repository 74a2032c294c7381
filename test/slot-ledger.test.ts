import test from 'ava';
import { Agent } from './support/played-agent.js';

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
  agent.ledger.disconnect(1, 0);
  agent.admit(2);
  agent.demand(2, [0]);
  t.true(agent.ledger.needsReport(0));
  t.deepEqual(agent.grants(), []);
  agent.ledger.takeReading({ kind: 'load', requests: 1 }, 1_000);
  t.deepEqual(agent.grants(), [2]);
});

test('a gateway that connects again takes its slots over', (t) => {
  const agent = new Agent();
  agent.admit(1, 2);
  agent.ledger.disconnect(1, 0);
  agent.admit(1, 2);
  t.is(agent.ledger.occupied, 2);
  t.false(agent.ledger.needsReport(0));
});

test('gateways are told how many of their messages a count reflects', (t) => {
  const agent = new Agent();
  agent.admit(1);
  agent.hear(1, { kind: 'taken' });
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

test('a gateway that connects is told what others learned of the engine', (t) => {
  const agent = new Agent();
  agent.admit(1);
  agent.hear(1, { kind: 'speed', speed: { prefill: { baseMs: 5, msPerToken: 0.02 } } });
  agent.admit(2);
  const [to, message] = agent.sent.at(-1)!;
  t.is(to, 2);
  t.deepEqual(message.kind === 'state' ? message.speed : undefined, {
    prefill: { baseMs: 5, msPerToken: 0.02 },
  });
});

test('a gateway that leaves a grant unanswered gets no more until it answers', (t) => {
  const agent = new Agent();
  agent.admit(1, 0, 3);
  agent.admit(2, 0, 3);
  agent.hear(1, { kind: 'taken' }, 900);
  agent.hear(1, { kind: 'taken' }, 900);
  agent.demand(1, [0, 0], 900);
  t.deepEqual(agent.grants(), [1]);
  agent.hear(1, { kind: 'released' }, 1_050);
  agent.demand(2, [0], 10);
  t.deepEqual(agent.grants(), [1, 1]);
  agent.hear(2, { kind: 'taken' }, 1_130);
  agent.hear(2, { kind: 'released' }, 1_130);
  agent.hear(1, { kind: 'released' }, 1_140);
  t.deepEqual(agent.grants(), [1, 1, 2]);
});

test('a gateway that says nothing is taken for gone', (t) => {
  const agent = new Agent();
  agent.admit(1, 0, 1);
  agent.demand(1, [0]);
  t.deepEqual(agent.ledger.findSilent(1_690), []);
  t.deepEqual(agent.ledger.findSilent(1_710), [1]);
});

test('a gateway that answers its grants and says that it lives is not taken for gone', (t) => {
  const agent = new Agent();
  agent.admit(1, 0, 1);
  agent.demand(1, [0]);
  agent.hear(1, { kind: 'grant-used' }, 1_010);
  for (const nowMs of [1_500, 2_000, 2_500]) {
    agent.hear(1, { kind: 'alive' }, nowMs);
    t.deepEqual(agent.ledger.findSilent(nowMs + 400), []);
  }
  t.deepEqual(agent.ledger.findSilent(3_300), [1]);
});

test('a gateway that neither holds slots nor waits may be silent', (t) => {
  const agent = new Agent();
  agent.admit(1);
  t.deepEqual(agent.ledger.findSilent(60_000), []);
});

test('a returned grant frees its slot for another gateway', (t) => {
  const agent = new Agent();
  agent.admit(1, 0, 1);
  agent.admit(2, 0, 1);
  agent.demand(1, [0], 900);
  agent.demand(2, [0], 10);
  agent.hear(1, { kind: 'grant-returned' }, 1_010);
  t.deepEqual(agent.grants(), [1, 2]);
});

test('requests that a gone gateway still sends are found by the report of the engine', (t) => {
  const agent = new Agent();
  agent.admit(1, 1, 4);
  agent.admit(2, 1, 4);
  agent.ledger.disconnect(1, 0);
  agent.ledger.takeReading({ kind: 'load', requests: 3 }, 100);
  t.is(agent.ledger.occupied, 3);
  agent.ledger.takeReading({ kind: 'load', requests: 1 }, 200);
  t.is(agent.ledger.occupied, 1);
  t.is(agent.reconciled, 2);
  t.true(agent.ledger.needsReport(5_000));
  t.false(agent.ledger.needsReport(11_000));
});

function grantedOf(ranks: ReadonlyArray<[rankInTier: number, startInMs: number]>): number[] {
  const agent = new Agent();
  ranks.forEach((_rank, index) => agent.admit(index + 1, index === 0 ? 1 : 0, 1));
  ranks.forEach(([rankInTier, startInMs], index) => {
    const rank = { tier: 1, rankInTier, waitedMs: 10, startInMs };
    agent.hear(index + 1, { kind: 'demand', ranks: [rank], grantsSeen: 0 }, 1_000);
  });
  agent.hear(1, { kind: 'released' }, 1_000);
  return agent.grants();
}

test('a slot goes to the next rank that can be in time before a more urgent one that is late', (t) => {
  const [late, inTime] = [-100, 100];
  t.deepEqual(
    grantedOf([
      [0, late],
      [1, inTime],
    ]),
    [2],
  );
  t.deepEqual(
    grantedOf([
      [0, late],
      [2, inTime],
    ]),
    [1],
  );
});

test('a lower tier never goes before a higher one, late or not', (t) => {
  const agent = new Agent();
  agent.admit(1, 1, 1);
  agent.admit(2, 0, 1);
  const late = { tier: 0, rankInTier: 0, waitedMs: 900, startInMs: -100 };
  const inTime = { tier: 1, rankInTier: 0, waitedMs: 10, startInMs: 100 };
  agent.hear(1, { kind: 'demand', ranks: [late], grantsSeen: 0 }, 1_000);
  agent.hear(2, { kind: 'demand', ranks: [inTime], grantsSeen: 0 }, 1_000);
  agent.hear(1, { kind: 'released' }, 1_000);
  t.deepEqual(agent.grants(), [1]);
});

test('while many slots are free several changes are told as one', (t) => {
  const agent = new Agent();
  agent.admit(1, 0, 8);
  agent.admit(2, 0, 8);
  agent.sent.length = 0;
  agent.hear(1, { kind: 'taken' });
  agent.hear(1, { kind: 'taken' });
  agent.hear(2, { kind: 'taken' });
  t.deepEqual(agent.counts(), []);
  t.is(agent.plannedTellings, 1);
  agent.ledger.tellChanges(0);
  t.deepEqual(agent.counts(), [
    [1, 3],
    [2, 3],
  ]);
});

test('with one slot left every change is told at once', (t) => {
  const agent = new Agent();
  agent.admit(1, 0, 3);
  agent.hear(1, { kind: 'taken' });
  agent.sent.length = 0;
  agent.hear(1, { kind: 'taken' });
  t.deepEqual(agent.counts(), [[1, 2]]);
  agent.hear(1, { kind: 'released' });
  t.deepEqual(agent.counts().at(-1), [1, 1]);
});

test('a gateway that took a slot and gave it back is told the count that shows both', (t) => {
  const agent = new Agent();
  agent.admit(1, 0, 8);
  agent.admit(2, 0, 8);
  agent.sent.length = 0;
  agent.hear(1, { kind: 'taken' });
  agent.hear(1, { kind: 'released' });
  agent.ledger.tellChanges(0);
  t.deepEqual(agent.counts(), [[1, 0]]);
});

test('what gateways saw fail is told to every gateway as a share', (t) => {
  const agent = new Agent();
  agent.admit(1, 4, 8);
  agent.admit(2, 0, 8);
  agent.hear(1, { kind: 'released', hasFailed: true });
  agent.hear(1, { kind: 'released', hasFailed: true });
  agent.hear(1, { kind: 'released', hasFailed: false });
  agent.hear(1, { kind: 'released' });
  agent.ledger.tellChanges(0);
  const shares = agent.sent.flatMap(([to, message]) =>
    message.kind === 'state' && to === 2 ? [message.failureShare] : [],
  );
  t.is(shares.at(-1), 2 / 7);
});

test('a failed request stops the grants until a look shows that the engine is there', (t) => {
  const agent = new Agent();
  agent.admit(1, 1, 1);
  agent.demand(1, [0]);
  agent.hear(1, { kind: 'released', hasFailed: true });
  t.is(agent.looksWanted, 1);
  t.deepEqual(agent.grants(), []);
  agent.ledger.takeReading({ kind: 'load', requests: 0 }, 10);
  t.deepEqual(agent.grants(), [1]);
});

test('gateways are told at once that an engine crashed, and that it is back', (t) => {
  const agent = new Agent();
  agent.admit(1, 1, 1);
  agent.demand(1, [0]);
  agent.hear(1, { kind: 'released', hasFailed: true });
  agent.ledger.takeReading({ kind: 'closed' }, 10);
  t.is(agent.toldAvailability(), 'closed');
  t.true(agent.ledger.needsReport(20));
  t.deepEqual(agent.grants(), []);
  agent.ledger.takeReading({ kind: 'load', requests: 0 }, 70);
  t.is(agent.toldAvailability(), 'open');
  t.deepEqual(agent.grants(), [1]);
});

test('one look without an answer says nothing, two say that the engine is gone', (t) => {
  const agent = new Agent();
  agent.admit(1, 1, 1);
  agent.ledger.takeReading({ kind: 'silent' }, 10);
  t.is(agent.toldAvailability(), 'open');
  agent.ledger.takeReading({ kind: 'silent' }, 70);
  t.is(agent.toldAvailability(), 'closed');
});

test('an engine that fails all it is given rests, whatever its report says, and is tried with one request', (t) => {
  const agent = new Agent();
  agent.admit(1, 8, 8);
  agent.demand(1, [0, 0, 0]);
  for (let index = 0; index < 8; index += 1) {
    agent.hear(1, { kind: 'released', hasFailed: true }, 0);
  }
  agent.ledger.takeReading({ kind: 'load', requests: 0 }, 10);
  t.deepEqual(agent.grants(), []);
  t.is(agent.toldAvailability(), 'closed');
  agent.ledger.takeReading({ kind: 'load', requests: 0 }, 310);
  t.is(agent.toldAvailability(), 'trial');
  t.deepEqual(agent.grants(), [1]);
  agent.hear(1, { kind: 'grant-used' }, 320);
  agent.hear(1, { kind: 'released', hasFailed: true }, 330);
  t.is(agent.toldAvailability(), 'closed');
  agent.ledger.takeReading({ kind: 'load', requests: 0 }, 900);
  t.is(agent.toldAvailability(), 'closed');
  agent.ledger.takeReading({ kind: 'load', requests: 0 }, 940);
  agent.hear(1, { kind: 'grant-used' }, 950);
  agent.hear(1, { kind: 'released', hasFailed: false }, 990);
  t.is(agent.toldAvailability(), 'open');
});

test('an engine on trial is open again with the first event of an answer', (t) => {
  const agent = new Agent();
  agent.admit(1, 8, 8);
  for (let index = 0; index < 8; index += 1) {
    agent.hear(1, { kind: 'released', hasFailed: true }, 0);
  }
  agent.ledger.takeReading({ kind: 'load', requests: 0 }, 310);
  agent.hear(1, { kind: 'proven' }, 330);
  t.is(agent.toldAvailability(), 'open');
});

test('a slot is granted to the first request that operators permit at the back end', (t) => {
  const agent = new Agent();
  agent.restriction = (regions) =>
    regions === undefined || regions.has('here') ? undefined : 'outside-home';
  agent.admit(1);
  agent.admit(2);
  const rank = { tier: 0, rankInTier: 0, waitedMs: 0, startInMs: 1_000 };
  agent.hear(1, { kind: 'demand', ranks: [{ ...rank, allowedRegions: ['there'] }], grantsSeen: 0 });
  t.deepEqual(agent.grants(), []);
  agent.hear(2, { kind: 'demand', ranks: [{ ...rank, tier: 1 }], grantsSeen: 0 });
  t.deepEqual(agent.grants(), [2]);
});
