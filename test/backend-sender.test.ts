import { once } from 'node:events';
import { connect, createServer, Socket } from 'node:net';
import type { AddressInfo, Server } from 'node:net';
import { Worker } from 'node:worker_threads';
import test from 'ava';
import { SYSTEM_CLOCK, sleep } from '../src/clock.js';
import type { AnswerHead, AttemptFailure } from '../src/gateway/attempt/attempt.js';
import { ConnectionCauses } from '../src/gateway/attempt/connection-causes.js';
import type { ConnectionReason } from '../src/gateway/attempt/connection-causes.js';
import { backendOf } from './support/gateway.js';
import {
  DEFAULT_BACKEND_SENDER_OPTIONS,
  HttpBackendSender,
} from '../src/gateway/attempt/http-backend-sender.js';

interface Outcome {
  readonly head?: AnswerHead;
  readonly body: string;
  readonly failure?: AttemptFailure;
}

/** A back end that does with each received request what `act` says, byte by byte. */
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

/** A listener whose thread stands still and whose queue is full: further connections hang. */
async function startListenerThatTakesNothing() {
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
    body: Buffer.alloc(0),
  };
  return new Promise((resolve) => {
    let head: AnswerHead | undefined;
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

test('an attempt is taken back only as long as nothing was sent', async (t) => {
  let received = 0;
  const { server, address } = await startBackend((socket) => {
    received += 1;
    socket.end('HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n');
  });
  const sender = new HttpBackendSender();
  const backend = backendOf('b', { address });
  const attempt = { backend, method: 'POST', path: '/', headers: [], body: Buffer.from('body') };
  const ignore = () => undefined;
  const silent = { onHead: ignore, onData: ignore, onEnd: ignore, onFailure: ignore };
  t.true(sender.send(attempt, silent).withdraw());
  const ended = new Promise<boolean>((resolve) => {
    const sent = sender.send(attempt, { ...silent, onHead: () => resolve(sent.withdraw()) });
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

test('an answer without a length that ends with its connection is whole', async (t) => {
  const outcome = await outcomeOf((socket) => socket.end(`${UNFRAMED}whole`));
  t.is(outcome.failure, undefined);
  t.is(outcome.body, 'whole');
});

test('an answer without a length that is reset is not whole', async (t) => {
  const outcome = await outcomeOf((socket) => {
    socket.write(`${UNFRAMED}par`);
    setTimeout(() => socket.resetAndDestroy(), 20);
  });
  t.true(outcome.failure?.mayHaveRun);
});

test('an answer without a length whose reset arrives with its bytes is not whole', async (t) => {
  const outcome = await outcomeOf((socket) => {
    socket.write(`${UNFRAMED}par`, () => socket.resetAndDestroy());
  });
  t.true(outcome.failure?.mayHaveRun);
});

test('an answer shorter than its length is not whole', async (t) => {
  const outcome = await outcomeOf((socket) => socket.end(`${FRAMED}par`));
  t.true(outcome.failure?.mayHaveRun);
});

test('bytes that are no answer are a failure after which the request may have run', async (t) => {
  const outcome = await outcomeOf((socket) => socket.end('what is this\r\n\r\n'));
  t.true(outcome.failure?.mayHaveRun);
});

test('a refused connection is a failure after which the request has not run', async (t) => {
  const { server, address } = await startBackend(() => undefined);
  await new Promise((resolve) => server.close(resolve));
  const outcome = await sendTo(new HttpBackendSender(), address);
  t.false(outcome.failure?.mayHaveRun);
  t.true(outcome.failure?.isPortClosed);
});

test('a connection that does not come up in time is silence, and the request has not run', async (t) => {
  const { address, close } = await startListenerThatTakesNothing();
  const sender = new HttpBackendSender({ ...DEFAULT_BACKEND_SENDER_OPTIONS, connectTimeoutMs: 50 });
  const outcome = await sendTo(sender, address);
  await close();
  t.false(outcome.failure?.mayHaveRun);
  t.true(outcome.failure?.isSilent);
});

test('what a cancelled request had sent and did not arrive yet never arrives', async (t) => {
  const body = Buffer.alloc(400 * 1024);
  const accepted: Socket[] = [];
  const server = createServer({ pauseOnConnect: true }, (socket) => accepted.push(socket));
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  const sender = new HttpBackendSender();
  const backend = backendOf('b', { address: `127.0.0.1:${port}` });
  const ignore = () => undefined;
  const handlers = { onHead: ignore, onData: ignore, onEnd: ignore, onFailure: ignore };
  const attempt = { backend, method: 'POST', path: '/', headers: [], body };
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
  'after a standstill nothing is sent for a caller whose leaving is read only then',
  async (t) => {
    let requests = 0;
    const { server, address } = await startBackend(() => (requests += 1));
    const sender = new HttpBackendSender();
    await new Promise((resolve) => setTimeout(resolve, 60));
    const standsStillUntilMs = performance.now() + 300;
    while (performance.now() < standsStillUntilMs) {
      // The process does nothing else meanwhile.
    }
    const backend = backendOf('b', { address });
    const attempt = { backend, method: 'GET', path: '/', headers: [], body: Buffer.alloc(0) };
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

test('after a connection fell silent no other resting one to that back end is used', async (t) => {
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
  const attempt = { backend, method: 'GET', path: '/', headers: [], body: Buffer.alloc(0) };
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

test('after a reset without an answer no other resting connection of the back end is used', async (t) => {
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

test('a second answer behind the first is never taken for the answer to the next request', async (t) => {
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

test('a second answer in the same bytes as the first leaves the first whole', async (t) => {
  const outcome = await outcomeOf((socket) => socket.write(`${FRAMED}a-01${FRAMED}a-02`));
  t.is(outcome.failure, undefined);
  t.is(outcome.body, 'a-01');
});

test('a connection that came up while the process was busy is not given up', async (t) => {
  const { server, address } = await startBackend((socket) => socket.write(`${FRAMED}a-01`));
  const sender = new HttpBackendSender({ ...DEFAULT_BACKEND_SENDER_OPTIONS, connectTimeoutMs: 30 });
  const outcome = sendTo(sender, address);
  // Lets the connection begin, then holds the loop beyond the time that it may take.
  await new Promise((resolve) => setImmediate(resolve));
  const untilMs = performance.now() + 60;
  while (performance.now() < untilMs) {
    // Busy.
  }
  t.is((await outcome).body, 'a-01');
  sender.close();
  server.close();
});

test('connections that a back end forgets while they rest are rested for less', async (t) => {
  const forgottenAfterMs = 60;
  const lastUsedAtMs = new Map<Socket, number>();
  let resets = 0;
  const { server, address } = await startBackend((socket) => {
    const usedAtMs = lastUsedAtMs.get(socket);
    const nowMs = performance.now();
    lastUsedAtMs.set(socket, nowMs);
    if (usedAtMs !== undefined && nowMs - usedAtMs > forgottenAfterMs) {
      resets += 1;
      socket.resetAndDestroy();
      return;
    }
    socket.write(`${FRAMED}a-01`);
  });
  const sender = new HttpBackendSender();
  for (let round = 0; round < 4; round += 1) {
    await sendTo(sender, address);
    await new Promise((resolve) => setTimeout(resolve, 3 * forgottenAfterMs));
  }
  t.is(resets, 1);
  sender.close();
  server.close();
});

/** Sends one request after another, `pauseMs` apart; returns why connections were opened. */
async function reasonsFor(
  act: (socket: Socket) => void,
  { rounds, pauseMs }: { rounds: number; pauseMs: number },
): Promise<Record<string, number>> {
  const { server, address } = await startBackend(act);
  const sender = new HttpBackendSender({ ...DEFAULT_BACKEND_SENDER_OPTIONS, idleMs: 80 });
  for (let round = 0; round < rounds; round += 1) {
    await sendTo(sender, address);
    await new Promise((resolve) => setTimeout(resolve, pauseMs));
  }
  const reasons = Object.fromEntries(sender.connectionsOpened);
  sender.close();
  server.close();
  return reasons;
}

test('connections are counted by why they were opened', async (t) => {
  const answer = (socket: Socket) => void socket.write(`${FRAMED}a-01`);
  t.deepEqual(await reasonsFor(answer, { rounds: 3, pauseMs: 5 }), { first: 1 });
  t.deepEqual(await reasonsFor(answer, { rounds: 3, pauseMs: 150 }), { first: 1, 'rest-over': 2 });
  const close = (socket: Socket) => void socket.end(`${UNFRAMED}a-01`);
  t.deepEqual(await reasonsFor(close, { rounds: 3, pauseMs: 20 }), {
    first: 1,
    'closed-by-back-end': 2,
  });
  const reset = (socket: Socket) => void socket.resetAndDestroy();
  t.deepEqual(await reasonsFor(reset, { rounds: 3, pauseMs: 20 }), { first: 1, reset: 2 });
});

test('a connection for which no rest is granted is closed well before the longest rest is over', async (t) => {
  const { server, address } = await startBackend((socket) => socket.write(`${FRAMED}a-01`));
  const sender = new HttpBackendSender({ ...DEFAULT_BACKEND_SENDER_OPTIONS, idleMs: 1_000 });
  await sendTo(sender, address);
  await new Promise((resolve) => setTimeout(resolve, 800));
  await sendTo(sender, address);
  t.deepEqual(Object.fromEntries(sender.connectionsOpened), { first: 1, 'rest-over': 1 });
  sender.close();
  server.close();
});

test('back ends whose connections are remembered are bounded; the longest unused is new again', (t) => {
  const reasons: ConnectionReason[] = [];
  const causes = new ConnectionCauses((reason) => reasons.push(reason));
  const open = (index: number) => causes.noteOpened(`10.0.0.1:${index}`, new Socket());
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

test('the time in which a connection came up is told once, for the request that opened it', async (t) => {
  const { server, address } = await startBackend((socket) => socket.write(`${FRAMED}a-01`));
  const sender = new HttpBackendSender();
  const backend = backendOf('b', { address });
  const attempt = { backend, method: 'GET', path: '/', headers: [], body: Buffer.alloc(0) };
  const told: number[] = [];
  for (let round = 0; round < 2; round += 1) {
    await new Promise<void>((resolve) => {
      const ignore = () => undefined;
      const onConnected = (elapsedMs: number) => void told.push(elapsedMs);
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
  t.is(told.length, 1);
  t.true(told[0]! >= 0);
  sender.close();
  server.close();
});

test('a connection beside others that are in use is counted as such', async (t) => {
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

test('a forgotten connection of a back end that is far off shows by a reset that much later', async (t) => {
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

/** Connections that `count` requests open, `pauseMs` apart, to a back end that grants a rest of so many seconds. */
async function connectionsFor(grantedS: number, count: number, pauseMs: number): Promise<number> {
  const used = new Set<Socket>();
  const { server, address } = await startBackend((socket) => {
    used.add(socket);
    const head = `HTTP/1.1 200 OK\r\nKeep-Alive: timeout=${grantedS}\r\nContent-Length: 4`;
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

test('a connection rests for nearly as long as its back end grants, and no longer', async (t) => {
  t.is(await connectionsFor(1, 3, 100), 1);
  t.is(await connectionsFor(1, 2, 700), 2);
  t.is(await connectionsFor(2, 2, 800), 1);
  t.is(await connectionsFor(0, 2, 20), 2);
});
