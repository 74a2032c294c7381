import { once } from 'node:events';
import { connect, createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { Worker } from 'node:worker_threads';
import test from 'ava';
import { SYSTEM_CLOCK, sleep } from '../src/clock.js';
import type { AnswerHead, AttemptFailure } from '../src/gateway/attempt/attempt.js';
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

function sendTo(sender: HttpBackendSender, address: string): Promise<Outcome> {
  const backend = backendOf('b', { address });
  const attempt = { backend, method: 'GET', path: '/', headers: [], body: Buffer.alloc(0) };
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
