/** How the process at the other end of a connection is identified. */
import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import test from 'ava';
import { SYSTEM_CLOCK, sleep } from '../src/clock.js';
import { HttpBackendSender } from '../src/gateway/attempt/http-backend-sender.js';
import type { IdentifiedProcess } from '../src/gateway/processes/process-identifier.js';
import { backendOf } from './support/gateway-harness.js';
import { isDoneWithinTurns } from './support/loop-turns.js';

/** Turns of the event loop within which an identified process is reported. */
const TURNS_UNTIL_REPORTED = 50;

/** Starts a backend that calls `act` with the socket for each received request. */
async function startBackend(
  act: (socket: Socket) => void,
): Promise<{ server: Server; address: string }> {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.on('data', () => act(socket));
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  return { server, address: `127.0.0.1:${(server.address() as AddressInfo).port}` };
}

/** An attempt at `address` whose process must be identified. */
function attemptWithProcess(address: string) {
  return {
    backend: backendOf('b', { address }),
    method: 'GET',
    path: '/',
    headers: [],
    isRepeatable: true,
    needsProcess: true,
    body: Buffer.alloc(0),
  };
}

/** Sends such an attempt; resolves with the reported process once the response is complete. */
function processOf(
  sender: HttpBackendSender,
  address: string,
): Promise<IdentifiedProcess | undefined> {
  const ignore = () => undefined;
  return new Promise((resolve, reject) => {
    let process: IdentifiedProcess | undefined;
    sender.send(attemptWithProcess(address), {
      onProcess: (reported) => (process = reported),
      onHead: ignore,
      onData: ignore,
      onEnd: () => resolve(process),
      onFailure: ({ detail }) => reject(new Error(detail)),
    });
  });
}

test('a connection is identified once, after it is established, and again if that failed', async (t) => {
  const { server, address } = await startBackend((socket) => {
    setTimeout(() => socket.write('HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'), 30);
  });
  const answers: Array<IdentifiedProcess | undefined> = [
    undefined,
    { bornAtMs: 5, source: 'agent' },
    { bornAtMs: 6, source: 'agent' },
  ];
  let queries = 0;
  const sender = new HttpBackendSender(undefined, undefined, undefined, () => {
    queries += 1;
    return Promise.resolve(answers[queries - 1]);
  });
  t.teardown(() => {
    sender.close();
    server.close();
  });
  t.is(await processOf(sender, address), undefined);
  t.is((await processOf(sender, address))?.bornAtMs, 5);
  t.is((await processOf(sender, address))?.bornAtMs, 5);
  t.is(queries, 2);
});

for (const { name, silentForMs, expected } of [
  {
    name: 'that stands still for a second is identified once it goes on',
    silentForMs: 1_000,
    expected: 5,
  },
  { name: 'that never answers is reported as unknown', silentForMs: Infinity, expected: undefined },
]) {
  test(`a process ${name}`, async (t) => {
    const { server, address } = await startBackend(() => undefined);
    const goesOnAtMs = performance.now() + silentForMs;
    const sender = new HttpBackendSender(undefined, undefined, undefined, () =>
      Promise.resolve(
        performance.now() < goesOnAtMs ? undefined : { bornAtMs: 5, source: 'engine' as const },
      ),
    );
    const ignore = () => undefined;
    const process = await new Promise<IdentifiedProcess | undefined>((resolve) => {
      const attempt = sender.send(attemptWithProcess(address), {
        onProcess: resolve,
        onHead: ignore,
        onData: ignore,
        onEnd: ignore,
        onFailure: ignore,
      });
      t.teardown(() => {
        attempt.cancel();
        sender.close();
        server.close();
      });
    });
    t.is(process?.bornAtMs, expected);
  });
}

test('a process that is identified once the connection has ended is not taken for its own', async (t) => {
  const { server, address } = await startBackend((socket) => socket.resetAndDestroy());
  let answer: (process: IdentifiedProcess) => void = () => undefined;
  const sender = new HttpBackendSender(
    undefined,
    undefined,
    undefined,
    () => new Promise((resolve) => (answer = resolve)),
  );
  t.teardown(() => {
    sender.close();
    server.close();
  });
  const reported: unknown[] = [];
  const ignore = () => undefined;
  await new Promise((resolve) => {
    sender.send(attemptWithProcess(address), {
      onProcess: (process) => reported.push(process),
      onHead: ignore,
      onData: ignore,
      onEnd: ignore,
      onFailure: resolve,
    });
  });
  answer({ bornAtMs: 6, source: 'engine' });
  await sleep(SYSTEM_CLOCK, 20);
  t.deepEqual(reported, []);
});

test('the process of a response that ended before it was identified is still reported', async (t) => {
  const { server, address } = await startBackend((socket) =>
    socket.write('HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'),
  );
  let answer: (process: IdentifiedProcess) => void = () => undefined;
  const sender = new HttpBackendSender(
    undefined,
    undefined,
    undefined,
    () => new Promise((resolve) => (answer = resolve)),
  );
  t.teardown(() => {
    sender.close();
    server.close();
  });
  const reported: unknown[] = [];
  const ignore = () => undefined;
  await new Promise<void>((resolve, reject) => {
    sender.send(attemptWithProcess(address), {
      onProcess: (process) => reported.push(process),
      onHead: ignore,
      onData: ignore,
      onEnd: resolve,
      onFailure: ({ detail }) => reject(new Error(detail)),
    });
  });
  t.deepEqual(reported, []);
  answer({ bornAtMs: 6, source: 'agent' });
  await isDoneWithinTurns(() => reported.length > 0, TURNS_UNTIL_REPORTED);
  t.deepEqual(reported, [{ bornAtMs: 6, source: 'agent' }]);
});
