import test from 'ava';
import { PolicySynchronizer } from '../src/policy/policy-synchronizer.js';
import { PolicyReplica } from '../src/policy/replica.js';

/** Returns the targets of update requests while each peer reports generation 5 every 400 ms. */
function requestedPeers(names: readonly string[], forMs: number): string[] {
  const synchronizer = new PolicySynchronizer(new PolicyReplica());
  const requested: string[] = [];
  for (let nowMs = 0; nowMs < forMs; nowMs += 400) {
    for (const name of names) {
      if (synchronizer.onPeerGeneration(name, 5, nowMs) !== undefined) {
        requested.push(name);
      }
    }
  }
  return requested;
}

test('an unresponsive peer is not retried before the other peers with a newer generation', (t) => {
  t.deepEqual(requestedPeers(['deaf', 'b', 'c'], 2_400), ['deaf', 'b', 'c']);
});

test('an unresponsive peer is retried if no other peer has a newer generation', (t) => {
  t.deepEqual(requestedPeers(['a'], 2_000), ['a', 'a', 'a']);
});

test('a newer peer that stops reporting does not block retries to other peers', (t) => {
  const synchronizer = new PolicySynchronizer(new PolicyReplica());
  t.truthy(synchronizer.onPeerGeneration('a', 5, 0));
  t.is(synchronizer.onPeerGeneration('gone', 5, 100), undefined);
  t.is(synchronizer.onPeerGeneration('a', 5, 1_000), undefined);
  t.truthy(synchronizer.onPeerGeneration('a', 5, 1_600));
});
