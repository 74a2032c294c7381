import test from 'ava';
import { headerValue } from '../src/http/header-value.js';
import { PLATFORM_PROTOCOL } from '../platform/caller-protocol.js';

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
  requestId: headerValue('r1'),
  remainingMs: 100,
  backendName: headerValue('i-1'),
  tenant: undefined,
  lastEventId: undefined,
};

function valuesOf(headers: readonly string[], name: string): string[] {
  return headers.filter((_, index) => headers[index - 1]?.toLowerCase() === name.toLowerCase());
}

test('values that a caller sends in reserved headers do not reach a backend', (t) => {
  const received = FORGED.flatMap((name) => [name.toLowerCase(), 'forged']);
  const headers = PLATFORM_PROTOCOL.attemptHeaders(received, ATTEMPT);
  t.false(headers.includes('forged'));
});

test('reserved headers of a caller are reported, and the request is still read', (t) => {
  const headers = Object.fromEntries(FORGED.map((name) => [name.toLowerCase(), 'forged']));
  const read = PLATFORM_PROTOCOL.readRequest({ ...headers, 'x-weirvale-attempt-id': 'r1' });
  t.is(read.requestId, headerValue('r1'));
  t.deepEqual([...read.reservedHeaders].sort(), FORGED.map((name) => name.toLowerCase()).sort());
});

test('headers that callers may set reach a backend unchanged', (t) => {
  const names = [
    'X-Weirvale-Attempt-Id',
    'X-Weirvale-Model',
    'X-Weirvale-Token-Counts',
    'X-Weirvale-Prompt-Prefix',
    'X-Weirvale-Length-Hint',
    'X-Anything',
  ];
  const received = names.flatMap((name) => [name, `value of ${name}`]);
  const headers = PLATFORM_PROTOCOL.attemptHeaders(received, ATTEMPT);
  for (const name of names) {
    t.deepEqual(valuesOf(headers, name), [`value of ${name}`]);
  }
});

test("the gateway's deadline replaces the caller's, and the API key is not forwarded", (t) => {
  const received = ['X-Weirvale-Deadline-Ms', '9000', 'Authorization', 'Bearer secret'];
  const headers = PLATFORM_PROTOCOL.attemptHeaders(received, ATTEMPT);
  t.deepEqual(valuesOf(headers, 'X-Weirvale-Deadline-Ms'), ['100']);
  t.deepEqual(valuesOf(headers, 'Authorization'), []);
});

test('the shared parts of a prompt are all but the last; malformed, repeated and too many parts are bounded', (t) => {
  const read = (value: string) =>
    PLATFORM_PROTOCOL.readRequest({ 'x-weirvale-prompt-prefix': value }).sharedPromptParts;
  t.deepEqual(read('5c1e07a2:800,91BD3F06:410,e4402b7d:250'), ['5c1e07a2', '91bd3f06']);
  t.deepEqual(read('5c1e07a2:800'), []);
  t.deepEqual(read(''), []);
  t.deepEqual(read('a1:1, b2:2,a1:3,zz:4,b3,:5,c4:x,d5:6'), ['a1', 'b2']);
  const many = Array.from({ length: 5_000 }, (_unused, index) => `${index.toString(16)}:1`);
  t.is(read(many.join(',')).length, 64);
  t.deepEqual(PLATFORM_PROTOCOL.readRequest({}).sharedPromptParts, []);
});
