import test from 'ava';
import { PolicyExchange } from '../src/policy/exchange.js';
import { PolicyReplica } from '../src/policy/replica.js';

/** Peers that are asked while each shows a newer generation every 400 ms, in the given order. */
function askedPeers(names: readonly string[], forMs: number): string[] {
  const exchange = new PolicyExchange(new PolicyReplica());
  const asked: string[] = [];
  for (let nowMs = 0; nowMs < forMs; nowMs += 400) {
    for (const name of names) {
      if (exchange.onPeerGeneration(name, 5, nowMs) !== undefined) {
        asked.push(name);
      }
    }
  }
  return asked;
}

test('a peer that is heard and does not answer is not asked before the others', (t) => {
  t.deepEqual(askedPeers(['deaf', 'b', 'c'], 2_400), ['deaf', 'b', 'c']);
});

test('one that is asked in vain is asked again where nobody else is ahead', (t) => {
  t.deepEqual(askedPeers(['a'], 2_000), ['a', 'a', 'a']);
});

test('a peer that is gone does not keep others from being asked again', (t) => {
  const exchange = new PolicyExchange(new PolicyReplica());
  t.truthy(exchange.onPeerGeneration('a', 5, 0));
  t.is(exchange.onPeerGeneration('gone', 5, 100), undefined);
  t.is(exchange.onPeerGeneration('a', 5, 1_000), undefined);
  t.truthy(exchange.onPeerGeneration('a', 5, 1_600));
});
