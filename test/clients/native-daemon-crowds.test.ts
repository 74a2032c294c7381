/** Crowds of clients at the entry of the native daemon: see client-crowds.test.ts. */
import test from 'ava';
import type { ExecutionContext } from 'ava';
import type { CrowdClient } from '../support/client-crowd.js';
import { batch, batchOf, chunkedHead, manyLines, withBody } from '../support/crowd-input.js';
import {
  CHAT_HEADERS,
  CHAT_PATH,
  chatBody,
  ENTRY_MAX_BODY_BYTES,
  startCrowdedEntry,
} from '../support/crowded-entry.js';
import type { CrowdOutcome } from '../support/crowded-process.js';
import { RawCaller } from '../support/raw-caller.js';

const HOST = '127.0.3.63';
const MAX_HEADER_BYTES = 16_384;
const HEADERS = Object.entries({ host: 'h', ...CHAT_HEADERS })
  .map(([name, value]) => `${name}: ${value}\r\n`)
  .join('');
const POLL_MS = 20;

async function withstand(
  t: ExecutionContext,
  client: CrowdClient,
  count: number,
): Promise<CrowdOutcome> {
  const entry = await startCrowdedEntry(t, HOST);
  return entry.process.withstand(t, client, count);
}

function chatRequest(content: string, headers = HEADERS): string {
  const body = chatBody(content);
  return `POST ${CHAT_PATH} HTTP/1.1\r\n${headers}Content-Length: ${body.length}\r\n\r\n${body}`;
}

test.serial('native daemon: requests without a key sent ahead, responses unread', async (t) => {
  await withstand(t, { repeated: batch(`GET ${CHAT_PATH} HTTP/1.1\r\nHost: h\r\n\r\n`) }, 20);
});

test.serial('native daemon: requests with a key sent ahead', async (t) => {
  await withstand(t, { repeated: batch(chatRequest('hello')) }, 20);
});

test.serial('native daemon: very many short header lines', async (t) => {
  const start = `GET ${CHAT_PATH} HTTP/1.1\r\nHost: h\r\n`;
  await withstand(t, { repeated: manyLines(start, MAX_HEADER_BYTES, () => 'a:\r\n') }, 20);
});

test.serial('native daemon: bodies of legal length that never end', async (t) => {
  const whole = withBody(CHAT_PATH, HEADERS, ENTRY_MAX_BODY_BYTES);
  await withstand(t, { first: whole.subarray(0, whole.length - 1) }, 100);
});

test.serial('native daemon: whole requests of legal length', async (t) => {
  await withstand(t, { repeated: Buffer.from(chatRequest('x'.repeat(512 * 1_024))) }, 20);
});

test.serial('native daemon: bodies without end in chunks of one byte', async (t) => {
  const first = chunkedHead(CHAT_PATH, HEADERS);
  await withstand(t, { first, repeated: batch('1\r\nx\r\n') }, 100);
});

test.serial('native daemon: bodies announced as far too long', async (t) => {
  const first = Buffer.from(
    `POST ${CHAT_PATH} HTTP/1.1\r\n${HEADERS}Content-Length: 99999999999\r\n\r\n`,
  );
  const client = { first, repeated: batchOf('x'), reconnects: false };
  const { closedCount } = await withstand(t, client, 20);
  t.is(closedCount, 20);
});

test.serial('native daemon: more connections than the machine has descriptors', async (t) => {
  await withstand(t, { first: Buffer.from('GET /a/x HTTP/1.1\r\nHost: h\r\n') }, 700);
});

test.serial('native daemon: a key behind thousands of header lines is read', async (t) => {
  const { target } = await startCrowdedEntry(t, HOST);
  const caller = await RawCaller.connect(target.port, target.host);
  caller.socket.write(chatRequest('hello', 'n:\r\n'.repeat(3_000) + HEADERS));
  while (caller.statuses.length === 0 && !caller.isClosed) {
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
  t.deepEqual(caller.statuses, ['200']);
});
