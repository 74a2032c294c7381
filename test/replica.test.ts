import { connect } from 'node:net';
import test from 'ava';
import { SYSTEM_CLOCK } from '../src/clock.js';
import { PeerMesh } from '../src/cluster/peer-mesh.js';
import type { PeerHello, PeerMessage } from '../src/cluster/peer-messages.js';
import type { StoreRecord } from '../src/cluster/replicated-records.js';
import { MessageChannel } from '../src/protocol/message-channel.js';
import { SeededRandom } from '../src/random.js';
import { SlotAgentRole } from '../src/slot-agent/slot-agent-role.js';
import type { AgentToGateway, GatewayToAgent } from '../src/slot-agent/slot-messages.js';

const HOST = '127.0.4.1';
/** Ports below those that the system hands out, on an address of this file's own: nobody else takes them. */
let lastPort = 28_500;
const RECORD: StoreRecord = { key: 'k', revision: 3, value: 'v' };

function nextPort(): number {
  lastPort += 1;
  return lastPort;
}

function helloOf(name: string, port: number): PeerHello {
  const address = `${HOST}:${port}`;
  return { kind: 'hello', role: 'gateway', name, incarnation: `${name}.1`, address };
}

/** A gateway's mesh; resolves with the first records that it hears. */
function startMesh(
  hello: PeerHello,
  seeds: string[],
  onOpened: (send: (message: PeerMessage) => void) => void = () => undefined,
): { mesh: PeerMesh; heard: Promise<readonly StoreRecord[]>; peers: string[] } {
  const peers: string[] = [];
  let mesh: PeerMesh | undefined;
  const heard = new Promise<readonly StoreRecord[]>((resolve) => {
    const handlers = {
      onMessage: (_peer: string, message: PeerMessage) => {
        if (message.kind === 'records') {
          resolve(message.records);
        }
      },
      onOpened,
      onPeer: (peer: string) => void peers.push(peer),
    };
    mesh = new PeerMesh(hello, seeds, handlers, SYSTEM_CLOCK, new SeededRandom(1));
    mesh.listen(HOST, Number(hello.address.split(':')[1]));
    mesh.start();
  });
  return { mesh: mesh!, heard, peers };
}

test('gateways hand records to each other and learn of third ones', async (t) => {
  const [portA, portB, portC] = [nextPort(), nextPort(), nextPort()];
  const a = startMesh(helloOf('a', portA), [], (send) =>
    send({ kind: 'records', records: [RECORD] }),
  );
  const b = startMesh(helloOf('b', portB), [`${HOST}:${portA}`]);
  const c = startMesh(helloOf('c', portC), [`${HOST}:${portB}`]);
  t.deepEqual(await c.heard, [RECORD]);
  t.true(c.peers.includes('a.1'));
  [a, b, c].forEach(({ mesh }) => mesh.stop());
});

test('an agent hands the records of a gateway that died to one that starts', async (t) => {
  const [agentPort, gatewayPort] = [nextPort(), nextPort()];
  const seeds = [`${HOST}:${gatewayPort}`];
  const agent = new SlotAgentRole(
    { name: 'agent', seeds },
    () => Promise.resolve(0),
    SYSTEM_CLOCK,
    new SeededRandom(2),
  );
  agent.start(HOST, agentPort);
  const socket = connect(agentPort, HOST);
  const dead = new MessageChannel<GatewayToAgent, AgentToGateway>(socket, {
    onMessage: () => undefined,
    onClose: () => undefined,
  });
  dead.send({ kind: 'records', records: [RECORD] });
  await new Promise((resolve) => setTimeout(resolve, 50));
  dead.close();
  const started = startMesh(helloOf('g', gatewayPort), []);
  t.deepEqual(await started.heard, [RECORD]);
  t.deepEqual(started.peers, []);
  started.mesh.stop();
  agent.stop();
});
