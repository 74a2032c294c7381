import fc from 'fast-check';
import test from 'ava';
import { EventSplitter } from '../src/gateway/attempt/event-stream.js';

const STREAM = 'id: 1\ndata: a\n\nid: 2\ndata: b\n\ndata: no id\n\n';

test('however the bytes are cut, the same whole events come out', (t) => {
  fc.assert(
    fc.property(fc.array(fc.integer({ min: 1, max: 9 }), { minLength: 1 }), (sizes) => {
      const splitter = new EventSplitter();
      const events = [];
      let from = 0;
      for (let turn = 0; from < STREAM.length; turn += 1) {
        const size = sizes[turn % sizes.length]!;
        events.push(...splitter.push(Buffer.from(STREAM.slice(from, from + size))));
        from += size;
      }
      const joined = events.map(({ bytes }) => bytes.toString()).join('');
      const ids = events.map(({ id }) => id).join();
      return joined === STREAM && ids === '1,2,' && !splitter.hasPartialEvent;
    }),
  );
  t.pass();
});

test('an event without its closing line stays back', (t) => {
  const splitter = new EventSplitter();
  t.is(splitter.push(Buffer.from('id: 1\ndata: a\n')).length, 0);
  t.true(splitter.hasPartialEvent);
});
