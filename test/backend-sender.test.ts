import { once } from 'node:events';
import { connect, createServer, Socket } from 'node:net';
import type { AddressInfo, Server } from 'node:net';
import { Worker } from 'node:worker_threads';
import test from 'ava';
import type { AfterPollQueue } from '../src/after-poll-queue.js';
import { SYSTEM_CLOCK, sleep } from '../src/clock.js';
import type { ResponseHead, AttemptFailure } from '../src/gateway/attempt/attempt.js';
import { ConnectionReasonTracker } from '../src/gateway/attempt/connection-reasons.js';
import type { ConnectionOpenReason } from '../src/gateway/attempt/connection-reasons.js';
import { backendOf } from './support/gateway-harness.js';
import { turns } from './support/loop-turns.js';
import {
  DEFAULT_BACKEND_SENDER_OPTIONS,
  HttpBackendSender,
} from '../src/gateway/attempt/http-backend-sender.js';

interface Outcome {
  readonly head?: ResponseHead;
  readonly body: string;
  readonly failure?: AttemptFailure;
}

/** Starts a backend that calls `act` with the raw socket for each received request. */
async function startBackend(
  act: (socket: Socket, requestNumber: number) => void,
): Promise<{ server: Server; address: string }> {
  let requests = 0;
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.on('data', () => {
      requests += 1;
      act(socket, requests);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  return { server, address: `127.0.0.1:${(server.address() as AddressInfo).port}` };
}

/**
 * Starts a listener whose thread is blocked and whose backlog is full, so that further connects
 * hang.
 */
async function startUnresponsiveListener() {
  const code = `
    const { parentPort } = require('node:worker_threads');
    const server = require('node:net').createServer();
    server.listen({ port: 0, host: '127.0.0.1', backlog: 1 }, () => {
      parentPort.postMessage(server.address().port);
      setImmediate(() => Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0));
    });`;
  const listener = new Worker(code, { eval: true });
  const [port] = (await once(listener, 'message')) as [number];
  const waiting = Array.from({ length: 8 }, () => connect(port, '127.0.0.1'));
  waiting.forEach((socket) => socket.on('error', () => undefined));
  await once(waiting[0]!, 'connect');
  const close = async () => {
    waiting.forEach((socket) => socket.destroy());
    await listener.terminate();
  };
  return { address: `127.0.0.1:${port}`, close };
}

function sendTo(sender: HttpBackendSender, address: string, roundTripMs = 0): Promise<Outcome> {
  const backend = backendOf('b', { address });
  const attempt = {
    backend,
    roundTripMs,
    method: 'GET',
    path: '/',
    headers: [],
    isRepeatable: true,
    body: Buffer.alloc(0),
  };
  return new Promise((resolve) => {
    let head: ResponseHead | undefined;
    let body = '';
    sender.send(attempt, {
      onHead: (received) => {
        head = received;
      },
      onData: (bytes) => {
        body += bytes.toString();
      },
      onEnd: () => resolve({ head, body }),
      onFailure: (failure) => resolve({ head, body, failure }),
    });
  });
}

test('an attempt can be withdrawn only before anything was sent', async (t) => {
  let received = 0;
  const { server, address } = await startBackend((socket) => {
    received += 1;
    socket.end('HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n');
  });
  const sender = new HttpBackendSender();
  const backend = backendOf('b', { address });
  const attempt = {
    backend,
    method: 'POST',
    path: '/',
    headers: [],
    isRepeatable: true,
    body: Buffer.from('body'),
  };
  const ignore = () => undefined;
  const handlers = { onHead: ignore, onData: ignore, onEnd: ignore, onFailure: ignore };
  t.true(sender.send(attempt, handlers).withdraw());
  const ended = new Promise<boolean>((resolve) => {
    const sent = sender.send(attempt, { ...handlers, onHead: () => resolve(sent.withdraw()) });
  });
  t.false(await ended);
  await new Promise((resolve) => setTimeout(resolve, 50));
  t.is(received, 1);
  sender.close();
  server.close();
});

async function outcomeOf(act: (socket: Socket) => void): Promise<Outcome> {
  const { server, address } = await startBackend(act);
  const sender = new HttpBackendSender();
  const outcome = await sendTo(sender, address);
  sender.close();
  server.close();
  return outcome;
}

const UNFRAMED = 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n';
const FRAMED = 'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n';

test('a response without a length is complete when its connection ends', async (t) => {
  const outcome = await outcomeOf((socket) => socket.end(`${UNFRAMED}whole`));
  t.is(outcome.failure, undefined);
  t.is(outcome.body, 'whole');
});

test('a response without a length is incomplete when its connection is reset', async (t) => {
  const outcome = await outcomeOf((socket) => {
    socket.write(`${UNFRAMED}par`);
    setTimeout(() => socket.resetAndDestroy(), 20);
  });
  t.true(outcome.failure?.mayHaveRun);
});

test('a response without a length is incomplete when the reset arrives with its last bytes', async (t) => {
  const outcome = await outcomeOf((socket) => {
    socket.write(`${UNFRAMED}par`, () => socket.resetAndDestroy());
  });
  t.true(outcome.failure?.mayHaveRun);
});

test('a response shorter than its Content-Length is incomplete', async (t) => {
  const outcome = await outcomeOf((socket) => socket.end(`${FRAMED}par`));
  t.true(outcome.failure?.mayHaveRun);
});

test('a malformed response is a failure after which the request may have been executed', async (t) => {
  const outcome = await outcomeOf((socket) => socket.end('what is this\r\n\r\n'));
  t.true(outcome.failure?.mayHaveRun);
});

test('a refused connection is a failure after which the request was not executed', async (t) => {
  const { server, address } = await startBackend(() => undefined);
  await new Promise((resolve) => server.close(resolve));
  const outcome = await sendTo(new HttpBackendSender(), address);
  t.false(outcome.failure?.mayHaveRun);
  t.true(outcome.failure?.isPortClosed);
});

test('a connect timeout is reported as silence, and the request was not executed', async (t) => {
  const { address, close } = await startUnresponsiveListener();
  const sender = new HttpBackendSender({ ...DEFAULT_BACKEND_SENDER_OPTIONS, connectTimeoutMs: 50 });
  const outcome = await sendTo(sender, address);
  await close();
  t.false(outcome.failure?.mayHaveRun);
  t.true(outcome.failure?.isSilent);
});

test('data in flight of a cancelled request is never delivered', async (t) => {
  const body = Buffer.alloc(400 * 1024);
  const accepted: Socket[] = [];
  const server = createServer({ pauseOnConnect: true }, (socket) => accepted.push(socket));
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  const sender = new HttpBackendSender();
  const backend = backendOf('b', { address: `127.0.0.1:${port}` });
  const ignore = () => undefined;
  const handlers = { onHead: ignore, onData: ignore, onEnd: ignore, onFailure: ignore };
  const attempt = { backend, method: 'POST', path: '/', headers: [], isRepeatable: true, body };
  const handle = sender.send(attempt, handlers);
  await sleep(SYSTEM_CLOCK, 100);
  handle.cancel();
  await sleep(SYSTEM_CLOCK, 50);
  let arrived = 0;
  const socket = accepted[0]!;
  socket.on('error', ignore);
  socket.on('data', (bytes: Buffer) => (arrived += bytes.length));
  socket.resume();
  await sleep(SYSTEM_CLOCK, 100);
  t.true(arrived < body.length, `${arrived}`);
  socket.destroy();
  sender.close();
  server.close();
});

test.serial(
  'after an event loop stall nothing is sent for a caller whose disconnect is read late',
  async (t) => {
    let requests = 0;
    const { server, address } = await startBackend(() => (requests += 1));
    const sender = new HttpBackendSender();
    await new Promise((resolve) => setTimeout(resolve, 60));
    const stalledUntilMs = performance.now() + 300;
    while (performance.now() < stalledUntilMs) {
      // Blocks the event loop.
    }
    const backend = backendOf('b', { address });
    const attempt = {
      backend,
      method: 'GET',
      path: '/',
      headers: [],
      isRepeatable: true,
      body: Buffer.alloc(0),
    };
    const ignore = () => undefined;
    const handlers = { onHead: ignore, onData: ignore, onEnd: ignore, onFailure: ignore };
    const handle = sender.send(attempt, handlers);
    setImmediate(() => handle.cancel());
    await new Promise((resolve) => setTimeout(resolve, 100));
    t.is(requests, 0);
    sender.send(attempt, handlers);
    await new Promise((resolve) => setTimeout(resolve, 100));
    t.is(requests, 1);
    sender.close();
    server.close();
  },
);

test('after a silent connection no other idle connection to the backend is reused', async (t) => {
  const used = new Set<Socket>();
  const { server, address } = await startBackend((socket) => {
    if (used.has(socket)) {
      return;
    }
    used.add(socket);
    setTimeout(() => socket.write(`${FRAMED}a-01`), 20);
  });
  const sender = new HttpBackendSender();
  await Promise.all([sendTo(sender, address), sendTo(sender, address)]);
  const backend = backendOf('b', { address });
  const attempt = {
    backend,
    method: 'GET',
    path: '/',
    headers: [],
    isRepeatable: true,
    body: Buffer.alloc(0),
  };
  const ignore = () => undefined;
  const handlers = { onHead: ignore, onData: ignore, onEnd: ignore, onFailure: ignore };
  const silent = sender.send(attempt, handlers);
  await new Promise((resolve) => setTimeout(resolve, 600));
  silent.cancel();
  t.is((await sendTo(sender, address)).body, 'a-01');
  t.is(used.size, 3);
  sender.close();
  server.close();
});

test('after a reset without a response no other idle connection to the backend is reused', async (t) => {
  const used = new Set<Socket>();
  const { server, address } = await startBackend((socket) => {
    if (used.has(socket)) {
      socket.resetAndDestroy();
      return;
    }
    used.add(socket);
    setTimeout(() => socket.write(`${FRAMED}a-01`), 20);
  });
  const sender = new HttpBackendSender();
  await Promise.all([sendTo(sender, address), sendTo(sender, address), sendTo(sender, address)]);
  t.is(used.size, 3);
  t.true((await sendTo(sender, address)).failure?.mayHaveRun);
  t.is((await sendTo(sender, address)).body, 'a-01');
  sender.close();
  server.close();
});

test('an unsolicited second response is never used for the next request', async (t) => {
  const { server, address } = await startBackend((socket, requestNumber) => {
    socket.write(`${FRAMED}a-0${requestNumber}`);
    setTimeout(() => socket.write(`${FRAMED}late`), 10);
  });
  const sender = new HttpBackendSender();
  t.is((await sendTo(sender, address)).body, 'a-01');
  await new Promise((resolve) => setTimeout(resolve, 40));
  t.is((await sendTo(sender, address)).body, 'a-02');
  sender.close();
  server.close();
});

test('a second response in the same write leaves the first complete', async (t) => {
  const outcome = await outcomeOf((socket) => socket.write(`${FRAMED}a-01${FRAMED}a-02`));
  t.is(outcome.failure, undefined);
  t.is(outcome.body, 'a-01');
});

test('a connection established while the event loop was blocked does not time out', async (t) => {
  const { server, address } = await startBackend((socket) => socket.write(`${FRAMED}a-01`));
  const sender = new HttpBackendSender({ ...DEFAULT_BACKEND_SENDER_OPTIONS, connectTimeoutMs: 30 });
  const outcome = sendTo(sender, address);
  // Lets the connect start, then blocks the event loop for longer than the connect timeout.
  await new Promise((resolve) => setImmediate(resolve));
  const untilMs = performance.now() + 60;
  while (performance.now() < untilMs) {
    // Blocks the event loop.
  }
  t.is((await outcome).body, 'a-01');
  sender.close();
  server.close();
});

test('the idle timeout falls after a backend drops idle connections', async (t) => {
  const staleAfterMs = 60;
  const lastUsedAtMs = new Map<Socket, number>();
  let resets = 0;
  const { server, address } = await startBackend((socket) => {
    const usedAtMs = lastUsedAtMs.get(socket);
    const nowMs = performance.now();
    lastUsedAtMs.set(socket, nowMs);
    if (usedAtMs !== undefined && nowMs - usedAtMs > staleAfterMs) {
      resets += 1;
      socket.resetAndDestroy();
      return;
    }
    socket.write(`${FRAMED}a-01`);
  });
  const sender = new HttpBackendSender();
  for (let round = 0; round < 4; round += 1) {
    await sendTo(sender, address);
    await new Promise((resolve) => setTimeout(resolve, 3 * staleAfterMs));
  }
  t.is(resets, 1);
  sender.close();
  server.close();
});

/** Sends requests one after another; returns the counts of connections by open reason. */
async function openReasonsFor(
  act: (socket: Socket) => void,
  { rounds, pauseTurns, idleMs }: { rounds: number; pauseTurns: number; idleMs?: number },
): Promise<Record<string, number>> {
  const { server, address } = await startBackend(act);
  const defaults = DEFAULT_BACKEND_SENDER_OPTIONS;
  const sender = new HttpBackendSender({ ...defaults, idleMs: idleMs ?? defaults.idleMs });
  for (let round = 0; round < rounds; round += 1) {
    await sendTo(sender, address);
    await turns(pauseTurns);
  }
  const reasons = Object.fromEntries(sender.connectionsOpened);
  sender.close();
  server.close();
  return reasons;
}

test('connections are counted by the reason they were opened', async (t) => {
  const respond = (socket: Socket) => void socket.write(`${FRAMED}a-01`);
  t.deepEqual(await openReasonsFor(respond, { rounds: 3, pauseTurns: 5 }), { first: 1 });
  t.deepEqual(await openReasonsFor(respond, { rounds: 3, pauseTurns: 150, idleMs: 80 }), {
    first: 1,
    'rest-over': 2,
  });
  const close = (socket: Socket) => void socket.end(`${UNFRAMED}a-01`);
  t.deepEqual(await openReasonsFor(close, { rounds: 3, pauseTurns: 20 }), {
    first: 1,
    'closed-by-back-end': 2,
  });
  const reset = (socket: Socket) => void socket.resetAndDestroy();
  t.deepEqual(await openReasonsFor(reset, { rounds: 3, pauseTurns: 20 }), { first: 1, reset: 2 });
});

test('a connection without an advertised timeout is closed well before the configured idle timeout', async (t) => {
  const { server, address } = await startBackend((socket) => socket.write(`${FRAMED}a-01`));
  const sender = new HttpBackendSender({ ...DEFAULT_BACKEND_SENDER_OPTIONS, idleMs: 1_000 });
  await sendTo(sender, address);
  await new Promise((resolve) => setTimeout(resolve, 800));
  await sendTo(sender, address);
  t.deepEqual(Object.fromEntries(sender.connectionsOpened), { first: 1, 'rest-over': 1 });
  sender.close();
  server.close();
});

test('tracked backends are bounded, and the least recently used one counts as new after eviction', (t) => {
  const reasons: ConnectionOpenReason[] = [];
  const tracker = new ConnectionReasonTracker((reason) => reasons.push(reason));
  const open = (index: number) => tracker.recordOpened(`10.0.0.1:${index}`, new Socket());
  open(0);
  for (let index = 1; index < 1_024; index += 1) {
    open(index);
  }
  open(0);
  open(1_024);
  open(1);
  open(0);
  t.deepEqual(reasons.slice(-4), ['none-idle', 'first', 'first', 'none-idle']);
});

test('the connect time is reported once, for the request that opened the connection', async (t) => {
  const { server, address } = await startBackend((socket) => socket.write(`${FRAMED}a-01`));
  const sender = new HttpBackendSender();
  const backend = backendOf('b', { address });
  const attempt = {
    backend,
    method: 'GET',
    path: '/',
    headers: [],
    isRepeatable: true,
    body: Buffer.alloc(0),
  };
  const reportedMs: number[] = [];
  for (let round = 0; round < 2; round += 1) {
    await new Promise<void>((resolve) => {
      const ignore = () => undefined;
      const onConnected = (elapsedMs: number) => void reportedMs.push(elapsedMs);
      const onEnd = () => resolve();
      sender.send(attempt, {
        onConnected,
        onHead: ignore,
        onData: ignore,
        onEnd,
        onFailure: ignore,
      });
    });
  }
  t.is(reportedMs.length, 1);
  t.true(reportedMs[0]! >= 0);
  sender.close();
  server.close();
});

test('a connection opened because all others are in use is counted as none-idle', async (t) => {
  const { server, address } = await startBackend((socket) => {
    setTimeout(() => socket.write(`${FRAMED}a-01`), 20);
  });
  const sender = new HttpBackendSender();
  await Promise.all([sendTo(sender, address), sendTo(sender, address)]);
  await Promise.all([sendTo(sender, address), sendTo(sender, address)]);
  t.deepEqual(Object.fromEntries(sender.connectionsOpened), { first: 1, 'none-idle': 1 });
  sender.close();
  server.close();
});

test('the time limit for resets of stale connections includes the round trip to a distant backend', async (t) => {
  const resets = async (roundTripMs: number): Promise<number> => {
    const used = new Set<Socket>();
    let count = 0;
    const { server, address } = await startBackend((socket) => {
      if (used.has(socket)) {
        count += 1;
        setTimeout(() => socket.resetAndDestroy(), 60);
        return;
      }
      used.add(socket);
      socket.write(`${FRAMED}a-01`);
    });
    const sender = new HttpBackendSender();
    for (let round = 0; round < 4; round += 1) {
      await sendTo(sender, address, roundTripMs);
      await new Promise((resolve) => setTimeout(resolve, 200));
    }
    sender.close();
    server.close();
    return count;
  };
  t.is(await resets(100), 1);
  t.is(await resets(0), 2);
});

/**
 * Returns the connections opened by `count` requests, `pauseMs` apart, if the backend advertises
 * `advertisedS` seconds.
 */
async function connectionsFor(
  advertisedS: number,
  count: number,
  pauseMs: number,
): Promise<number> {
  const used = new Set<Socket>();
  const { server, address } = await startBackend((socket) => {
    used.add(socket);
    const head = `HTTP/1.1 200 OK\r\nKeep-Alive: timeout=${advertisedS}\r\nContent-Length: 4`;
    socket.write(`${head}\r\n\r\na-01`);
  });
  const sender = new HttpBackendSender();
  for (let round = 0; round < count; round += 1) {
    await sendTo(sender, address);
    await new Promise((resolve) => setTimeout(resolve, pauseMs));
  }
  sender.close();
  server.close();
  return used.size;
}

test('a connection stays idle for nearly as long as its backend advertises, and no longer', async (t) => {
  t.is(await connectionsFor(1, 3, 100), 1);
  t.is(await connectionsFor(1, 2, 700), 2);
  t.is(await connectionsFor(2, 2, 800), 1);
  t.is(await connectionsFor(0, 2, 20), 2);
});

test('the wait for a poll does not count toward the time to connect', async (t) => {
  const { server, address } = await startBackend((socket) => {
    socket.end('HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n');
  });
  const waitMs = 200;
  const slowQueue = {
    afterPoll: (task: () => void) => void setTimeout(task, waitMs),
  } as unknown as AfterPollQueue;
  const sender = new HttpBackendSender(undefined, undefined, undefined, undefined, slowQueue);
  const attempt = {
    backend: backendOf('b', { address }),
    method: 'GET',
    path: '/',
    headers: [],
    isRepeatable: true,
    body: Buffer.alloc(0),
  };
  const ignore = () => undefined;
  const connectMs = await new Promise<number>((resolve) => {
    const handlers = { onHead: ignore, onData: ignore, onEnd: ignore, onFailure: ignore };
    sender.send(attempt, { ...handlers, onConnected: resolve });
  });
  t.true(connectMs < waitMs);
  sender.close();
  server.close();
});
