import fc from 'fast-check';
import test from 'ava';
import { SYSTEM_CLOCK } from '../src/clock.js';
import { EventStreamParser } from '../src/gateway/attempt/event-stream-parser.js';

const STREAM = 'id: 1\ndata: a\n\nid: 2\ndata: b\n\ndata: no id\n\n';

test('the stream parser returns the same events for any chunk sizes', (t) => {
  fc.assert(
    fc.property(fc.array(fc.integer({ min: 1, max: 9 }), { minLength: 1 }), (sizes) => {
      const parser = new EventStreamParser(SYSTEM_CLOCK);
      const events = [];
      let from = 0;
      for (let index = 0; from < STREAM.length; index += 1) {
        const size = sizes[index % sizes.length]!;
        events.push(...parser.push(Buffer.from(STREAM.slice(from, from + size))));
        from += size;
      }
      const joined = events.map(({ bytes }) => bytes.toString()).join('');
      const ids = events.map(({ id }) => id).join();
      return joined === STREAM && ids === '1,2,' && !parser.hasPartialEvent;
    }),
  );
  t.pass();
});

test('the stream parser holds back an event without its terminating blank line', (t) => {
  const parser = new EventStreamParser(SYSTEM_CLOCK);
  t.is(parser.push(Buffer.from('id: 1\ndata: a\n')).length, 0);
  t.true(parser.hasPartialEvent);
});

test('a stream of small events without end is unusable, and the first ones are read', (t) => {
  const parser = new EventStreamParser(SYSTEM_CLOCK);
  const events = parser.push(Buffer.from('data: x\n\n'.repeat(10_000)));
  t.true(events.length >= 2_000 && events.length < 10_000);
  t.is(parser.problem, 'too many small events');
  t.deepEqual(parser.push(Buffer.from('data: x\n\n')), []);
});
