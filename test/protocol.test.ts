import test from 'ava';
import * as fc from 'fast-check';
import { FrameDecoder, FrameEncoder } from '../src/protocol/framing.js';
import type { Frame } from '../src/protocol/messages.js';
import { checkHello } from '../src/protocol/hello.js';

const HELLO: Frame = {
  generation: 3,
  messages: [
    {
      kind: 'hello',
      version: 1,
      role: 'entry',
      name: 'entry-1',
      incarnation: 'entry-1.a',
      zone: 'z',
      connectionNumber: 1,
    },
  ],
};

const frameArbitrary: fc.Arbitrary<Frame> = fc.record({
  generation: fc.nat(),
  messages: fc.array(
    fc.oneof(
      fc.record({
        kind: fc.constant('bid' as const),
        id: fc.string({ maxLength: 20 }),
        tenant: fc.string(),
        model: fc.string(),
        dataLabels: fc
          .dictionary(fc.stringMatching(/^[a-z]{1,6}$/), fc.string(), { noNullPrototype: true })
          .map((labels) => ({ ...labels })),
        tier: fc.nat(),
        deadlineInMs: fc.nat(),
        promptTokens: fc.nat(),
        maxOutputTokens: fc.nat(),
        isUrgent: fc.boolean(),
      }),
      fc.record({
        kind: fc.constant('answer-chunk' as const),
        id: fc.string({ maxLength: 20 }),
        index: fc.nat(),
        data: fc.string(),
      }),
      fc.record({ kind: fc.constant('call' as const), id: fc.string({ maxLength: 20 }) }),
    ),
    { maxLength: 5 },
  ),
});

test('frames decode correctly however the byte stream is split', (t) => {
  fc.assert(
    fc.property(
      fc.array(frameArbitrary, { maxLength: 20 }),
      fc.integer({ min: 1, max: 50 }),
      (frames, partLength) => {
        const encoder = new FrameEncoder();
        const decoder = new FrameDecoder();
        const bytes = Buffer.concat(frames.map((frame) => encoder.encode(frame)));
        const decoded: Frame[] = [];
        for (let offset = 0; offset < bytes.length; offset += partLength) {
          decoded.push(...decoder.push(bytes.subarray(offset, offset + partLength)).unwrap());
        }
        t.deepEqual(decoded, frames);
        t.true(decoder.end().ok);
      },
    ),
    { seed: 1, numRuns: 100 },
  );
});

test('arbitrary bytes decode to frames or a typed error and never throw', (t) => {
  fc.assert(
    fc.property(fc.uint8Array({ maxLength: 200 }), (bytes) => {
      const result = new FrameDecoder(1_000).push(Buffer.from(bytes));
      return result.ok || ['frame-too-long', 'malformed-frame'].includes(result.val.code);
    }),
    { seed: 2, numRuns: 500 },
  );
  t.pass();
});

test('an oversized frame is rejected from its header alone', (t) => {
  const header = Buffer.alloc(4);
  header.writeUInt32BE(5_000, 0);
  const result = new FrameDecoder(1_000).push(header);
  t.is(result.err && result.val.code, 'frame-too-long');
});

test('a stream that ends within a frame fails with truncated-frame', (t) => {
  const decoder = new FrameDecoder();
  decoder.push(new FrameEncoder().encode(HELLO).subarray(0, 10));
  const end = decoder.end();
  t.is(end.err && end.val.code, 'truncated-frame');
});

test('a hello with another version, role or name, or a missing hello, is rejected', (t) => {
  t.true(checkHello(HELLO, 'entry').ok);
  const hello = HELLO.messages[0]!;
  const other = { generation: 0, messages: [{ ...hello, version: 2 }] } as Frame;
  for (const refused of [
    checkHello(other, 'entry'),
    checkHello(HELLO, 'agent'),
    checkHello(HELLO, 'entry', 'entry-2'),
    checkHello({ generation: 0, messages: [{ kind: 'ping' }] }, 'entry'),
  ]) {
    t.is(refused.err && refused.val.code, 'hello-refused');
  }
});
