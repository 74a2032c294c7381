/**
 * Reconnection between two gateways after a partition. Guards against a path on which one direction
 * carries nothing for seconds after a one-way cut ends: the connection that carries the messages of
 * one gateway waits for the TCP retransmission timer, whose intervals double, and the other
 * gateway, which receives nothing, can reopen only the connection that carries its own messages.
 */
import test from 'ava';
import type { Clock } from '../src/clock.js';
import { DEFAULT_PEER_MESH_OPTIONS, PeerMesh } from '../src/cluster/peer-mesh.js';
import { NO_PROGRESS } from '../src/cluster/replicated-records.js';
import { HeapClock } from './support/heap-clock.js';
import { scenarioRandom } from './support/store-fleet.js';
import { VirtualNetwork } from './support/virtual-network.js';
import type { NetworkHost } from './support/virtual-network.js';
import { NO_POSITION } from '../src/cluster/store-position.js';

const PORT = 1;
const HEARTBEAT_MS = 500;
const TICK_MS = 100;
const SILENCE_MS = 1_500;
const HEARTBEAT = {
  kind: 'beat',
  reach: NO_PROGRESS,
  ageMs: 0,
  quotaPosition: NO_POSITION,
  isReading: false,
} as const;

/** Two gateways that send heartbeats and can be killed and restarted. */
class GatewayPair {
  readonly clock = new HeapClock();
  readonly network = new VirtualNetwork(this.clock);
  /** When each last received a message of the other, in milliseconds. */
  readonly lastReceivedAtMs = { a: -Infinity, b: -Infinity };
  readonly hellos = { a: 0, b: 0 };
  private readonly hosts: { a?: NetworkHost | undefined; b?: NetworkHost | undefined } = {};
  private readonly random = scenarioRandom(1);

  kill(name: 'a' | 'b'): void {
    this.network.endProcess(this.hosts[name]!);
    this.hosts[name] = undefined;
  }

  start(name: 'a' | 'b', incarnation: number): void {
    const host: NetworkHost = {
      address: name,
      runWhenActive: (action) => {
        if (this.hosts[name] === host) {
          action();
        }
      },
    };
    this.hosts[name] = host;
    const clock: Clock = {
      now: () => this.clock.now(),
      setTimeout: (callback, delayMs) =>
        this.clock.setTimeout(() => host.runWhenActive(callback), delayMs),
      clearTimeout: (handle) => handle !== undefined && this.clock.clearTimeout(handle),
    };
    const mesh = new PeerMesh(
      {
        kind: 'hello',
        role: 'gateway',
        name,
        incarnation: `${name}.${incarnation}`,
        address: `${name}:${PORT}`,
      },
      [`a:${PORT}`, `b:${PORT}`],
      {
        onMessage: () => void (this.lastReceivedAtMs[name] = this.clock.now()),
        onReply: () => undefined,
        onOpened: (send) => send(HEARTBEAT),
        onPeerChange: (_peer, isPresent) => void (this.hellos[name] += isPresent ? 1 : 0),
      },
      clock,
      this.random,
      DEFAULT_PEER_MESH_OPTIONS,
      this.network.createPeerNetwork(host),
    );
    mesh.listen(name, PORT);
    mesh.start();
    this.scheduleEvery(HEARTBEAT_MS, () => host.runWhenActive(() => mesh.broadcast(HEARTBEAT)));
    this.scheduleEvery(TICK_MS, () =>
      host.runWhenActive(() => mesh.reconnectSilentPeers(SILENCE_MS)),
    );
  }

  async run(forMs: number): Promise<void> {
    const untilMs = this.clock.now() + forMs;
    while (this.clock.step(untilMs)) {
      await new Promise((resolve) => setImmediate(resolve));
    }
  }

  private scheduleEvery(periodMs: number, act: () => void): void {
    this.clock.setTimeout(() => {
      act();
      this.scheduleEvery(periodMs, act);
    }, periodMs);
  }
}

for (const needsAcknowledgement of [true, false]) {
  const kind = needsAcknowledgement ? 'that blocks acknowledgements too' : 'in one direction only';
  test(`both gateways receive messages soon after the end of a partition ${kind}`, async (t) => {
    for (const cutMs of [1_000, 3_300, 7_000, 13_000]) {
      const pair = new GatewayPair();
      pair.network.needsAcknowledgement = needsAcknowledgement;
      pair.start('a', 1);
      pair.start('b', 1);
      await pair.run(3_000);
      pair.network.isOpen = (from) => from !== 'a';
      await pair.run(cutMs);
      pair.network.isOpen = () => true;
      await pair.run(SILENCE_MS + 1_000 + HEARTBEAT_MS);
      const sinceMs = pair.clock.now() - HEARTBEAT_MS * 2;
      t.true(pair.lastReceivedAtMs.b >= sinceMs, `b after ${cutMs} ms`);
      t.true(pair.lastReceivedAtMs.a >= sinceMs, `a after ${cutMs} ms`);
    }
  });
}

test('no connection is reopened while both gateways receive messages', async (t) => {
  const pair = new GatewayPair();
  pair.start('a', 1);
  pair.start('b', 1);
  await pair.run(30_000);
  t.deepEqual(pair.hellos, { a: 1, b: 1 });
});

test('a restarted gateway receives messages at once, however long it was down', async (t) => {
  for (const downtimeMs of [700, 2_300, 5_000, 6_000, 8_000]) {
    const pair = new GatewayPair();
    pair.start('a', 1);
    pair.start('b', 1);
    await pair.run(3_000);
    pair.kill('b');
    await pair.run(downtimeMs);
    pair.lastReceivedAtMs.b = -Infinity;
    pair.start('b', 2);
    await pair.run(200);
    t.not(pair.lastReceivedAtMs.b, -Infinity, `down for ${downtimeMs} ms`);
  }
});
