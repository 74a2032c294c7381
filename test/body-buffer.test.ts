import fc from 'fast-check';
import test from 'ava';
import { BodyBuffer } from '../src/http/body-buffer.js';

test('pieces of any size form the same body', (t) => {
  fc.assert(
    fc.property(fc.array(fc.uint8Array({ maxLength: 3_000 })), (pieces) => {
      const body = new BodyBuffer();
      const buffers = pieces.map((piece) => Buffer.from(piece));
      const copies = buffers.map((piece) => Buffer.from(piece));
      buffers.forEach((piece) => body.append(piece));
      t.deepEqual(body.toBuffer(), Buffer.concat(copies));
      t.is(body.length, Buffer.concat(copies).length);
      t.deepEqual(buffers, copies, 'the pieces are not changed');
    }),
    { seed: 20261204, numRuns: 200 },
  );
});

test('a body of one-byte pieces takes little more memory than its bytes', (t) => {
  const bytes = 1_000_000;
  const body = new BodyBuffer();
  for (let index = 0; index < bytes; index += 1) {
    body.append(Buffer.from([index & 0xff]));
  }
  t.is(body.length, bytes);
  t.true(body.toBuffer().buffer.byteLength <= bytes * 2 + 1_024);
});
