import test from 'ava';
import { PLATFORM_PROTOCOL } from '../platform/header-names.js';

const FORGED = [
  'X-Weirvale-Hold',
  'X-Weirvale-Pin-Ms',
  'X-Weirvale-Kv-Backup',
  'Kv-From',
  'Kv-Fetch',
  'X-Weirvale-Expect-Version',
  'X-Weirvale-Expect-Instance',
  'X-Weirvale-Tenant',
];

const ATTEMPT = {
  requestId: 'r1',
  remainingMs: 100,
  backendName: 'i-1',
  tenant: undefined,
  lastEventId: undefined,
};

function valuesOf(headers: readonly string[], name: string): string[] {
  return headers.filter((_, index) => headers[index - 1]?.toLowerCase() === name.toLowerCase());
}

test('no value that a caller gave a reserved header reaches a back end', (t) => {
  const received = FORGED.flatMap((name) => [name.toLowerCase(), 'forged']);
  const headers = PLATFORM_PROTOCOL.attemptHeaders(received, ATTEMPT);
  t.false(headers.includes('forged'));
});

test('reserved headers of a caller are reported, and the request is read all the same', (t) => {
  const headers = Object.fromEntries(FORGED.map((name) => [name.toLowerCase(), 'forged']));
  const read = PLATFORM_PROTOCOL.readRequest({ ...headers, 'x-weirvale-attempt-id': 'r1' });
  t.is(read.requestId, 'r1');
  t.deepEqual([...read.reservedHeaders].sort(), FORGED.map((name) => name.toLowerCase()).sort());
});

test("a caller's own headers reach a back end unchanged", (t) => {
  const own = [
    'X-Weirvale-Attempt-Id',
    'X-Weirvale-Model',
    'X-Weirvale-Token-Counts',
    'X-Weirvale-Prompt-Prefix',
    'X-Weirvale-Length-Hint',
    'X-Anything',
  ];
  const received = own.flatMap((name) => [name, `value of ${name}`]);
  const headers = PLATFORM_PROTOCOL.attemptHeaders(received, ATTEMPT);
  for (const name of own) {
    t.deepEqual(valuesOf(headers, name), [`value of ${name}`]);
  }
});

test("the gateway's deadline replaces the caller's, and the key stays behind", (t) => {
  const received = ['X-Weirvale-Deadline-Ms', '9000', 'Authorization', 'Bearer secret'];
  const headers = PLATFORM_PROTOCOL.attemptHeaders(received, ATTEMPT);
  t.deepEqual(valuesOf(headers, 'X-Weirvale-Deadline-Ms'), ['100']);
  t.deepEqual(valuesOf(headers, 'Authorization'), []);
});
