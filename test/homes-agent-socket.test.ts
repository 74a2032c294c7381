import { connect } from 'node:net';
import test from 'ava';
import { decodeRecord } from '../platform/record-formats.js';
import { SYSTEM_CLOCK } from '../src/clock.js';
import { MessageChannel } from '../src/protocol/message-channel.js';
import { SeededRandom } from '../src/random.js';
import { ZoneTopology } from '../src/routing/zone-topology.js';
import { SlotAgentMetrics } from '../src/slot-agent/slot-agent-metrics.js';
import { SlotAgentRole } from '../src/slot-agent/slot-agent-role.js';
import type { AgentToGateway, GatewayToAgent } from '../src/slot-agent/slot-messages.js';
import { DecisionLog } from '../src/telemetry/decision-log.js';
import { positionAt } from './support/store-positions.js';

const HOST = '127.0.3.10';
/** Port below the ephemeral range, on an address that only this file uses. */
const PORT = 29_000;

const CONFIGURATION = JSON.stringify({
  version: 7,
  routes: [
    { name: 'bound', host: 'h', pathPrefix: '/a/', allowedRegions: ['a'] },
    { name: 'free', host: 'h', pathPrefix: '/b/', allowedRegions: [] },
  ],
});

async function waitUntil(condition: () => boolean): Promise<void> {
  const timeoutAtMs = Date.now() + 5_000;
  while (!condition()) {
    if (Date.now() > timeoutAtMs) {
      throw new Error('condition not met within 5 s');
    }
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
}

test('over a socket, an agent reports its region, grants only permitted requests and counts forbidden takes', async (t) => {
  const metrics = new SlotAgentMetrics();
  const agent = new SlotAgentRole({
    identity: { name: 'agent', engine: { address: `${HOST}:1`, zone: 'b1' }, seeds: [] },
    places: new ZoneTopology(
      new Map([
        ['a1', 'a'],
        ['b1', 'b'],
      ]),
    ),
    limits: { coldOver: 1, coldSlack: 0 },
    decode: decodeRecord,
    probeEngine: () => Promise.resolve({ kind: 'load', requests: 0 }),
    clock: SYSTEM_CLOCK,
    random: new SeededRandom(1),
    log: new DecisionLog({ role: 'slot-agent', process: 'agent', zone: 'b1' }, 0, SYSTEM_CLOCK),
    metrics,
  });
  agent.start({ host: HOST, port: PORT, metricsPort: 0 });
  t.teardown(() => agent.stop());
  const received: AgentToGateway[] = [];
  const gateway = new MessageChannel<GatewayToAgent, AgentToGateway>(connect(PORT, HOST), {
    onMessage: (message) => {
      received.push(message);
      if (message.kind === 'fetch') {
        const record = { key: 'op/config', ...positionAt(1), value: CONFIGURATION };
        const { since } = message;
        const reach = { completeTo: positionAt(1), currentTo: positionAt(1) };
        const response = { isWhole: true, records: [record], epochStart: positionAt(0) };
        gateway.send({ kind: 'records', since, ...reach, ...response });
      }
    },
    onClose: () => undefined,
  });
  t.teardown(() => gateway.close());
  const states = () => received.flatMap((message) => (message.kind === 'state' ? [message] : []));
  gateway.send({ kind: 'hello', gateway: 'g', held: 0, peersAddress: '', slots: 1 });
  await waitUntil(() => states().length > 0);
  t.is(states()[0]?.homes, undefined);
  gateway.send({ kind: 'reach', reach: { completeTo: positionAt(1), currentTo: positionAt(1) } });
  await waitUntil(() => states().at(-1)?.homes !== undefined);
  t.deepEqual(states().at(-1)?.homes, { region: 'b', configuration: 7 });
  const rank = { tier: 0, rankInTier: 0, waitedMs: 0, startInMs: 1_000 };
  const ownerOf = (route: string) => ({ route, tenant: undefined });
  const ranks = ['bound', 'free'].map((route) => ({ ...rank, homeOwner: ownerOf(route) }));
  gateway.send({ kind: 'demand', ranks, grantsSeen: 0 });
  await waitUntil(() => received.some(({ kind }) => kind === 'granted'));
  const granted = received.filter(({ kind }) => kind === 'granted');
  t.deepEqual(granted, [{ kind: 'granted', homeOwner: ownerOf('free') }]);
  await metrics.load(() => ({ slots: 1, occupied: 1, unaccounted: 0, gateways: 1 }));
  gateway.send({ kind: 'grant-used' });
  gateway.send({ kind: 'taken', homeOwner: ownerOf('bound') });
  let text = '';
  const read = () =>
    metrics.record(({ registry }) => void registry.metrics().then((all) => (text = all)));
  await waitUntil(() => {
    read();
    return text.includes('weirvale_slots_taken_forbidden_total{reason="outside-home"} 1');
  });
  t.pass();
});
