/** Sound backends that accept no more connections do not look as if nothing listened. */
import { spawn } from 'node:child_process';
import { Agent } from 'node:http';
import { connect, createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import test from 'ava';
import { callJson } from '../src/cluster/json-call.js';
import { probePort } from '../src/gateway/crashes/port-probe.js';

const TIMEOUT_MS = 200;
/** More connections than the backlog of the process holds. */
const CONNECTIONS = 8;
/** Listens with a backlog of one connection, prints its port and accepts nothing. */
const STANDING_STILL = `
  const server = require('node:net').createServer();
  server.listen({ port: 0, host: '127.0.0.1', backlog: 1 }, () => {
    console.log(server.address().port);
    setTimeout(() => process.kill(process.pid, 'SIGSTOP'), 50);
  });
`;

test.serial(
  'a port whose process stands still with a full backlog does not count as closed',
  async (t) => {
    const child = spawn(process.execPath, ['-e', STANDING_STILL]);
    const sockets: Socket[] = [];
    t.teardown(() => {
      sockets.forEach((socket) => socket.destroy());
      child.kill('SIGKILL');
    });
    const port = await new Promise<number>((resolve) =>
      child.stdout.once('data', (text: Buffer) => resolve(Number(text.toString()))),
    );
    await new Promise((resolve) => setTimeout(resolve, TIMEOUT_MS));
    for (let count = 0; count < CONNECTIONS; count += 1) {
      sockets.push(connect(port, '127.0.0.1').on('error', () => undefined));
    }
    await new Promise((resolve) => setTimeout(resolve, TIMEOUT_MS));
    const address = `127.0.0.1:${port}`;
    t.is(await probePort(address), 'unknown');
    const call = await callJson({ address, path: '/' }, TIMEOUT_MS, new Agent());
    t.is(call.ok ? undefined : call.val.reason, 'silent');
  },
);

test.serial(
  'a backend that resets connections beyond its limit does not count as closed',
  async (t) => {
    const server = createServer((socket) => socket.resetAndDestroy());
    await new Promise<void>((resolve) => void server.listen(0, '127.0.0.1', () => resolve()));
    t.teardown(() => server.close());
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    t.not(await probePort(address), 'closed');
    const call = await callJson({ address, path: '/' }, TIMEOUT_MS, new Agent());
    t.is(call.ok ? undefined : call.val.reason, 'broken');
  },
);
