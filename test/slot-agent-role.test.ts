import { connect } from 'node:net';
import test from 'ava';
import { request } from 'undici';
import { SYSTEM_CLOCK } from '../src/clock.js';
import type { Clock } from '../src/clock.js';
import { MessageChannel } from '../src/protocol/message-channel.js';
import { SeededRandom } from '../src/random.js';
import { ZoneTopology } from '../src/routing/zone-topology.js';
import { SlotAgentMetrics } from '../src/slot-agent/slot-agent-metrics.js';
import { DEFAULT_GATEWAY_TIMEOUT_OPTIONS } from '../src/slot-agent/gateway-session.js';
import { DEFAULT_SLOT_AGENT_OPTIONS, SlotAgentRole } from '../src/slot-agent/slot-agent-role.js';
import type { AgentToGateway, GatewayToAgent } from '../src/slot-agent/slot-messages.js';
import { DecisionLog } from '../src/telemetry/decision-log.js';
import type { StorePosition } from '../src/cluster/store-position.js';
import { blockLoop } from './support/block-loop.js';
import { turns } from './support/loop-turns.js';
import { positionAt } from './support/store-positions.js';

const HOST = '127.0.3.4';
/** Differs from the delay of every other timer of the agent. */
const KEEPALIVE_CHECK_MS = 47;
/** Turns of the event loop in which a refusal would arrive. */
const TURNS_TO_REFUSE = 200;
/** Ports below the ephemeral range, on an address that only this file uses. */
let lastPort = 29_000;

function nextPort(): number {
  lastPort += 1;
  return lastPort;
}

function startAgent(
  requestsAtEngine: () => number,
  bornAtMs: () => number | undefined = () => undefined,
  isUp: () => boolean = () => true,
  beforeProbeAnswer: () => Promise<void> = () => Promise.resolve(),
  clock: Clock = SYSTEM_CLOCK,
): {
  port: number;
  metrics: SlotAgentMetrics;
  stop: () => void;
  metricsPort: number;
} {
  const [port, metricsPort] = [nextPort(), nextPort()];
  const metrics = new SlotAgentMetrics();
  const agent = new SlotAgentRole(
    {
      limits: { coldOver: 1, coldSlack: 0 },
      identity: { name: 'agent', engine: { address: `${HOST}:1`, zone: 'z' }, seeds: [] },
      places: new ZoneTopology(new Map()),
      decode: ({ key, epoch, revision, value }) => ({
        kind: 'evacuation',
        change: { zone: key, isOrdered: value !== undefined, epoch, revision },
      }),
      probeEngine: async () => {
        const result = isUp()
          ? ({ kind: 'load', requests: requestsAtEngine(), bornAtMs: bornAtMs() } as const)
          : ({ kind: 'closed' } as const);
        await beforeProbeAnswer();
        return result;
      },
      clock,
      random: new SeededRandom(1),
      log: new DecisionLog({ role: 'slot-agent', process: 'agent', zone: 'z' }, 0, SYSTEM_CLOCK),
      metrics,
    },
    {
      ...DEFAULT_SLOT_AGENT_OPTIONS,
      fastProbeIntervalMs: 10,
      keepaliveCheckIntervalMs: KEEPALIVE_CHECK_MS,
    },
  );
  agent.start({ host: HOST, port, metricsPort });
  return { port, metrics, metricsPort, stop: () => agent.stop() };
}

/** Fake gateway that sends only the messages that the test passes to it. */
class FakeGateway {
  readonly received: AgentToGateway[] = [];
  readonly closed: Promise<void>;
  private readonly channel: MessageChannel<GatewayToAgent, AgentToGateway>;

  constructor(port: number) {
    let onClose: () => void;
    this.closed = new Promise((resolve) => (onClose = resolve));
    this.channel = new MessageChannel(connect(port, HOST), {
      onMessage: (message) => this.received.push(message),
      onClose: () => onClose(),
    });
  }

  send(...messages: GatewayToAgent[]): void {
    messages.forEach((message) => this.channel.send(message));
  }

  /** Sends without waiting for the end of the event loop's turn. */
  sendNow(message: GatewayToAgent): void {
    this.channel.send(message);
    this.channel.flush();
  }

  sendHello(gateway: string): void {
    this.send({ kind: 'hello', gateway, held: 0, peersAddress: '', slots: 1 });
  }

  requestSlot(): void {
    const rank = { tier: 0, rankInTier: 0, waitedMs: 0, startInMs: 1_000 };
    this.send({ kind: 'demand', ranks: [rank], grantsSeen: 0 });
  }

  close(): void {
    this.channel.close();
  }

  async waitFor(kind: AgentToGateway['kind']): Promise<AgentToGateway> {
    const timeoutAt = Date.now() + 5_000;
    for (;;) {
      const found = this.received.find((message) => message.kind === kind);
      if (found !== undefined) {
        return found;
      }
      if (Date.now() > timeoutAt) {
        throw new Error(`received no ${kind} message within 5 s`);
      }
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
  }
}

test('a gateway without keepalives after a grant is refused as silent, and another gets its slot', async (t) => {
  const { port, stop } = startAgent(() => 0);
  t.teardown(stop);
  const [silent, other] = [new FakeGateway(port), new FakeGateway(port)];
  silent.sendHello('silent');
  silent.requestSlot();
  await silent.waitFor('granted');
  other.sendHello('other');
  other.requestSlot();
  const alive = setInterval(() => other.send({ kind: 'alive' }), 100);
  t.teardown(() => clearInterval(alive));
  t.deepEqual(await silent.waitFor('refused'), { kind: 'refused', reason: 'silent' });
  await silent.closed;
  await other.waitFor('granted');
  other.close();
});

test.serial(
  'an agent that stalled does not refuse a gateway whose keepalive it has not read',
  async (t) => {
    const { port, stop } = startAgent(() => 1);
    t.teardown(stop);
    const gateway = new FakeGateway(port);
    gateway.sendHello('gateway');
    gateway.requestSlot();
    await gateway.waitFor('granted');
    gateway.send({ kind: 'alive' });
    // The channel writes the keepalive in an immediate, and the loop is blocked right after that.
    await new Promise<void>((resolve) =>
      setImmediate(() => {
        blockLoop(DEFAULT_GATEWAY_TIMEOUT_OPTIONS.silenceMs + 100);
        resolve();
      }),
    );
    await new Promise((resolve) => setTimeout(resolve, 100));
    t.false(gateway.received.some(({ kind }) => kind === 'refused'));
    gateway.close();
  },
);

test.serial(
  'an agent that stalled between a poll and a check does not refuse a gateway whose keepalive it has not read',
  async (t) => {
    // Delays of the timers whose next call a stall precedes; 0 if the check waits for a poll.
    const stalledDelays = new Set<number>();
    const stallingClock: Clock = {
      ...SYSTEM_CLOCK,
      setTimeout: (callback, delayMs) =>
        SYSTEM_CLOCK.setTimeout(() => {
          if (stalledDelays.delete(delayMs)) {
            gateway.sendNow({ kind: 'alive' });
            blockLoop(DEFAULT_GATEWAY_TIMEOUT_OPTIONS.silenceMs + 100);
          }
          callback();
        }, delayMs),
    };
    const { port, stop } = startAgent(() => 1, undefined, undefined, undefined, stallingClock);
    t.teardown(stop);
    const gateway = new FakeGateway(port);
    gateway.sendHello('gateway');
    gateway.requestSlot();
    await gateway.waitFor('granted');
    let isClosed = false;
    void gateway.closed.then(() => (isClosed = true));
    const alive = setInterval(() => gateway.sendNow({ kind: 'alive' }), 50);
    t.teardown(() => clearInterval(alive));
    [KEEPALIVE_CHECK_MS, 0].forEach((delayMs) => stalledDelays.add(delayMs));
    await turns(TURNS_TO_REFUSE);
    t.false(stalledDelays.has(KEEPALIVE_CHECK_MS));
    // A connection that is closed with unread input is reset, so that the refusal may be lost.
    t.false(isClosed);
    t.false(gateway.received.some(({ kind }) => kind === 'refused'));
    gateway.close();
  },
);

test('a slot whose request still runs at the engine is not granted again', async (t) => {
  let requestsAtEngine = 1;
  const { port, stop } = startAgent(() => requestsAtEngine);
  t.teardown(stop);
  const [gone, other] = [new FakeGateway(port), new FakeGateway(port)];
  gone.sendHello('gone');
  gone.requestSlot();
  await gone.waitFor('granted');
  gone.close();
  other.sendHello('other');
  other.requestSlot();
  await new Promise((resolve) => setTimeout(resolve, 100));
  t.false(other.received.some(({ kind }) => kind === 'granted'));
  requestsAtEngine = 0;
  await other.waitFor('granted');
  other.close();
});

test('an agent in an evacuated zone grants no slot, even to a gateway that does not know of the evacuation', async (t) => {
  const { port, stop } = startAgent(() => 0);
  const recordsMessage = (revision: number, value: string | undefined) => ({
    kind: 'records' as const,
    since: positionAt(0),
    completeTo: positionAt(revision),
    currentTo: positionAt(revision),
    isWhole: false,
    records: [{ key: 'z', ...positionAt(revision), value }],
    epochStart: positionAt(0),
  });
  const [informed, uninformed] = [new FakeGateway(port), new FakeGateway(port)];
  informed.sendHello('informed');
  informed.send(recordsMessage(7, ''), recordsMessage(6, undefined));
  await informed.waitFor('state');
  uninformed.sendHello('uninformed');
  uninformed.requestSlot();
  await new Promise((resolve) => setTimeout(resolve, 400));
  t.false(uninformed.received.some(({ kind }) => kind === 'granted'));
  informed.send(recordsMessage(8, undefined));
  t.is((await uninformed.waitFor('granted')).kind, 'granted');
  [informed, uninformed].forEach((gateway) => gateway.close());
  stop();
});

test('an agent applies an evacuation order from a gateway after the store was restored from a backup', async (t) => {
  const { port, stop } = startAgent(() => 0);
  const recordsMessage = (position: StorePosition, value: string | undefined) => ({
    kind: 'records' as const,
    since: positionAt(0),
    completeTo: position,
    currentTo: position,
    isWhole: false,
    records: [{ key: 'z', ...position, value }],
    epochStart: positionAt(1, position.epoch),
  });
  const gateway = new FakeGateway(port);
  gateway.sendHello('g');
  gateway.send(recordsMessage(positionAt(9, 1), undefined), recordsMessage(positionAt(4, 2), ''));
  await gateway.waitFor('state');
  gateway.requestSlot();
  await new Promise((resolve) => setTimeout(resolve, 400));
  t.false(gateway.received.some(({ kind }) => kind === 'granted'));
  gateway.send(recordsMessage(positionAt(5, 2), undefined));
  t.is((await gateway.waitFor('granted')).kind, 'granted');
  gateway.close();
  stop();
});

test('a message before the hello is refused with the reason, and the connection is closed', async (t) => {
  const { port, stop } = startAgent(() => 0);
  t.teardown(stop);
  const gateway = new FakeGateway(port);
  gateway.send({ kind: 'taken' });
  t.deepEqual(await gateway.waitFor('refused'), { kind: 'refused', reason: 'hello-missing' });
  await gateway.closed;
});

test('grants and closed gateway connections are counted in the metrics', async (t) => {
  const { port, metrics, metricsPort, stop } = startAgent(() => 0);
  t.teardown(stop);
  await metrics.load(() => ({ slots: 1, occupied: 1, unaccounted: 0, gateways: 1 }));
  const gateway = new FakeGateway(port);
  gateway.sendHello('g');
  gateway.requestSlot();
  await gateway.waitFor('refused');
  const text = await (await request(`http://${HOST}:${metricsPort}/metrics`)).body.text();
  t.regex(text, /weirvale_slot_grants_total 1/);
  t.regex(text, /weirvale_slot_gateways_ended_total\{reason="silent"\} 1/);
  t.regex(text, /weirvale_slots_occupied 1/);
});

test('an idle engine is probed, so that its restart is known before the next request', async (t) => {
  let bornAtMs = 1;
  const { port, stop } = startAgent(
    () => 0,
    () => bornAtMs,
  );
  t.teardown(stop);
  const gateway = new FakeGateway(port);
  t.teardown(() => gateway.close());
  gateway.sendHello('g');
  const reported = () =>
    gateway.received.flatMap((message) => (message.kind === 'state' ? [message.bornAtMs] : []));
  const untilReported = async (expected: number) => {
    for (let waitedMs = 0; waitedMs < 5_000 && !reported().includes(expected); waitedMs += 5) {
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
    t.true(reported().includes(expected));
  };
  await untilReported(1);
  bornAtMs = 2;
  await untilReported(2);
});

test('an idle engine that has not answered yet is not reported as ended', async (t) => {
  let isUp = false;
  const { port, stop } = startAgent(
    () => 0,
    () => 1,
    () => isUp,
  );
  t.teardown(stop);
  const gateway = new FakeGateway(port);
  t.teardown(() => gateway.close());
  gateway.sendHello('g');
  await new Promise((resolve) => setTimeout(resolve, 1_500));
  const states = () =>
    gateway.received.flatMap((message) => (message.kind === 'state' ? [message.availability] : []));
  t.deepEqual([...new Set(states())], ['open']);
  isUp = true;
  await new Promise((resolve) => setTimeout(resolve, 1_300));
  isUp = false;
  for (let waitedMs = 0; waitedMs < 5_000 && !states().includes('closed'); waitedMs += 5) {
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
  t.true(states().includes('closed'));
});

test('a query for the process is answered by a probe that begins after it, not by one in progress', async (t) => {
  let bornAtMs = 1;
  let answerProbe: () => void = () => undefined;
  const { port, stop } = startAgent(
    () => 0,
    () => bornAtMs,
    () => true,
    () => new Promise((resolve) => (answerProbe = resolve)),
  );
  t.teardown(stop);
  const gateway = new FakeGateway(port);
  gateway.sendHello('g');
  await gateway.waitFor('state');
  // The probe in progress has read the start time of the process that ends now.
  bornAtMs = 2;
  gateway.send({ kind: 'process-ask', id: 7 });
  await new Promise((resolve) => setTimeout(resolve, 50));
  const answering = setInterval(() => answerProbe(), 5);
  t.teardown(() => clearInterval(answering));
  t.deepEqual(await gateway.waitFor('process-answer'), {
    kind: 'process-answer',
    id: 7,
    address: `${HOST}:1`,
    bornAtMs: 2,
  });
  gateway.close();
});

test('a query for the process of an engine that does not answer names no start time', async (t) => {
  const { port, stop } = startAgent(
    () => 0,
    () => 1,
    () => false,
  );
  t.teardown(stop);
  const gateway = new FakeGateway(port);
  gateway.send({ kind: 'process-ask', id: 8 });
  const answer = await gateway.waitFor('process-answer');
  t.is(answer.kind === 'process-answer' ? answer.bornAtMs : 0, undefined);
  gateway.close();
});
