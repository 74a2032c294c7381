import { connect } from 'node:net';
import test from 'ava';
import { request } from 'undici';
import { SYSTEM_CLOCK } from '../src/clock.js';
import { MessageChannel } from '../src/protocol/message-channel.js';
import { SeededRandom } from '../src/random.js';
import { Places } from '../src/routing/places.js';
import { SlotAgentMetrics } from '../src/slot-agent/slot-agent-metrics.js';
import { DEFAULT_SLOT_AGENT_OPTIONS, SlotAgentRole } from '../src/slot-agent/slot-agent-role.js';
import type { AgentToGateway, GatewayToAgent } from '../src/slot-agent/slot-messages.js';
import { DecisionLog } from '../src/telemetry/decision-log.js';
import type { StorePosition } from '../src/cluster/store-position.js';
import { at } from './support/positions.js';

const HOST = '127.0.3.4';
/** Ports below those that the system hands out, on an address of this file's own. */
let lastPort = 29_000;

function nextPort(): number {
  lastPort += 1;
  return lastPort;
}

function startAgent(requestsAtEngine: () => number): {
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
      places: new Places(new Map()),
      decode: ({ key, epoch, revision, value }) => ({
        kind: 'evacuation',
        change: { zone: key, isOrdered: value !== undefined, epoch, revision },
      }),
      readReport: () => Promise.resolve({ kind: 'load', requests: requestsAtEngine() }),
      clock: SYSTEM_CLOCK,
      random: new SeededRandom(1),
      log: new DecisionLog({ role: 'slot-agent', process: 'agent', zone: 'z' }, 0, SYSTEM_CLOCK),
      metrics,
    },
    { ...DEFAULT_SLOT_AGENT_OPTIONS, reportMs: 10 },
  );
  agent.start({ host: HOST, port, metricsPort });
  return { port, metrics, metricsPort, stop: () => agent.stop() };
}

/** A gateway that says only what the test says. */
class PlayedGateway {
  readonly heard: AgentToGateway[] = [];
  readonly closed: Promise<void>;
  private readonly channel: MessageChannel<GatewayToAgent, AgentToGateway>;

  constructor(port: number) {
    let onClose: () => void;
    this.closed = new Promise((resolve) => (onClose = resolve));
    this.channel = new MessageChannel(connect(port, HOST), {
      onMessage: (message) => this.heard.push(message),
      onClose: () => onClose(),
    });
  }

  say(...messages: GatewayToAgent[]): void {
    messages.forEach((message) => this.channel.send(message));
  }

  hello(gateway: string): void {
    this.say({ kind: 'hello', gateway, held: 0, peersAddress: '', slots: 1 });
  }

  waitForSlot(): void {
    const rank = { tier: 0, rankInTier: 0, waitedMs: 0, startInMs: 1_000 };
    this.say({ kind: 'demand', ranks: [rank], grantsSeen: 0 });
  }

  close(): void {
    this.channel.close();
  }

  async hears(kind: AgentToGateway['kind']): Promise<AgentToGateway> {
    const endAt = Date.now() + 5_000;
    for (;;) {
      const found = this.heard.find((message) => message.kind === kind);
      if (found !== undefined) {
        return found;
      }
      if (Date.now() > endAt) {
        throw new Error(`heard no ${kind}`);
      }
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
  }
}

test('a gateway that says nothing after a grant is told so, and another gets the slot', async (t) => {
  const { port, stop } = startAgent(() => 0);
  t.teardown(stop);
  const [silent, other] = [new PlayedGateway(port), new PlayedGateway(port)];
  silent.hello('silent');
  silent.waitForSlot();
  await silent.hears('granted');
  other.hello('other');
  other.waitForSlot();
  const alive = setInterval(() => other.say({ kind: 'alive' }), 100);
  t.teardown(() => clearInterval(alive));
  t.deepEqual(await silent.hears('refused'), { kind: 'refused', reason: 'silent' });
  await silent.closed;
  await other.hears('granted');
  other.close();
});

test('a slot whose request still runs at the engine is not granted again', async (t) => {
  let requestsAtEngine = 1;
  const { port, stop } = startAgent(() => requestsAtEngine);
  t.teardown(stop);
  const [gone, other] = [new PlayedGateway(port), new PlayedGateway(port)];
  gone.hello('gone');
  gone.waitForSlot();
  await gone.hears('granted');
  gone.close();
  other.hello('other');
  other.waitForSlot();
  await new Promise((resolve) => setTimeout(resolve, 100));
  t.false(other.heard.some(({ kind }) => kind === 'granted'));
  requestsAtEngine = 0;
  await other.hears('granted');
  other.close();
});

test('an agent grants nothing in an evacuated zone, whatever a gateway asks that does not know of it', async (t) => {
  const { port, stop } = startAgent(() => 0);
  const tell = (revision: number, value: string | undefined) => ({
    kind: 'records' as const,
    since: at(0),
    completeTo: at(revision),
    currentTo: at(revision),
    isWhole: false,
    records: [{ key: 'z', ...at(revision), value }],
    epochStart: at(0),
  });
  const [informed, uninformed] = [new PlayedGateway(port), new PlayedGateway(port)];
  informed.hello('informed');
  informed.say(tell(7, ''), tell(6, undefined));
  await informed.hears('state');
  uninformed.hello('uninformed');
  uninformed.waitForSlot();
  await new Promise((resolve) => setTimeout(resolve, 400));
  t.false(uninformed.heard.some(({ kind }) => kind === 'granted'));
  informed.say(tell(8, undefined));
  t.is((await uninformed.hears('granted')).kind, 'granted');
  [informed, uninformed].forEach((gateway) => gateway.close());
  stop();
});

test('an agent heeds an order that a gateway tells of after the store came back from a copy', async (t) => {
  const { port, stop } = startAgent(() => 0);
  const tell = (position: StorePosition, value: string | undefined) => ({
    kind: 'records' as const,
    since: at(0),
    completeTo: position,
    currentTo: position,
    isWhole: false,
    records: [{ key: 'z', ...position, value }],
    epochStart: at(1, position.epoch),
  });
  const gateway = new PlayedGateway(port);
  gateway.hello('g');
  gateway.say(tell(at(9, 1), undefined), tell(at(4, 2), ''));
  await gateway.hears('state');
  gateway.waitForSlot();
  await new Promise((resolve) => setTimeout(resolve, 400));
  t.false(gateway.heard.some(({ kind }) => kind === 'granted'));
  gateway.say(tell(at(5, 2), undefined));
  t.is((await gateway.hears('granted')).kind, 'granted');
  gateway.close();
  stop();
});

test('a message before the hello is answered with the reason, and the connection ends', async (t) => {
  const { port, stop } = startAgent(() => 0);
  t.teardown(stop);
  const gateway = new PlayedGateway(port);
  gateway.say({ kind: 'taken' });
  t.deepEqual(await gateway.hears('refused'), { kind: 'refused', reason: 'hello-missing' });
  await gateway.closed;
});

test('grants and connections that were ended are counted', async (t) => {
  const { port, metrics, metricsPort, stop } = startAgent(() => 0);
  t.teardown(stop);
  await metrics.load(() => ({ slots: 1, occupied: 1, unaccounted: 0, gateways: 1 }));
  const gateway = new PlayedGateway(port);
  gateway.hello('g');
  gateway.waitForSlot();
  await gateway.hears('refused');
  const text = await (await request(`http://${HOST}:${metricsPort}/metrics`)).body.text();
  t.regex(text, /weirvale_slot_grants_total 1/);
  t.regex(text, /weirvale_slot_gateways_ended_total\{reason="silent"\} 1/);
  t.regex(text, /weirvale_slots_occupied 1/);
});
