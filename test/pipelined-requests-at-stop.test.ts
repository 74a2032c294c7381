/** Requests that are read on a connection which is closed after its responses. */
import { once } from 'node:events';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { AfterPollQueue } from '../src/after-poll-queue.js';
import { SYSTEM_CLOCK, sleep } from '../src/clock.js';
import { CallerListener } from '../src/gateway/admission/caller-listener.js';
import type { CallerReply } from '../src/gateway/attempt/attempt.js';
import { BlockedConnection } from './support/blocked-connection.js';

const SETTLE_MS = 50;

function requestText(path: string): string {
  return `GET ${path} HTTP/1.1\r\nHost: a\r\n\r\n`;
}

/** Starts a listener that closes connections after their responses, and a connection to it. */
async function startClosing(t: ExecutionContext) {
  const replies = new Map<string, CallerReply>();
  const listener = new CallerListener(
    ({ path }, reply) => ({
      onBody: () => void replies.set(path, reply),
      onTooLong: () => undefined,
      onMemoryExhausted: () => undefined,
      onCallerDisconnected: () => undefined,
    }),
    () => 1_000_000,
    new AfterPollQueue(SYSTEM_CLOCK),
  );
  listener.server.listen(0, '127.0.0.1');
  await once(listener.server, 'listening');
  const connection = new BlockedConnection();
  t.teardown(() => {
    connection.destroy();
    listener.stopListening();
  });
  listener.server.emit('connection', connection);
  listener.closeConnectionsAfterResponse();
  const send = async (...paths: string[]) => {
    connection.send(paths.map(requestText).join(''));
    await sleep(SYSTEM_CLOCK, SETTLE_MS);
  };
  const answer = (path: string) => {
    replies.get(path)!.start(200, ['Content-Length', '2']);
    replies.get(path)!.end(Buffer.from(path));
  };
  return { connection, replies, send, answer };
}

/** Returns for each received response its body and whether it announces the close. */
function responsesIn({ received }: BlockedConnection): Array<readonly [string, boolean]> {
  return received
    .split('HTTP/1.1 200 OK')
    .slice(1)
    .map((text) => [text.split('\r\n\r\n')[1]!, /connection: close/i.test(text)]);
}

test('requests that were read together are all answered, and the last answer announces the close', async (t) => {
  const { connection, send, answer } = await startClosing(t);
  connection.unblock();
  await send('/a', '/b', '/c');
  ['/a', '/b', '/c'].forEach(answer);
  await sleep(SYSTEM_CLOCK, SETTLE_MS);
  t.deepEqual(responsesIn(connection), [
    ['/a', false],
    ['/b', false],
    ['/c', true],
  ]);
  t.true(connection.destroyed);
});

test('a request that is read before an answer that announces the close is flushed is answered', async (t) => {
  const { connection, send, answer } = await startClosing(t);
  await send('/a');
  answer('/a');
  await send('/b');
  answer('/b');
  connection.unblock();
  await sleep(SYSTEM_CLOCK, SETTLE_MS);
  t.deepEqual(responsesIn(connection), [
    ['/a', true],
    ['/b', true],
  ]);
  t.true(connection.destroyed);
});

test('a request that is read while an answer that announces the close goes on is answered', async (t) => {
  const { connection, replies, send, answer } = await startClosing(t);
  connection.unblock();
  await send('/a');
  replies.get('/a')!.start(200, ['Content-Length', '2']);
  replies.get('/a')!.write(Buffer.from('/'));
  await send('/b');
  replies.get('/a')!.end(Buffer.from('a'));
  answer('/b');
  await sleep(SYSTEM_CLOCK, SETTLE_MS);
  t.deepEqual(responsesIn(connection), [
    ['/a', true],
    ['/b', true],
  ]);
  t.true(connection.destroyed);
});
