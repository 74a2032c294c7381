import test from 'ava';
import type { DispatchRequest } from '../src/gateway/dispatch/dispatch-request.js';
import { WaitingQueue } from '../src/gateway/dispatch/waiting-queue.js';

function requestOf(changes: Partial<DispatchRequest>): DispatchRequest {
  return {
    service: 's',
    allowedRegions: undefined,
    requiredVersion: undefined,
    tier: 1,
    rankInTier: 0,
    arrivedAtMs: 0,
    startByMs: 100,
    units: 1,
    promptTokens: 0,
    firstDueAtMs: 100,
    maxPauseMs: 0,
    isRepeatable: false,
    excluded: new Set(),
    onPlaced: () => undefined,
    ...changes,
  };
}

test('a late request is ordered behind the next rank of its tier and before the one after', (t) => {
  const queue = new WaitingQueue();
  const urgent = requestOf({ startByMs: 50 });
  const next = requestOf({ rankInTier: 1, arrivedAtMs: 20 });
  const last = requestOf({ rankInTier: 2, arrivedAtMs: 20 });
  const lowerTier = requestOf({ tier: 2, arrivedAtMs: 30 });
  [lowerTier, last, next, urgent].forEach((request) => queue.add(request));
  t.deepEqual(queue.inOrder(40), [urgent, next, last, lowerTier]);
  t.deepEqual(queue.inOrder(60), [next, urgent, last, lowerTier]);
});

test('only requests ordered before a request count as ahead of it', (t) => {
  const queue = new WaitingQueue();
  const first = requestOf({});
  const second = requestOf({ arrivedAtMs: 1 });
  const late = requestOf({ startByMs: -1 });
  [first, second, late].forEach((request) => queue.add(request));
  t.is(queue.countBefore(second, 5), 1);
  t.true(queue.remove(first));
  t.is(queue.countBefore(second, 5), 0);
  t.false(queue.remove(first));
});
