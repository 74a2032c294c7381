import { connect } from 'node:net';
import test from 'ava';
import { SYSTEM_CLOCK } from '../src/clock.js';
import { DEFAULT_PEER_MESH_OPTIONS, PeerMesh } from '../src/cluster/peer-mesh.js';
import type { PeerMeshHandlers } from '../src/cluster/peer-mesh.js';
import type { PeerHello, PeerMessage } from '../src/cluster/peer-messages.js';
import { RecordExchange } from '../src/cluster/record-exchange.js';
import { NO_PROGRESS, ReplicatedRecords } from '../src/cluster/replicated-records.js';
import type { StoreRecord } from '../src/cluster/replicated-records.js';
import { MessageChannel } from '../src/protocol/message-channel.js';
import { SeededRandom } from '../src/random.js';
import { ZoneTopology } from '../src/routing/zone-topology.js';
import { SlotAgentMetrics } from '../src/slot-agent/slot-agent-metrics.js';
import { SlotAgentRole } from '../src/slot-agent/slot-agent-role.js';
import { DecisionLog } from '../src/telemetry/decision-log.js';
import type { AgentToGateway, GatewayToAgent } from '../src/slot-agent/slot-messages.js';
import { positionAt } from './support/store-positions.js';
import { laterPosition, NO_POSITION } from '../src/cluster/store-position.js';
import type { StorePosition } from '../src/cluster/store-position.js';

const HOST = '127.0.4.1';
/**
 * Below the ephemeral port range, on an address that no other test file uses, so that the ports are
 * free.
 */
let lastPort = 28_500;
const RECORD: StoreRecord = { key: 'k', ...positionAt(3), value: 'v' };

function nextPort(): number {
  lastPort += 1;
  return lastPort;
}

function helloOf(name: string, port: number): PeerHello {
  const address = `${HOST}:${port}`;
  return { kind: 'hello', role: 'gateway', name, incarnation: `${name}.1`, address };
}

/**
 * Starts a gateway's mesh and replica; `received` resolves with the first records from another
 * replica.
 */
function startMesh(
  hello: PeerHello,
  seeds: string[],
  known: StoreRecord[] = [],
): {
  mesh: PeerMesh;
  received: Promise<readonly StoreRecord[]>;
  peers: string[];
  kinds: ReadonlySet<string>;
} {
  const peers: string[] = [];
  const kinds = new Set<string>();
  const records = new ReplicatedRecords();
  records.applyListing(known, known.reduce<StorePosition>(laterPosition, NO_POSITION));
  let mesh: PeerMesh | undefined;
  const received = new Promise<readonly StoreRecord[]>((resolve) => {
    const exchange = new RecordExchange(
      records,
      { isStoreReachable: () => false, onApplied: resolve },
      SYSTEM_CLOCK,
    );
    const heartbeat = (): PeerMessage => ({
      kind: 'beat',
      ageMs: 0,
      quotaPosition: NO_POSITION,
      isReading: false,
      reach: records.progress,
    });
    const handlers: PeerMeshHandlers = {
      onMessage: (peer, message, reply) => {
        kinds.add(message.kind);
        if (message.kind === 'records') {
          exchange.handleResponse(message);
          mesh!.broadcast(heartbeat());
        } else if (message.kind === 'beat' || message.kind === 'reach') {
          exchange.handleProgress(peer.name, message.reach, reply);
        }
      },
      onReply: (message, reply) => {
        if (message.kind === 'fetch') {
          reply(exchange.handleFetch(message));
        }
      },
      onOpened: (send) => send(heartbeat()),
      onPeerChange: (peer) => void peers.push(peer),
    };
    mesh = new PeerMesh(hello, seeds, handlers, SYSTEM_CLOCK, new SeededRandom(1));
    mesh.listen(HOST, Number(hello.address.split(':')[1]));
    mesh.start();
  });
  return { mesh: mesh!, received, peers, kinds };
}

test('gateways exchange records and the addresses of other gateways', async (t) => {
  const [portA, portB, portC] = [nextPort(), nextPort(), nextPort()];
  const a = startMesh(helloOf('a', portA), [], [RECORD]);
  const b = startMesh(helloOf('b', portB), [`${HOST}:${portA}`]);
  const c = startMesh(helloOf('c', portC), [`${HOST}:${portB}`]);
  t.deepEqual(await c.received, [RECORD]);
  t.true(c.peers.includes('a.1'));
  [a, b, c].forEach(({ mesh }) => mesh.stop());
});

test('the connection to a silent peer is reopened, but not the one to a peer that sends messages', async (t) => {
  const [portA, portB] = [nextPort(), nextPort()];
  const a = startMesh(helloOf('a', portA), []);
  const b = startMesh(helloOf('b', portB), [`${HOST}:${portA}`]);
  const hellosOfB = () => a.peers.filter((peer) => peer === 'b.1').length;
  const settle = () => new Promise((resolve) => setTimeout(resolve, 150));
  await settle();
  t.is(hellosOfB(), 1);
  b.mesh.reconnectSilentPeers(10_000);
  await settle();
  t.is(hellosOfB(), 1);
  b.mesh.reconnectSilentPeers(50);
  await settle();
  t.is(hellosOfB(), 2);
  a.mesh.broadcast({
    kind: 'beat',
    ageMs: 0,
    quotaPosition: NO_POSITION,
    isReading: false,
    reach: NO_PROGRESS,
  });
  await new Promise((resolve) => setTimeout(resolve, 20));
  b.mesh.reconnectSilentPeers(100);
  await settle();
  t.is(hellosOfB(), 2);
  [a, b].forEach(({ mesh }) => mesh.stop());
});

test('a mesh at its connection limit connects to another address when one fails', async (t) => {
  const [portA, portB, deadPort] = [nextPort(), nextPort(), nextPort()];
  const a = startMesh(helloOf('a', portA), [], [RECORD]);
  const handlers = {
    onMessage: () => undefined,
    onReply: () => undefined,
    onPeerChange: () => undefined,
  };
  const opened = new Promise<void>((resolve) => {
    const limited = new PeerMesh(
      { ...helloOf('b', portB), role: 'replica', address: '' },
      [`${HOST}:${deadPort}`, `${HOST}:${portA}`],
      { ...handlers, onOpened: () => resolve(limited.stop()) },
      SYSTEM_CLOCK,
      new SeededRandom(1),
      { ...DEFAULT_PEER_MESH_OPTIONS, maxConnections: 1 },
    );
    limited.start();
  });
  await opened;
  t.pass();
  a.mesh.stop();
});

/**
 * Acts as a gateway that sends its records to an agent and closes once the agent has applied them.
 */
function sendRecordsToAgent(port: number): Promise<void> {
  return new Promise((resolve) => {
    const channel = new MessageChannel<GatewayToAgent, AgentToGateway>(connect(port, HOST), {
      onMessage: (message) => {
        if (message.kind === 'fetch') {
          const { since } = message;
          const reach = { completeTo: positionAt(3), currentTo: positionAt(3) };
          const update = { since, isWhole: false, records: [RECORD], epochStart: positionAt(0) };
          channel.send({ kind: 'records', ...reach, ...update });
          // Messages are processed in order: the response to this one shows that the records
          // arrived.
          channel.send({ kind: 'hello', gateway: 'dead', peersAddress: '', held: 0, slots: 1 });
        } else {
          channel.close();
        }
      },
      onClose: resolve,
    });
    channel.send({ kind: 'reach', reach: { completeTo: positionAt(3), currentTo: positionAt(3) } });
  });
}

test('a slot agent passes the records of a gateway that exited to one that starts', async (t) => {
  const [agentPort, gatewayPort] = [nextPort(), nextPort()];
  const seeds = [`${HOST}:${gatewayPort}`];
  const agent = new SlotAgentRole({
    limits: { coldOver: 1, coldSlack: 0 },
    identity: { name: 'agent', engine: { address: `${HOST}:1`, zone: 'z' }, seeds },
    places: new ZoneTopology(new Map()),
    decode: () => ({ kind: 'irrelevant' }),
    probeEngine: () => Promise.resolve({ kind: 'load', requests: 0 }),
    clock: SYSTEM_CLOCK,
    random: new SeededRandom(2),
    log: new DecisionLog({ role: 'slot-agent', process: 'agent', zone: 'z' }, 0, SYSTEM_CLOCK),
    metrics: new SlotAgentMetrics(),
  });
  agent.start({ host: HOST, port: agentPort, metricsPort: 0 });
  await sendRecordsToAgent(agentPort);
  const started = startMesh(helloOf('g', gatewayPort), []);
  t.deepEqual(await started.received, [RECORD]);
  t.deepEqual(started.peers, []);
  // A process that sends heartbeats gets a share of the quotas, so an agent must not send any.
  t.false(started.kinds.has('beat'));
  started.mesh.stop();
  agent.stop();
});
