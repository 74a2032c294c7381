/** Properties of what is read from outside: arbitrary and bit-flipped input, from fixed seeds. */
import { validateHeaderValue } from 'node:http';
import fc from 'fast-check';
import test from 'ava';
import { PLATFORM_PROTOCOL } from '../platform/caller-protocol.js';
import { decodeRecord } from '../platform/record-formats.js';
import { isAddress } from '../src/address.js';
import type { AttemptFailure, ResponseHead } from '../src/gateway/attempt/attempt.js';
import { EventStreamParser } from '../src/gateway/attempt/event-stream-parser.js';
import { SYSTEM_CLOCK } from '../src/clock.js';
import { HttpBackendSender } from '../src/gateway/attempt/http-backend-sender.js';
import { parseHeaderValue } from '../src/http/header-value.js';
import { CborFrameDecoder, CborFrameEncoder } from '../src/protocol/cbor-frames.js';
import { ok } from '../src/result.js';
import { backendOf } from './support/gateway-harness.js';
import { isDoneWithinTurns } from './support/loop-turns.js';
import { chunk, RawBackend, streamHead, wholeResponse } from './support/raw-backend.js';
import { positionAt } from './support/store-positions.js';

const RUNS = Number(process.env['FUZZ_RUNS'] ?? 2_000);
const SEED = Number(process.env['FUZZ_SEED'] ?? 71);
const SETTINGS = { seed: SEED, numRuns: RUNS };
const MAX_FLIPS = 4;
/** Turns of the event loop of sender and backend within which an attempt ends. */
const TURNS_UNTIL_END = 500;

/** Positions of bits that are flipped, as fractions of the length of the input. */
const flips = fc.array(
  fc.record({ at: fc.double({ min: 0, max: 0.999, noNaN: true }), bit: fc.nat(7) }),
  { maxLength: MAX_FLIPS },
);

function flip(input: Buffer, places: ReadonlyArray<{ at: number; bit: number }>): Buffer {
  const result = Buffer.from(input);
  for (const { at, bit } of places) {
    const index = Math.floor(at * result.length);
    result[index] = (result[index] ?? 0) ^ (1 << bit);
  }
  return result;
}

const BACKEND = {
  service: 's',
  address: '10.0.0.1:80',
  zone: 'z',
  version: 'v1',
  slots: 4,
  state: 'ready',
  coldRemainingMs: 0,
  sequence: 7,
  born: 1_700_000_000_000,
};
const CONFIGURATION = {
  version: 3,
  routes: [{ host: 'a', pathPrefix: '/a/', kind: 'safe', timeoutMs: 100, service: 's' }],
  services: [{ name: 's', maxConnections: 4, engine: { stride: 5 } }],
  tenants: [{ name: 't', apiKeys: ['k'], ratePerS: 5, burst: 2 }],
};

test('a header value is accepted exactly if an HTTP client can send it and it has no outer space', (t) => {
  fc.assert(
    fc.property(fc.string({ unit: 'binary', maxLength: 20 }), (text) => {
      let isSendable = text === text.replace(/^[\t ]+|[\t ]+$/g, '');
      try {
        validateHeaderValue('x', text);
      } catch {
        isSendable = false;
      }
      return (parseHeaderValue(text) !== undefined) === isSendable;
    }),
    SETTINGS,
  );
  t.pass();
});

const anyKey = fc.oneof(
  fc.constantFrom('op/config', 'servers/i-1', 'op/rollout/s', 'weirvale/quota-members'),
  fc.string({ unit: 'binary', maxLength: 30 }).map((name) => `servers/${name}`),
  fc.string({ unit: 'binary', maxLength: 30 }),
);
const anyValue = fc.oneof(
  fc.json(),
  fc.string({ unit: 'binary' }),
  fc
    .tuple(fc.constantFrom(BACKEND, CONFIGURATION), flips)
    .map(([value, places]) => flip(Buffer.from(JSON.stringify(value)), places).toString()),
  fc
    .tuple(fc.constantFrom(BACKEND, CONFIGURATION), fc.nat(20), fc.jsonValue())
    .map(([value, index, replacement]) => {
      const names = Object.keys(value);
      return JSON.stringify({ ...value, [names[index % names.length]!]: replacement });
    }),
);

test('any record has one typed decoding, and what is used of it is in range', (t) => {
  fc.assert(
    fc.property(anyKey, anyValue, (key, value) => {
      const decoded = decodeRecord({ key, ...positionAt(1), value });
      if (decoded.kind === 'backend' && decoded.announcement !== undefined) {
        const { name, address, slots, sequence, remainingColdMs } = decoded.announcement;
        validateHeaderValue('x', name);
        const numbers = [slots, sequence, remainingColdMs];
        return isAddress(address) && numbers.every((each) => Number.isFinite(each) && each >= 0);
      }
      if (decoded.kind === 'configuration') {
        const { routes, tenants } = decoded.configuration;
        tenants.forEach(({ name }) => validateHeaderValue('x', name));
        return routes.every(({ host, timeoutMs }) => {
          return typeof host === 'string' && timeoutMs > 0 && timeoutMs < 2 ** 31;
        });
      }
      return true;
    }),
    SETTINGS,
  );
  t.pass();
});

test('any bytes of a stream give the same events in any chunks, whose ids can be sent on', (t) => {
  const stream = Buffer.from('id: 1\ndata: a\n\nid: 2\ndata: b\n\n: ping\n\nid: 3\ndata: c\n\n');
  const input = fc.oneof(
    fc.uint8Array({ maxLength: 60 }).map((bytes) => Buffer.from(bytes)),
    flips.map((places) => flip(stream, places)),
    fc
      .string({ unit: 'binary-ascii', maxLength: 4 })
      .map((id) => Buffer.from(`id: 1\ndata: a\n\nid: ${id}\ndata: b\n\n`, 'latin1')),
  );
  fc.assert(
    fc.property(input, fc.integer({ min: 1, max: 9 }), (bytes, size) => {
      const whole = new EventStreamParser(SYSTEM_CLOCK);
      const expected = whole.push(bytes);
      const parser = new EventStreamParser(SYSTEM_CLOCK);
      const events = [];
      for (let from = 0; from < bytes.length; from += size) {
        events.push(...parser.push(bytes.subarray(from, from + size)));
      }
      expected.forEach(({ id }) => id === undefined || validateHeaderValue('x', id));
      const joined = Buffer.concat(events.map((event) => event.bytes));
      return (
        events.length === expected.length &&
        parser.problem === whole.problem &&
        joined.equals(bytes.subarray(0, joined.length))
      );
    }),
    SETTINGS,
  );
  t.pass();
});

test('any frame between processes decodes to a value or to a typed error', (t) => {
  const frame = new CborFrameEncoder<unknown>().encode([{ kind: 'beat', ageMs: 5, reach: [1, 2] }]);
  const input = fc.oneof(
    fc.uint8Array({ maxLength: 40 }).map((bytes) => Buffer.from(bytes)),
    flips.map((places) => flip(frame, places)),
  );
  fc.assert(
    fc.property(input, (bytes) => {
      const decoded = new CborFrameDecoder<unknown>((value) => ok(value)).push(bytes);
      return decoded.ok || decoded.val instanceof Error;
    }),
    SETTINGS,
  );
  t.pass();
});

test("any headers of a backend's response give a statement with numbers in range", (t) => {
  const headers = fc.dictionary(
    fc.constantFrom('server-limit', 'server-leaving', 'retry-after', 'x-weirvale-attempt-id'),
    fc.oneof(fc.string({ unit: 'binary', maxLength: 20 }), fc.double().map(String)),
  );
  fc.assert(
    fc.property(fc.integer({ min: 200, max: 599 }), headers, (status, received) => {
      const { statement } = PLATFORM_PROTOCOL.readAnswer(status, received);
      const numbers = [statement.limitPerS ?? 0, statement.restMs ?? 0];
      return numbers.every((each) => Number.isFinite(each) && each >= 0);
    }),
    SETTINGS,
  );
  t.pass();
});

interface Outcome {
  readonly ends: number;
  readonly head?: ResponseHead;
  readonly failure?: AttemptFailure;
}

test('any response to an attempt gives one outcome, and an accepted head can be forwarded', async (t) => {
  let response: Buffer = Buffer.alloc(0);
  const backend = new RawBackend((_request, socket) => {
    socket.end(response);
  });
  const address = await backend.start();
  const sender = new HttpBackendSender();
  t.teardown(() => {
    sender.close();
    backend.stop();
  });
  const attempt = {
    backend: backendOf('w', { address }),
    method: 'GET',
    path: '/',
    headers: [],
    body: Buffer.alloc(0),
    isRepeatable: false,
  };
  const send = async (): Promise<Outcome> => {
    let ends = 0;
    let head: ResponseHead | undefined;
    let failure: AttemptFailure | undefined;
    const handle = sender.send(attempt, {
      onHead: (received) => (head = received),
      onData: () => undefined,
      onEnd: () => (ends += 1),
      onFailure: (received) => {
        ends += 1;
        failure = received;
      },
    });
    await isDoneWithinTurns(() => ends > 0, TURNS_UNTIL_END);
    // A second end may come later in the same turn.
    await new Promise((resolve) => setImmediate(resolve));
    handle.cancel();
    return { ends, head, failure };
  };
  const sound = [
    wholeResponse('id', 'body'),
    `${streamHead('id')}${chunk('id: 1\ndata: a\n\n').toString('latin1')}0\r\n\r\n`,
  ].map((text) => Buffer.from(text, 'latin1'));
  const input = fc.oneof(
    fc.tuple(fc.constantFrom(...sound), flips).map(([text, places]) => flip(text, places)),
    fc.tuple(fc.constantFrom(...sound), fc.nat(200)).map(([text, end]) => text.subarray(0, end)),
    fc.uint8Array({ maxLength: 80 }).map((bytes) => Buffer.from(bytes)),
    fc
      .nat(999)
      .map((status) => wholeResponse('id', 'body', `${String(status).padStart(3, '0')} Any`))
      .map((text) => Buffer.from(text)),
  );
  await fc.assert(
    fc.asyncProperty(input, async (bytes) => {
      response = bytes;
      const { ends, head } = await send();
      const status = head?.status ?? 200;
      return ends === 1 && status >= 200 && status <= 599;
    }),
    SETTINGS,
  );
  t.pass();
});
