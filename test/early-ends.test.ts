import { createServer } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import anyTest from 'ava';
import { AfterPollQueue } from '../src/after-poll-queue.js';
import { SYSTEM_CLOCK, sleep } from '../src/clock.js';
import { CallerListener } from '../src/gateway/admission/caller-listener.js';
import { IdleConnections } from '../src/gateway/admission/idle-connections.js';
import { UnflushedResponses } from '../src/gateway/admission/unflushed-responses.js';
import { UnusedConnectionCloser } from '../src/gateway/admission/unused-connection-closer.js';
import type { ExpiredConnection } from '../src/gateway/admission/unused-connection-closer.js';
import type { CallerReply } from '../src/gateway/attempt/attempt.js';
import { GracefulShutdown } from '../src/gateway/graceful-shutdown.js';
import { DEFAULT_CALLER_LIMITS } from '../src/routing/configuration.js';
import { VirtualClock } from '../src/sim/virtual-clock.js';
import { BlockedConnection } from './support/blocked-connection.js';
import { RAW_REQUEST } from './support/raw-caller.js';

// One test at a time: the broken variants replace methods of classes.
const test = anyTest.serial;

const SETTLE_MS = 50;
const IDLE_TIMEOUT_MS = 1_000;
/** Time by which an idle connection has expired. */
const EXPIRED_MS = 5_000;
const GRACE_MS = 8_000;
/** Time at which the caller reads; after new connections are refused, before the grace time ends. */
const READ_MS = 5_000;

const settle = () => sleep(SYSTEM_CLOCK, SETTLE_MS);

function countResponses({ received }: BlockedConnection): number {
  return received.match(/HTTP\/1\.1 200/g)?.length ?? 0;
}

/** Counts the responses to two requests; the second arrives as its connection expires. */
async function playExpiry(closer: Pick<UnusedConnectionCloser, 'closeUnlessUsed'>) {
  const clock = new VirtualClock();
  const server = createServer((_request: IncomingMessage, response: ServerResponse) => {
    response.end();
  });
  const connections = new IdleConnections(server, clock, closer as UnusedConnectionCloser);
  connections.applyTimeouts({ ...DEFAULT_CALLER_LIMITS, idleTimeoutMs: IDLE_TIMEOUT_MS });
  const connection = new BlockedConnection();
  connection.unblock();
  server.emit('connection', connection);
  connection.send(RAW_REQUEST);
  await settle();
  // What has arrived is read by the next poll, after the timers that are due.
  setImmediate(() => connection.destroyed || connection.send(RAW_REQUEST));
  await clock.runUntil(EXPIRED_MS);
  await settle();
  return countResponses(connection);
}

test('a request that arrives as its connection expires is answered', async (t) => {
  t.is(await playExpiry(new UnusedConnectionCloser(SYSTEM_CLOCK)), 2);
});

test('a gateway that closes an idle connection without a poll is detected', async (t) => {
  const closeAtOnce = (expired: ExpiredConnection) => expired.isUnused() && expired.close();
  t.is(await playExpiry({ closeUnlessUsed: closeAtOnce }), 1);
});

/** Stops a gateway whose caller reads late; returns what the caller got when the process ended. */
async function playStop() {
  const clock = new VirtualClock();
  const respond = (_head: unknown, reply: CallerReply) => ({
    onBody: () => {
      reply.start(200, ['Content-Length', '2']);
      reply.end(Buffer.from('ok'));
    },
    onTooLong: () => undefined,
    onMemoryExhausted: () => undefined,
    onCallerDisconnected: () => undefined,
  });
  const connection = new BlockedConnection();
  let receivedAtEnd: string | undefined;
  const listener: CallerListener = new CallerListener(
    respond,
    () => 1_000_000,
    new AfterPollQueue(SYSTEM_CLOCK),
    undefined,
    () => shutdown.onRequestEnded(),
  );
  const shutdown = new GracefulShutdown(clock, GRACE_MS, {
    stopListening: (onStopped) => listener.stopListening(onStopped),
    afterQuietPoll: (callback) => listener.afterQuietPoll(callback),
    countActive: () => listener.pendingCount,
    refuseWaiting: () => undefined,
    failUnanswered: () => undefined,
    end: () => (receivedAtEnd ??= connection.received),
  });
  listener.server.emit('connection', connection);
  connection.send(RAW_REQUEST);
  await settle();
  shutdown.begin();
  await clock.runUntil(READ_MS);
  // The gateway ends after a poll, which takes no time of the virtual clock.
  await settle();
  connection.unblock();
  await settle();
  return receivedAtEnd;
}

test('a gateway that stops ends once its response is flushed, and not before', async (t) => {
  t.true((await playStop())?.endsWith('\r\n\r\nok'));
});

test('a gateway that ends before its response is flushed is detected', async (t) => {
  const { prototype } = UnflushedResponses;
  const count = Object.getOwnPropertyDescriptor(prototype, 'count')!;
  Object.defineProperty(prototype, 'count', { ...count, get: () => 0 });
  t.teardown(() => Object.defineProperty(prototype, 'count', count));
  t.is(await playStop(), '');
});
