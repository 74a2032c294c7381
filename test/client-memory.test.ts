/** The account of the memory that clients hold. */
import test from 'ava';
import fc from 'fast-check';
import { ClientMemory, RequestMemory } from '../src/http/client-memory.js';
import type { MemoryHolder } from '../src/http/client-memory.js';

const LIMIT = 1_000;

test('the holder of most is evicted when all together hold too much', (t) => {
  const memory = new ClientMemory(LIMIT);
  const evicted: string[] = [];
  const holders = ['small', 'large', 'newest'].map((name) =>
    memory.addHolder(() => evicted.push(name)),
  );
  holders[0]!.add(100);
  holders[1]!.add(800);
  holders[2]!.add(200);
  t.deepEqual(evicted, ['large']);
  t.is(memory.heldBytes, 300);
});

test('what an evicted or removed holder adds later is not counted', (t) => {
  const memory = new ClientMemory(LIMIT);
  const evicted = memory.addHolder(() => undefined);
  evicted.add(LIMIT + 1);
  evicted.add(500);
  t.is(memory.heldBytes, 0);
});

type Step =
  | { readonly kind: 'body' | 'response'; readonly request: number; readonly bytes: number }
  | { readonly kind: 'end' | 'close'; readonly request: number };

const step: fc.Arbitrary<Step> = fc.oneof(
  fc.record({
    kind: fc.constantFrom('body' as const, 'response' as const),
    request: fc.nat({ max: 5 }),
    bytes: fc.nat({ max: 600 }),
  }),
  fc.record({
    kind: fc.constantFrom('end' as const, 'close' as const),
    request: fc.nat({ max: 5 }),
  }),
);

test('nothing is held after all requests and connections have ended, in any order', (t) => {
  fc.assert(
    fc.property(fc.array(step, { maxLength: 40 }), (steps) => {
      const memory = new ClientMemory(LIMIT);
      const holders: MemoryHolder[] = [0, 1, 2].map(() => memory.addHolder(() => undefined));
      const requests = [0, 1, 2, 3, 4, 5].map((index) => new RequestMemory(holders[index % 3]!));
      for (const each of steps) {
        const request = requests[each.request]!;
        if (each.kind === 'body') {
          request.add(each.bytes);
        } else if (each.kind === 'response') {
          request.setResponse(each.bytes);
        } else if (each.kind === 'end') {
          request.release();
        } else {
          memory.remove(holders[each.request % 3]!);
        }
        if (memory.heldBytes > LIMIT || memory.heldBytes < 0) {
          return false;
        }
      }
      requests.forEach((request) => request.release());
      return memory.heldBytes === 0;
    }),
    { seed: 93 },
  );
  t.pass();
});
