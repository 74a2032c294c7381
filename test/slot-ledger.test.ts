import test from 'ava';
import { coldStartBound } from '../src/routing/cold-start.js';
import { SlotLedger } from '../src/slot-agent/slot-ledger.js';
import type { ForbiddenTake, SlotLedgerPorts } from '../src/slot-agent/slot-ledger.js';
import type { StartRules } from '../src/slot-agent/start-limiter.js';
import type { AgentToGateway, SlotMessage } from '../src/slot-agent/slot-messages.js';

class Agent {
  readonly sent: Array<[number, AgentToGateway]> = [];
  reconciled = 0;
  looksWanted = 0;
  plannedTellings = 0;
  readonly forbiddenTakes: ForbiddenTake[] = [];
  rules: StartRules | undefined;
  heldMs = 0;
  restriction: SlotLedgerPorts['restriction'] = () => undefined;
  readonly ledger = new SlotLedger({
    send: (connection, message) => this.sent.push([connection, message]),
    onGranted: () => undefined,
    onChangesToTell: () => (this.plannedTellings += 1),
    onReconciled: (slots) => (this.reconciled += slots),
    onLookWanted: () => (this.looksWanted += 1),
    onAvailability: () => undefined,
    restriction: (allowedRegions, homeOwner) => this.restriction(allowedRegions, homeOwner),
    homesToTell: () => undefined,
    onForbiddenTake: (take) => this.forbiddenTakes.push(take),
    startRules: () => this.rules,
    onStartsHeld: (resumeInMs) => (this.heldMs = resumeInMs),
  });

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

  counts(): Array<[number, number]> {
    return this.sent.flatMap(([to, message]) =>
      message.kind === 'state' ? [[to, message.occupied] as [number, number]] : [],
    );
  }

  /** What gateways were told last of whether they may use the engine. */
  toldAvailability(): string | undefined {
    const told = this.sent.flatMap(([, message]) =>
      message.kind === 'state' ? [message.availability] : [],
    );
    return told.at(-1);
  }

  /** Why gateways were told last not to take free slots. */
  toldGrantsOnly(): string | undefined {
    const told = this.sent.flatMap(([, message]) =>
      message.kind === 'state' ? [message.grantsOnly] : [],
    );
    return told.at(-1);
  }

  /** Share of failures that gateways were told last. */
  toldFailureShare(): number | undefined {
    const told = this.sent.flatMap(([, message]) =>
      message.kind === 'state' ? [message.failureShare] : [],
    );
    return told.at(-1);
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

const BOUND = coldStartBound(
  { coldStartMs: 3_000, coldRequestsPerS: 3, isEngine: true },
  { coldOver: 1.5, coldSlack: 5 },
)!;

/** An agent whose memory of the last second is complete. */
function boundedAgent(isCold: boolean): Agent {
  const agent = new Agent();
  agent.rules = { bound: BOUND, isCold };
  agent.admit(1, 0, 20);
  return agent;
}

function want(agent: Agent, count: number, nowMs: number): void {
  const rank = { tier: 0, rankInTier: 0, waitedMs: 0, startInMs: 1_000 };
  const ranks = Array.from({ length: count }, () => rank);
  const grantsSeen = agent.grants().length;
  agent.hear(1, { kind: 'demand', ranks, grantsSeen, atMs: nowMs }, nowMs);
}

test('an agent that has just started grants nothing until what went before has left the last second', (t) => {
  const agent = boundedAgent(true);
  want(agent, 5, 100);
  t.deepEqual(agent.grants(), []);
  agent.ledger.resume(100 + agent.heldMs);
  t.is(agent.grants().length, BOUND.granted);
});

test('a cold engine is granted its part in each second; unanswered grants count on', (t) => {
  const agent = boundedAgent(true);
  want(agent, 8, 2_000);
  t.is(agent.grants().length, 3);
  agent.hear(1, { kind: 'grant-used' }, 2_010);
  agent.hear(1, { kind: 'grant-returned' }, 2_020);
  t.is(agent.grants().length, 4, 'a returned grant began nothing');
  for (let index = 0; index < 2; index += 1) {
    agent.hear(1, { kind: 'grant-used' }, 2_500);
  }
  agent.ledger.resume(3_025);
  t.is(agent.grants().length, 4);
  agent.ledger.resume(3_031);
  t.is(agent.grants().length, 5, 'the first was used at 2,010');
  agent.hear(1, { kind: 'grant-used' }, 3_040);
  agent.ledger.resume(3_515);
  t.is(agent.grants().length, 5, 'two were granted at 2,000 and used at 2,500');
  agent.ledger.resume(3_525);
  t.is(agent.grants().length, 7);
});

test('gateways are told at once that the engine is cold, and that it no longer is', (t) => {
  const agent = boundedAgent(true);
  t.is(agent.toldGrantsOnly(), 'cold');
  agent.rules = { bound: BOUND, isCold: false };
  agent.ledger.resume(2_000);
  t.is(agent.toldGrantsOnly(), undefined);
  for (let index = 0; index < BOUND.taken; index += 1) {
    agent.hear(1, { kind: 'taken' }, 2_000);
  }
  t.is(agent.toldGrantsOnly(), 'busy');
  want(agent, 8, 2_000);
  t.is(agent.grants().length, BOUND.warm - BOUND.taken);
  agent.ledger.beat(300, 4_000);
  t.is(agent.toldGrantsOnly(), undefined);
});

test('a grant names the latest word of the gateway that it rests on', (t) => {
  const agent = boundedAgent(false);
  want(agent, 1, 2_000);
  t.deepEqual(agent.sent.at(-1), [1, { kind: 'granted', heardAtMs: 2_000 }]);
  agent.hear(1, { kind: 'grant-used' }, 2_010);
  want(agent, 30, 2_020);
  agent.hear(1, { kind: 'alive', atMs: 2_100 }, 2_101);
  agent.hear(1, { kind: 'grant-returned' }, 2_102);
  t.deepEqual(agent.sent.at(-1), [1, { kind: 'granted', heardAtMs: 2_100 }]);
});

test('the ceiling of a warm engine is lifted while it is needed for more, and holds again later', (t) => {
  const agent = boundedAgent(false);
  const serve = (count: number, nowMs: number) => {
    want(agent, count, nowMs);
    while (agent.ledger.describe(1)!.held > 0) {
      agent.hear(1, { kind: 'grant-used' }, nowMs);
      agent.hear(1, { kind: 'released' }, nowMs);
    }
  };
  serve(20, 2_000);
  t.is(agent.grants().length, BOUND.warm);
  agent.ledger.resume(2_900);
  t.is(agent.grants().length, BOUND.warm);
  serve(20, 3_010);
  t.is(agent.grants().length, BOUND.warm + 20, 'requests waited for a second');
  agent.ledger.beat(300, 3_300);
  t.is(agent.toldGrantsOnly(), undefined);
  serve(20, 20_000);
  t.is(agent.grants().length, 2 * BOUND.warm + 20);
  t.is(agent.toldGrantsOnly(), 'busy');
  agent.rules = { bound: BOUND, isCold: true };
  agent.ledger.resume(20_100);
  t.is(agent.toldGrantsOnly(), 'cold');
});

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
