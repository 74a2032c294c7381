import { once } from 'node:events';
import { Worker } from 'node:worker_threads';
import test from 'ava';
import { SYSTEM_CLOCK, sleep } from '../src/clock.js';
import { HttpBackendSender } from '../src/gateway/attempt/http-backend-sender.js';
import { blockLoop } from './support/block-loop.js';
import { backendOf } from './support/gateway-harness.js';

const BACKEND_IDLE_MS = 300;

/** Starts a backend in a thread of its own that closes idle connections without naming when. */
async function startBackendThread() {
  const code = `
    const { parentPort } = require('node:worker_threads');
    let closeTimer;
    const server = require('node:net').createServer((socket) => {
      socket.on('error', () => undefined);
      socket.on('data', () => {
        clearTimeout(closeTimer);
        socket.write('HTTP/1.1 200 OK\\r\\nContent-Length: 0\\r\\n\\r\\n');
        closeTimer = setTimeout(() => socket.destroy(), ${BACKEND_IDLE_MS});
      });
    });
    server.listen(0, '127.0.0.1', () => parentPort.postMessage(server.address().port));`;
  const backend = new Worker(code, { eval: true });
  const [port] = (await once(backend, 'message')) as [number];
  return { address: `127.0.0.1:${port}`, close: () => backend.terminate() };
}

test('a request is not sent on a connection that its backend closed while the loop stood still', async (t) => {
  const { address, close } = await startBackendThread();
  const sender = new HttpBackendSender();
  const outcomes: string[] = [];
  const send = () =>
    sender.send(
      {
        backend: backendOf('b', { address }),
        method: 'POST',
        path: '/',
        headers: [],
        body: Buffer.from('body'),
        isRepeatable: false,
      },
      {
        onHead: ({ status }) => outcomes.push(`${status}`),
        onData: () => undefined,
        onEnd: () => undefined,
        onFailure: ({ detail }) => outcomes.push(detail),
      },
    );
  send();
  await sleep(SYSTEM_CLOCK, 100);
  // A plain timer runs before the poll that reads the close.
  setTimeout(send, 1);
  blockLoop(2 * BACKEND_IDLE_MS);
  await sleep(SYSTEM_CLOCK, 200);
  t.deepEqual(outcomes, ['200', '200']);
  sender.close();
  await close();
});
