/**
 * Crowds of clients that send without end what is legal in size, or far beyond the limits, and read
 * nothing: the gateway process lives, stays within its machine and serves the next ordinary request.
 */
import test from 'ava';
import type { ExecutionContext } from 'ava';
import type { CrowdClient } from '../support/client-crowd.js';
import { batch, batchOf, chunkedHead, manyLines, withBody } from '../support/crowd-input.js';
import {
  HELD_PATH,
  LARGE_PATH,
  LIMITS,
  ORDINARY_PATH,
  startCrowdedGateway,
} from '../support/crowded-gateway.js';
import type { CrowdOutcome } from '../support/crowded-process.js';

const HOST = '127.0.3.61';
const HEADERS = 'Host: h\r\nAuthorization: Bearer key\r\n';
const PLAIN = batch(`GET ${ORDINARY_PATH} HTTP/1.1\r\nHost: h\r\n\r\n`);
const PLAIN_START = `GET ${ORDINARY_PATH} HTTP/1.1\r\nHost: h\r\n`;

async function withstand(
  t: ExecutionContext,
  client: CrowdClient,
  count: number,
): Promise<CrowdOutcome> {
  const gateway = await startCrowdedGateway(t, HOST);
  return gateway.process.withstand(t, client, count);
}

test.serial('requests without a key sent ahead, responses unread', async (t) => {
  await withstand(t, { repeated: PLAIN }, 20);
});

test.serial('requests without a key sent ahead, responses read', async (t) => {
  await withstand(t, { repeated: PLAIN, reads: true }, 20);
});

test.serial('requests without a host sent ahead', async (t) => {
  await withstand(t, { repeated: batch(`GET ${ORDINARY_PATH} HTTP/1.1\r\n\r\n`) }, 20);
});

test.serial('requests with a key sent ahead to a backend that does not respond', async (t) => {
  await withstand(t, { repeated: batch(`GET ${HELD_PATH} HTTP/1.1\r\n${HEADERS}\r\n`) }, 20);
});

test.serial('large responses to requests sent ahead, unread', async (t) => {
  await withstand(t, { repeated: batch(`GET ${LARGE_PATH} HTTP/1.1\r\n${HEADERS}\r\n`) }, 20);
});

test.serial('very many short header lines', async (t) => {
  await withstand(
    t,
    { repeated: manyLines(PLAIN_START, LIMITS.maxHeaderBytes, () => 'a:\r\n') },
    20,
  );
});

test.serial('very many header lines with names of their own', async (t) => {
  const line = (index: number) => `${index.toString(36)}:\r\n`;
  await withstand(t, { repeated: manyLines(PLAIN_START, LIMITS.maxHeaderBytes, line) }, 20);
});

test.serial('very many header lines to a backend that does not respond', async (t) => {
  const line = (index: number) => `x-${index.toString(36).padStart(5, '0')}: v\r\n`;
  const start = `GET ${HELD_PATH} HTTP/1.1\r\n${HEADERS}`;
  await withstand(t, { repeated: manyLines(start, LIMITS.maxHeaderBytes, line) }, 100);
});

test.serial('header lines without end', async (t) => {
  const first = Buffer.from(`GET ${ORDINARY_PATH} HTTP/1.1\r\n`);
  await withstand(t, { first, repeated: batch('a:\r\n') }, 20);
});

test.serial('bodies of legal length that never end', async (t) => {
  const whole = withBody(ORDINARY_PATH, HEADERS, LIMITS.maxBodyBytes);
  await withstand(t, { first: whole.subarray(0, whole.length - 1) }, 100);
});

test.serial('bodies of legal length to a backend that does not respond', async (t) => {
  await withstand(t, { repeated: withBody(HELD_PATH, HEADERS, 512 * 1_024) }, 20);
});

test.serial('bodies without end in chunks of one byte', async (t) => {
  const first = chunkedHead(ORDINARY_PATH, HEADERS);
  await withstand(t, { first, repeated: batch('1\r\nx\r\n') }, 100);
});

test.serial('chunk extensions without end', async (t) => {
  const first = chunkedHead(ORDINARY_PATH, HEADERS);
  const repeated = batch(`1;${'e'.repeat(8_000)}\r\nx\r\n`);
  await withstand(t, { first, repeated }, 20);
});

test.serial('trailer lines without end', async (t) => {
  const first = Buffer.concat([chunkedHead(ORDINARY_PATH, HEADERS), Buffer.from('0\r\n')]);
  await withstand(t, { first, repeated: batch('a:\r\n') }, 20);
});

test.serial('bodies announced as far too long', async (t) => {
  const head = `POST ${ORDINARY_PATH} HTTP/1.1\r\n${HEADERS}Content-Length: 99999999999\r\n\r\n`;
  const outcome = await withstand(
    t,
    { first: Buffer.from(head), repeated: batchOf('x'), reconnects: false },
    20,
  );
  t.is(outcome.closedCount, 20);
});

test.serial('bodies in chunks that are far too long', async (t) => {
  const bytes = batchOf('x');
  const chunk = Buffer.concat([
    Buffer.from(`${bytes.length.toString(16)}\r\n`),
    bytes,
    Buffer.from('\r\n'),
  ]);
  const outcome = await withstand(
    t,
    { first: chunkedHead(ORDINARY_PATH, HEADERS), repeated: chunk, reconnects: false },
    20,
  );
  t.is(outcome.closedCount, 20);
});

test.serial('heads that hold no line but never end', async (t) => {
  const first = Buffer.from(`GET ${ORDINARY_PATH} HTTP/1.1\r\na:`);
  const client = { first, repeated: batchOf(' '), reconnects: false };
  const outcome = await withstand(t, client, 20);
  t.is(outcome.closedCount, 20);
});

test.serial('blank lines before a request without end', async (t) => {
  const outcome = await withstand(t, { repeated: batch('\r\n'), reconnects: false }, 20);
  t.is(outcome.closedCount, 20);
});

test.serial('more connections than the machine has descriptors', async (t) => {
  await withstand(t, { first: Buffer.from('GET /a/x HTTP/1.1\r\nHost: h\r\n') }, 700);
});
