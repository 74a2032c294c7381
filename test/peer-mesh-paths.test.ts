/**
 * A path between two gateways that was cut one way stayed silent that way for seconds after it was back: the
 * connection that carries the words of one of them waits for its system to send again, at intervals that double, and
 * only the side that hears nothing opened another connection, which carries its own words.
 */
import test from 'ava';
import type { Clock } from '../src/clock.js';
import { DEFAULT_PEER_MESH_OPTIONS, PeerMesh } from '../src/cluster/peer-mesh.js';
import { NO_REACH } from '../src/cluster/replicated-records.js';
import { HeapClock } from './support/heap-clock.js';
import { scenarioRandom } from './support/store-fleet.js';
import { VirtualNetwork } from './support/virtual-network.js';
import type { NetworkHost } from './support/virtual-network.js';
import { NO_POSITION } from '../src/cluster/store-position.js';

const PORT = 1;
const BEAT_MS = 500;
const TICK_MS = 100;
const SILENCE_MS = 1_500;
const BEAT = {
  kind: 'beat',
  reach: NO_REACH,
  ageMs: 0,
  quotaPosition: NO_POSITION,
  isReading: false,
} as const;

/** Two gateways that beat; `startedAtMs` of the second is when it starts after a first life that was killed. */
class TwoGateways {
  readonly clock = new HeapClock();
  readonly network = new VirtualNetwork(this.clock);
  /** When each heard the other last, in milliseconds. */
  readonly heardAtMs = { a: -Infinity, b: -Infinity };
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
      act: (action) => {
        if (this.hosts[name] === host) {
          action();
        }
      },
    };
    this.hosts[name] = host;
    const clock: Clock = {
      now: () => this.clock.now(),
      setTimeout: (callback, delayMs) => this.clock.setTimeout(() => host.act(callback), delayMs),
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
        onMessage: () => void (this.heardAtMs[name] = this.clock.now()),
        onQuestion: () => undefined,
        onOpened: (send) => send(BEAT),
        onPeer: (_peer, isPresent) => void (this.hellos[name] += isPresent ? 1 : 0),
      },
      clock,
      this.random,
      DEFAULT_PEER_MESH_OPTIONS,
      this.network.of(host),
    );
    mesh.listen(name, PORT);
    mesh.start();
    this.every(BEAT_MS, () => host.act(() => mesh.broadcast(BEAT)));
    this.every(TICK_MS, () => host.act(() => mesh.reopenSilent(SILENCE_MS)));
  }

  async run(forMs: number): Promise<void> {
    const untilMs = this.clock.now() + forMs;
    while (this.clock.step(untilMs)) {
      await new Promise((resolve) => setImmediate(resolve));
    }
  }

  private every(periodMs: number, act: () => void): void {
    this.clock.setTimeout(() => {
      act();
      this.every(periodMs, act);
    }, periodMs);
  }
}

for (const needsAcknowledgement of [true, false]) {
  const kind = needsAcknowledgement
    ? 'that carries no acknowledgements'
    : 'that is cut one way only';
  test(`both sides hear each other soon after a path is back ${kind}`, async (t) => {
    for (const cutMs of [1_000, 3_300, 7_000, 13_000]) {
      const two = new TwoGateways();
      two.network.needsAcknowledgement = needsAcknowledgement;
      two.start('a', 1);
      two.start('b', 1);
      await two.run(3_000);
      two.network.isOpen = (from) => from !== 'a';
      await two.run(cutMs);
      two.network.isOpen = () => true;
      await two.run(SILENCE_MS + 1_000 + BEAT_MS);
      const sinceMs = two.clock.now() - BEAT_MS * 2;
      t.true(two.heardAtMs.b >= sinceMs, `b after ${cutMs} ms`);
      t.true(two.heardAtMs.a >= sinceMs, `a after ${cutMs} ms`);
    }
  });
}

test('no connection is opened anew while both sides are heard', async (t) => {
  const two = new TwoGateways();
  two.start('a', 1);
  two.start('b', 1);
  await two.run(30_000);
  t.deepEqual(two.hellos, { a: 1, b: 1 });
});

test('one that starts again is spoken to at once, however long it was away', async (t) => {
  for (const awayMs of [700, 2_300, 5_000, 6_000, 8_000]) {
    const two = new TwoGateways();
    two.start('a', 1);
    two.start('b', 1);
    await two.run(3_000);
    two.kill('b');
    await two.run(awayMs);
    two.heardAtMs.b = -Infinity;
    two.start('b', 2);
    await two.run(200);
    t.not(two.heardAtMs.b, -Infinity, `away for ${awayMs} ms`);
  }
});
